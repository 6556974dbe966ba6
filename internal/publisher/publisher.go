// Package publisher brings declarations into force: it moves the configuration
// head in the platform, watches it, and distributes revisions between
// instances.
package publisher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Errors of Apply. A release note with faults ends in a declarer.FaultsError.
var (
	// ErrHeadBehind means that the platform's head is older than the revision in
	// force here. A revision based on it would revert the configuration.
	ErrHeadBehind = merry.Sentinel("the configuration head in the platform is older than the revision in force")
	// ErrInDoubt means that the outcome of the head write is unknown: it may have
	// taken effect or may still do so. The status shows later whether the apply
	// is in force.
	ErrInDoubt = merry.Sentinel("it is unknown whether the release note was accepted")
	// ErrTooManyConflicts means that each attempt lost the compare-and-swap to
	// another release note. The release note was not accepted.
	ErrTooManyConflicts = merry.Sentinel("every attempt conflicted with another release note")
)

// Defaults of Config.
const (
	// DefaultApplyTimeout bounds how long an operator waits for an outcome.
	DefaultApplyTimeout = 15 * time.Second
	// DefaultMaxBackoff bounds the time between the end of an outage and the
	// next watch: a revision must be in force everywhere within 18 s.
	DefaultMaxBackoff = 3 * time.Second
	// DefaultMinBackoff keeps 350 entries that lose their watches at the same time
	// at 1,400 of the platform's 2,000 reads a second: a wait is at least half
	// the backoff, the rest is jitter.
	DefaultMinBackoff = 500 * time.Millisecond
	// DefaultPeerFetchDelay is how long an instance waits for its watch to deliver
	// a new revision before it asks a peer. Without it, one entry would send the
	// snapshot to all others.
	DefaultPeerFetchDelay = time.Second
	// DefaultPeerTimeout bounds an exchange with a peer.
	DefaultPeerTimeout = 2 * time.Second
)

// A Clock provides timers. clockwork.Clock implements it.
type Clock interface {
	After(d time.Duration) <-chan time.Time
}

// A Store is the part of the platform that a Publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	Watch(ctx context.Context, key string, afterVersion int64) (storer.Entry, error)
}

// A Messenger calls other entries.
type Messenger interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Peers() []linker.Peer
}

// A Snapshot is a revision of the declaration. Each one links to its
// predecessor.
type Snapshot struct {
	Revision    int64  // Grows by one with each accepted release note; the first is 1.
	ApplyID     string // Random; identifies the Apply call that created the revision.
	Digest      string // Hexadecimal SHA-256 of the stored form.
	Previous    string // Platform key of the preceding snapshot; empty for the first.
	Title       string // Of the release note.
	Declaration declarer.Declaration
}

// A Subscriber receives each revision that comes into force. It must not
// modify the declaration.
type Subscriber interface {
	Install(s Snapshot)
}

// Config configures a Publisher.
type Config struct {
	Store          Store
	Peers          Messenger
	Clock          Clock
	Logger         logrus.FieldLogger
	ApplyTimeout   time.Duration // Zero means DefaultApplyTimeout.
	MinBackoff     time.Duration // Zero means DefaultMinBackoff.
	MaxBackoff     time.Duration // Zero means DefaultMaxBackoff.
	PeerFetchDelay time.Duration // Zero means DefaultPeerFetchDelay.
	PeerTimeout    time.Duration // Zero means DefaultPeerTimeout.
}

// A Publisher holds the configuration in force. Its revision never decreases.
type Publisher struct {
	cfg           Config
	subscribers   []Subscriber
	installMu     sync.Mutex // Held while subscribers install a snapshot, so that they see revisions in order.
	current       atomic.Pointer[storedSnapshot]
	watchHealthy  atomic.Bool // The last watch call succeeded.
	peerRevisions peerRevisions
	peerAhead     chan struct{} // Signals that a peer reported a higher revision.
	accepted      chan struct{} // Signals that Apply moved the head.
}

// New returns a publisher without a configuration.
func New(cfg Config) *Publisher {
	setDefault(&cfg.ApplyTimeout, DefaultApplyTimeout)
	setDefault(&cfg.MinBackoff, DefaultMinBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	setDefault(&cfg.PeerFetchDelay, DefaultPeerFetchDelay)
	setDefault(&cfg.PeerTimeout, DefaultPeerTimeout)
	return &Publisher{
		cfg:           cfg,
		peerRevisions: peerRevisions{reports: map[string]revisionReport{}},
		peerAhead:     make(chan struct{}, 1),
		accepted:      make(chan struct{}, 1),
	}
}

// Current returns the snapshot in force; ok is false when there is none. All
// subscribers have installed it.
func (p *Publisher) Current() (s Snapshot, ok bool) {
	current := p.current.Load()
	if current == nil {
		return Snapshot{}, false
	}
	return current.Snapshot, true
}

// Subscribe registers a subscriber. It must be called before Start.
func (p *Publisher) Subscribe(s Subscriber) {
	p.subscribers = append(p.subscribers, s)
}

// Start watches the head and syncs with peers until ctx ends. The channel then
// receives one result.
func (p *Publisher) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	workers := pool.New().WithContext(ctx)
	workers.Go(p.watchHead)
	workers.Go(p.syncWithPeers)
	workers.Go(p.announceRevisions)
	go func() { done <- workers.Wait() }()
	return done
}

// revision returns the revision in force, or zero.
func (p *Publisher) revision() int64 {
	if current := p.current.Load(); current != nil {
		return current.Revision
	}
	return 0
}

// install brings a snapshot into force if its revision is higher than the
// current one.
func (p *Publisher) install(r *storedSnapshot) {
	p.installMu.Lock()
	defer p.installMu.Unlock()
	if r.Revision <= p.revision() {
		p.logRejected(r)
		return
	}
	for _, s := range p.subscribers {
		s.Install(r.Snapshot)
	}
	p.current.Store(r)
	p.cfg.Logger.WithFields(logrus.Fields{
		"revision": r.Revision,
		"apply-id": r.ApplyID,
	}).Info("configuration in force")
}

// logRejected logs a snapshot that has the revision in force but another key,
// which should never happen. Older snapshots and duplicates are expected, since
// they arrive both from the platform and from peers.
func (p *Publisher) logRejected(r *storedSnapshot) {
	current := p.current.Load()
	if current.Revision != r.Revision || current.key == r.key {
		return
	}
	p.cfg.Logger.WithFields(logrus.Fields{
		"revision":          r.Revision,
		"apply-id":          r.ApplyID,
		"apply-id-in-force": current.ApplyID,
	}).Error("received a different snapshot with the revision in force; ignored")
}

// sleep waits for d and reports whether ctx is still active.
func (p *Publisher) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-p.cfg.Clock.After(d):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// signal sends without blocking on a channel with a buffer of one.
func signal(tokens chan<- struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}
