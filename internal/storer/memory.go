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

// A Memory is the key-value service inside the process. It offers the methods
// of Client to tests and holds the state of the stand-in.
type Memory struct {
	clock     Clock
	seed      maphash.Seed
	version   atomic.Int64 // Version of the last write.
	leaseID   atomic.Int64 // ID of the lease granted last.
	keys      [keyShards]keyShard
	leases    [leaseShards]leaseShard
	instances instanceTable
}

// A keyShard holds a part of the keys. A lease shard's lock may be held when
// mu is taken, never the reverse.
type keyShard struct {
	mu      sync.Mutex
	entries map[string]Entry
	watches map[string]*keyWatch // Only keys that somebody waits for.
}

// A keyWatch wakes those who wait for the next change of a key.
type keyWatch struct {
	changed chan struct{} // Closed by the change.
	waiters int
}

// An instanceTable holds the list of instances.
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
		m.leases[i].leases = map[int64]*heldLease{}
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

// List returns the entries whose keys start with prefix, sorted by key. It
// sees all keys at one moment.
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

// Put writes a key if it has the expected version.
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

// Delete removes a key if it has the expected version.
func (m *Memory) Delete(_ context.Context, key string, expectedVersion int64) (err error) {
	defer func() { err = merry.Prependf(err, "delete %q", key) }()
	m.expireDue()
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	present, ok := shard.entries[key]
	if !ok {
		return ErrNotFound
	}
	if present.Version != expectedVersion {
		return newConflict(key, present)
	}
	m.remove(shard, key)
	return nil
}

// Watch waits until key has a version above afterVersion. With a version of
// zero it waits for the key to appear; with another version it reports
// ErrNotFound when the key is gone.
func (m *Memory) Watch(ctx context.Context, key string, afterVersion int64) (entry Entry, err error) {
	defer func() { err = merry.Prependf(err, "watch %q", key) }()
	for {
		m.expireDue()
		entry, waiting, err := m.look(key, afterVersion)
		if err != nil || waiting == nil {
			return entry, err
		}
		select {
		case <-waiting.changed:
		case <-ctx.Done():
			m.leave(key, waiting)
			return Entry{}, merry.Wrap(ctx.Err())
		}
	}
}

// ListInstances returns the instances sorted by ID.
func (m *Memory) ListInstances(context.Context) (rows []ListedInstance, err error) {
	m.instances.mu.Lock()
	defer m.instances.mu.Unlock()
	for _, row := range m.instances.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	return rows, nil
}

// SetInstance adds a row to the list of instances or replaces it.
func (m *Memory) SetInstance(row ListedInstance) {
	m.instances.mu.Lock()
	defer m.instances.mu.Unlock()
	m.instances.rows[row.ID] = row
}

// RemoveInstance takes a row out of the list of instances.
func (m *Memory) RemoveInstance(id string) {
	m.instances.mu.Lock()
	defer m.instances.mu.Unlock()
	delete(m.instances.rows, id)
}

// look returns the entry when it is newer than afterVersion, and otherwise the
// watch that the caller has joined.
func (m *Memory) look(key string, afterVersion int64) (entry Entry, waiting *keyWatch, err error) {
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
	waiting, ok = shard.watches[key]
	if !ok {
		waiting = &keyWatch{changed: make(chan struct{})}
		shard.watches[key] = waiting
	}
	waiting.waiters++
	return Entry{}, waiting, nil
}

// leave ends a wait without a change and forgets a watch without waiters.
func (m *Memory) leave(key string, waiting *keyWatch) {
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	waiting.waiters--
	if waiting.waiters == 0 && shard.watches[key] == waiting {
		delete(shard.watches, key)
	}
}

func (m *Memory) write(r PutRequest) (entry Entry, err error) {
	shard := m.keyShard(r.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	present, ok := shard.entries[r.Key]
	switch {
	case !ok && r.ExpectedVersion != 0:
		return Entry{}, &ConflictError{Key: r.Key}
	case ok && present.Version != r.ExpectedVersion:
		return Entry{}, newConflict(r.Key, present)
	}
	entry = Entry{
		Key:     r.Key,
		Value:   slices.Clone(r.Value),
		Version: m.version.Add(1),
		LeaseID: r.LeaseID,
	}
	shard.entries[r.Key] = entry
	shard.wake(r.Key)
	return entry.clone(), nil
}

// remove deletes a key of a shard whose lock is held.
func (m *Memory) remove(shard *keyShard, key string) {
	m.version.Add(1)
	delete(shard.entries, key)
	shard.wake(key)
}

func (m *Memory) keyShard(key string) *keyShard {
	return &m.keys[maphash.String(m.seed, key)%keyShards]
}

// wake tells those who wait for a key of its change. The lock is held.
func (s *keyShard) wake(key string) {
	if waiting, ok := s.watches[key]; ok {
		close(waiting.changed)
		delete(s.watches, key)
	}
}

// clone copies the entry so that no caller shares the value with the store.
func (e Entry) clone() Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

func newConflict(key string, present Entry) *ConflictError {
	present = present.clone()
	return &ConflictError{Key: key, Present: &present}
}
