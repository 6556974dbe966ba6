// Package leaser connects the decisions of package limiter with the platform
// and with the links: it holds the leases of rate shards and a standing slot,
// and carries the messages `borrow`, `return`, `promise`, `pledge` and
// `hand-over`.
package leaser

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Times of leases and promises.
const (
	stepPeriod  = 250 * time.Millisecond
	callTimeout = time.Second // One platform call or one promise.

	lenderTerm  = 10 * time.Second
	renewPeriod = 3 * time.Second
	// leaseMargin is how much earlier than the platform a holder takes its
	// lease or promise as ended. It covers clocks that differ in speed.
	leaseMargin = time.Second
	// promiseTerm is how long a promise not to campaign lasts.
	promiseTerm = lenderTerm
	// extendAhead is the remaining time at which a lender that cannot renew
	// its lease asks for promises. It leaves time for several tries.
	extendAhead = 4 * time.Second
	// maxExtension bounds how old the table of slots may be by which a lender
	// asks for promises. A slot held for longer is in every such table.
	maxExtension = 4 * time.Hour

	tablePeriod     = 30 * time.Second // Between reads of the table of slots by a lender.
	hintPeriod      = 2 * time.Second  // Between reads that a heartbeat asks for.
	announceTimeout = 2 * time.Second  // Three heartbeats of a lender may be lost.
	rankDelay       = 300 * time.Millisecond
	maxRankDelay    = 10 * time.Second
	readPeriod      = time.Second // Between reads of a lender's record by the first candidate.
	maxReadPeriod   = 10 * time.Second

	slotTerm        = 24 * time.Hour
	slotMargin      = time.Minute
	slotRenewPeriod = time.Hour
	slotRetryPeriod = 2 * time.Second
)

// Prefixes of the platform's keys.
const (
	slotPrefix   = "slots/"
	lenderPrefix = "lender/"
)

// A Clock tells the time and makes timers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
	NewTimer(d time.Duration) clockwork.Timer
}

// A Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
	RevokeLease(ctx context.Context, id int64) error
}

// A Caller sends messages to peers.
type Caller interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
}

// A Roster names the entry instances that are live.
type Roster interface {
	Live() []registrar.Instance
}

// An Announcer sends a heartbeat at once.
type Announcer interface {
	SendNow()
}

// A Config holds the surroundings of a Leaser.
type Config struct {
	InstanceID string
	Clock      Clock
	Logger     logrus.FieldLogger
	Store      Store
	Caller     Caller
	Roster     Roster
}

// A Leaser is this instance's part in lending: as a lender of rate shards, as
// the holder of a standing slot, and as a borrower.
type Leaser struct {
	cfg       Config
	directory *limiter.Directory
	lender    *limiter.Lender
	ledger    *limiter.Ledger
	borrower  *limiter.Borrower
	slot      *slotKeeper

	mu        sync.Mutex
	shards    []*shardKeeper // By rate shard. They are kept when their number falls.
	announcer Announcer
	leaving   bool
}

// A record is the value of a slot or of a lender's key in the platform.
type record struct {
	Holder string `json:"holder"` // Instance ID.
}

// New returns a Leaser. Nothing is lent or borrowed before Install.
func New(cfg Config) *Leaser {
	l := &Leaser{
		cfg:       cfg,
		directory: limiter.NewDirectory(cfg.Clock),
		lender:    limiter.NewLender(cfg.Clock, cfg.InstanceID),
	}
	l.ledger = limiter.NewLedger(cfg.Clock, cfg.InstanceID, l.directory)
	l.borrower = limiter.NewBorrower(cfg.Clock, l.ledger, l)
	l.slot = newSlotKeeper(l)
	return l
}

// Borrower returns the part that decides on requests.
func (l *Leaser) Borrower() *limiter.Borrower {
	return l.borrower
}

// SetAnnouncer sets who sends heartbeats. It must be called before Start.
func (l *Leaser) SetAnnouncer(a Announcer) {
	l.announcer = a
}

// Install takes over the workspaces and engines of a new revision.
func (l *Leaser) Install(d declarer.Declaration) {
	l.lender.Install(d)
	l.ledger.Install(d)
	l.slot.setCount(d.Limits.StandingSlots)
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := len(l.shards); n < l.lender.Shards(); n++ {
		l.shards = append(l.shards, newShardKeeper(l, n))
	}
}

// Start keeps leases and borrows until ctx ends.
func (l *Leaser) Start(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	borrowerEnd := l.borrower.Start(ctx)
	go func() {
		var group conc.WaitGroup
		l.run(ctx, &group)
		group.Wait()
		end <- <-borrowerEnd
	}()
	return end
}

// run steps each keeper in each period, in goroutines of their own: a slow
// call of one must not keep another from renewing its lease.
func (l *Leaser) run(ctx context.Context, group *conc.WaitGroup) {
	ticker := l.cfg.Clock.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		for _, k := range l.keepers() {
			if k.enter() {
				group.Go(func() {
					defer k.exit()
					k.step(ctx)
				})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// A keeper holds something in the platform. Its steps don't overlap.
type keeper interface {
	enter() bool
	exit()
	step(ctx context.Context)
}

// A stepLock lets one step through at a time.
type stepLock struct {
	sync.Mutex
}

func (s *stepLock) enter() bool {
	return s.TryLock()
}

// wait waits for the step that is inside.
func (s *stepLock) wait() {
	s.Lock()
}

func (s *stepLock) exit() {
	s.Unlock()
}

// keepers lists all keepers, the slot's first.
func (l *Leaser) keepers() []keeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []keeper{l.slot}
	for _, k := range l.shards {
		list = append(list, k)
	}
	return list
}

// shard returns the keeper of a rate shard, or nil.
func (l *Leaser) shard(number int) *shardKeeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number < 0 || number >= len(l.shards) {
		return nil
	}
	return l.shards[number]
}

// isLeaving tells whether the instance takes nothing new.
func (l *Leaser) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// Leave hands everything back: leases of rate shards, borrowed tokens and
// permits, and the slot. It is called after the instance's requests have
// ended and before Start's context ends.
func (l *Leaser) Leave(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	shards := l.shards
	l.mu.Unlock()
	promised := l.handOverAll(ctx, shards)
	l.announce()
	l.slot.stopUse()
	l.borrower.HandBack(ctx)
	if !promised && l.awaitTransit(ctx) {
		l.slot.release(ctx)
	}
}

// handOverAll hands the shards over side by side. It reports whether a promise
// for one of them is in force.
func (l *Leaser) handOverAll(ctx context.Context, shards []*shardKeeper) bool {
	var promised atomic.Bool
	var group conc.WaitGroup
	for _, k := range shards {
		group.Go(func() {
			if k.leave(ctx) {
				promised.Store(true)
			}
		})
	}
	group.Wait()
	return promised.Load()
}

// awaitTransit waits until no standing token is on its way to a lender: the
// slot's next holder must not hold it as well.
func (l *Leaser) awaitTransit(ctx context.Context) bool {
	if !l.ledger.InTransit() {
		return true
	}
	timer := l.cfg.Clock.NewTimer(limiter.TransitTerm)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// announce tells the peers at once about a change of what is lent.
func (l *Leaser) announce() {
	if l.announcer != nil {
		l.announcer.SendNow()
	}
}

// Lendings lists the rate shards that this instance lends, for heartbeats.
func (l *Leaser) Lendings() []registrar.Lending {
	return l.lender.Lendings()
}

// SlotVersion is the version of this instance's standing slot, for heartbeats.
func (l *Leaser) SlotVersion() int64 {
	return l.slot.version()
}

// ObserveLendings takes over what a peer says that it lends, and the version
// of its slot.
func (l *Leaser) ObserveLendings(peer string, lendings []registrar.Lending, slot int64) {
	lent := make(map[int]bool, len(lendings))
	for _, lending := range lendings {
		lent[lending.Shard] = true
		l.directory.Announce(lending.Shard, peer, lending.Epoch)
		l.slot.confirm(lending.Shard, lending.Slots)
	}
	for _, number := range l.directory.Shards(peer) {
		if !lent[number] {
			l.directory.Forget(number, peer)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.shards {
		k.hint(slot)
	}
}

// holderOf decodes the holder of a slot or of a rate shard. A value that
// can't be read counts as held by someone else.
func holderOf(e storer.Entry) string {
	var r record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return ""
	}
	return r.Holder
}

// value encodes this instance as a holder.
func (l *Leaser) value() []byte {
	data, _ := json.Marshal(record{Holder: l.cfg.InstanceID}) // A struct of a string always encodes.
	return data
}
