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

// survey reads the manifest and the chunk records of a job, folds it when it
// has ended, and otherwise notes which chunks can be claimed. It returns
// errNoChunk, after it has parked or dropped the job, when there are none.
func (b *Batcher) inspect(ctx context.Context, j *job) (err error) {
	m, version, err := b.records.manifest(ctx, j.key)
	if errors.Is(err, storer.ErrNotFound) {
		return b.inspectOrphan(ctx, j)
	}
	if err != nil {
		return err
	}
	if m.Folded {
		// Whoever has folded it is cleaning up, or died over it.
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

// inspectOrphan looks at an index entry without a manifest: its submission is
// under way or has failed. The entry that was listed may have been written over
// since, so it is read again and deleted at the version that was read.
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

// inspectChunks notes which chunks can be claimed.
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
			if claimable, err = b.lapsed(ctx, j, e); err != nil {
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

// lapsed says whether a claim has no holder any more: the lease of its holder
// has lapsed, or it is a claim of this process whose answer was lost.
func (b *Batcher) lapsed(ctx context.Context, j *job, e storedChunk) (lapsed bool, err error) {
	if e.Record.Holder == b.holder.id {
		return !j.hasClaim(e.Chunk), nil
	}
	return b.holderMonitor.lapsed(ctx, e.Record.Holder)
}
