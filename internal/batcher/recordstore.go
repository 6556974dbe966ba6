package batcher

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// minBackoff and maxBackoff are the pauses between calls to a platform that
	// fails; they double.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	maxReplaceConflicts = 5
)

// A ledger reads and writes the records of batch jobs. A write whose answer is
// lost is resolved by reading back, so a write either took effect, or did not,
// or is reported as storer.ErrUnknownEffect.
type recordStore struct {
	store          Store
	clock          Clock
	resolveTimeout time.Duration
}

// A storedChunk is a chunk's record with its version.
type storedChunk struct {
	Chunk   int
	Version int64
	Record  ChunkRecord
}

// manifest reads the manifest of a job; storer.ErrNotFound when there is none.
func (s *recordStore) manifest(ctx context.Context, k scheduler.Key) (m Manifest, version int64, err error) {
	entry, err := s.store.Get(ctx, jobKey(k))
	if err != nil {
		return Manifest{}, 0, err
	}
	return m, entry.Version, m.unpack(entry.Key, entry.Value)
}

// createManifest writes the manifest of a new job. On a conflict it returns the
// manifest that is there.
func (l *recordStore) createManifest(ctx context.Context, m Manifest) (existing Manifest, err error) {
	_, err = l.put(ctx, storer.PutRequest{Key: jobKey(m.key()), Value: m.pack()}, func(value []byte) bool {
		var read Manifest
		return read.unpack("", value) == nil && read.Submission == m.Submission
	})
	if !errors.Is(err, storer.ErrConflict) {
		return m, err
	}
	if existing, _, err = l.manifest(ctx, m.key()); err != nil {
		// The other manifest may be of the same items, so nothing can be said.
		return Manifest{}, merry.Prependf(storer.ErrUnknownEffect, "reading %s: %v", jobKey(m.key()), err)
	}
	return existing, nil
}

// updateManifest writes a manifest over the version that was read. Two writers
// of the same change write the same bytes, so either may take the other's
// write for its own.
func (l *recordStore) updateManifest(ctx context.Context, m Manifest, version int64) (err error) {
	value := m.pack()
	_, err = l.put(ctx, storer.PutRequest{Key: jobKey(m.key()), Value: value, ExpectedVersion: version}, equals(value))
	return err
}

// chunk reads the record of a chunk.
func (l *recordStore) chunk(ctx context.Context, k scheduler.Key, chunk int) (e storedChunk, err error) {
	entry, err := l.store.Get(ctx, chunkKey(k, chunk))
	if err != nil {
		return storedChunk{}, err
	}
	e = storedChunk{Chunk: chunk, Version: entry.Version}
	return e, decode(entry.Key, entry.Value, &e.Record)
}

// chunks lists the records of the chunks that have been claimed once.
func (l *recordStore) chunks(ctx context.Context, k scheduler.Key) (entries []storedChunk, err error) {
	listed, err := l.store.List(ctx, chunksPrefix(k))
	if err != nil {
		return nil, err
	}
	for _, entry := range listed {
		chunk, ok := parseChunkKey(entry.Key)
		if !ok {
			continue
		}
		e := storedChunk{Chunk: chunk, Version: entry.Version}
		if err = decode(entry.Key, entry.Value, &e.Record); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// writeChunk writes the record of a chunk over an expected version.
func (l *recordStore) writeChunk(
	ctx context.Context, k scheduler.Key, chunk int, record ChunkRecord, expected int64,
) (version int64, err error) {
	r := storer.PutRequest{Key: chunkKey(k, chunk), Value: encode(record), ExpectedVersion: expected}
	entry, err := l.put(ctx, r, sameClaimAndState(record))
	return entry.Version, err
}

// writeChunkWithRetry is writeChunk for a holder that has results: it waits for
// a platform that fails until ctx ends.
func (l *recordStore) writeChunkWithRetry(
	ctx context.Context, k scheduler.Key, chunk int, record ChunkRecord, expected int64,
) (err error) {
	r := storer.PutRequest{Key: chunkKey(k, chunk), Value: encode(record), ExpectedVersion: expected}
	_, err = l.put(ctx, r, sameClaimAndState(record))
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUnknownEffect) {
		_, err = l.resolve(ctx, r, sameClaimAndState(record))
	}
	return err
}

// delete removes a key at a version. A key that is gone is no error.
func (l *recordStore) delete(ctx context.Context, key string, version int64) (err error) {
	err = l.store.Delete(ctx, key, version)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	return err
}

// drop removes a key at whatever version it has.
func (l *recordStore) deleteAnyVersion(ctx context.Context, key string) (err error) {
	entry, err := l.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.delete(ctx, key, entry.Version)
}

// replace writes a key over whatever it holds.
func (l *recordStore) overwrite(ctx context.Context, key string, value []byte) (err error) {
	for range maxReplaceConflicts {
		entry, err := l.store.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		r := storer.PutRequest{Key: key, Value: value, ExpectedVersion: entry.Version}
		if _, err = l.put(ctx, r, equals(value)); !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return storer.ErrConflict
}

// ensure creates a key unless it is there.
func (l *recordStore) createIfAbsent(ctx context.Context, key string, value []byte) (err error) {
	_, err = l.put(ctx, storer.PutRequest{Key: key, Value: value}, equals(value))
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// put writes once; when the answer is lost it finds out what happened. The
// function mine recognises the value of this write, even after another writer
// has changed parts of it.
func (l *recordStore) put(
	ctx context.Context, r storer.PutRequest, matches func(value []byte) bool,
) (entry storer.Entry, err error) {
	entry, err = l.store.Put(ctx, r)
	switch {
	case err == nil:
		return entry, nil
	case errors.Is(err, storer.ErrConflict),
		errors.Is(err, storer.ErrUnavailable),
		errors.Is(err, storer.ErrLeaseExpired):
		return storer.Entry{}, err
	}
	// The doubt outlives a caller that has gone away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.resolveTimeout)
	defer cancel()
	return l.resolve(ctx, r, matches)
}

// resolve ends the doubt about a write before ctx ends. While the key still has
// the expected version the write is made again; compare-and-swap lets at most
// one of the two take effect.
func (l *recordStore) resolve(
	ctx context.Context, r storer.PutRequest, matches func(value []byte) bool,
) (entry storer.Entry, err error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		current, err := l.store.Get(ctx, r.Key)
		absent := errors.Is(err, storer.ErrNotFound)
		switch {
		case err == nil && matches(current.Value):
			return current, nil
		case err == nil && current.Version != r.ExpectedVersion, absent && r.ExpectedVersion != 0:
			return storer.Entry{}, storer.ErrConflict
		case err == nil || absent:
			entry, err = l.store.Put(ctx, r)
			if err == nil || errors.Is(err, storer.ErrLeaseExpired) {
				return entry, err
			}
		}
		if !wait(ctx, l.clock, pause) {
			return storer.Entry{}, merry.Prependf(storer.ErrUnknownEffect, "writing %s", r.Key)
		}
	}
}

func equals(value []byte) func([]byte) bool {
	return func(present []byte) bool { return string(present) == string(value) }
}

// sameClaimAndState recognises the record of a claim in a state. A repair may have
// changed the replicas of its results since.
func sameClaimAndState(record ChunkRecord) func([]byte) bool {
	return func(value []byte) bool {
		var read ChunkRecord
		return decode("", value, &read) == nil && read.Claim == record.Claim && read.State == record.State
	}
}
