// Package batcher accepts batch jobs and runs their items.
//
// A job consists of a manifest in the platform and chunks of items on the disks
// of two instances. An instance claims a chunk by compare-and-swap, runs its
// items, stores the results on two disks and marks the chunk record as done,
// conditional on the version that its claim wrote. The first commit wins, so an
// item has at most one result even if several instances ran it. When all chunks
// are done their records are folded into the manifest.
package batcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Errors of a Runner for an item that was refused or interrupted. Neither counts
// as a try.
var (
	// ErrNoCapacity means that no backend server accepts the item now.
	ErrNoCapacity = merry.Sentinel("no capacity for batch items")
	// ErrPreempted means that the item was preempted by online work.
	ErrPreempted = merry.Sentinel("batch item preempted by online work")
	// ErrServerCrashed means that the backend server crashed while it ran the item. The
	// item is still owed, and is run again after a growing delay.
	ErrServerCrashed = merry.Sentinel("the backend server crashed while it ran the batch item")
)

// A Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// A Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	Delete(ctx context.Context, key string, expectedVersion int64) error
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
	RevokeLease(ctx context.Context, id int64) error
}

// An Archive stores replicated objects on the disks of several instances.
type Archive interface {
	// Ready returns an error when objects cannot be stored now.
	Ready() error
	// Put returns once enough instances have stored the object.
	Put(ctx context.Context, name string, data []byte) (replicas []string, err error)
	Get(ctx context.Context, name string, replicas []string) ([]byte, error)
}

// A Runner runs one item on a backend server. Errors that match ErrNoCapacity,
// ErrPreempted or ErrServerCrashed do not count as tries; any other error does.
type Runner interface {
	RunItem(ctx context.Context, item Item) (ItemResult, error)
}

// A RouteChecker finds the route of an item and refuses routes that do not accept
// batch work. Items of the same lane share backend capacity.
type RouteChecker interface {
	CheckRoute(item Item) (lane string, refusal *refuser.Refusal)
}

// Defaults of a Config.
const (
	// DefaultLeaseTTL bounds how long the chunks of a failed instance stay
	// claimed. A lease is renewed after a third of the TTL, so 350 entries cost
	// 35 writes a second.
	DefaultLeaseTTL = 30 * time.Second
	// DefaultPollPeriod is the time between two listings of open jobs.
	DefaultPollPeriod = 10 * time.Second
	// DefaultCancelPeriod bounds how long items of a cancelled job keep running
	// on other instances; 350 entries cost 175 reads a second.
	DefaultCancelPeriod = 2 * time.Second
	// DefaultTakeoverGrace gives a holder time to renew its lease after an
	// outage of the platform before others take over its claims.
	DefaultTakeoverGrace = 5 * time.Second
	// DefaultRecheckPeriod is the time between two checks of a job whose chunks
	// are all claimed by other instances.
	DefaultRecheckPeriod = 30 * time.Second
	// DefaultRetention is how long the results of an ended job are kept.
	DefaultRetention = 7 * 24 * time.Hour
	// DefaultRetryDelay is the delay before the second try of an item; the delay
	// before the third is four times as long, so that a restart of a backend
	// server does not use up all tries.
	DefaultRetryDelay = 2 * time.Second
	// DefaultStallTimeout is how long a chunk is kept while no backend server
	// accepts any of its items. With the delay after it, half of the instances
	// still probe for capacity at any moment when there is none.
	DefaultStallTimeout = time.Minute
	// DefaultItemTimeout bounds one try of an item.
	DefaultItemTimeout = 15 * time.Minute
	// DefaultResolveTimeout bounds how long a caller waits to learn the outcome
	// of a write whose response was lost.
	DefaultResolveTimeout = 10 * time.Second
	// DefaultReleaseTimeout bounds the calls that release claims and the lease
	// when an instance stops.
	DefaultReleaseTimeout = 5 * time.Second
	// DefaultMaxInFlight bounds the items in flight of one instance.
	DefaultMaxInFlight = 256
	// DefaultMaxChunks bounds the active chunks of one instance, and so its
	// memory: each holds up to 2 MiB of items and 25 MiB of results.
	DefaultMaxChunks = 4
)

// A Config holds the parameters of a Batcher. Zero fields take the defaults.
type Config struct {
	Instance      string // ID of this instance.
	Store         Store
	Archive       Archive
	Runner        Runner
	Routes        RouteChecker
	Clock         Clock
	Logger        logrus.FieldLogger
	Policy        scheduler.Policy // Order of the jobs; nil for the scheduler's default.
	CapacityFreed <-chan struct{}  // Signals that backend capacity may be available; may be nil.

	LeaseTTL       time.Duration
	PollPeriod     time.Duration
	CancelPeriod   time.Duration
	TakeoverGrace  time.Duration
	RecheckPeriod  time.Duration
	Retention      time.Duration
	RetryDelay     time.Duration
	StallTimeout   time.Duration
	ItemTimeout    time.Duration
	ResolveTimeout time.Duration
	ReleaseTimeout time.Duration
	MaxInFlight    int
	MaxChunks      int
}

func (c *Config) setDefaults() {
	setDuration(&c.LeaseTTL, DefaultLeaseTTL)
	setDuration(&c.PollPeriod, DefaultPollPeriod)
	setDuration(&c.CancelPeriod, DefaultCancelPeriod)
	setDuration(&c.TakeoverGrace, DefaultTakeoverGrace)
	setDuration(&c.RecheckPeriod, DefaultRecheckPeriod)
	setDuration(&c.Retention, DefaultRetention)
	setDuration(&c.RetryDelay, DefaultRetryDelay)
	setDuration(&c.StallTimeout, DefaultStallTimeout)
	setDuration(&c.ItemTimeout, DefaultItemTimeout)
	setDuration(&c.ResolveTimeout, DefaultResolveTimeout)
	setDuration(&c.ReleaseTimeout, DefaultReleaseTimeout)
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.MaxChunks <= 0 {
		c.MaxChunks = DefaultMaxChunks
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// A Batcher accepts jobs and runs chunks of jobs.
type Batcher struct {
	cfg            Config
	records        *recordStore
	holder         *holder
	scheduler      *scheduler.Scheduler
	jobs           *jobTable
	lanes          *laneSet
	finder         *finder
	holderMonitor  *holderMonitor
	relistThrottle *throttle    // Limits checks of jobs whose chunks others have claimed.
	outageThrottle *throttle    // Blocks claims for a while after a platform error.
	activeChunks   atomic.Int64 // Chunks that are claimed or being claimed; at most MaxChunks.
	wake           chan struct{}
}

// New returns a Batcher. Jobs can be submitted and read before Start.
func New(cfg Config) *Batcher {
	cfg.setDefaults()
	b := &Batcher{
		cfg:            cfg,
		records:        &recordStore{store: cfg.Store, clock: cfg.Clock, resolveTimeout: cfg.ResolveTimeout},
		scheduler:      scheduler.New(scheduler.Config{Clock: cfg.Clock, Policy: cfg.Policy}),
		jobs:           newJobTable(),
		relistThrottle: &throttle{clock: cfg.Clock},
		outageThrottle: &throttle{clock: cfg.Clock},
		wake:           make(chan struct{}, 1),
	}
	b.holderMonitor = &holderMonitor{records: b.records, grace: cfg.TakeoverGrace}
	b.holder = newHolder(b.records, cfg)
	b.holder.onRenewed(b.recheckClaims)
	b.lanes = newLaneSet(cfg, b.wakeUp)
	b.finder = newFinder(b)
	return b
}

// Start runs chunks until ctx ends, then releases its claims. The channel
// receives the result.
func (b *Batcher) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- b.run(ctx)
	}()
	return done
}

func (b *Batcher) run(ctx context.Context) (err error) {
	// The holder keeps its lease until all chunks are committed or released.
	holderCtx, stopHolder := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHolder()
	var holderGroup conc.WaitGroup
	holderGroup.Go(func() { b.holder.run(holderCtx) })

	// A panic in one part stops the others.
	parts := pool.New().WithContext(ctx).WithCancelOnError()
	for _, part := range []func(context.Context){b.lanes.run, b.finder.run, b.finder.pollCancellations, b.runChunks} {
		parts.Go(func(ctx context.Context) error {
			part(ctx)
			return nil
		})
	}
	caught := panics.Try(func() { _ = parts.Wait() })
	stopHolder()
	holderPanic := holderGroup.WaitAndRecover()
	return errors.Join(caught.AsError(), holderPanic.AsError())
}

// wakeUp makes runChunks look for a chunk to start.
func (b *Batcher) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// wait waits for d; it returns false if ctx ends first.
func wait(ctx context.Context, clock Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}
