package storer

import (
	"cmp"
	"context"
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

const (
	keyShards   = 16
	leaseShards = 8
)

// A Memory is an in-memory key-value service. It has the methods of Client, for
// tests, and holds the state of the platform emulator.
type Memory struct {
	clock     Clock
	seed      maphash.Seed
	version   atomic.Int64 // Version of the most recent write.
	leaseID   atomic.Int64 // ID of the most recently granted lease.
	keys      [keyShards]keyShard
	leases    [leaseShards]leaseShard
	instances instanceTable
}

// A keyShard holds a shard of the keys. Lock order: mu may be locked while a
// lease shard's lock is held, never the reverse.
type keyShard struct {
	mu      sync.Mutex
	entries map[string]Entry
	watches map[string]*keyWatch // Only keys with waiters.
}

// A keyWatch notifies the waiters for the next change of a key.
type keyWatch struct {
	changed chan struct{} // Closed when the key changes.
	waiters int
}

type instanceTable struct {
	mu   sync.Mutex
	rows map[string]ListedInstance
}

// NewMemory returns an empty store.
func NewMemory(clock Clock) *Memory {
	m := &Memory{clock: clock, seed: maphash.MakeSeed()}
	for i := range m.keys {
		m.keys[i].entries = map[string]Entry{}
		m.keys[i].watches = map[string]*keyWatch{}
	}
	for i := range m.leases {
		m.leases[i].leases = map[int64]*leaseRecord{}
	}
	m.instances.rows = map[string]ListedInstance{}
	return m
}

// Get returns the entry of key.
func (m *Memory) Get(_ context.Context, key string) (entry Entry, err error) {
	m.expireDue()
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[key]
	if !ok {
		return Entry{}, merry.Prependf(ErrNotFound, "get %q", key)
	}
	return entry.clone(), nil
}

// List returns the entries whose keys start with prefix, sorted by key, as an
// atomic snapshot.
func (m *Memory) List(_ context.Context, prefix string) (entries []Entry, err error) {
	m.expireDue()
	for i := range m.keys {
		m.keys[i].mu.Lock()
		defer m.keys[i].mu.Unlock()
	}
	for i := range m.keys {
		for key, entry := range m.keys[i].entries {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, entry.clone())
			}
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries, nil
}

// Put writes a key if its version is the expected one.
func (m *Memory) Put(_ context.Context, r PutRequest) (entry Entry, err error) {
	defer func() { err = merry.Prependf(err, "put %q", r.Key) }()
	if r.Key == "" {
		return Entry{}, merry.Prepend(ErrRefused, "empty key")
	}
	if len(r.Value) > MaxValueBytes {
		return Entry{}, ErrValueTooLarge
	}
	m.expireDue()
	if r.LeaseID == 0 {
		return m.write(r)
	}
	return m.writeUnderLease(r)
}

// Delete removes a key if its version is the expected one.
func (m *Memory) Delete(_ context.Context, key string, expectedVersion int64) (err error) {
	defer func() { err = merry.Prependf(err, "delete %q", key) }()
	m.expireDue()
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current, ok := shard.entries[key]
	if !ok {
		return ErrNotFound
	}
	if current.Version != expectedVersion {
		return newConflict(key, current)
	}
	m.remove(shard, key)
	return nil
}

// Watch waits until key has a version above afterVersion. With an afterVersion
// of zero it waits for the key to be created, otherwise it returns ErrNotFound
// when the key does not exist.
func (m *Memory) Watch(ctx context.Context, key string, afterVersion int64) (entry Entry, err error) {
	defer func() { err = merry.Prependf(err, "watch %q", key) }()
	for {
		m.expireDue()
		entry, watch, err := m.getOrWatch(key, afterVersion)
		if err != nil || watch == nil {
			return entry, err
		}
		select {
		case <-watch.changed:
		case <-ctx.Done():
			m.stopWaiting(key, watch)
			return Entry{}, merry.Wrap(ctx.Err())
		}
	}
}

// ListInstances returns the instances, sorted by ID.
func (m *Memory) ListInstances(context.Context) (rows []ListedInstance, err error) {
	m.instances.mu.Lock()
	defer m.instances.mu.Unlock()
	for _, row := range m.instances.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	return rows, nil
}

// SetInstance adds or replaces a row of the list of instances.
func (m *Memory) SetInstance(row ListedInstance) {
	m.instances.mu.Lock()
	defer m.instances.mu.Unlock()
	m.instances.rows[row.ID] = row
}

// RemoveInstance removes a row from the list of instances.
func (m *Memory) RemoveInstance(id string) {
	m.instances.mu.Lock()
	defer m.instances.mu.Unlock()
	delete(m.instances.rows, id)
}

// getOrWatch returns the entry if it is newer than afterVersion, and otherwise
// registers the caller as a waiter and returns the watch.
func (m *Memory) getOrWatch(key string, afterVersion int64) (entry Entry, watch *keyWatch, err error) {
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[key]
	switch {
	case ok && entry.Version > afterVersion:
		return entry.clone(), nil, nil
	case !ok && afterVersion > 0:
		return Entry{}, nil, ErrNotFound
	}
	watch, ok = shard.watches[key]
	if !ok {
		watch = &keyWatch{changed: make(chan struct{})}
		shard.watches[key] = watch
	}
	watch.waiters++
	return Entry{}, watch, nil
}

// stopWaiting unregisters a waiter and removes a watch without waiters.
func (m *Memory) stopWaiting(key string, watch *keyWatch) {
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	watch.waiters--
	if watch.waiters == 0 && shard.watches[key] == watch {
		delete(shard.watches, key)
	}
}

func (m *Memory) write(r PutRequest) (entry Entry, err error) {
	shard := m.keyShard(r.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current, ok := shard.entries[r.Key]
	switch {
	case !ok && r.ExpectedVersion != 0:
		return Entry{}, &ConflictError{Key: r.Key}
	case ok && current.Version != r.ExpectedVersion:
		return Entry{}, newConflict(r.Key, current)
	}
	entry = Entry{
		Key:     r.Key,
		Value:   slices.Clone(r.Value),
		Version: m.version.Add(1),
		LeaseID: r.LeaseID,
	}
	shard.entries[r.Key] = entry
	shard.notifyWatchers(r.Key)
	return entry.clone(), nil
}

// remove deletes a key. The caller holds the lock of its shard.
func (m *Memory) remove(shard *keyShard, key string) {
	m.version.Add(1)
	delete(shard.entries, key)
	shard.notifyWatchers(key)
}

func (m *Memory) keyShard(key string) *keyShard {
	return &m.keys[maphash.String(m.seed, key)%keyShards]
}

// notifyWatchers notifies the waiters for a key of its change. The caller holds
// the lock.
func (s *keyShard) notifyWatchers(key string) {
	if watch, ok := s.watches[key]; ok {
		close(watch.changed)
		delete(s.watches, key)
	}
}

// clone returns a copy that shares no value bytes with the store.
func (e Entry) clone() Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

func newConflict(key string, current Entry) *ConflictError {
	current = current.clone()
	return &ConflictError{Key: key, Current: &current}
}
