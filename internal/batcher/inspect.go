package batcher

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// newID returns a random identifier of 80 bits.
func newID() string {
	return rand.Text()[:16]
}

func (b *Batcher) claimLogger(c *claim) logrus.FieldLogger {
	return b.cfg.Logger.WithFields(logrus.Fields{
		"workspace": c.job.key.Workspace, "job": c.job.key.Job, "chunk": c.chunk, "epoch": c.epoch,
	})
}

// inspect reads the manifest and the chunk records of a job, folds it if it has
// ended, and otherwise determines which chunks can be claimed. If there are none,
// it delays or forgets the job and returns errNoChunk.
func (b *Batcher) inspect(ctx context.Context, j *job) (err error) {
	m, version, err := b.records.manifest(ctx, j.key)
	if errors.Is(err, storer.ErrNotFound) {
		return b.inspectOrphan(ctx, j)
	}
	if err != nil {
		return err
	}
	if m.Folded {
		// The instance that folded it is cleaning up, or failed while doing so.
		if b.cfg.Clock.Now().Sub(m.EndedAt) > b.cfg.RecheckPeriod {
			b.cleanUp(ctx, m)
		}
		b.forget(j)
		return errNoChunk
	}
	entries, err := b.records.chunks(ctx, j.key)
	if err != nil {
		return err
	}
	folded, err := b.fold(ctx, j, m, version, entries)
	if err != nil {
		return err
	}
	if folded {
		b.forget(j)
		return errNoChunk
	}
	return b.inspectChunks(ctx, j, m, entries)
}

// inspectOrphan checks an index entry without a manifest: its submission is in
// progress or has failed. The entry may have been overwritten since it was listed,
// so it is read again and deleted only at the version that was read.
func (b *Batcher) inspectOrphan(ctx context.Context, j *job) (err error) {
	entry, err := b.cfg.Store.Get(ctx, j.indexKey)
	if errors.Is(err, storer.ErrNotFound) {
		b.forget(j)
		return errNoChunk
	}
	var open OpenJob
	if err == nil {
		err = decode(entry.Key, entry.Value, &open)
	}
	if err != nil {
		return err
	}
	if b.cfg.Clock.Now().Sub(open.AcceptedAt) < orphanAge {
		b.delay(j, manifestDelay)
		return errNoChunk
	}
	err = b.records.delete(ctx, j.indexKey, entry.Version)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return err
	}
	b.forget(j)
	return errNoChunk
}

// inspectChunks determines which chunks can be claimed.
func (b *Batcher) inspectChunks(ctx context.Context, j *job, m Manifest, entries []storedChunk) (err error) {
	views := make([]chunkView, len(m.Chunks))
	for i := range views {
		views[i].claimable = m.State == Running
	}
	remaining, delay := m.Items, b.jitter(b.cfg.RecheckPeriod)
	for _, e := range entries {
		if e.Chunk >= len(views) {
			continue
		}
		claimable := e.Record.State == ChunkReleased
		if e.Record.State == ChunkClaimed {
			if claimable, err = b.claimExpired(ctx, j, e); err != nil {
				return err
			}
			if b.holderMonitor.isMissing(e.Record.Holder) {
				delay = min(delay, b.cfg.TakeoverGrace)
			}
		}
		if e.Record.State == ChunkDone {
			remaining -= m.Chunks[e.Chunk].Items
		}
		views[e.Chunk] = chunkView{claimable: claimable && m.State == Running, version: e.Version, record: e.Record}
	}
	claimable := j.setChunks(m, views, b.cfg.Clock.Now())
	b.scheduler.SetRemaining(j.open.Lane, j.key, remaining)
	if claimable == 0 {
		b.delay(j, delay)
		return errNoChunk
	}
	return nil
}

// claimExpired reports whether a claim has no live holder: the lease of its holder
// has expired, or this process made the claim but lost the response.
func (b *Batcher) claimExpired(ctx context.Context, j *job, e storedChunk) (expired bool, err error) {
	if e.Record.Holder == b.holder.id {
		return !j.hasClaim(e.Chunk), nil
	}
	return b.holderMonitor.leaseExpired(ctx, e.Record.Holder)
}
