package leaser

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A fakeStore is the platform in a simulated world.
type fakeStore struct {
	world   *world
	version int64
	leaseID int64
	entries map[string]storer.Entry
	leases  map[int64]*fakeLease
	calls   int
}

type fakeLease struct {
	ttl time.Duration
	end time.Time
}

func newFakeStore(w *world) *fakeStore {
	return &fakeStore{world: w, entries: map[string]storer.Entry{}, leases: map[int64]*fakeLease{}}
}

// expire ends the leases whose time has come, with their keys.
func (s *fakeStore) expire() {
	for id, lease := range s.leases {
		if !s.world.now.Before(lease.end) {
			s.revoke(id)
		}
	}
}

func (s *fakeStore) revoke(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.LeaseID == id {
			delete(s.entries, key)
		}
	}
}

func (s *fakeStore) put(r storer.PutRequest) (storer.Entry, error) {
	s.expire()
	if r.LeaseID != 0 && s.leases[r.LeaseID] == nil {
		return storer.Entry{}, storer.ErrLeaseExpired
	}
	if s.entries[r.Key].Version != r.ExpectedVersion {
		return s.entries[r.Key], storer.ErrConflict
	}
	s.version++
	e := storer.Entry{Key: r.Key, Value: r.Value, Version: s.version, LeaseID: r.LeaseID}
	s.entries[r.Key] = e
	return e, nil
}

// A nodeStore is the platform as one node reaches it: calls fail before or
// after they took effect, and a write may take effect long after its failure.
type nodeStore struct {
	*fakeStore
	node *node
}

// call runs f as a call of the node. The rng decides about faults.
func (s nodeStore) call(f func() error) error {
	s.calls++
	s.expire()
	faults := s.world.faults
	switch {
	case s.node.platformCut:
		return storer.ErrUnavailable
	case s.world.chance(faults.platformLoss):
		return storer.ErrUnavailable
	case s.world.chance(faults.platformLoss):
		_ = f()
		return storer.ErrUnknownEffect
	case s.world.chance(faults.platformLoss):
		s.world.after(s.world.between(0, 12*time.Second), nil, func() { _ = f() })
		return storer.ErrUnknownEffect
	}
	return f()
}

func (s nodeStore) Get(_ context.Context, key string) (e storer.Entry, err error) {
	err = s.call(func() error {
		var ok bool
		if e, ok = s.entries[key]; !ok {
			return storer.ErrNotFound
		}
		return nil
	})
	return e, err
}

func (s nodeStore) List(_ context.Context, prefix string) (list []storer.Entry, err error) {
	err = s.call(func() error {
		list = nil
		for key, e := range s.entries {
			if strings.HasPrefix(key, prefix) {
				list = append(list, e)
			}
		}
		slices.SortFunc(list, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return list, err
}

func (s nodeStore) Put(_ context.Context, r storer.PutRequest) (e storer.Entry, err error) {
	err = s.call(func() error {
		e, err = s.put(r)
		return err
	})
	return e, err
}

func (s nodeStore) GrantLease(_ context.Context, ttl time.Duration) (lease storer.Lease, err error) {
	err = s.call(func() error {
		s.leaseID++
		s.leases[s.leaseID] = &fakeLease{ttl: ttl, end: s.world.now.Add(ttl)}
		lease = storer.Lease{ID: s.leaseID, TTL: ttl, ExpiresAt: s.node.clock.Now().Add(ttl)}
		return nil
	})
	return lease, err
}

func (s nodeStore) RenewLease(_ context.Context, lease storer.Lease) (storer.Lease, error) {
	err := s.call(func() error {
		s.expire()
		held := s.leases[lease.ID]
		if held == nil {
			return storer.ErrLeaseExpired
		}
		held.end = s.world.now.Add(held.ttl)
		lease.ExpiresAt = s.node.clock.Now().Add(held.ttl)
		return nil
	})
	return lease, err
}

func (s nodeStore) RevokeLease(_ context.Context, id int64) error {
	return s.call(func() error {
		s.revoke(id)
		return nil
	})
}
