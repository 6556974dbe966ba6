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
	// minBackoff and maxBackoff bound the exponential backoff after platform
	// errors.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	maxOverwriteConflicts = 5
)

// A recordStore reads and writes the records of batch jobs. A write whose
// response is lost is resolved by reading back; if that fails as well, it is
// reported as storer.ErrUnknownEffect.
type recordStore struct {
	store          Store
	clock          Clock
	resolveTimeout time.Duration
}

// A storedChunk is a chunk record with its version.
type storedChunk struct {
	Chunk   int
	Version int64
	Record  ChunkRecord
}

// manifest reads the manifest of a job; storer.ErrNotFound if there is none.
func (s *recordStore) manifest(ctx context.Context, k scheduler.Key) (m Manifest, version int64, err error) {
	entry, err := s.store.Get(ctx, jobKey(k))
	if err != nil {
		return Manifest{}, 0, err
	}
	return m, entry.Version, m.unpack(entry.Key, entry.Value)
}

// createManifest writes the manifest of a new job. On a conflict it returns the
// existing manifest.
func (s *recordStore) createManifest(ctx context.Context, m Manifest) (existing Manifest, err error) {
	_, err = s.put(ctx, storer.PutRequest{Key: jobKey(m.key()), Value: m.pack()}, func(value []byte) bool {
		var read Manifest
		return read.unpack("", value) == nil && read.Submission == m.Submission
	})
	if !errors.Is(err, storer.ErrConflict) {
		return m, err
	}
	if existing, _, err = s.manifest(ctx, m.key()); err != nil {
		// The existing manifest may have the same items, so the outcome is unknown.
		return Manifest{}, merry.Prependf(storer.ErrUnknownEffect, "reading %s: %v", jobKey(m.key()), err)
	}
	return existing, nil
}

// updateManifest writes a manifest if its version is unchanged. Two writers of
// the same change write the same bytes, so either may take the other's write
// for its own.
func (s *recordStore) updateManifest(ctx context.Context, m Manifest, version int64) (err error) {
	value := m.pack()
	_, err = s.put(ctx, storer.PutRequest{Key: jobKey(m.key()), Value: value, ExpectedVersion: version}, equals(value))
	return err
}

// chunk reads the record of a chunk.
func (s *recordStore) chunk(ctx context.Context, k scheduler.Key, chunk int) (e storedChunk, err error) {
	entry, err := s.store.Get(ctx, chunkKey(k, chunk))
	if err != nil {
		return storedChunk{}, err
	}
	e = storedChunk{Chunk: chunk, Version: entry.Version}
	return e, decode(entry.Key, entry.Value, &e.Record)
}

// chunks lists the chunk records of a job. Chunks that were never claimed have
// none.
func (s *recordStore) chunks(ctx context.Context, k scheduler.Key) (entries []storedChunk, err error) {
	listed, err := s.store.List(ctx, chunksPrefix(k))
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

// writeChunk writes the record of a chunk if it has the expected version.
func (s *recordStore) writeChunk(
	ctx context.Context, k scheduler.Key, chunk int, record ChunkRecord, expected int64,
) (version int64, err error) {
	r := storer.PutRequest{Key: chunkKey(k, chunk), Value: encode(record), ExpectedVersion: expected}
	entry, err := s.put(ctx, r, sameClaimAndState(record))
	return entry.Version, err
}

// writeChunkWithRetry is writeChunk for a holder that has results: it retries
// platform errors until ctx ends.
func (s *recordStore) writeChunkWithRetry(
	ctx context.Context, k scheduler.Key, chunk int, record ChunkRecord, expected int64,
) (err error) {
	r := storer.PutRequest{Key: chunkKey(k, chunk), Value: encode(record), ExpectedVersion: expected}
	_, err = s.put(ctx, r, sameClaimAndState(record))
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUnknownEffect) {
		_, err = s.resolve(ctx, r, sameClaimAndState(record))
	}
	return err
}

// delete deletes a key if it has the version. A missing key is not an error.
func (s *recordStore) delete(ctx context.Context, key string, version int64) (err error) {
	err = s.store.Delete(ctx, key, version)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	return err
}

// deleteAnyVersion deletes a key at its current version.
func (s *recordStore) deleteAnyVersion(ctx context.Context, key string) (err error) {
	entry, err := s.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.delete(ctx, key, entry.Version)
}

// overwrite writes a key, whatever its current value.
func (s *recordStore) overwrite(ctx context.Context, key string, value []byte) (err error) {
	for range maxOverwriteConflicts {
		entry, err := s.store.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		r := storer.PutRequest{Key: key, Value: value, ExpectedVersion: entry.Version}
		if _, err = s.put(ctx, r, equals(value)); !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return storer.ErrConflict
}

// createIfAbsent creates a key unless it exists.
func (s *recordStore) createIfAbsent(ctx context.Context, key string, value []byte) (err error) {
	_, err = s.put(ctx, storer.PutRequest{Key: key, Value: value}, equals(value))
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// put writes once; if the response is lost, it resolves the outcome. matches
// recognises the value of this write, even after another writer has changed
// parts of it.
func (s *recordStore) put(
	ctx context.Context, r storer.PutRequest, matches func(value []byte) bool,
) (entry storer.Entry, err error) {
	entry, err = s.store.Put(ctx, r)
	switch {
	case err == nil:
		return entry, nil
	case errors.Is(err, storer.ErrConflict),
		errors.Is(err, storer.ErrRefused),
		errors.Is(err, storer.ErrUnavailable),
		errors.Is(err, storer.ErrLeaseExpired):
		return storer.Entry{}, err
	}
	// Resolve the outcome even if the caller has gone away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.resolveTimeout)
	defer cancel()
	return s.resolve(ctx, r, matches)
}

// resolve determines the outcome of a write before ctx ends. While the key still
// has the expected version, the write is repeated; compare-and-swap lets at most
// one of the writes take effect. A write that is refused had no effect before
// either.
func (s *recordStore) resolve(
	ctx context.Context, r storer.PutRequest, matches func(value []byte) bool,
) (entry storer.Entry, err error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		current, err := s.store.Get(ctx, r.Key)
		absent := errors.Is(err, storer.ErrNotFound)
		switch {
		case err == nil && matches(current.Value):
			return current, nil
		case err == nil && current.Version != r.ExpectedVersion, absent && r.ExpectedVersion != 0:
			return storer.Entry{}, storer.ErrConflict
		case err == nil || absent:
			entry, err = s.store.Put(ctx, r)
			if err == nil || errors.Is(err, storer.ErrLeaseExpired) || errors.Is(err, storer.ErrRefused) {
				return entry, err
			}
		}
		if !wait(ctx, s.clock, pause) {
			return storer.Entry{}, merry.Prependf(storer.ErrUnknownEffect, "writing %s", r.Key)
		}
	}
}

func equals(value []byte) func([]byte) bool {
	return func(current []byte) bool { return string(current) == string(value) }
}

// sameClaimAndState matches records with the same claim and state. The replicas
// may differ, because a repair may have changed them since.
func sameClaimAndState(record ChunkRecord) func([]byte) bool {
	return func(value []byte) bool {
		var read ChunkRecord
		return decode("", value, &read) == nil && read.Claim == record.Claim && read.State == record.State
	}
}
