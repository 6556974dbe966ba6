package jobkeeper

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// departureRetention is how long an instance that has gone is remembered, unless it
	// comes back. All others have scanned the records several times by then.
	departureRetention = 10 * time.Minute
	// sweepInterval is the time between two scans of the records of all jobs if none
	// is requested.
	sweepInterval = time.Minute
	// sweepDebounce is the delay that combines several requests into one scan:
	// members come and go in groups.
	sweepDebounce = 400 * time.Millisecond
	// enrollPollInterval is the time between two checks whether this instance is
	// enrolled.
	enrollPollInterval = 250 * time.Millisecond
	// maxRemovals limits the keys that one transaction removes beside its precondition.
	maxRemovals = storer.MaxTransactionEntries - 1
	// minScanAge is the age of the last scan from which on a caller that takes this
	// instance for the owner of an unknown job triggers another one.
	minScanAge = 2 * time.Second
	// sweepRetryDelay is the delay after a failed scan.
	sweepRetryDelay = time.Second
)

// errUnusable means that the store holds a job that cannot be read. It is looked at again in
// the next regular scan.
var errUnusable = merry.Sentinel("the job in the store cannot be used")

// errNotEnrolled means that this instance may not own jobs.
var errNotEnrolled = merry.Sentinel("not enrolled")

// sweepLoop scans for jobs without an owner on request, for example when members
// change, and otherwise every sweepInterval. Which job has no owner is read from the store
// in each scan. What an instance saw of the others only decides when it scans: whoever takes
// a place of an instance that is gone scans, and finds the jobs that this one left as well.
func (k *Keeper) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		period := sweepInterval
		err := k.sweep(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errNotEnrolled):
			period = enrollPollInterval
		case err != nil:
			k.cfg.Logger.WithError(err).Warn("scan of the job records failed")
			period = sweepRetryDelay
		}
		k.awaitSweep(ctx, period)
	}
}

// VerifyOwnership requests a scan of the records. It is called when a term begins:
// other instances may have taken over jobs in the table before.
func (k *Keeper) VerifyOwnership() { k.requestSweep() }

func (k *Keeper) awaitSweep(ctx context.Context, period time.Duration) {
	waiter.Pause(ctx, k.cfg.Clock, period, k.sweepRequests)
	k.sleep(sweepDebounce)
	select {
	case <-k.sweepRequests:
	default:
	}
}

// sweep takes over the unfinished jobs that this instance should own, and removes jobs
// whose retention has ended. An open job is not removed, however old it is: its owner
// dead-letters its items once they have expired, so that it ends.
func (k *Keeper) sweep(ctx context.Context) (failed error) {
	term, held := k.cfg.Terms.Term()
	switch {
	case k.isLeaving():
		return nil
	case !held:
		return errNotEnrolled
	}
	k.mu.Lock()
	departed := k.pendingTakeovers()
	k.mu.Unlock()
	listing, err := k.cfg.Store.List(ctx, k.key("run/"))
	if err != nil {
		return err
	}
	k.dropLostJobs(listing)
	k.recordScan(term, listing, departed)
	k.orphans.beginScan()
	for _, entry := range listing.Entries {
		id := strings.TrimPrefix(entry.Key, k.key("run/"))
		var r Record
		if err := encoder.Unmarshal(entry.Value, &r); err != nil {
			k.log(id).WithError(err).Warn("record of a job cannot be read")
			continue
		}
		switch {
		case r.Done:
			if k.isOver(latest(r.SubmittedAt, r.DoneAt)) && k.isSuccessor(id) {
				k.remove(ctx, id, r, entry.Version)
			}
		case k.hasEnded(id):
			if k.isOver(r.SubmittedAt) && k.isSuccessor(id) {
				k.removeEnded(ctx, id, r, entry.Version)
			}
		case k.shouldTakeOver(id, r, entry.Version):
			// After a conflict the next scan shows whether the job still has no owner: a
			// late write of the former owner conflicts too.
			failed = errors.Join(failed, k.takeOverOrphan(ctx, id, r, entry.Version))
		}
	}
	k.removeStrayEnds(ctx, listing)
	if k.orphans.endScan(k.now()) {
		k.cfg.Clock.AfterFunc(orphanTakeoverDelay, k.requestSweep)
	}
	if failed == nil {
		k.markTakeoversDone(departed)
	}
	return failed
}

// takeOverOrphan takes over a job without owner. One of which the store holds only a part
// can never be done: it is left to later scans, and removed when it has been so for the
// retention.
func (k *Keeper) takeOverOrphan(ctx context.Context, id string, r Record, version int64) error {
	err := k.takeOver(ctx, id, r, version)
	switch {
	case errors.Is(err, errUnusable):
		k.log(id).WithError(err).Error("a job without owner cannot be used")
		if k.isOver(k.orphans.markUnusable(id, k.now())) && k.isSuccessor(r.Owner) {
			k.remove(ctx, id, r, version)
		}
		return nil
	case errors.Is(err, storer.ErrRefused):
		k.log(id).WithError(err).Error("a job without owner cannot be taken over")
		return nil
	}
	return err
}

// isOver reports whether the retention of a job has ended that needs no more work since a
// time.
func (k *Keeper) isOver(since time.Time) bool { return k.now().Sub(since) > k.cfg.Retention }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// removeEnded removes a job that its caller ended, once its retention has ended.
func (k *Keeper) removeEnded(ctx context.Context, id string, r Record, version int64) {
	entry, err := k.cfg.Store.Get(ctx, k.cfg.EndPrefix+id)
	if err != nil {
		k.log(id).WithError(err).Warn("failed to read the end of a job that may be removed")
		return
	}
	var end End
	if err := encoder.Unmarshal(entry.Value, &end); err != nil {
		end = End{} // Of an earlier build.
	}
	if k.isOver(latest(r.SubmittedAt, end.EndedAt)) {
		k.remove(ctx, id, r, version)
	}
}

// recordScan records a listing of all records, and logs what this instance knew of the
// others when it was made.
func (k *Keeper) recordScan(term int, listing storer.Listing, departed []string) {
	k.mu.Lock()
	age := k.now().Sub(k.scannedAt)
	if k.scannedAt.IsZero() {
		age = 0
	}
	k.verifiedTerm = term
	k.scannedAt = k.now()
	fields := logrus.Fields{
		"records": len(listing.Entries), "version": listing.Version, "term": term, "members": len(k.members), "members-known": k.membersKnown,
		"departed": len(k.departed), "succeeds": departed, "last-scan-ms": age.Milliseconds(),
	}
	k.mu.Unlock()
	k.cfg.Logger.WithFields(fields).Info("job records scanned")
}

// markTakeoversDone records that the jobs of departed instances were scanned for.
func (k *Keeper) markTakeoversDone(ids []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		d, present := k.departed[id]
		if !present {
			continue
		}
		d.scans++
		if d.scans == 1 {
			d.firstScanAt = k.now()
			k.cfg.Clock.AfterFunc(inDoubtPeriod, k.requestSweep)
		}
	}
}

// dropLostJobs drops the owned jobs whose records name another owner, or are gone: another
// instance has removed them.
func (k *Keeper) dropLostJobs(listing storer.Listing) {
	listed := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		id := strings.TrimPrefix(entry.Key, k.key("run/"))
		listed[id] = true
		j, ok := k.owned(id)
		if !ok {
			continue
		}
		var r Record
		if err := encoder.Unmarshal(entry.Value, &r); err != nil {
			k.log(id).WithError(err).Warn("record of a job cannot be read")
			continue
		}
		if entry.Version > j.recordVersion() && (r.Owner != k.cfg.Self.ID || r.Incarnation != k.cfg.Self.Incarnation) {
			k.log(id).WithField("owner", r.Owner).Warn("job lost to another instance")
			k.dropOwned(j)
		}
	}
	for i := range k.shards {
		for _, j := range k.shards[i].all() {
			// A record that was written after the listing began may be missing in it.
			if !listed[j.manifest.Job] && j.recordVersion() <= listing.Version {
				k.log(j.manifest.Job).WithField("version", listing.Version).Info("job dropped: its record is gone")
				k.dropOwned(j)
			}
		}
	}
}

// shouldTakeOver reports whether this instance should become the owner of a job. Of a job
// whose owner is gone, that is the owner's successor, and any instance that has found the
// record at the same version for orphanTakeoverDelay.
func (k *Keeper) shouldTakeOver(id string, r Record, version int64) bool {
	// In this order: a submission ends after its job is owned.
	if k.isCreating(id) {
		return false
	}
	if _, ok := k.owned(id); ok {
		return false
	}
	if r.Owner == k.cfg.Self.ID {
		// Owned since before a restart, or through a write whose response was lost.
		return k.orphans.find(id, version, 0, k.now())
	}
	k.mu.Lock()
	owner, present := k.members[r.Owner]
	membersKnown := k.membersKnown
	k.mu.Unlock()
	if !membersKnown {
		return false
	}
	if present && owner.Incarnation == r.Incarnation && !owner.Leaving {
		return false
	}
	if present && !owner.Leaving {
		return false // The owner has restarted and takes its jobs up again.
	}
	if k.isSuccessor(r.Owner) {
		return k.orphans.find(id, version, 0, k.now())
	}
	due := k.orphans.find(id, version, orphanTakeoverDelay, k.now())
	if due {
		k.log(id).WithFields(logrus.Fields{"owner": r.Owner, "version": version}).Warn("the successor of a job's owner does not take it over; taking it over instead")
	}
	return due
}

func (k *Keeper) isCreating(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.creating[id]
}

// hasOldScan reports whether the last scan of the records is older than minScanAge.
func (k *Keeper) hasOldScan() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now().Sub(k.scannedAt) >= minScanAge
}

// isSuccessor reports whether this instance is the successor for an ID.
func (k *Keeper) isSuccessor(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.membersKnown && k.successor(id) == k.cfg.Self.ID
}

// successor returns the instance that is responsible for an ID, by rendezvous
// hashing: all instances with the same membership choose the same one. The caller
// holds k.mu.
func (k *Keeper) successor(id string) string {
	best, bestHash := k.cfg.Self.ID, xxhash.Sum64String(id+"\x00"+k.cfg.Self.ID)
	for _, m := range k.members {
		if h := xxhash.Sum64String(id + "\x00" + m.ID); h > bestHash && canOwnJobs(m) {
			best, bestHash = m.ID, h
		}
	}
	return best
}

func canOwnJobs(m enroller.Member) bool { return !m.Leaving }

// remove deletes a job whose retention has ended, if its record has not changed. The record
// goes last, so that a scan finds what an interrupted removal has left, and the end with it,
// so that such a job is not taken for an open one.
func (k *Keeper) remove(ctx context.Context, id string, r Record, version int64) {
	var values []string
	for n := range r.Parts {
		values = append(values, k.key(manifestKey(id, n)))
	}
	for n := range r.Segments {
		values = append(values, k.key(segmentKey(id, n)))
	}
	last := []string{k.key(recordKey(id)), k.key(progressKey(id)), k.cfg.EndPrefix + id}
	fitting := min(len(values), maxRemovals-len(last))
	last = append(last, values[:fitting]...)
	unchanged := []storer.Precondition{{Key: k.key(recordKey(id)), Version: version}}
	for _, group := range append(slices.Collect(slices.Chunk(values[fitting:], maxRemovals)), last) {
		if _, err := k.cfg.Store.Commit(ctx, storer.Transaction{Expect: unchanged, Remove: group}); err != nil {
			k.log(id).WithError(err).Warn("failed to remove expired job")
			return
		}
	}
	if j, ok := k.owned(id); ok {
		k.dropOwned(j)
	}
	k.log(id).Info("expired job removed")
}
