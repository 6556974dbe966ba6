package storer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// A leaseShard holds a part of the leases of a Memory.
type leaseShard struct {
	mu       sync.Mutex
	leases   map[int64]*heldLease
	earliest time.Time // No lease of the shard expires before; zero when there is none.
}

// A heldLease is a lease as the service sees it. The lock of its shard guards
// it.
type heldLease struct {
	id        int64
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool // Keys written under the lease; some may have left it since.
	timer     clockwork.Timer
}

// GrantLease starts a lease that ends after ttl unless it is renewed.
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (lease Lease, err error) {
	if ttl <= 0 {
		return Lease{}, merry.Prependf(ErrRefused, "lease of %s", ttl)
	}
	now := m.clock.Now()
	held := &heldLease{id: m.leaseID.Add(1), ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]bool{}}
	shard := m.leaseShard(held.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.leases[held.id] = held
	shard.bound(held.expiresAt)
	held.timer = m.clock.AfterFunc(ttl, func() { m.onTimer(held.id) })
	return held.lease(), nil
}

// RenewLease lets a lease run for its whole duration again.
func (m *Memory) RenewLease(_ context.Context, lease Lease) (renewed Lease, err error) {
	m.expireDue()
	shard := m.leaseShard(lease.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	now := m.clock.Now()
	held, ok := shard.leases[lease.ID]
	if !ok || !now.Before(held.expiresAt) {
		return Lease{}, merry.Prependf(ErrLeaseExpired, "renew lease %d", lease.ID)
	}
	held.expiresAt = now.Add(held.ttl)
	return held.lease(), nil
}

// RevokeLease ends a lease and deletes its keys. A lease that does not exist
// any more is no error.
func (m *Memory) RevokeLease(_ context.Context, id int64) error {
	shard := m.leaseShard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if held, ok := shard.leases[id]; ok {
		m.end(shard, held)
	}
	return nil
}

// writeUnderLease keeps the lease from ending while the key is written.
func (m *Memory) writeUnderLease(r PutRequest) (entry Entry, err error) {
	shard := m.leaseShard(r.LeaseID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	held, ok := shard.leases[r.LeaseID]
	if !ok || !m.clock.Now().Before(held.expiresAt) {
		return Entry{}, ErrLeaseExpired
	}
	entry, err = m.write(r)
	if err == nil {
		held.keys[r.Key] = true
	}
	return entry, err
}

// expireDue ends the leases whose time is over. Each call does so before it
// looks at the state, so that no call depends on when a timer runs.
func (m *Memory) expireDue() {
	now := m.clock.Now()
	for i := range m.leases {
		m.expireShard(&m.leases[i], now)
	}
}

func (m *Memory) expireShard(shard *leaseShard, now time.Time) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.earliest.IsZero() || now.Before(shard.earliest) {
		return
	}
	shard.earliest = time.Time{}
	for _, held := range shard.leases {
		if now.Before(held.expiresAt) {
			shard.bound(held.expiresAt)
			continue
		}
		m.end(shard, held)
	}
}

// onTimer ends a lease that was not renewed, which wakes the watches of its
// keys, and waits for the rest of a lease that was.
func (m *Memory) onTimer(id int64) {
	m.expireDue()
	shard := m.leaseShard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if held, ok := shard.leases[id]; ok {
		held.timer = m.clock.AfterFunc(held.expiresAt.Sub(m.clock.Now()), func() { m.onTimer(id) })
	}
}

// end removes a lease with its keys. The lock of the shard is held.
func (m *Memory) end(shard *leaseShard, held *heldLease) {
	held.timer.Stop()
	delete(shard.leases, held.id)
	for key := range held.keys {
		m.removeLeased(key, held.id)
	}
}

// removeLeased deletes a key unless it has left the lease.
func (m *Memory) removeLeased(key string, leaseID int64) {
	shard := m.keyShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if entry, ok := shard.entries[key]; ok && entry.LeaseID == leaseID {
		m.remove(shard, key)
	}
}

func (m *Memory) leaseShard(id int64) *leaseShard {
	return &m.leases[uint64(id)%leaseShards]
}

// bound lowers the earliest expiry of the shard. The lock is held.
func (s *leaseShard) bound(expiresAt time.Time) {
	if s.earliest.IsZero() || expiresAt.Before(s.earliest) {
		s.earliest = expiresAt
	}
}

func (h *heldLease) lease() Lease {
	return Lease{ID: h.id, TTL: h.ttl, ExpiresAt: h.expiresAt}
}
