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

func (b *Batcher) logger(c *claim) logrus.FieldLogger {
	return b.cfg.Logger.WithFields(logrus.Fields{
		"workspace": c.job.key.Workspace, "job": c.job.key.Job, "chunk": c.chunk, "epoch": c.epoch,
	})
}

// survey reads the manifest and the chunk records of a job, folds it when it
// has ended, and otherwise notes which chunks can be claimed. It returns
// errNoChunk, after it has parked or dropped the job, when there are none.
func (b *Batcher) survey(ctx context.Context, j *job) (err error) {
	m, version, err := b.ledger.manifest(ctx, j.key)
	if errors.Is(err, storer.ErrNotFound) {
		return b.surveyOrphan(ctx, j)
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
	entries, err := b.ledger.chunks(ctx, j.key)
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
	return b.surveyChunks(ctx, j, m, entries)
}

// surveyOrphan looks at an index entry without a manifest: its submission is
// under way or has failed. The entry that was listed may have been written over
// since, so it is read again and deleted at the version that was read.
func (b *Batcher) surveyOrphan(ctx context.Context, j *job) (err error) {
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
		b.park(j, earlyPause)
		return errNoChunk
	}
	err = b.ledger.delete(ctx, j.indexKey, entry.Version)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return err
	}
	b.forget(j)
	return errNoChunk
}

// surveyChunks notes which chunks can be claimed.
func (b *Batcher) surveyChunks(ctx context.Context, j *job, m Manifest, entries []chunkEntry) (err error) {
	views := make([]chunkView, len(m.Chunks))
	for i := range views {
		views[i].claimable = m.State == Running
	}
	remaining, pause := m.Items, b.jitter(b.cfg.RecheckPeriod)
	for _, e := range entries {
		if e.Chunk >= len(views) {
			continue
		}
		claimable := e.Record.State == ChunkReleased
		if e.Record.State == ChunkClaimed {
			if claimable, err = b.lapsed(ctx, j, e); err != nil {
				return err
			}
			if b.census.suspects(e.Record.Holder) {
				pause = min(pause, b.cfg.TakeoverGrace)
			}
		}
		if e.Record.State == ChunkDone {
			remaining -= m.Chunks[e.Chunk].Items
		}
		views[e.Chunk] = chunkView{claimable: claimable && m.State == Running, version: e.Version, record: e.Record}
	}
	free := j.install(m, views, b.cfg.Clock.Now())
	b.scheduler.SetRemaining(j.open.Lane, j.key, remaining)
	if free == 0 {
		b.park(j, pause)
		return errNoChunk
	}
	return nil
}

// lapsed says whether a claim has no holder any more: the lease of its holder
// has lapsed, or it is a claim of this process whose answer was lost.
func (b *Batcher) lapsed(ctx context.Context, j *job, e chunkEntry) (lapsed bool, err error) {
	if e.Record.Holder == b.holder.id {
		return !j.holds(e.Chunk), nil
	}
	return b.census.lapsed(ctx, e.Record.Holder)
}
