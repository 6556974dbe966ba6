// Package storeemulator is a stand-in of a key-value store with one revision
// counter, transactions, leases and watches of prefixes. It can be made to fail.
package storeemulator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A Fault is what a call meets.
type Fault int

// The faults of calls.
const (
	None       Fault = iota
	Down             // The call has no effect and says so.
	AnswerLost       // The call takes effect and its answer is lost.
)

// A Store is the stand-in. All fields below mu are guarded by it.
type Store struct {
	clock storer.Clock

	mu      sync.Mutex
	entries map[string]storer.Entry
	version int64
	history []storer.Change
	oldest  int64 // Version after which the history is whole.
	leases  map[int64]lease
	lastID  int64
	changed chan struct{} // Closed by the next change.
	fault   func(operation string) Fault
	calls   map[string]int // By operation.
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// New returns an empty store.
func New(clock storer.Clock) *Store {
	return &Store{
		clock: clock, entries: map[string]storer.Entry{}, leases: map[int64]lease{},
		changed: make(chan struct{}), calls: map[string]int{}, version: 1, oldest: 1,
		fault: func(string) Fault { return None },
	}
}

// SetFault says what later calls meet.
func (s *Store) SetFault(fault func(operation string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake() // Waiting watches meet it too.
}

// Calls is how often an operation was called.
func (s *Store) Calls(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// begin counts a call and expires leases. The lock is held afterwards.
func (s *Store) begin(operation string) Fault {
	s.mu.Lock()
	s.calls[operation]++
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
	return s.fault(operation)
}

// EndLeases ends all leases, as a store may do while it is down.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].LeaseID == id {
			s.version++
			s.remove(key)
		}
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, storer.Change{Entry: storer.Entry{Key: key, Version: s.version}, Removed: true})
	s.wake()
}

// outcome is the error of a call that met a fault.
func outcome(fault Fault, write bool) error {
	switch {
	case fault == Down || fault == AnswerLost && !write:
		return storer.ErrUnavailable
	case fault == AnswerLost:
		return storer.ErrUnknownEffect
	}
	return nil
}

// Get reads one key.
func (s *Store) Get(_ context.Context, key string) (storer.Entry, error) {
	fault := s.begin("get")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Entry{}, outcome(fault, false)
	}
	e, ok := s.entries[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return e, nil
}

// List reads the keys below a prefix.
func (s *Store) List(_ context.Context, prefix string) (storer.Listing, error) {
	fault := s.begin("list")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Listing{}, outcome(fault, false)
	}
	l := storer.Listing{Version: s.version}
	for _, e := range s.entries {
		if strings.HasPrefix(e.Key, prefix) {
			l.Entries = append(l.Entries, e)
		}
	}
	slices.SortFunc(l.Entries, func(a, b storer.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return l, nil
}

// Watch waits for changes below a prefix after a version.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
	done := make(chan struct{})
	timer := s.clock.AfterFunc(wait, func() { close(done) })
	defer timer.Stop()
	for {
		fault := s.begin("watch")
		changes := s.since(prefix, after)
		version, lost, changed := s.version, after < s.oldest, s.changed
		s.mu.Unlock()
		switch {
		case fault != None:
			return nil, 0, outcome(fault, false)
		case lost:
			return nil, 0, storer.ErrHistoryLost
		case len(changes) > 0:
			return changes, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-done:
			return nil, version, nil
		case <-changed:
		}
	}
}

func (s *Store) since(prefix string, after int64) (changes []storer.Change) {
	for _, c := range s.history {
		if c.Version > after && strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.version
	s.wake()
}

// Commit applies a transaction.
func (s *Store) Commit(_ context.Context, t storer.Transaction) (int64, error) {
	fault := s.begin("commit")
	defer s.mu.Unlock()
	if fault == Down {
		return 0, outcome(fault, true)
	}
	for _, e := range t.Expect {
		present := s.entries[e.Key]
		if present.Version != e.Version {
			return 0, &storer.ConflictError{Key: e.Key, Current: &present}
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.LeaseID]; w.LeaseID != 0 && !ok {
			return 0, storer.ErrLeaseExpired
		}
	}
	s.version++
	for _, w := range t.Writes {
		e := storer.Entry{Key: w.Key, Value: slices.Clone(w.Value), Version: s.version, LeaseID: w.LeaseID}
		s.entries[w.Key] = e
		s.history = append(s.history, storer.Change{Entry: e})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	return s.version, outcome(fault, true)
}

// GrantLease grants a lease.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (storer.Lease, error) {
	fault := s.begin("grant")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Lease{}, outcome(fault, true)
	}
	s.lastID++
	end := s.clock.Now().Add(ttl)
	s.leases[s.lastID] = lease{ttl: ttl, end: end}
	return storer.Lease{ID: s.lastID, TTL: ttl, ExpiresAt: end}, nil
}

// RenewLease renews a lease.
func (s *Store) RenewLease(_ context.Context, l storer.Lease) (storer.Lease, error) {
	fault := s.begin("renew")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Lease{}, outcome(fault, true)
	}
	held, ok := s.leases[l.ID]
	if !ok {
		return storer.Lease{}, storer.ErrLeaseExpired
	}
	held.end = s.clock.Now().Add(held.ttl)
	s.leases[l.ID] = held
	return storer.Lease{ID: l.ID, TTL: held.ttl, ExpiresAt: held.end}, nil
}
