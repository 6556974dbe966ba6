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
	// outageDelay spaces the claims while the platform fails.
	outageDelay = time.Second
	// relistDivisor bounds the looks at jobs whose chunks are all in other hands:
	// the pause is this part of the recheck period, so that 350 entries make at
	// most 175 listings a second.
	relistDivisor = 15
	// stallDelayFactor is the time, in recheck periods, that a job is left to other
	// instances after one of its chunks found no room here. It is longer than
	// any of them takes to look again.
	stallDelayFactor = 2
	// manifestDelay is the wait for a manifest that is not there yet: the index
	// entry is written first.
	manifestDelay = time.Second
	// orphanAge is the age at which an index entry without a manifest belongs
	// to a submission that has failed.
	orphanAge = time.Hour
	// missingInputDelay spaces the tries to read items that no replica answers
	// for.
	missingInputDelay = 10 * time.Second
	// maxClaimConflicts is the number of chunks tried before the records are listed
	// again.
	maxClaimConflicts = 4
)

// Causes for the early end of a chunk in hand.
var (
	errClaimLost    = merry.Sentinel("the claim was taken over")
	errJobCancelled = merry.Sentinel("the job was cancelled")
	errStalled      = merry.Sentinel("no item of the chunk found room")
)

// errNoChunk means that a job gives no chunk now.
var errNoChunk = merry.Sentinel("no chunk to claim")

// work starts chunks while there is room, until ctx ends and its chunks have
// been committed or handed back.
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

// nextWake returns when a parked job comes back into a lane with room.
func (b *Batcher) nextWake() (next time.Time, ok bool) {
	for _, l := range b.lanes.all() {
		at, parked := b.scheduler.NextWake(l.name)
		if parked && l.wantsChunk() && (!ok || at.Before(next)) {
			next, ok = at, true
		}
	}
	if until, blocked := b.outageThrottle.blocked(); blocked && (!ok || next.Before(until)) {
		return until, true
	}
	return next, ok
}

// startChunk starts the next chunk of a lane that has room.
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
		queued := l.prepare()
		b.activeChunks.Add(1)
		wg.Go(func() {
			defer b.wakeUp()
			defer b.activeChunks.Add(-1)
			if caught := panics.Try(func() { b.runChunk(ctx, d, queued) }); caught != nil {
				b.cfg.Logger.WithError(caught.AsError()).Error("a chunk ended by a panic; its claim is made again")
			}
		})
		return true
	}
	return false
}

// serve claims and runs a chunk of the job that was chosen.
func (b *Batcher) runChunk(ctx context.Context, d scheduler.Decision, queued func()) {
	itemsCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r, err := b.claimNext(ctx, d.Job, cancel)
	if err != nil {
		b.scheduler.Settle(d, 0, 0)
		queued()
		b.handleError(ctx, err, "no chunk was claimed")
		return
	}
	defer r.claim.job.removeClaim(r.claim)
	begun := b.cfg.Clock.Now()
	r.run(ctx, itemsCtx, queued)
	items, tokens := r.workDone()
	b.scheduler.Settle(d, items, float64(tokens))
	if items == len(r.items) {
		b.scheduler.ObserveItemTime(d.Job.Lane, b.cfg.Clock.Now().Sub(begun)/time.Duration(items))
	}
	b.afterChunk(ctx, r)
}

// handleError treats an error of the platform. That a job has no chunk is none.
func (b *Batcher) handleError(ctx context.Context, err error, message string) {
	if err != nil && !errors.Is(err, errNoChunk) && ctx.Err() == nil {
		b.handlePlatformError(err, message)
	}
}

// afterChunk folds the job when this was its last chunk.
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
	b.handleError(ctx, b.inspect(ctx, j), "a job was not looked at after its chunk")
}

// claimNext claims a chunk of a job and loads its items. Its errors are
// errNoChunk, after it has parked or dropped the job, and those of the platform.
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
	c, err := b.claim(ctx, j, cancel)
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

// refresh surveys a job in which no chunk looks claimable. A job that is known
// to be in other hands waits for its turn among such jobs.
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

// jitter returns a time between half of d and one and a half, so that instances
// do not come together.
func (b *Batcher) jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// claim takes a chunk that looks claimable.
func (b *Batcher) claim(ctx context.Context, j *job, cancel context.CancelCauseFunc) (c *claim, err error) {
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
	// The listing is stale: it is made again at the next turn.
	j.invalidate()
	return nil, errNoChunk
}

// load checks that the job still runs and reads the items of a claimed chunk.
// The manifest is read after the claim: a chunk can be claimed anew after its
// job was folded, but then the manifest says so.
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
		b.claimLogger(c).WithError(err).Error("the items of a chunk could not be read")
		b.delay(c.job, missingInputDelay)
		return nil, errNoChunk
	}
	return newChunkRun(b, c, m, items, b.loadEarlierResults(ctx, m, c)), nil
}

// loadEarlierResults reads the results that earlier holders left. Without them the
// items run again, which is allowed because batch routes are idempotent.
func (b *Batcher) loadEarlierResults(ctx context.Context, m Manifest, c *claim) (records []ItemRecord) {
	if c.earlier == nil {
		return nil
	}
	records, err := b.readResults(ctx, m, c.chunk, c.earlier)
	if err != nil {
		b.claimLogger(c).WithError(err).Warn("earlier results of a chunk could not be read; its items run again")
		c.earlier = nil
		return nil
	}
	return records
}
