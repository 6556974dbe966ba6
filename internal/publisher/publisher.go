// Package publisher puts declarations into force: it moves the configuration
// head in the platform, follows it, and spreads revisions between instances.
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
	// ErrHeadBehind means that the platform's head is behind the revision in
	// force here, so that a new revision on top of it would be a revert.
	ErrHeadBehind = merry.Sentinel("the head in the platform is behind the configuration in force")
	// ErrInDoubt means that it is not known whether the head moved; it may
	// still move. The status shows later whether the apply is in force.
	ErrInDoubt = merry.Sentinel("it is unknown whether the release note was accepted")
	// ErrRaces means that other operators were faster each time. The release
	// note was not accepted.
	ErrRaces = merry.Sentinel("other release notes were accepted first")
)

// Defaults of Config.
const (
	// DefaultApplyTimeout leaves an operator in doubt for a short time only.
	DefaultApplyTimeout = 15 * time.Second
	// DefaultMaxBackoff bounds the time between the end of an outage and the
	// next watch; a revision has 18 s to come into force.
	DefaultMaxBackoff = 3 * time.Second
	// DefaultMinBackoff keeps 350 entries that lose their watches together at
	// 1,400 of the platform's 2,000 reads a second, since half of it is random.
	DefaultMinBackoff = 500 * time.Millisecond
	// DefaultPeerGrace is how long a new revision may take over the watch
	// before a peer is asked, so that one entry does not send the snapshot to
	// all others.
	DefaultPeerGrace = time.Second
	// DefaultPeerTimeout bounds an exchange with a peer.
	DefaultPeerTimeout = 2 * time.Second
)

// A Clock waits. clockwork.Clock satisfies it.
type Clock interface {
	After(d time.Duration) <-chan time.Time
}

// A Store is the part of the platform that a Publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	Watch(ctx context.Context, key string, afterVersion int64) (storer.Entry, error)
}

// A Messenger reaches the other entries.
type Messenger interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Peers() []linker.Peer
}

// A Snapshot is a declaration with its place in the chain of revisions.
type Snapshot struct {
	Revision    int64  // Grows by one with each accepted release note; the first is 1.
	ApplyID     string // Random; names the Apply that made the revision.
	Digest      string // Hexadecimal SHA-256 of the stored form.
	Previous    string // Platform key of the snapshot before; empty for the first.
	Title       string // Of the release note.
	Declaration declarer.Declaration
}

// A Subscriber is told of each revision that comes into force. It must not
// modify the declaration.
type Subscriber interface {
	Install(s Snapshot)
}

// Config configures a Publisher.
type Config struct {
	Store        Store
	Peers        Messenger
	Clock        Clock
	Logger       logrus.FieldLogger
	ApplyTimeout time.Duration // Zero means DefaultApplyTimeout.
	MinBackoff   time.Duration // Zero means DefaultMinBackoff.
	MaxBackoff   time.Duration // Zero means DefaultMaxBackoff.
	PeerGrace    time.Duration // Zero means DefaultPeerGrace.
	PeerTimeout  time.Duration // Zero means DefaultPeerTimeout.
}

// A Publisher holds the configuration in force. Its revision only goes up.
type Publisher struct {
	cfg         Config
	subscribers []Subscriber
	installMu   sync.Mutex // Held while subscribers are told, so that they see revisions in order.
	current     atomic.Pointer[record]
	watching    atomic.Bool // The last answer to the watch was good.
	reports     reportBoard
	behind      chan struct{} // Holds a token when a peer reported a higher revision.
	accepted    chan struct{} // Holds a token when Apply moved the head.
}

// New returns a publisher without a configuration.
func New(cfg Config) *Publisher {
	setDefault(&cfg.ApplyTimeout, DefaultApplyTimeout)
	setDefault(&cfg.MinBackoff, DefaultMinBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	setDefault(&cfg.PeerGrace, DefaultPeerGrace)
	setDefault(&cfg.PeerTimeout, DefaultPeerTimeout)
	return &Publisher{
		cfg:      cfg,
		reports:  reportBoard{revisions: map[string]int64{}},
		behind:   make(chan struct{}, 1),
		accepted: make(chan struct{}, 1),
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

// Start follows the head and the peers until ctx ends, and then reports its
// end once.
func (p *Publisher) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	loops := pool.New().WithContext(ctx)
	loops.Go(p.followHead)
	loops.Go(p.followPeers)
	loops.Go(p.announceAccepted)
	go func() { ended <- loops.Wait() }()
	return ended
}

// revision is the revision in force, or zero.
func (p *Publisher) revision() int64 {
	if current := p.current.Load(); current != nil {
		return current.Revision
	}
	return 0
}

// install puts a snapshot into force if its revision is higher.
func (p *Publisher) install(r *record) {
	p.installMu.Lock()
	defer p.installMu.Unlock()
	if r.Revision <= p.revision() {
		p.reject(r)
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

// reject logs a snapshot that would revert the configuration. Older ones and
// the one in force arrive late over several ways; another one of the same
// revision never should.
func (p *Publisher) reject(r *record) {
	current := p.current.Load()
	if current.Revision != r.Revision || current.key == r.key {
		return
	}
	p.cfg.Logger.WithFields(logrus.Fields{
		"revision":          r.Revision,
		"apply-id":          r.ApplyID,
		"apply-id-in-force": current.ApplyID,
	}).Error("another snapshot has the revision in force")
}

// pause waits for d and reports whether ctx still runs.
func (p *Publisher) pause(ctx context.Context, d time.Duration) bool {
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

// notify leaves a token in a channel that holds one.
func notify(tokens chan<- struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}
