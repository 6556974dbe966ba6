// Package quarantiner stores the digests of quarantined requests in the platform,
// so that entries that start later refuse them as well.
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
	// recordTTL is the lease time of a record in the platform. Records expire by
	// lease, so that no wall clocks are compared.
	recordTTL = 10 * time.Minute
	// syncInterval costs the platform 24 reads a second with 350 entries.
	syncInterval = 15 * time.Second
	// appliedTTL keeps quarantines in force when a sync fails.
	appliedTTL = 3 * syncInterval
	// queueLength bounds the quarantines that wait to be recorded; they are rare.
	queueLength = 64
	callTimeout = 5 * time.Second
)

// A Clock provides the current time and tickers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
}

// A Store is the part of the platform's key-value service that the quarantiner
// needs.
type Store interface {
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
}

// An Applier applies recorded quarantines.
type Applier interface {
	ApplyQuarantine(digest string, until time.Time)
}

// A Config holds the dependencies of a Quarantiner.
type Config struct {
	Store   Store
	Applier Applier
	Clock   Clock
	Logger  logrus.FieldLogger
}

// A Quarantiner records quarantines and applies those that other entries
// recorded.
type Quarantiner struct {
	cfg   Config
	queue chan string // Digests to record.

	pending []string // Digests not recorded yet; used only by the goroutine of Start.
}

// New returns a Quarantiner.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{cfg: cfg, queue: make(chan string, queueLength)}
}

// Observe queues the request of a notice for recording if its number of crashes
// quarantines it. It does not block.
func (q *Quarantiner) Observe(n retrier.Notice) {
	if n.Crashes < retrier.CrashesToQuarantine {
		return
	}
	select {
	case q.queue <- n.Digest:
	default:
		q.cfg.Logger.Warn("quarantine not recorded: queue is full")
	}
}

// Start records and applies quarantines until ctx ends.
func (q *Quarantiner) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		q.run(ctx)
		done <- nil
	}()
	return done
}

func (q *Quarantiner) run(ctx context.Context) {
	ticker := q.cfg.Clock.NewTicker(syncInterval)
	defer ticker.Stop()
	q.applyRecorded(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case digest := <-q.queue:
			q.pending = append(q.pending, digest)
			q.recordPending(ctx)
		case <-ticker.Chan():
			q.recordPending(ctx)
			q.applyRecorded(ctx)
		}
	}
}

// recordPending writes the pending quarantines. A record that exists already is
// kept; a failed write is retried at the next call.
func (q *Quarantiner) recordPending(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q.pending = slices.DeleteFunc(q.pending, func(digest string) bool {
		err := q.put(ctx, digest)
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return true
		}
		q.cfg.Logger.WithError(err).Warn("recording a quarantine in the platform failed; will retry")
		return false
	})
}

func (q *Quarantiner) put(ctx context.Context, digest string) (err error) {
	defer func() { err = merry.Prepend(err, "record quarantine") }()

	lease, err := q.cfg.Store.GrantLease(ctx, recordTTL)
	if err != nil {
		return err
	}
	_, err = q.cfg.Store.Put(ctx, storer.PutRequest{Key: keyPrefix + digest, Value: []byte("{}"), LeaseID: lease.ID})
	return err
}

func (q *Quarantiner) applyRecorded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := q.cfg.Store.List(ctx, keyPrefix)
	if err != nil {
		q.cfg.Logger.WithError(err).Debug("listing quarantines in the platform failed")
		return
	}
	until := q.cfg.Clock.Now().Add(appliedTTL)
	for _, entry := range entries {
		q.cfg.Applier.ApplyQuarantine(strings.TrimPrefix(entry.Key, keyPrefix), until)
	}
}
