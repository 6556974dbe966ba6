package jobkeeper

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// sweepPeriod is the time between looks at the records of all jobs without
	// cause.
	sweepPeriod = time.Minute
	// sweepDelay gathers the causes of a look: members come and go in groups.
	sweepDelay = 400 * time.Millisecond
	// enrollWait is the time until an instance that is not enrolled looks again.
	enrollWait = 250 * time.Millisecond
	// maxRemovals bounds the keys that one transaction removes; the store takes
	// 32 entries.
	maxRemovals = 28
	// sweepRetry is the pause after a look that failed.
	sweepRetry = time.Second
)

// errNotEnrolled means that this instance may not own jobs now.
var errNotEnrolled = merry.Sentinel("not enrolled")

// sweepLoop looks for jobs without owner when members change, and now and then.
func (k *Keeper) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		period := sweepPeriod
		err := k.sweep(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errNotEnrolled):
			period = enrollWait
		case err != nil:
			k.cfg.Logger.WithError(err).Warn("look at the records of jobs failed")
			period = sweepRetry
		}
		k.awaitSweep(ctx, period)
	}
}

func (k *Keeper) awaitSweep(ctx context.Context, period time.Duration) {
	waiter.Pause(ctx, k.cfg.Clock, period, k.sweeps)
	k.sleep(sweepDelay)
	select {
	case <-k.sweeps:
	default:
	}
}

// sweep takes over the open jobs that fall to this instance, and removes those
// whose results are not kept any longer.
func (k *Keeper) sweep(ctx context.Context) (failed error) {
	term, held := k.cfg.Terms.Term()
	switch {
	case k.isLeaving():
		return nil
	case !held:
		return errNotEnrolled
	}
	k.mu.Lock()
	inherited := k.inheritances()
	k.mu.Unlock()
	listing, err := k.cfg.Store.List(ctx, k.key("run/"))
	if err != nil {
		return err
	}
	k.dropLost(listing)
	k.mu.Lock()
	k.verified = term
	k.mu.Unlock()
	for _, entry := range listing.Entries {
		id := strings.TrimPrefix(entry.Key, k.key("run/"))
		var r Record
		if err := cbor.Unmarshal(entry.Value, &r); err != nil {
			k.log(id).WithError(err).Warn("record of a job cannot be read")
			continue
		}
		switch {
		case k.now().Sub(r.SubmittedAt) > k.cfg.Retention:
			if k.inherits(id) {
				k.remove(ctx, id, r, entry.Version)
			}
		case !r.Done && !k.hasEnded(id) && k.falls(id, r):
			if err := k.takeOver(ctx, id, r, entry.Version); err != nil && !errors.Is(err, storer.ErrConflict) {
				failed = errors.Join(failed, err)
			}
		}
	}
	if failed == nil {
		k.noteInherited(inherited)
	}
	return failed
}

// noteInherited remembers that the jobs of lapsed instances were looked for.
func (k *Keeper) noteInherited(ids []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		if _, lapsed := k.lapsed[id]; lapsed {
			k.lapsed[id] = true
		}
	}
}

// dropLost drops the jobs whose records name another owner.
func (k *Keeper) dropLost(listing storer.Listing) {
	for _, entry := range listing.Entries {
		id := strings.TrimPrefix(entry.Key, k.key("run/"))
		j, ok := k.owned(id)
		if !ok {
			continue
		}
		var r Record
		if err := cbor.Unmarshal(entry.Value, &r); err != nil {
			k.log(id).WithError(err).Warn("record of a job cannot be read")
			continue
		}
		if r.Owner != k.cfg.Self.ID || r.Incarnation != k.cfg.Self.Incarnation {
			k.log(id).WithField("owner", r.Owner).Warn("job lost to another instance")
			k.drop(j)
		}
	}
}

// falls reports whether a job is this instance's to run.
func (k *Keeper) falls(id string, r Record) bool {
	if _, ok := k.owned(id); ok || k.isCreating(id) {
		return false
	}
	if r.Owner == k.cfg.Self.ID {
		return true // From before a restart, or by a write whose answer was lost.
	}
	k.mu.Lock()
	owner, present := k.members[r.Owner]
	k.mu.Unlock()
	if present && owner.Incarnation == r.Incarnation && !owner.Leaving {
		return false
	}
	if present && !owner.Leaving {
		return false // The owner has started anew and takes its jobs up again.
	}
	return k.inherits(r.Owner)
}

func (k *Keeper) isCreating(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.creating[id]
}

// inherits reports whether this instance is the heir of an ID.
func (k *Keeper) inherits(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heir(id) == k.cfg.Self.ID
}

// heir is the instance that what belongs to an ID falls to: all instances with
// the same membership choose the same. The lock is held.
func (k *Keeper) heir(id string) string {
	best, bestHash := k.cfg.Self.ID, xxhash.Sum64String(id+"\x00"+k.cfg.Self.ID)
	for _, m := range k.members {
		if h := xxhash.Sum64String(id + "\x00" + m.ID); h > bestHash && canOwn(m) {
			best, bestHash = m.ID, h
		}
	}
	return best
}

func canOwn(m enroller.Member) bool { return !m.Leaving }

// removeSegments deletes values beyond those that one transaction takes.
func (k *Keeper) removeSegments(ctx context.Context, keys []string) {
	for group := range slices.Chunk(keys, maxRemovals) {
		if _, err := k.cfg.Store.Commit(ctx, storer.Transaction{Remove: group}); err != nil {
			k.cfg.Logger.WithError(err).Warn("segments of an expired job not removed")
		}
	}
}

// remove deletes a job whose results are not kept any longer.
func (k *Keeper) remove(ctx context.Context, id string, r Record, version int64) {
	t := storer.Transaction{
		Expect: []storer.Precondition{{Key: k.key(recordKey(id)), Version: version}},
		Remove: []string{k.key(recordKey(id)), k.key(progressKey(id)), k.cfg.EndPrefix + id},
	}
	for n := range r.Parts {
		t.Remove = append(t.Remove, k.key(manifestKey(id, n)))
	}
	for n := range r.Segments {
		t.Remove = append(t.Remove, k.key(segmentKey(id, n)))
	}
	if excess := len(t.Remove) - maxRemovals; excess > 0 {
		k.removeSegments(ctx, t.Remove[maxRemovals:])
		t.Remove = t.Remove[:maxRemovals]
	}
	if _, err := k.cfg.Store.Commit(ctx, t); err != nil {
		k.log(id).WithError(err).Warn("expired job not removed")
		return
	}
	if j, ok := k.owned(id); ok {
		k.drop(j)
	}
	k.log(id).Info("expired job removed")
}
