package batcher

import (
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/archiver"
	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxMoveConflicts bounds the attempts to record a repair; after that, the next
// pass of the archiver.Reconciler repairs again.
const maxMoveConflicts = 5

// Inventory implements archiver.Catalog: it lists the objects of a job. A job
// past its retention time is removed.
func (b *Batcher) Inventory(ctx context.Context, group string) (inventory archiver.Inventory, err error) {
	defer func() { err = merry.Prependf(err, "listing the objects of %s", group) }()
	k, submission, ok := parseGroup(group)
	if !ok {
		return archiver.Inventory{}, nil
	}
	m, version, err := b.records.manifest(ctx, k)
	if errors.Is(err, storer.ErrNotFound) {
		return archiver.Inventory{}, nil
	}
	if err != nil {
		return archiver.Inventory{}, err
	}
	if m.Submission != submission {
		return archiver.Inventory{}, nil
	}
	if m.Folded && b.cfg.Clock.Now().Sub(m.EndedAt) > b.cfg.Retention {
		return archiver.Inventory{}, b.expire(ctx, m, version)
	}
	var entries []storedChunk
	if !m.Folded {
		if entries, err = b.records.chunks(ctx, k); err != nil {
			return archiver.Inventory{}, err
		}
	}
	return archiver.Inventory{Known: true, Final: m.Folded, Objects: m.objects(entries)}, nil
}

// expire deletes the records of a job, the manifest last.
func (b *Batcher) expire(ctx context.Context, m Manifest, version int64) (err error) {
	if err = b.deleteChunks(ctx, m); err != nil {
		return err
	}
	if err = b.records.deleteAnyVersion(ctx, cancelKey(m.key())); err != nil {
		return err
	}
	if err = b.records.deleteAnyVersion(ctx, openKey(m.key())); err != nil {
		return err
	}
	return b.records.delete(ctx, jobKey(m.key()), version)
}

// objects lists the objects of a job. A folded job no longer needs its items.
func (m Manifest) objects(entries []storedChunk) (objects []archiver.Placement) {
	for i, chunk := range m.Chunks {
		if !m.Folded {
			objects = append(objects, archiver.Placement{Name: m.inputName(i), Replicas: chunk.Replicas})
		}
		objects = append(objects, m.resultObjects(i, chunk.Results)...)
	}
	for _, e := range entries {
		objects = append(objects, m.resultObjects(e.Chunk, e.Record.Results)...)
	}
	return objects
}

func (m Manifest) resultObjects(chunk int, results *Results) (objects []archiver.Placement) {
	if results == nil {
		return nil
	}
	for i, replicas := range results.Parts {
		objects = append(objects, archiver.Placement{Name: m.resultName(chunk, results.Claim, i), Replicas: replicas})
	}
	return objects
}

// Move implements archiver.Catalog: it records new replicas by compare-and-swap.
func (b *Batcher) Move(ctx context.Context, group string, moves []archiver.Placement) (err error) {
	defer func() { err = merry.Prependf(err, "moving objects of %s", group) }()
	k, submission, ok := parseGroup(group)
	if !ok {
		return merry.New("malformed group name")
	}
	moved := make(map[string][]string, len(moves))
	for _, move := range moves {
		moved[move.Name] = move.Replicas
	}
	for range maxMoveConflicts {
		err = b.moveOnce(ctx, k, submission, moved)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return err
}

func (b *Batcher) moveOnce(
	ctx context.Context, k scheduler.Key, submission string, moved map[string][]string,
) (err error) {
	m, version, err := b.records.manifest(ctx, k)
	if errors.Is(err, storer.ErrNotFound) || err == nil && m.Submission != submission {
		return nil
	}
	if err != nil {
		return err
	}
	if !m.Folded {
		if err = b.moveRecords(ctx, m, moved); err != nil {
			return err
		}
	}
	if !m.move(moved) {
		return nil
	}
	return b.records.updateManifest(ctx, m, version)
}

// moveRecords updates the replicas in the records of unclaimed chunks. The record
// of a claimed chunk is not written, since that would change the version that the
// holder expects; its results are repaired after the claim has ended.
func (b *Batcher) moveRecords(ctx context.Context, m Manifest, moved map[string][]string) (err error) {
	entries, err := b.records.chunks(ctx, m.key())
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Record.State == ChunkClaimed || e.Record.Results == nil {
			continue
		}
		results, changed := m.moveResults(e.Chunk, e.Record.Results, moved)
		if !changed {
			continue
		}
		e.Record.Results = results
		if _, err = b.records.writeChunk(ctx, m.key(), e.Chunk, e.Record, e.Version); err != nil {
			return err
		}
	}
	return nil
}

// move updates the replicas of objects in the manifest.
func (m *Manifest) move(moved map[string][]string) (changed bool) {
	m.Chunks = slices.Clone(m.Chunks)
	for i := range m.Chunks {
		chunk := &m.Chunks[i]
		if replicas, ok := moved[m.inputName(i)]; ok && !slices.Equal(replicas, chunk.Replicas) {
			chunk.Replicas = replicas
			changed = true
		}
		if chunk.Results == nil {
			continue
		}
		results, resultsChanged := m.moveResults(i, chunk.Results, moved)
		chunk.Results = results
		changed = changed || resultsChanged
	}
	return changed
}

func (m Manifest) moveResults(
	chunk int, results *Results, moved map[string][]string,
) (after *Results, changed bool) {
	copied := *results
	copied.Parts = slices.Clone(results.Parts)
	for i := range copied.Parts {
		replicas, ok := moved[m.resultName(chunk, results.Claim, i)]
		if ok && !slices.Equal(replicas, copied.Parts[i]) {
			copied.Parts[i] = replicas
			changed = true
		}
	}
	return &copied, changed
}
