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
	// outagePause spaces the claims while the platform fails.
	outagePause = time.Second
	// relistRatio bounds the looks at jobs whose chunks are all in other hands:
	// the pause is this part of the recheck period, so that 350 entries make at
	// most 175 listings a second.
	relistRatio = 15
	// stalledRatio is the time, in recheck periods, that a job is left to other
	// instances after one of its chunks found no room here. It is longer than
	// any of them takes to look again.
	stalledRatio = 2
	// earlyPause is the wait for a manifest that is not there yet: the index
	// entry is written first.
	earlyPause = time.Second
	// orphanAge is the age at which an index entry without a manifest belongs
	// to a submission that has failed.
	orphanAge = time.Hour
	// lostInputPause spaces the tries to read items that no replica answers
	// for.
	lostInputPause = 10 * time.Second
	// maxConflicts is the number of chunks tried before the records are listed
	// again.
	maxConflicts = 4
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
func (b *Batcher) work(ctx context.Context) {
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
	if hold, closed := b.outage.closed(); closed && (!ok || next.Before(hold)) {
		return hold, true
	}
	return next, ok
}

// startChunk starts the next chunk of a lane that has room.
func (b *Batcher) startChunk(ctx context.Context, wg *conc.WaitGroup) (started bool) {
	_, live := b.holder.current()
	_, outage := b.outage.closed()
	if ctx.Err() != nil || !live || outage || b.inHand.Load() >= int64(b.cfg.MaxChunks) {
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
		prepared := l.prepare()
		b.inHand.Add(1)
		wg.Go(func() {
			defer b.wakeUp()
			defer b.inHand.Add(-1)
			if caught := panics.Try(func() { b.serve(ctx, d, prepared) }); caught != nil {
				b.cfg.Logger.WithError(caught.AsError()).Error("a chunk ended by a panic; its claim is made again")
			}
		})
		return true
	}
	return false
}

// serve claims and runs a chunk of the job that was chosen.
func (b *Batcher) serve(ctx context.Context, d scheduler.Decision, prepared func()) {
	itemsCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r, err := b.claimNext(ctx, d.Job, cancel)
	if err != nil {
		b.scheduler.Settle(d, 0, 0)
		prepared()
		b.noteFailure(ctx, err, "no chunk was claimed")
		return
	}
	defer r.claim.job.letGo(r.claim)
	begun := b.cfg.Clock.Now()
	r.run(ctx, itemsCtx, prepared)
	items, tokens := r.workDone()
	b.scheduler.Settle(d, items, float64(tokens))
	if items == len(r.items) {
		b.scheduler.ObserveItemTime(d.Job.Lane, b.cfg.Clock.Now().Sub(begun)/time.Duration(items))
	}
	b.afterChunk(ctx, r)
}

// noteFailure treats an error of the platform. That a job has no chunk is none.
func (b *Batcher) noteFailure(ctx context.Context, err error, message string) {
	if err != nil && !errors.Is(err, errNoChunk) && ctx.Err() == nil {
		b.platformFailed(err, message)
	}
}

// afterChunk folds the job when this was its last chunk.
func (b *Batcher) afterChunk(ctx context.Context, r *chunkRun) {
	j := r.claim.job
	j.letGo(r.claim)
	if errors.Is(r.cause, errStalled) {
		b.park(j, stalledRatio*b.cfg.RecheckPeriod)
		return
	}
	if _, free := j.listed(); free > 0 || ctx.Err() != nil {
		return
	}
	b.noteFailure(ctx, b.survey(ctx, j), "a job was not looked at after its chunk")
}

// claimNext claims a chunk of a job and loads its items. Its errors are
// errNoChunk, after it has parked or dropped the job, and those of the platform.
func (b *Batcher) claimNext(
	ctx context.Context, chosen scheduler.Job, cancel context.CancelCauseFunc,
) (r *chunkRun, err error) {
	j, ok := b.board.get(chosen.Key)
	if !ok {
		b.scheduler.Remove(chosen.Lane, chosen.Key)
		return nil, errNoChunk
	}
	if err = b.refresh(ctx, j); err != nil {
		return nil, err
	}
	c, err := b.claim(ctx, j, cancel)
	if err != nil {
		return nil, err
	}
	r, err = b.load(ctx, c)
	if err != nil {
		b.undo(ctx, c)
		return nil, err
	}
	return r, nil
}

// refresh surveys a job in which no chunk looks claimable. A job that is known
// to be in other hands waits for its turn among such jobs.
func (b *Batcher) refresh(ctx context.Context, j *job) (err error) {
	listedAt, free := j.listed()
	if free > 0 {
		return nil
	}
	if !listedAt.IsZero() && !b.relists.ready(b.cfg.RecheckPeriod/relistRatio) {
		b.park(j, b.jitter(b.cfg.RecheckPeriod))
		return errNoChunk
	}
	return b.survey(ctx, j)
}

func (b *Batcher) park(j *job, d time.Duration) {
	b.scheduler.Delay(j.open.Lane, j.key, b.cfg.Clock.Now().Add(d))
}

// jitter returns a time between half of d and one and a half, so that instances
// do not come together.
func (b *Batcher) jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// claim takes a chunk that looks claimable.
func (b *Batcher) claim(ctx context.Context, j *job, cancel context.CancelCauseFunc) (c *claim, err error) {
	for range maxConflicts {
		c = &claim{id: newID(), cancel: cancel}
		view, ok := j.pick(c)
		if !ok {
			return nil, errNoChunk
		}
		c.before = view.record.Results
		c.term, _ = b.holder.current()
		record := ChunkRecord{State: ChunkClaimed, Holder: b.holder.id, Claim: c.id, Results: c.before}
		epoch, err := b.ledger.writeChunk(ctx, j.key, c.chunk, record, view.version)
		if err == nil {
			j.confirm(c, epoch)
			return c, nil
		}
		j.letGo(c)
		j.jump()
		if !errors.Is(err, storer.ErrConflict) {
			j.spoil()
			return nil, err
		}
	}
	// The listing is stale: it is made again at the next turn.
	j.spoil()
	return nil, errNoChunk
}

// load checks that the job still runs and reads the items of a claimed chunk.
// The manifest is read after the claim: a chunk can be claimed anew after its
// job was folded, but then the manifest says so.
func (b *Batcher) load(ctx context.Context, c *claim) (r *chunkRun, err error) {
	m, _, err := b.ledger.manifest(ctx, c.job.key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, err
	}
	if err != nil || m.State != Running || m.Submission != c.job.submission() {
		c.job.spoil()
		b.park(c.job, earlyPause)
		return nil, errNoChunk
	}
	data, err := b.cfg.Archive.Get(ctx, m.inputName(c.chunk), m.Chunks[c.chunk].Replicas)
	var items []Item
	if err == nil {
		items, err = decodeItems(data, m)
	}
	if err != nil {
		b.logger(c).WithError(err).Error("the items of a chunk could not be read")
		b.park(c.job, lostInputPause)
		return nil, errNoChunk
	}
	return newChunkRun(b, c, m, items, b.loadBefore(ctx, m, c)), nil
}

// loadBefore reads the results that earlier holders left. Without them the
// items run again, which is allowed because batch routes are idempotent.
func (b *Batcher) loadBefore(ctx context.Context, m Manifest, c *claim) (records []ItemRecord) {
	if c.before == nil {
		return nil
	}
	records, err := b.readResults(ctx, m, c.chunk, c.before)
	if err != nil {
		b.logger(c).WithError(err).Warn("earlier results of a chunk could not be read; its items run again")
		c.before = nil
		return nil
	}
	return records
}
