package placer

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// leaseKey is the platform key that the holder attaches to its lease.
	leaseKey = "placement/lease"
	// leaseTTL is long compared to the order timeout, since no order may start
	// that cannot end before the lease does.
	leaseTTL = 30 * time.Second
	// renewInterval allows for several failed renewals within leaseTTL.
	renewInterval = 5 * time.Second
)

// A Store is the part of the platform's key-value service that the placer needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
	RevokeLease(ctx context.Context, id int64) error
}

// An elector acquires, renews and releases the placement lease for this
// instance.
type elector struct {
	instance string
	store    Store
	clock    Clock

	lease   storer.Lease // Zero ID when no lease was granted.
	term    LeaseTerm    // Zero FencingNumber while another instance holds the key.
	renewed time.Time
}

// acquireOrRenew reports whether this instance holds the lease. A failed renewal
// does not end the lease before its Until.
func (e *elector) acquireOrRenew(ctx context.Context) (held bool, err error) {
	defer func() { err = merry.Prepend(err, "acquire or renew placement lease") }()

	now := e.clock.Now()
	if e.term.FencingNumber != 0 && now.Before(e.term.Until) {
		if now.Sub(e.renewed) < renewInterval {
			return true, nil
		}
		return e.renew(ctx)
	}
	return e.acquire(ctx)
}

func (e *elector) renew(ctx context.Context) (held bool, err error) {
	lease, err := e.store.RenewLease(ctx, e.lease)
	if errors.Is(err, storer.ErrLeaseExpired) {
		e.reset()
		return false, nil
	}
	if err != nil {
		return e.clock.Now().Before(e.term.Until), err
	}
	e.lease = lease
	e.term.Until = lease.ExpiresAt
	e.renewed = e.clock.Now()
	return true, nil
}

func (e *elector) acquire(ctx context.Context) (held bool, err error) {
	e.reset()
	entry, err := e.store.Get(ctx, leaseKey)
	switch {
	case err == nil && string(entry.Value) != e.instance:
		return false, nil
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		return false, err
	}

	lease, err := e.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return false, err
	}
	entry, err = e.store.Put(ctx, storer.PutRequest{
		Key:             leaseKey,
		Value:           []byte(e.instance),
		ExpectedVersion: entry.Version,
		LeaseID:         lease.ID,
	})
	if err != nil {
		// If only the answer was lost, the key is attached to this lease; revoking
		// the lease removes it.
		_ = e.store.RevokeLease(ctx, lease.ID)
		if errors.Is(err, storer.ErrConflict) {
			return false, nil
		}
		return false, err
	}
	now := e.clock.Now()
	e.lease = lease
	e.renewed = now
	e.term = LeaseTerm{FencingNumber: entry.Version, Since: now, Until: lease.ExpiresAt}
	return true, nil
}

func (e *elector) reset() {
	e.lease = storer.Lease{}
	e.term = LeaseTerm{}
}

// release revokes the lease, so that another instance can acquire it at once.
func (e *elector) release(ctx context.Context) {
	if e.lease.ID != 0 {
		_ = e.store.RevokeLease(ctx, e.lease.ID)
	}
	e.reset()
}
