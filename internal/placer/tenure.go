package placer

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// leaseKey is the platform key that the holder binds to its lease.
	leaseKey = "placement/lease"
	// leaseTTL is long against the order timeout, so that most of it is
	// available for orders.
	leaseTTL = 30 * time.Second
	// renewInterval leaves room for several lost renewals.
	renewInterval = 5 * time.Second
)

// A Store is the part of the platform that the placer needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
	RevokeLease(ctx context.Context, id int64) error
}

// A candidacy is this instance's claim on the placement lease.
type candidacy struct {
	instance string
	store    Store
	clock    Clock

	lease   storer.Lease // Zero ID when no lease was granted.
	tenure  Tenure       // Zero FencingNumber while another instance holds the key.
	renewed time.Time
}

// hold acquires or renews the lease. It reports whether this instance holds
// it; with an error the tenure goes on until its Until.
func (c *candidacy) hold(ctx context.Context) (held bool, err error) {
	defer func() { err = merry.Prepend(err, "hold placement lease") }()

	now := c.clock.Now()
	if c.tenure.FencingNumber != 0 && now.Before(c.tenure.Until) {
		if now.Sub(c.renewed) < renewInterval {
			return true, nil
		}
		return c.renew(ctx)
	}
	return c.campaign(ctx)
}

func (c *candidacy) renew(ctx context.Context) (held bool, err error) {
	lease, err := c.store.RenewLease(ctx, c.lease)
	if errors.Is(err, storer.ErrLeaseExpired) {
		c.forget()
		return false, nil
	}
	if err != nil {
		return c.clock.Now().Before(c.tenure.Until), err
	}
	c.lease = lease
	c.tenure.Until = lease.ExpiresAt
	c.renewed = c.clock.Now()
	return true, nil
}

func (c *candidacy) campaign(ctx context.Context) (held bool, err error) {
	c.forget()
	entry, err := c.store.Get(ctx, leaseKey)
	switch {
	case err == nil && string(entry.Value) != c.instance:
		return false, nil
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		return false, err
	}

	lease, err := c.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return false, err
	}
	entry, err = c.store.Put(ctx, storer.PutRequest{
		Key:             leaseKey,
		Value:           []byte(c.instance),
		ExpectedVersion: entry.Version,
		LeaseID:         lease.ID,
	})
	if err != nil {
		// After a lost answer the key may be bound to this lease: ending the
		// lease settles both cases.
		_ = c.store.RevokeLease(ctx, lease.ID)
		if errors.Is(err, storer.ErrConflict) {
			return false, nil
		}
		return false, err
	}
	now := c.clock.Now()
	c.lease = lease
	c.renewed = now
	c.tenure = Tenure{FencingNumber: entry.Version, Since: now, Until: lease.ExpiresAt}
	return true, nil
}

func (c *candidacy) forget() {
	c.lease = storer.Lease{}
	c.tenure = Tenure{}
}

// resign ends the lease, so that another instance follows at once.
func (c *candidacy) resign(ctx context.Context) {
	if c.lease.ID != 0 {
		_ = c.store.RevokeLease(ctx, c.lease.ID)
	}
	c.forget()
}
