package jobkeeper

import (
	"context"
	"errors"
	"strings"

	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// End stops a job. What is listed stays readable. The end is acknowledged once
// it is in the store, which every instance follows.
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
	if _, ok := k.owned(id); !ok {
		_, _ = k.askOwner(ctx, jobRequest{Operation: operationEnd, Job: id, Workspace: workspace}) // The owner hears of it from the store too.
	}
	return nil
}

func (k *Keeper) checkWorkspace(ctx context.Context, workspace, id string) *refuser.Refusal {
	owner := ""
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

// FollowEnds takes over the keys that end jobs.
func (k *Keeper) FollowEnds(c follower.Copy) {
	for _, e := range c.Entries {
		if id, ok := strings.CutPrefix(e.Key, k.cfg.EndPrefix); ok {
			k.noteEnd(id)
		}
	}
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
