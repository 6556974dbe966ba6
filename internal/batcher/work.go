package batcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// outageDelay is how long claims are suspended after a platform error.
	outageDelay = time.Second
	// relistDivisor limits the checks of jobs whose chunks are all claimed by
	// others: they are RecheckPeriod/relistDivisor apart, so that 350 entries
	// make at most 175 listings a second.
	relistDivisor = 15
	// stallDelayFactor is how many recheck periods a job is left to other
	// instances after one of its chunks stalled here. It is longer than any of
	// them takes to check the job again.
	stallDelayFactor = 2
	// manifestDelay is the delay of a job without a manifest: the index entry is
	// written first.
	manifestDelay = time.Second
	// orphanAge is the age from which the submission of an index entry without a
	// manifest counts as failed.
	orphanAge = time.Hour
	// missingInputDelay is the delay of a job whose items could not be read from
	// any replica.
	missingInputDelay = 10 * time.Second
	// maxClaimConflicts is the number of conflicting claims after which the
	// records are listed again.
	maxClaimConflicts = 4
)

// Causes of cancelling an active chunk.
var (
	errClaimLost    = merry.Sentinel("the claim was taken over")
	errJobCancelled = merry.Sentinel("the job was cancelled")
	errStalled      = merry.Sentinel("no backend server accepted an item of the chunk")
)

// errNoChunk means that no chunk of a job can be claimed now.
var errNoChunk = merry.Sentinel("no chunk to claim")

// runChunks starts chunks while there is capacity. It returns after ctx has ended
// and all its chunks have been committed or released.
func (b *Batcher) runChunks(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		for b.startChunk(ctx, &wg) {
		}
		var timer <-chan time.Time
		if at, ok := b.nextWake(); ok {
			timer = b.cfg.Clock.After(at.Sub(b.cfg.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-timer:
		}
	}
}

// nextWake returns when a delayed job becomes ready in a lane that wants a chunk,
// or when the suspension of claims ends.
func (b *Batcher) nextWake() (next time.Time, ok bool) {
	for _, l := range b.lanes.all() {
		at, delayed := b.scheduler.NextWake(l.name)
		if delayed && l.wantsChunk() && (!ok || at.Before(next)) {
			next, ok = at, true
		}
	}
	if until, blocked := b.outageThrottle.blocked(); blocked && (!ok || next.Before(until)) {
		return until, true
	}
	return next, ok
}

// startChunk starts the next chunk of a lane that wants one.
func (b *Batcher) startChunk(ctx context.Context, wg *conc.WaitGroup) (started bool) {
	_, live := b.holder.current()
	_, blocked := b.outageThrottle.blocked()
	if ctx.Err() != nil || !live || blocked || b.activeChunks.Load() >= int64(b.cfg.MaxChunks) {
		return false
	}
	for _, l := range b.lanes.all() {
		if !l.wantsChunk() {
			continue
		}
		d, ok := b.scheduler.Next(l.name, chunkItems)
		if !ok {
			continue
		}
		donePreparing := l.prepare()
		b.activeChunks.Add(1)
		wg.Go(func() {
			defer b.wakeUp()
			defer b.activeChunks.Add(-1)
			if caught := panics.Try(func() { b.runChunk(ctx, d, donePreparing) }); caught != nil {
				b.cfg.Logger.WithError(caught.AsError()).Error("running a chunk panicked; it will be claimed again")
			}
		})
		return true
	}
	return false
}

// runChunk claims and runs a chunk of the chosen job.
func (b *Batcher) runChunk(ctx context.Context, d scheduler.Decision, donePreparing func()) {
	itemsCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r, err := b.claimNext(ctx, d.Job, cancel)
	if err != nil {
		b.scheduler.Settle(d, 0, 0)
		donePreparing()
		b.handleError(ctx, err, "claiming a chunk failed")
		return
	}
	defer r.claim.job.removeClaim(r.claim)
	startedAt := b.cfg.Clock.Now()
	r.run(ctx, itemsCtx, donePreparing)
	items, tokens := r.workDone()
	b.scheduler.Settle(d, items, float64(tokens))
	if items == len(r.items) {
		b.scheduler.ObserveItemTime(d.Job.Lane, b.cfg.Clock.Now().Sub(startedAt)/time.Duration(items))
	}
	b.afterChunk(ctx, r)
}

// handleError handles an error of the platform and ignores errNoChunk.
func (b *Batcher) handleError(ctx context.Context, err error, message string) {
	if err != nil && !errors.Is(err, errNoChunk) && ctx.Err() == nil {
		b.handlePlatformError(err, message)
	}
}

// afterChunk delays a job that stalled, and inspects a job without claimable
// chunks, which folds it after its last chunk.
func (b *Batcher) afterChunk(ctx context.Context, r *chunkRun) {
	j := r.claim.job
	j.removeClaim(r.claim)
	if errors.Is(r.cause, errStalled) {
		b.delay(j, stallDelayFactor*b.cfg.RecheckPeriod)
		return
	}
	if _, claimable := j.listed(); claimable > 0 || ctx.Err() != nil {
		return
	}
	b.handleError(ctx, b.inspect(ctx, j), "inspecting a job after its chunk failed")
}

// claimNext claims a chunk of a job and loads its items. If there is none, it
// may delay or forget the job and returns errNoChunk. Other errors are those of
// the platform.
func (b *Batcher) claimNext(
	ctx context.Context, chosen scheduler.Job, cancel context.CancelCauseFunc,
) (r *chunkRun, err error) {
	j, ok := b.jobs.get(chosen.Key)
	if !ok {
		b.scheduler.Remove(chosen.Lane, chosen.Key)
		return nil, errNoChunk
	}
	if err = b.inspectIfNeeded(ctx, j); err != nil {
		return nil, err
	}
	c, err := b.claimChunk(ctx, j, cancel)
	if err != nil {
		return nil, err
	}
	r, err = b.loadChunk(ctx, c)
	if err != nil {
		b.abandonClaim(ctx, c)
		return nil, err
	}
	return r, nil
}

// inspectIfNeeded inspects a job in which no chunk looks claimable. A job whose
// chunks were all claimed by others is delayed if such checks are too frequent.
func (b *Batcher) inspectIfNeeded(ctx context.Context, j *job) (err error) {
	listedAt, claimable := j.listed()
	if claimable > 0 {
		return nil
	}
	if !listedAt.IsZero() && !b.relistThrottle.allow(b.cfg.RecheckPeriod/relistDivisor) {
		b.delay(j, b.jitter(b.cfg.RecheckPeriod))
		return errNoChunk
	}
	return b.inspect(ctx, j)
}

func (b *Batcher) delay(j *job, d time.Duration) {
	b.scheduler.Delay(j.open.Lane, j.key, b.cfg.Clock.Now().Add(d))
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that instances do
// not act in step.
func (b *Batcher) jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// claimChunk claims a chunk that looks claimable.
func (b *Batcher) claimChunk(ctx context.Context, j *job, cancel context.CancelCauseFunc) (c *claim, err error) {
	for range maxClaimConflicts {
		c = &claim{id: newID(), cancel: cancel}
		view, ok := j.pick(c)
		if !ok {
			return nil, errNoChunk
		}
		c.earlier = view.record.Results
		c.term, _ = b.holder.current()
		record := ChunkRecord{State: ChunkClaimed, Holder: b.holder.id, Claim: c.id, Results: c.earlier}
		epoch, err := b.records.writeChunk(ctx, j.key, c.chunk, record, view.version)
		if err == nil {
			j.confirm(c, epoch)
			return c, nil
		}
		j.removeClaim(c)
		j.pickRandomNext()
		if !errors.Is(err, storer.ErrConflict) {
			j.invalidate()
			return nil, err
		}
	}
	// The listing is stale; the next attempt lists the chunks again.
	j.invalidate()
	return nil, errNoChunk
}

// loadChunk checks that the job is still running and reads the items of a claimed
// chunk. The manifest is read after the claim: a chunk can be claimed again after
// its job was folded, but then the manifest shows that.
func (b *Batcher) loadChunk(ctx context.Context, c *claim) (r *chunkRun, err error) {
	m, _, err := b.records.manifest(ctx, c.job.key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, err
	}
	if err != nil || m.State != Running || m.Submission != c.job.submission() {
		c.job.invalidate()
		b.delay(c.job, manifestDelay)
		return nil, errNoChunk
	}
	data, err := b.cfg.Archive.Get(ctx, m.inputName(c.chunk), m.Chunks[c.chunk].Replicas)
	var items []Item
	if err == nil {
		items, err = decodeItems(data, m)
	}
	if err != nil {
		b.claimLogger(c).WithError(err).Error("reading the items of a chunk failed")
		b.delay(c.job, missingInputDelay)
		return nil, errNoChunk
	}
	return newChunkRun(b, c, m, items, b.loadEarlierResults(ctx, m, c)), nil
}

// loadEarlierResults reads the results of earlier holders. If that fails, the
// items run again, which is safe because batch routes are idempotent.
func (b *Batcher) loadEarlierResults(ctx context.Context, m Manifest, c *claim) (records []ItemRecord) {
	if c.earlier == nil {
		return nil
	}
	records, err := b.readResults(ctx, m, c.chunk, c.earlier)
	if err != nil {
		b.claimLogger(c).WithError(err).Warn("reading earlier results of a chunk failed; its items will run again")
		c.earlier = nil
		return nil
	}
	return records
}
