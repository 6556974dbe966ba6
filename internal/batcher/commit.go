package batcher

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// commit stores the results of a chunk and moves its record to done. It waits
// for disks and platform until some time after ctx has ended; then the claim
// lapses.
func (b *Batcher) commit(ctx context.Context, r *chunkRun) {
	ctx, cancel := b.outlive(ctx)
	defer cancel()
	results, err := b.storeResultsPatiently(ctx, r)
	if err == nil {
		err = b.settleClaim(ctx, r.claim, ChunkRecord{State: ChunkDone, Results: results})
	}
	switch {
	case err == nil:
		b.logger(r.claim).Debug("a chunk is done")
	case errors.Is(err, errClaimLost):
		b.logger(r.claim).Info("a claim was taken over; its results are dropped")
		r.claim.job.spoil()
	default:
		b.logger(r.claim).WithError(err).Warn("a chunk was not committed")
	}
}

// outlive returns a context that ends some time after ctx.
func (b *Batcher) outlive(ctx context.Context) (longer context.Context, cancel context.CancelFunc) {
	longer, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		wait(longer, b.cfg.Clock, b.cfg.HandBackTime)
		end()
	})
	return longer, func() {
		stop()
		end()
	}
}

// settleClaim replaces the record of a claim. When the lease has lapsed by the
// monotonic clock since the claim was made, the record is read first: after a
// pause nothing is written unless the epoch still holds. The write itself
// expects the epoch as well.
func (b *Batcher) settleClaim(ctx context.Context, c *claim, record ChunkRecord) (err error) {
	if !b.holder.covers(c.term) {
		if err = b.verify(ctx, c); err != nil {
			return err
		}
	}
	record.Holder, record.Claim = b.holder.id, c.id
	err = b.ledger.writeChunkPatiently(ctx, c.job.key, c.chunk, record, c.epoch)
	if errors.Is(err, storer.ErrConflict) {
		return errClaimLost
	}
	return err
}

// verify returns errClaimLost when the epoch of a claim does not hold any more.
// It waits for a platform that fails until ctx ends.
func (b *Batcher) verify(ctx context.Context, c *claim) (err error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		entry, err := b.ledger.chunk(ctx, c.job.key, c.chunk)
		switch {
		case err == nil && entry.Version == c.epoch:
			return nil
		case err == nil, errors.Is(err, storer.ErrNotFound):
			return errClaimLost
		}
		if !wait(ctx, b.cfg.Clock, pause) {
			return merry.Prepend(err, "verifying a claim")
		}
	}
}

// recheckClaims ends the chunks in hand that were taken over while the lease had
// lapsed.
func (b *Batcher) recheckClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), b.cfg.HandBackTime)
	defer cancel()
	for _, c := range b.board.running() {
		if !b.holder.covers(c.term) && errors.Is(b.verify(ctx, c), errClaimLost) {
			c.cancel(errClaimLost)
		}
	}
	b.wakeUp()
}

// handBack releases a claim whose run ended early, with the results that it
// has. The context may have ended, so it has its own time.
func (b *Batcher) handBack(ctx context.Context, r *chunkRun) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.cfg.HandBackTime)
	defer cancel()
	if len(r.records) == r.earlier {
		b.undo(ctx, r.claim)
		return
	}
	results, err := b.storeResults(ctx, r)
	if err != nil {
		b.logger(r.claim).WithError(err).Warn("results of an unfinished chunk were not stored; its items run again")
		b.undo(ctx, r.claim)
		return
	}
	err = b.settleClaim(ctx, r.claim, ChunkRecord{State: ChunkReleased, Results: results})
	if err != nil {
		b.logger(r.claim).WithError(err).Info("a claim was not handed back")
	}
	r.claim.job.spoil()
}

// undo gives up a claim without new results.
func (b *Batcher) undo(ctx context.Context, c *claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.cfg.HandBackTime)
	defer cancel()
	var err error
	if c.before == nil {
		err = b.ledger.delete(ctx, chunkKey(c.job.key, c.chunk), c.epoch)
	} else {
		err = b.settleClaim(ctx, c, ChunkRecord{State: ChunkReleased, Results: c.before})
	}
	if err != nil {
		b.logger(c).WithError(err).Info("a claim was not handed back")
	}
	c.job.letGo(c)
	c.job.spoil()
}

// storeResultsPatiently is storeResults until ctx ends.
func (b *Batcher) storeResultsPatiently(ctx context.Context, r *chunkRun) (results *Results, err error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		results, err = b.storeResults(ctx, r)
		if err == nil {
			return results, nil
		}
		b.logger(r.claim).WithError(err).Warn("the results of a chunk were not stored yet")
		if !wait(ctx, b.cfg.Clock, pause) {
			return nil, err
		}
	}
}

// storeResults puts the results of the ended items on disks.
func (b *Batcher) storeResults(ctx context.Context, r *chunkRun) (results *Results, err error) {
	defer func() { err = merry.Prepend(err, "storing results") }()
	records := r.ended()
	parts, err := encodeResults(records)
	if err != nil {
		return nil, err
	}
	results = &Results{Claim: r.claim.id}
	for _, record := range records {
		results.Counts.add(record.counts())
	}
	for i, part := range parts {
		replicas, err := b.cfg.Archive.Put(ctx, r.manifest.resultName(r.claim.chunk, r.claim.id, i), part)
		if err != nil {
			return nil, err
		}
		results.Parts = append(results.Parts, replicas)
	}
	return results, nil
}

// readResults fetches the results of a chunk in the order of its items.
func (b *Batcher) readResults(
	ctx context.Context, m Manifest, chunk int, results *Results,
) (records []ItemRecord, err error) {
	for i, replicas := range results.Parts {
		data, err := b.cfg.Archive.Get(ctx, m.resultName(chunk, results.Claim, i), replicas)
		if err != nil {
			return nil, err
		}
		part, err := decodeResults(data)
		if err != nil {
			return nil, err
		}
		records = append(records, part...)
	}
	return records, nil
}
