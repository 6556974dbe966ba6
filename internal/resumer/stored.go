package resumer

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// storeRetryDelay is the delay before a failed call to the store is repeated.
	storeRetryDelay = 500 * time.Millisecond
	// storeInterval is the time between two looks for origins to remove.
	storeInterval = 10 * time.Second
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 2 * time.Second
)

// storeLoop reads the origins in the store once, and then keeps them up to date.
func (r *Resumer) storeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.load(ctx)
		if err == nil {
			break
		}
		r.cfg.Logger.WithError(err).Debug("failed to read the versions of servers that have served lately")
		waiter.Pause(ctx, r.cfg.Clock, storeRetryDelay, nil)
	}
	for ctx.Err() == nil {
		delay := storeInterval
		if err := r.store(ctx); err != nil && ctx.Err() == nil {
			r.cfg.Logger.WithError(err).Debug("failed to store the versions of servers that have served lately")
			if !errors.Is(err, storer.ErrRefused) {
				delay = storeRetryDelay
			}
		}
		waiter.Pause(ctx, r.cfg.Clock, delay, r.history.changed)
	}
}

func (r *Resumer) load(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "load versions") }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := r.cfg.Store.List(ctx, r.cfg.Prefix)
	if err != nil {
		return err
	}
	var origins []Origin
	for _, e := range listing.Entries {
		var s Origin
		if err := encoder.Unmarshal(e.Value, &s); err != nil {
			r.cfg.Logger.WithError(err).WithField("key", e.Key).Warn("ignoring invalid version entry")
			continue
		}
		origins = append(origins, s)
	}
	r.history.load(origins, r.now())
	r.cfg.Logger.WithField("versions", len(origins)).Info("versions of servers that have served lately are known")
	return nil
}

// store writes new origins and removes old ones. Of all instances those do it that are
// the replicas of a origin's key.
func (r *Resumer) store(ctx context.Context) (err error) {
	write, remove := r.history.pending(r.now())
	for _, s := range write {
		if r.replicas.includesSelf(r.key(s)) {
			err = errors.Join(err, r.write(ctx, s))
		}
	}
	for _, s := range remove {
		if r.replicas.includesSelf(r.key(s)) {
			err = errors.Join(err, r.remove(ctx, s))
		} else {
			r.history.setStored(s, false)
		}
	}
	return err
}

func (r *Resumer) key(s Origin) string {
	return storer.BoundedKey(r.cfg.Prefix, url.PathEscape(s.Service)+"/"+url.PathEscape(s.Version))
}

func (r *Resumer) write(ctx context.Context, s Origin) (err error) {
	defer func() { err = merry.Prependf(err, "store version %s of %s", s.Version, s.Service) }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := encoder.Marshal(s)
	if err != nil {
		return err
	}
	_, err = r.cfg.Store.Commit(ctx, storer.Transaction{
		Expect: []storer.Precondition{{Key: r.key(s)}},
		Writes: []storer.Write{{Key: r.key(s), Value: value}},
	})
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return err
	}
	r.history.setStored(s, true)
	r.cfg.Logger.WithFields(logrus.Fields{"service": s.Service, "server-version": s.Version}).Info("version of servers serves")
	return nil
}

func (r *Resumer) remove(ctx context.Context, s Origin) (err error) {
	defer func() { err = merry.Prependf(err, "remove version %s of %s", s.Version, s.Service) }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := r.cfg.Store.Commit(ctx, storer.Transaction{Remove: []string{r.key(s)}}); err != nil {
		return err
	}
	r.history.setStored(s, false)
	r.cfg.Logger.WithFields(logrus.Fields{"service": s.Service, "server-version": s.Version}).Info("version of servers serves no more")
	return nil
}
