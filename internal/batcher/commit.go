package batcher

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// commit stores the results of a chunk and marks its record as done. It retries
// until ReleaseTimeout after ctx has ended, and then lets the claim expire.
func (b *Batcher) commit(ctx context.Context, r *chunkRun) {
	ctx, cancel := b.extendContext(ctx)
	defer cancel()
	results, err := b.storeResultsWithRetry(ctx, r)
	if err == nil {
		err = b.updateClaim(ctx, r.claim, ChunkRecord{State: ChunkDone, Results: results})
	}
	switch {
	case err == nil:
		b.claimLogger(r.claim).Debug("chunk committed")
	case errors.Is(err, errClaimLost):
		b.claimLogger(r.claim).Info("a claim was taken over by another instance; discarding its results")
		r.claim.job.invalidate()
	default:
		b.claimLogger(r.claim).WithError(err).Warn("chunk was not committed")
	}
}

// extendContext returns a context that ends ReleaseTimeout after ctx.
func (b *Batcher) extendContext(ctx context.Context) (extended context.Context, cancel context.CancelFunc) {
	extended, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		wait(extended, b.cfg.Clock, b.cfg.ReleaseTimeout)
		end()
	})
	return extended, func() {
		stop()
		end()
	}
}

// updateClaim replaces the record of a claim. If the lease has expired by the
// monotonic clock since the claim was made, the record is read first: after a
// process pause nothing is written unless the epoch is still current. The write
// itself is conditional on the epoch as well.
func (b *Batcher) updateClaim(ctx context.Context, c *claim, record ChunkRecord) (err error) {
	if !b.holder.heldSince(c.term) {
		if err = b.verifyClaim(ctx, c); err != nil {
			return err
		}
	}
	record.Holder, record.Claim = b.holder.id, c.id
	err = b.records.writeChunkWithRetry(ctx, c.job.key, c.chunk, record, c.epoch)
	if errors.Is(err, storer.ErrConflict) {
		return errClaimLost
	}
	return err
}

// verifyClaim returns errClaimLost if the epoch of a claim is no longer current.
// It retries platform errors until ctx ends.
func (b *Batcher) verifyClaim(ctx context.Context, c *claim) (err error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		entry, err := b.records.chunk(ctx, c.job.key, c.chunk)
		switch {
		case err == nil && entry.Version == c.epoch:
			return nil
		case err == nil, errors.Is(err, storer.ErrNotFound):
			return errClaimLost
		}
		if !wait(ctx, b.cfg.Clock, pause) {
			return merry.Prepend(err, "verifying claim")
		}
	}
}

// recheckClaims cancels the active chunks that were taken over while the lease
// had expired.
func (b *Batcher) recheckClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), b.cfg.ReleaseTimeout)
	defer cancel()
	for _, c := range b.jobs.activeClaims() {
		if !b.holder.heldSince(c.term) && errors.Is(b.verifyClaim(ctx, c), errClaimLost) {
			c.cancel(errClaimLost)
		}
	}
	b.wakeUp()
}

// releaseClaim releases a claim whose run ended early and stores its partial
// results. It uses its own timeout because ctx may have ended.
func (b *Batcher) releaseClaim(ctx context.Context, r *chunkRun) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.cfg.ReleaseTimeout)
	defer cancel()
	if len(r.records) == r.earlierItems {
		b.abandonClaim(ctx, r.claim)
		return
	}
	results, err := b.storeResults(ctx, r)
	if err != nil {
		b.claimLogger(r.claim).WithError(err).Warn("partial results of a chunk were not stored; its items will run again")
		b.abandonClaim(ctx, r.claim)
		return
	}
	err = b.updateClaim(ctx, r.claim, ChunkRecord{State: ChunkReleased, Results: results})
	if err != nil {
		b.claimLogger(r.claim).WithError(err).Info("claim was not released")
	}
	r.claim.job.invalidate()
}

// abandonClaim releases a claim without new results.
func (b *Batcher) abandonClaim(ctx context.Context, c *claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.cfg.ReleaseTimeout)
	defer cancel()
	var err error
	if c.earlier == nil {
		err = b.records.delete(ctx, chunkKey(c.job.key, c.chunk), c.epoch)
	} else {
		err = b.updateClaim(ctx, c, ChunkRecord{State: ChunkReleased, Results: c.earlier})
	}
	if err != nil {
		b.claimLogger(c).WithError(err).Info("claim was not released")
	}
	c.job.removeClaim(c)
	c.job.invalidate()
}

// storeResultsWithRetry retries storeResults until ctx ends.
func (b *Batcher) storeResultsWithRetry(ctx context.Context, r *chunkRun) (results *Results, err error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		results, err = b.storeResults(ctx, r)
		if err == nil {
			return results, nil
		}
		b.claimLogger(r.claim).WithError(err).Warn("storing the results of a chunk failed; retrying")
		if !wait(ctx, b.cfg.Clock, pause) {
			return nil, err
		}
	}
}

// storeResults writes the results of the ended items to the archive.
func (b *Batcher) storeResults(ctx context.Context, r *chunkRun) (results *Results, err error) {
	defer func() { err = merry.Prepend(err, "storing results") }()
	records := r.endedRecords()
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
