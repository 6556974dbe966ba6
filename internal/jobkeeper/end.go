package jobkeeper

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// notifyRetryDelay is the time between two attempts to notify the owner that
	// its job was ended.
	notifyRetryDelay = 400 * time.Millisecond
	// maxNotifyAttempts limits these attempts. An owner that is not notified
	// learns of the end from ApplyEnds.
	maxNotifyAttempts = 20
)

// End stops a job. Its listed results stay readable. End returns once the end is
// in the store and one attempt to notify the owner was made. Later owners read
// the end from the store. If the owner cannot be reached, End keeps retrying in
// the background. Whoever may own the job follows the ends in the store as well, since
// this instance may be gone before it has notified the owner.
func (k *Keeper) End(ctx context.Context, workspace, id string) *refuser.Refusal {
	if refusal := k.checkWorkspace(ctx, workspace, id); refusal != nil {
		return refusal
	}
	if err := k.storeEnd(ctx, workspace, id); err != nil {
		k.log(id).WithError(err).Warn("failed to store the end of the job")
		if errors.Is(err, storer.ErrUnknownEffect) {
			return refuser.New(refuser.InDoubt, refuser.Unknown, "it is unknown whether the job was ended")
		}
		return k.storeRefusal(id, err)
	}
	k.log(id).Info("job ended by the caller")
	k.markEnded(id)
	if !k.notifyOwner(ctx, id, workspace) {
		k.running.Go(func() { k.retryNotifyOwner(id, workspace) })
	}
	return nil
}

// storeEnd writes the end of a job, unless the store has it.
func (k *Keeper) storeEnd(ctx context.Context, workspace, id string) (err error) {
	value, err := encoder.Marshal(End{Workspace: workspace, EndedAt: k.now()})
	if err != nil {
		return err
	}
	key := k.cfg.EndPrefix + id
	_, err = k.cfg.Store.Commit(ctx, storer.Transaction{
		Expect: []storer.Precondition{{Key: key}},
		Writes: []storer.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, storer.ErrConflict) {
		return nil // It was ended before.
	}
	return err
}

// ApplyEnds ends the jobs that the store says have ended, by the entries below
// Config.EndPrefix, and forgets those whose entries are gone.
func (k *Keeper) ApplyEnds(entries []storer.Entry) {
	stored := make(map[string]int64, len(entries))
	for _, entry := range entries {
		stored[strings.TrimPrefix(entry.Key, k.cfg.EndPrefix)] = entry.Version
	}
	k.mu.Lock()
	for id := range k.storedEnds {
		if _, ok := stored[id]; !ok {
			delete(k.endedJobs, id)
		}
	}
	k.storedEnds = stored
	var added []string
	for id := range stored {
		if !k.endedJobs[id] {
			added = append(added, id)
		}
	}
	k.mu.Unlock()
	for _, id := range added {
		if _, ok := k.owned(id); ok {
			k.log(id).Info("the store says that the caller ended the job")
		}
		k.markEnded(id)
	}
}

// removeStrayEnds removes the ends of jobs that the listing of all records lacks: the job was
// removed while its caller ended it.
func (k *Keeper) removeStrayEnds(ctx context.Context, listing storer.Listing) {
	listed := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		listed[strings.TrimPrefix(entry.Key, k.key("run/"))] = true
	}
	strays := map[string]int64{}
	k.mu.Lock()
	for id, version := range k.storedEnds {
		// An end is written after the record of its job.
		if !listed[id] && version <= listing.Version && k.membersKnown && k.successor(id) == k.cfg.Self.ID {
			strays[id] = version
		}
	}
	k.mu.Unlock()
	for id, version := range strays {
		key := k.cfg.EndPrefix + id
		_, err := k.cfg.Store.Commit(ctx, storer.Transaction{Expect: []storer.Precondition{{Key: key, Version: version}}, Remove: []string{key}})
		if err != nil {
			k.log(id).WithError(err).Warn("failed to remove the end of a job that is gone")
			continue
		}
		k.log(id).Info("end of a job that is gone removed")
	}
}

// retryNotifyOwner notifies the owner that its job was ended, until that
// succeeds, the attempts are used up or this instance shuts down.
func (k *Keeper) retryNotifyOwner(id, workspace string) {
	ctx := k.runContext()
	for range maxNotifyAttempts {
		k.sleep(notifyRetryDelay)
		if ctx.Err() != nil || k.notifyOwner(ctx, id, workspace) {
			return
		}
	}
	k.log(id).Warn("failed to notify the owner of the end of the job")
}

// notifyOwner tells the owner of a job that it was ended. It reports whether no
// further notification is needed. The end is in the store: an instance that becomes
// the owner after the record was read here reads the end itself.
func (k *Keeper) notifyOwner(ctx context.Context, id, workspace string) bool {
	if _, owned := k.owned(id); owned && k.confirmsOwnership() {
		return true
	}
	record, _, err := k.readRecord(ctx, id)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return true // The job was removed.
	case err != nil:
		k.log(id).WithError(err).Warn("failed to read the owner of a job that was ended")
		return false
	case record.Done, record.Owner == k.cfg.Self.ID && record.Incarnation == k.cfg.Self.Incarnation:
		return true // If this instance has not added the job to its table yet, it ends when it is added.
	case record.Owner == k.cfg.Self.ID:
		return false // Of an earlier incarnation: its next owner reads the end.
	}
	response, err := k.callOwner(ctx, record.Owner, jobRequest{Operation: operationEnd, Job: id, Workspace: workspace})
	if err != nil {
		k.log(id).WithError(err).WithField("owner", record.Owner).Info("failed to call the owner of the job")
	}
	return err == nil && response.Owned
}

func (k *Keeper) checkWorkspace(ctx context.Context, workspace, id string) *refuser.Refusal {
	var owner string
	if j, ok := k.owned(id); ok {
		owner = j.manifest.Workspace
	} else {
		c, refusal := k.refreshCached(ctx, id)
		if refusal != nil {
			return refusal
		}
		c.mu.Lock()
		owner = c.record.Workspace
		c.mu.Unlock()
	}
	if !mayAccess(workspace, owner) {
		return notFound
	}
	return nil
}

func (k *Keeper) hasEnded(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.endedJobs[id]
}

func (k *Keeper) markEnded(id string) {
	k.mu.Lock()
	known := k.endedJobs[id]
	k.endedJobs[id] = true
	k.mu.Unlock()
	if j, ok := k.owned(id); ok && !known {
		k.endLocal(j)
	}
}

// endLocal stops the items of a job that this instance owns.
func (k *Keeper) endLocal(j *job) {
	k.mu.Lock()
	k.endedJobs[j.manifest.Job] = true
	k.mu.Unlock()
	k.stopItems(j)
}
