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

// A holder is this process as the holder of claims. Its record in the platform
// is bound to a lease, so one renewal keeps all its claims. When the lease
// lapses the claims stay on record, and anybody may take them over.
type holder struct {
	id      string // Instance and a random part: a restarted process is another holder.
	records *recordStore
	ttl     time.Duration
	logger  logrus.FieldLogger

	releaseTimeout time.Duration

	mu      sync.Mutex
	lease   storer.Lease
	term    int    // Grows when the lease had lapsed.
	renewed func() // Called when the lease is live again; may be nil.
}

func newHolder(l *recordStore, cfg Config) *holder {
	return &holder{
		id:      cfg.Instance + "." + rand.Text()[:12],
		records: l,
		ttl:     cfg.LeaseTTL,
		logger:  cfg.Logger,

		releaseTimeout: cfg.ReleaseTimeout,
	}
}

// current returns the term of the lease, and whether it has not lapsed by the
// monotonic clock.
func (h *holder) current() (term int, live bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term, h.lease.ID != 0 && h.records.clock.Now().Before(h.lease.ExpiresAt)
}

// covers says whether the lease has been held without a gap since a term began.
func (h *holder) heldSince(term int) bool {
	current, live := h.current()
	return live && current == term
}

// onRenewed sets what is called when the lease is live after it was not.
func (h *holder) onRenewed(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = f
}

// run keeps the lease until ctx ends, and then gives it up.
func (h *holder) run(ctx context.Context) {
	for {
		pause := h.ttl / 3
		if err := h.renewLease(ctx); err != nil && ctx.Err() == nil {
			h.logger.WithError(err).Warn("the lease of this holder was not renewed")
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
		h.logger.WithError(err).Info("the lease of this holder was not given up and lapses")
	}
}

// keep renews the lease, or takes a new one when it has lapsed.
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

// announce writes the record by which others see that this holder lives. The
// record of a lapsed lease may still be there.
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

// A census tells the holders that live from those whose lease has lapsed.
type holderMonitor struct {
	records *recordStore
	grace   time.Duration

	mu           sync.Mutex
	missingSince map[string]time.Time // When the record of a holder was first missed.
	lastSeen     map[string]time.Time // When the record of a holder was last seen.
}

// maxLastSeen bounds what a census remembers; forgetting costs a read.
const maxLastSeen = 1024

// lapsed says whether a holder has been without a lease for the grace time. It
// asks the platform about a holder at most once in the grace time while its
// record is there. A platform that fails starts the grace time again, because
// the holder could not renew its lease either.
func (c *holderMonitor) lapsed(ctx context.Context, id string) (lapsed bool, err error) {
	if c.recentlySeen(id) {
		return false, nil
	}
	_, err = c.records.store.Get(ctx, holderPrefix+id)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		delete(c.missingSince, id)
		if c.lastSeen == nil || len(c.lastSeen) >= maxLastSeen {
			c.lastSeen = make(map[string]time.Time)
		}
		c.lastSeen[id] = c.records.clock.Now()
		return false, nil
	case !errors.Is(err, storer.ErrNotFound):
		c.missingSince = nil
		return false, err
	}
	now := c.records.clock.Now()
	since, ok := c.missingSince[id]
	if !ok {
		if c.missingSince == nil {
			c.missingSince = make(map[string]time.Time)
		}
		c.missingSince[id] = now
		since = now
	}
	return now.Sub(since) >= c.grace, nil
}

func (c *holderMonitor) recentlySeen(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.lastSeen[id]
	return ok && c.records.clock.Now().Sub(at) < c.grace
}

// suspects says whether the record of a holder has been missed.
func (c *holderMonitor) isMissing(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.missingSince[id]
	return ok
}

// reset forgets what was missed after a call to the platform has failed.
func (c *holderMonitor) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missingSince = nil
}
