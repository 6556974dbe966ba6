package batcher

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A holder represents this process as the owner of claims. Its record in the
// platform is bound to a lease, so one renewal keeps all its claims. When the
// lease expires, the claim records remain and any instance may take them over.
type holder struct {
	id      string // Instance ID and a random part: a restarted process is a different holder.
	records *recordStore
	ttl     time.Duration
	logger  logrus.FieldLogger

	releaseTimeout time.Duration

	mu      sync.Mutex
	lease   storer.Lease
	term    int    // Incremented with every newly granted lease.
	renewed func() // Called when the lease becomes live; may be nil.
}

func newHolder(records *recordStore, cfg Config) *holder {
	return &holder{
		id:      cfg.Instance + "." + rand.Text()[:12],
		records: records,
		ttl:     cfg.LeaseTTL,
		logger:  cfg.Logger,

		releaseTimeout: cfg.ReleaseTimeout,
	}
}

// current returns the term of the lease, and whether the lease is live by the
// monotonic clock.
func (h *holder) current() (term int, live bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term, h.lease.ID != 0 && h.records.clock.Now().Before(h.lease.ExpiresAt)
}

// heldSince reports whether the lease has been held without a gap since term.
func (h *holder) heldSince(term int) bool {
	current, live := h.current()
	return live && current == term
}

// onRenewed sets a function that is called when the lease becomes live again.
func (h *holder) onRenewed(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = f
}

// run renews the lease until ctx ends, and then revokes it.
func (h *holder) run(ctx context.Context) {
	for {
		pause := h.ttl / 3
		if err := h.renewLease(ctx); err != nil && ctx.Err() == nil {
			h.logger.WithError(err).Warn("renewing the holder lease failed")
			pause = min(pause, time.Second)
		}
		if !wait(ctx, h.records.clock, pause) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.releaseTimeout)
	defer cancel()
	h.mu.Lock()
	id := h.lease.ID
	h.lease = storer.Lease{}
	h.mu.Unlock()
	if id == 0 {
		return
	}
	if err := h.records.store.RevokeLease(ctx, id); err != nil {
		h.logger.WithError(err).Info("revoking the holder lease failed; it will expire")
	}
}

// renewLease renews the lease, or acquires a new one if it has expired.
func (h *holder) renewLease(ctx context.Context) (err error) {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	if lease.ID != 0 {
		renewed, err := h.records.store.RenewLease(ctx, lease)
		if err == nil {
			h.setLease(renewed, false)
			return nil
		}
		if !errors.Is(err, storer.ErrLeaseExpired) && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	granted, err := h.records.store.GrantLease(ctx, h.ttl)
	if err != nil {
		return err
	}
	if err = h.register(ctx, granted); err != nil {
		return err
	}
	h.setLease(granted, true)
	return nil
}

// register writes the record that shows other instances that this holder is
// live. It replaces the record of an expired lease.
func (h *holder) register(ctx context.Context, lease storer.Lease) (err error) {
	key := holderPrefix + h.id
	if err = h.records.deleteAnyVersion(ctx, key); err != nil {
		return err
	}
	value := []byte(rand.Text())
	r := storer.PutRequest{Key: key, Value: value, LeaseID: lease.ID}
	_, err = h.records.put(ctx, r, equals(value))
	return err
}

func (h *holder) setLease(lease storer.Lease, newTerm bool) {
	_, live := h.current()
	h.mu.Lock()
	h.lease = lease
	renewed := h.renewed
	if newTerm {
		h.term++
	}
	h.mu.Unlock()
	if !live && renewed != nil {
		renewed()
	}
}

// A holderMonitor tracks which holders have a live lease.
type holderMonitor struct {
	records *recordStore
	grace   time.Duration

	mu           sync.Mutex
	missingSince map[string]time.Time // By holder ID: when its record was first found missing.
	lastSeen     map[string]time.Time // By holder ID: when its record was last seen.
}

// maxLastSeen bounds holderMonitor.lastSeen; an evicted holder costs one read.
const maxLastSeen = 1024

// leaseExpired reports whether a holder has been without a lease for the grace
// period. The record of a live holder is read at most once per grace period. A
// platform error restarts the grace period, because the holder could not renew its
// lease either.
func (m *holderMonitor) leaseExpired(ctx context.Context, id string) (expired bool, err error) {
	if m.recentlySeen(id) {
		return false, nil
	}
	_, err = m.records.store.Get(ctx, holderPrefix+id)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		delete(m.missingSince, id)
		if m.lastSeen == nil || len(m.lastSeen) >= maxLastSeen {
			m.lastSeen = make(map[string]time.Time)
		}
		m.lastSeen[id] = m.records.clock.Now()
		return false, nil
	case !errors.Is(err, storer.ErrNotFound):
		m.missingSince = nil
		return false, err
	}
	now := m.records.clock.Now()
	since, ok := m.missingSince[id]
	if !ok {
		if m.missingSince == nil {
			m.missingSince = make(map[string]time.Time)
		}
		m.missingSince[id] = now
		since = now
	}
	return now.Sub(since) >= m.grace, nil
}

func (m *holderMonitor) recentlySeen(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.lastSeen[id]
	return ok && m.records.clock.Now().Sub(at) < m.grace
}

// isMissing reports whether the record of a holder was found missing.
func (m *holderMonitor) isMissing(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.missingSince[id]
	return ok
}

// reset restarts the grace periods after a platform error.
func (m *holderMonitor) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missingSince = nil
}
