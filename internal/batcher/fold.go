package batcher

import (
	"context"
	"errors"

	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// deleteConcurrency is the number of chunk records deleted concurrently.
const deleteConcurrency = 4

// fold moves the chunk records of an ended job into its manifest: those of a
// running job once all chunks are done, those of a cancelled one once no claim
// has a live holder.
func (b *Batcher) fold(
	ctx context.Context, j *job, m Manifest, version int64, entries []storedChunk,
) (folded bool, err error) {
	done := 0
	for _, e := range entries {
		if e.Record.State == ChunkDone {
			done++
		}
	}
	switch {
	case m.State == Cancelled:
		ended, err := b.fenceHolders(ctx, j, entries)
		if err != nil || !ended {
			return false, err
		}
	case done < len(m.Chunks):
		return false, nil
	default:
		m.State = Completed
		m.EndedAt = b.cfg.Clock.Now().UTC()
	}
	m.Folded = true
	m.mergeResults(entries)
	err = b.records.updateManifest(ctx, m, version)
	if errors.Is(err, storer.ErrConflict) { // Cancelled, repaired or folded concurrently.
		return false, nil
	}
	if err != nil {
		return false, err
	}
	b.cleanUp(ctx, m)
	return true, nil
}

// fenceHolders prevents further commits to a cancelled job by releasing the
// claims of dead holders. It returns false if a claim still has a live holder.
func (b *Batcher) fenceHolders(ctx context.Context, j *job, entries []storedChunk) (ended bool, err error) {
	for _, e := range entries {
		if e.Record.State != ChunkClaimed {
			continue
		}
		expired, err := b.claimExpired(ctx, j, e)
		if err != nil || !expired {
			return false, err
		}
		record := e.Record
		record.State = ChunkReleased
		_, err = b.records.writeChunk(ctx, j.key, e.Chunk, record, e.Version)
		if errors.Is(err, storer.ErrConflict) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
	return true, nil
}

// mergeResults copies the results of the chunk records into the manifest and
// sums their counts.
func (m *Manifest) mergeResults(entries []storedChunk) {
	chunks := append([]Chunk(nil), m.Chunks...)
	m.Counts = Counts{}
	for _, e := range entries {
		if e.Chunk >= len(chunks) || e.Record.Results == nil {
			continue
		}
		chunks[e.Chunk].Results = e.Record.Results
		m.Counts.add(e.Record.Results.Counts)
	}
	m.Chunks = chunks
	if m.State == Cancelled {
		m.Counts.Cancelled = m.Items - m.Counts.Done - m.Counts.Failed
	}
}

// cleanUp deletes the records that a folded job no longer needs. The index entry
// goes last: after an error, any instance that finds the job in the index cleans
// up the rest.
func (b *Batcher) cleanUp(ctx context.Context, m Manifest) {
	err := b.deleteChunks(ctx, m)
	if err == nil {
		err = b.records.deleteAnyVersion(ctx, cancelKey(m.key()))
	}
	if err == nil {
		err = b.records.deleteAnyVersion(ctx, openKey(m.key()))
	}
	if err != nil && ctx.Err() == nil {
		b.cfg.Logger.WithError(err).WithField("job", m.Job).Warn("deleting the records of an ended job failed")
	}
}

func (b *Batcher) deleteChunks(ctx context.Context, m Manifest) (err error) {
	entries, err := b.records.chunks(ctx, m.key())
	if err != nil {
		return err
	}
	deleting := pool.New().WithErrors().WithContext(ctx).WithMaxGoroutines(deleteConcurrency)
	for _, e := range entries {
		deleting.Go(func(ctx context.Context) error {
			return b.records.delete(ctx, chunkKey(m.key(), e.Chunk), e.Version)
		})
	}
	return deleting.Wait()
}
