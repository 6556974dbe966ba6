package storer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// A leaseShard holds a shard of the leases of a Memory.
type leaseShard struct {
	mu       sync.Mutex
	leases   map[int64]*leaseRecord
	earliest time.Time // Lower bound of the expiries in the shard; zero when it has no leases.
}

// A leaseRecord is the service's state of a lease, guarded by the lock of its
// shard.
type leaseRecord struct {
	id        int64
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool // Keys written under the lease; some may have been rewritten without it since.
	timer     clockwork.Timer
}

// GrantLease grants a lease that expires after ttl unless it is renewed.
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (lease Lease, err error) {
	if ttl <= 0 {
		return Lease{}, merry.Prependf(ErrRefused, "lease of %s", ttl)
	}
	now := m.clock.Now()
	record := &leaseRecord{id: m.leaseID.Add(1), ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]bool{}}
	shard := m.leaseShard(record.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.leases[record.id] = record
	shard.lowerEarliest(record.expiresAt)
	record.timer = m.clock.AfterFunc(ttl, func() { m.onTimer(record.id) })
	return record.lease(), nil
}

// RenewLease extends a lease by its full TTL from now.
func (m *Memory) RenewLease(_ context.Context, lease Lease) (renewed Lease, err error) {
	m.expireDue()
	shard := m.leaseShard(lease.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	now := m.clock.Now()
	record, ok := shard.leases[lease.ID]
	if !ok || !now.Before(record.expiresAt) {
		return Lease{}, merry.Prependf(ErrLeaseExpired, "renew lease %d", lease.ID)
	}
	record.expiresAt = now.Add(record.ttl)
	return record.lease(), nil
}

// RevokeLease ends a lease and deletes its keys. It succeeds if the lease no
// longer exists.
func (m *Memory) RevokeLease(_ context.Context, id int64) error {
	shard := m.leaseShard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if record, ok := shard.leases[id]; ok {
		m.endLease(shard, record)
	}
	return nil
}

// writeUnderLease writes a key while it holds the lock of the lease's shard, so
// that the lease cannot end meanwhile.
func (m *Memory) writeUnderLease(r PutRequest) (entry Entry, err error) {
	shard := m.leaseShard(r.LeaseID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	record, ok := shard.leases[r.LeaseID]
	if !ok || !m.clock.Now().Before(record.expiresAt) {
		return Entry{}, ErrLeaseExpired
	}
	entry, err = m.write(r)
	if err == nil {
		record.keys[r.Key] = true
	}
	return entry, err
}

// expireDue ends all expired leases. Each operation calls it before it reads the
// state, so that results don't depend on when timers fire.
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
	for _, record := range shard.leases {
		if now.Before(record.expiresAt) {
			shard.lowerEarliest(record.expiresAt)
			continue
		}
		m.endLease(shard, record)
	}
}

// onTimer ends a lease that was not renewed, which notifies the watchers of its
// keys, and restarts the timer of a lease that was.
func (m *Memory) onTimer(id int64) {
	m.expireDue()
	shard := m.leaseShard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if record, ok := shard.leases[id]; ok {
		record.timer = m.clock.AfterFunc(record.expiresAt.Sub(m.clock.Now()), func() { m.onTimer(id) })
	}
}

// endLease removes a lease with its keys. The caller holds the lock of the shard.
func (m *Memory) endLease(shard *leaseShard, record *leaseRecord) {
	record.timer.Stop()
	delete(shard.leases, record.id)
	for key := range record.keys {
		m.removeLeased(key, record.id)
	}
}

// removeLeased deletes a key if it is still bound to the lease.
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

// lowerEarliest takes a new expiry into the lower bound of the shard. The caller
// holds the lock.
func (s *leaseShard) lowerEarliest(expiresAt time.Time) {
	if s.earliest.IsZero() || expiresAt.Before(s.earliest) {
		s.earliest = expiresAt
	}
}

func (r *leaseRecord) lease() Lease {
	return Lease{ID: r.id, TTL: r.ttl, ExpiresAt: r.expiresAt}
}
