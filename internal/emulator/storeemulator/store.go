// Package storeemulator emulates in memory a key-value store with a single
// version counter, transactions, leases and prefix watches. Tests can inject
// faults.
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

// A Fault is the way in which a call fails.
type Fault int

// The faults of calls.
const (
	None         Fault = iota
	Down               // The call fails without taking effect.
	ResponseLost       // A commit takes effect, but its response is lost.
	RequestLost        // A commit has no effect, and no response says so.
	Refused            // The call is refused for good.
)

// A Store is an emulated store. All fields below mu are guarded by it.
type Store struct {
	clock storer.Clock

	mu          sync.Mutex
	entries     map[string]storer.Entry
	version     int64
	history     []storer.Change
	compactedAt int64 // The history contains all changes after this version.
	leases      map[int64]lease
	lastLeaseID int64
	changed     chan struct{} // Closed and replaced on each change.
	fault       func(operation string) Fault
	calls       map[string]int // Number of calls by operation.
	refusals    int            // Number of calls that break a limit of the protocol.
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty store.
func New(clock storer.Clock) *Store {
	return &Store{
		clock: clock, entries: map[string]storer.Entry{}, leases: map[int64]lease{},
		changed: make(chan struct{}), calls: map[string]int{}, version: 1, compactedAt: 1,
		fault: func(string) Fault { return None },
	}
}

// SetFault sets the function that selects the fault of each later call.
func (s *Store) SetFault(fault func(operation string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWatches() // Blocked watches must fail too.
}

// Calls returns the number of calls of an operation.
func (s *Store) Calls(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Refusals returns the number of calls that broke a limit of the protocol.
func (s *Store) Refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}

// begin locks mu, counts a call, removes expired leases and returns the fault of
// the call. The caller unlocks mu.
func (s *Store) begin(operation string) Fault {
	s.mu.Lock()
	s.calls[operation]++
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.expireLease(id)
		}
	}
	return s.fault(operation)
}

// ExpireLeases expires all leases, as can happen while a store is down.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.expireLease(id)
	}
}

func (s *Store) expireLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].LeaseID == id {
			s.version++
			s.remove(key)
		}
	}
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, storer.Change{Entry: storer.Entry{Key: key, Version: s.version}, Removed: true})
	s.notifyWatches()
}

// faultError returns the error of a call with a fault.
func faultError(fault Fault, write bool) error {
	switch {
	case fault == Refused:
		return storer.ErrRefused
	case fault == Down || fault != None && !write:
		return storer.ErrUnavailable
	case fault != None:
		return storer.ErrUnknownEffect
	}
	return nil
}

// Get returns the entry of a key.
func (s *Store) Get(_ context.Context, key string) (storer.Entry, error) {
	fault := s.begin("get")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Entry{}, faultError(fault, false)
	}
	e, ok := s.entries[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return e, nil
}

// List returns the entries whose keys have a prefix, sorted by key.
func (s *Store) List(_ context.Context, prefix string) (storer.Listing, error) {
	fault := s.begin("list")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Listing{}, faultError(fault, false)
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

// Watch waits up to wait for changes after a version to keys with a prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
	done := make(chan struct{})
	timer := s.clock.AfterFunc(wait, func() { close(done) })
	defer timer.Stop()
	for {
		fault := s.begin("watch")
		changes := s.changesSince(prefix, after)
		version, compacted, changed := s.version, after < s.compactedAt, s.changed
		s.mu.Unlock()
		switch {
		case fault != None:
			return nil, 0, faultError(fault, false)
		case compacted:
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

func (s *Store) changesSince(prefix string, after int64) (changes []storer.Change) {
	for _, c := range s.history {
		if c.Version > after && strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}

// Compact discards the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedAt = s.version
	s.notifyWatches()
}

// Commit applies a transaction atomically.
func (s *Store) Commit(_ context.Context, t storer.Transaction) (int64, error) {
	fault := s.begin("commit")
	defer s.mu.Unlock()
	if fault == Down || fault == RequestLost || fault == Refused {
		return 0, faultError(fault, true)
	}
	if err := checkTransaction(t); err != nil {
		s.refusals++
		return 0, err
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
	s.notifyWatches()
	return s.version, faultError(fault, true)
}

// GrantLease grants a lease that expires after ttl.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (storer.Lease, error) {
	fault := s.begin("grant")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Lease{}, faultError(fault, true)
	}
	if err := checkLeaseTTL(ttl); err != nil {
		s.refusals++
		return storer.Lease{}, err
	}
	s.lastLeaseID++
	expiresAt := s.clock.Now().Add(ttl)
	s.leases[s.lastLeaseID] = lease{ttl: ttl, expiresAt: expiresAt}
	return storer.Lease{ID: s.lastLeaseID, TTL: ttl, ExpiresAt: expiresAt}, nil
}

// RenewLease extends a lease by its TTL.
func (s *Store) RenewLease(_ context.Context, l storer.Lease) (storer.Lease, error) {
	fault := s.begin("renew")
	defer s.mu.Unlock()
	if fault != None {
		return storer.Lease{}, faultError(fault, true)
	}
	granted, ok := s.leases[l.ID]
	if !ok {
		return storer.Lease{}, storer.ErrLeaseExpired
	}
	granted.expiresAt = s.clock.Now().Add(granted.ttl)
	s.leases[l.ID] = granted
	return storer.Lease{ID: l.ID, TTL: granted.ttl, ExpiresAt: granted.expiresAt}, nil
}
