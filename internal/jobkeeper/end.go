package jobkeeper

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// tellPause is the time between two tries to tell the owner of an end.
	tellPause = 400 * time.Millisecond
	// tellTries bounds them. Later, the owner meets the end with its next write.
	tellTries = 20
)

// End stops a job. What is listed stays readable. The end is acknowledged once
// it is in the store and the owner was told, or could not be; later owners read
// it. An owner that could not be told meets it with its next write.
func (k *Keeper) End(ctx context.Context, workspace, id string) *refuser.Refusal {
	if refusal := k.checkWorkspace(ctx, workspace, id); refusal != nil {
		return refusal
	}
	_, err := k.cfg.Store.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: k.cfg.EndPrefix + id, Value: []byte(workspace)}}})
	if err != nil {
		k.log(id).WithError(err).Warn("end of the job not written")
		if errors.Is(err, storer.ErrUnknownEffect) {
			return refuser.New(refuser.InDoubt, refuser.Unknown, "it is unknown whether the job was ended")
		}
		return k.storeRefusal(id, err)
	}
	k.log(id).Info("job ended by its caller")
	k.noteEnd(id)
	if !k.tellOwner(ctx, id, workspace) {
		k.running.Go(func() { k.keepTelling(id, workspace) })
	}
	return nil
}

// keepTelling tells the owner of a job that it was ended, until that succeeds or
// this instance leaves.
func (k *Keeper) keepTelling(id, workspace string) {
	ctx := k.baseContext()
	for range tellTries {
		k.sleep(tellPause)
		if ctx.Err() != nil || k.tellOwner(ctx, id, workspace) {
			return
		}
	}
	k.log(id).Warn("owner not told of the end of its job")
}

// tellOwner tells the owner of a job that it was ended. It reports whether
// nobody has to be told any more.
func (k *Keeper) tellOwner(ctx context.Context, id, workspace string) bool {
	if _, owned := k.owned(id); owned {
		return true
	}
	response, refusal := k.askOwner(ctx, jobRequest{Operation: operationEnd, Job: id, Workspace: workspace})
	return refusal == nil && response.Owned || k.isDone(id)
}

// isDone reports whether every item of a job is listed, as far as is known.
func (k *Keeper) isDone(id string) bool {
	c := k.copies.of(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record.Done
}

func (k *Keeper) checkWorkspace(ctx context.Context, workspace, id string) *refuser.Refusal {
	var owner string
	if j, ok := k.owned(id); ok {
		owner = j.manifest.Workspace
	} else {
		c, refusal := k.fresh(ctx, id)
		if refusal != nil {
			return refusal
		}
		c.mu.Lock()
		owner = c.record.Workspace
		c.mu.Unlock()
	}
	if owner != workspace {
		return notFound
	}
	return nil
}

func (k *Keeper) hasEnded(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.enders[id]
}

func (k *Keeper) noteEnd(id string) {
	k.mu.Lock()
	known := k.enders[id]
	k.enders[id] = true
	k.mu.Unlock()
	if j, ok := k.owned(id); ok && !known {
		k.endLocal(j)
	}
}

// endLocal stops the items of a job of this instance.
func (k *Keeper) endLocal(j *job) {
	k.mu.Lock()
	k.enders[j.manifest.Job] = true
	k.mu.Unlock()
	k.stopItems(j)
}
