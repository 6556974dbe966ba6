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
	id     string // Instance and a random part: a restarted process is another holder.
	ledger *ledger
	ttl    time.Duration
	logger logrus.FieldLogger

	handBackTime time.Duration

	mu      sync.Mutex
	lease   storer.Lease
	term    int    // Grows when the lease had lapsed.
	renewed func() // Called when the lease is live again; may be nil.
}

func newHolder(l *ledger, cfg Config) *holder {
	return &holder{
		id:     cfg.Instance + "." + rand.Text()[:12],
		ledger: l,
		ttl:    cfg.LeaseTTL,
		logger: cfg.Logger,

		handBackTime: cfg.HandBackTime,
	}
}

// current returns the term of the lease, and whether it has not lapsed by the
// monotonic clock.
func (h *holder) current() (term int, live bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term, h.lease.ID != 0 && h.ledger.clock.Now().Before(h.lease.ExpiresAt)
}

// covers says whether the lease has been held without a gap since a term began.
func (h *holder) covers(term int) bool {
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
		if err := h.keep(ctx); err != nil && ctx.Err() == nil {
			h.logger.WithError(err).Warn("the lease of this holder was not renewed")
			pause = min(pause, time.Second)
		}
		if !wait(ctx, h.ledger.clock, pause) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.handBackTime)
	defer cancel()
	h.mu.Lock()
	id := h.lease.ID
	h.lease = storer.Lease{}
	h.mu.Unlock()
	if id == 0 {
		return
	}
	if err := h.ledger.store.RevokeLease(ctx, id); err != nil {
		h.logger.WithError(err).Info("the lease of this holder was not given up and lapses")
	}
}

// keep renews the lease, or takes a new one when it has lapsed.
func (h *holder) keep(ctx context.Context) (err error) {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	if lease.ID != 0 {
		renewed, err := h.ledger.store.RenewLease(ctx, lease)
		if err == nil {
			h.set(renewed, false)
			return nil
		}
		if !errors.Is(err, storer.ErrLeaseExpired) && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	granted, err := h.ledger.store.GrantLease(ctx, h.ttl)
	if err != nil {
		return err
	}
	if err = h.announce(ctx, granted); err != nil {
		return err
	}
	h.set(granted, true)
	return nil
}

// announce writes the record by which others see that this holder lives. The
// record of a lapsed lease may still be there.
func (h *holder) announce(ctx context.Context, lease storer.Lease) (err error) {
	key := holderPrefix + h.id
	if err = h.ledger.drop(ctx, key); err != nil {
		return err
	}
	value := []byte(rand.Text())
	r := storer.PutRequest{Key: key, Value: value, LeaseID: lease.ID}
	_, err = h.ledger.put(ctx, r, equals(value))
	return err
}

func (h *holder) set(lease storer.Lease, newTerm bool) {
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
type census struct {
	ledger *ledger
	grace  time.Duration

	mu      sync.Mutex
	missing map[string]time.Time // When the record of a holder was first missed.
	present map[string]time.Time // When the record of a holder was last seen.
}

// maxPresent bounds what a census remembers; forgetting costs a read.
const maxPresent = 1024

// lapsed says whether a holder has been without a lease for the grace time. It
// asks the platform about a holder at most once in the grace time while its
// record is there. A platform that fails starts the grace time again, because
// the holder could not renew its lease either.
func (c *census) lapsed(ctx context.Context, id string) (lapsed bool, err error) {
	if c.seenLately(id) {
		return false, nil
	}
	_, err = c.ledger.store.Get(ctx, holderPrefix+id)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		delete(c.missing, id)
		if c.present == nil || len(c.present) >= maxPresent {
			c.present = make(map[string]time.Time)
		}
		c.present[id] = c.ledger.clock.Now()
		return false, nil
	case !errors.Is(err, storer.ErrNotFound):
		c.missing = nil
		return false, err
	}
	now := c.ledger.clock.Now()
	since, ok := c.missing[id]
	if !ok {
		if c.missing == nil {
			c.missing = make(map[string]time.Time)
		}
		c.missing[id] = now
		since = now
	}
	return now.Sub(since) >= c.grace, nil
}

func (c *census) seenLately(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.present[id]
	return ok && c.ledger.clock.Now().Sub(at) < c.grace
}

// suspects says whether the record of a holder has been missed.
func (c *census) suspects(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.missing[id]
	return ok
}

// reset forgets what was missed after a call to the platform has failed.
func (c *census) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing = nil
}
