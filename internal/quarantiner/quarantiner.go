// Package quarantiner keeps the requests that crash backend servers in the
// platform, so that entries that start later refuse them as well.
package quarantiner

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	keyPrefix = "quarantine/"
	// term is the life of a record in the platform; the lease that it is bound
	// to ends it, so that no wall clock is compared.
	term = 10 * time.Minute
	// syncPeriod costs the platform 24 reads a second with 350 entries.
	syncPeriod = 15 * time.Second
	// learnTime outlasts a sync that the platform does not answer.
	learnTime = 3 * syncPeriod
	// queueLength bounds what waits for the platform. Quarantines are rare.
	queueLength = 64
	callTimeout = 5 * time.Second
)

// A Clock tells the time and makes tickers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
}

// A Store is the part of the platform that the quarantiner needs.
type Store interface {
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
}

// A Learner takes over quarantines.
type Learner interface {
	ApplyQuarantine(digest string, until time.Time)
}

// A Config holds what a Quarantiner needs.
type Config struct {
	Store   Store
	Learner Learner
	Clock   Clock
	Logger  logrus.FieldLogger
}

// A Quarantiner records quarantines and learns those of others.
type Quarantiner struct {
	cfg   Config
	queue chan string // Digests to record.

	pending []string // Digests that the platform has not taken yet; used by Start's goroutine only.
}

// New returns a Quarantiner.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{cfg: cfg, queue: make(chan string, queueLength)}
}

// Observe records the request of a notice if it reached the number of deaths
// that quarantines it. It does not wait.
func (q *Quarantiner) Observe(n retrier.Notice) {
	if n.Crashes < retrier.CrashesToQuarantine {
		return
	}
	select {
	case q.queue <- n.Digest:
	default:
		q.cfg.Logger.Warn("quarantine not recorded because the queue is full")
	}
}

// Start records and learns until ctx ends.
func (q *Quarantiner) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		q.run(ctx)
		done <- nil
	}()
	return done
}

func (q *Quarantiner) run(ctx context.Context) {
	ticker := q.cfg.Clock.NewTicker(syncPeriod)
	defer ticker.Stop()
	q.learn(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case digest := <-q.queue:
			q.pending = append(q.pending, digest)
			q.record(ctx)
		case <-ticker.Chan():
			q.record(ctx)
			q.learn(ctx)
		}
	}
}

// record writes the pending quarantines. One that is there already is as good;
// one that the platform did not take is tried again.
func (q *Quarantiner) record(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q.pending = slices.DeleteFunc(q.pending, func(digest string) bool {
		err := q.put(ctx, digest)
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return true
		}
		q.cfg.Logger.WithError(err).Warn("quarantine not recorded in the platform")
		return false
	})
}

func (q *Quarantiner) put(ctx context.Context, digest string) (err error) {
	defer func() { err = merry.Prepend(err, "record quarantine") }()

	lease, err := q.cfg.Store.GrantLease(ctx, term)
	if err != nil {
		return err
	}
	_, err = q.cfg.Store.Put(ctx, storer.PutRequest{Key: keyPrefix + digest, Value: []byte("{}"), LeaseID: lease.ID})
	return err
}

func (q *Quarantiner) learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := q.cfg.Store.List(ctx, keyPrefix)
	if err != nil {
		q.cfg.Logger.WithError(err).Debug("quarantines not read from the platform")
		return
	}
	until := q.cfg.Clock.Now().Add(learnTime)
	for _, entry := range entries {
		q.cfg.Learner.ApplyQuarantine(strings.TrimPrefix(entry.Key, keyPrefix), until)
	}
}
