// Package leaser connects package limiter to the platform's key-value service and
// to the links between instances. It holds the leases of rate shards and of a
// standing slot, and sends and answers the messages `borrow`, `return`,
// `promise`, `pledge` and `hand-over`.
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

// Durations of leases and promises.
const (
	stepInterval = 250 * time.Millisecond
	callTimeout  = time.Second // For one platform call, or one round of promises or pledges.

	lenderLeaseTTL      = 10 * time.Second
	lenderRenewInterval = 3 * time.Second
	// leaseMargin is how much earlier than the platform a holder considers
	// its lease or promise as expired. It covers clock drift.
	leaseMargin = time.Second
	// promiseDuration is how long a promise not to campaign lasts.
	promiseDuration = lenderLeaseTTL
	// promiseThreshold is the remaining time at which a lender that cannot
	// renew its lease asks for promises. It leaves time for several attempts.
	promiseThreshold = 4 * time.Second
	// maxTableAge is the maximum age of the table of slots with which a
	// lender asks for promises. A slot held for longer is in every such
	// table.
	maxTableAge = 4 * time.Hour

	tableReadInterval     = 30 * time.Second // Between reads of the table of slots by a lender.
	minTableReadInterval  = 2 * time.Second  // Between reads that are triggered by heartbeats.
	heartbeatTimeout      = 2 * time.Second  // Tolerates the loss of three heartbeats of a lender.
	campaignDelayPerRank  = 300 * time.Millisecond
	maxCampaignDelay      = 10 * time.Second
	recordReadInterval    = time.Second // Between reads of a lender's record by the first candidate.
	maxRecordReadInterval = 10 * time.Second

	slotTTL           = 24 * time.Hour
	slotMargin        = time.Minute
	slotRenewInterval = time.Hour
	slotRetryInterval = 2 * time.Second
)

// Key prefixes in the platform's key-value service.
const (
	slotPrefix   = "slots/"
	lenderPrefix = "lender/"
)

// A Clock provides the current time and timers.
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

// A Membership lists the live entry instances.
type Membership interface {
	Live() []registrar.Instance
}

// A HeartbeatSender sends a heartbeat at once.
type HeartbeatSender interface {
	SendNow()
}

// A Config holds the dependencies of a Leaser.
type Config struct {
	InstanceID string
	Clock      Clock
	Logger     logrus.FieldLogger
	Store      Store
	Caller     Caller
	Membership Membership
}

// A Leaser runs this instance as a lender of rate shards, as the holder of a
// standing slot, and as a borrower.
type Leaser struct {
	cfg       Config
	directory *limiter.Directory
	lender    *limiter.Lender
	ledger    *limiter.Ledger
	borrower  *limiter.Borrower
	slot      *slotManager

	mu         sync.Mutex
	shards     []*shardManager // By rate shard; kept when the number of shards decreases.
	heartbeats HeartbeatSender
	leaving    bool
}

// A record is the value of a slot's or a lender's key in the platform.
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
	l.slot = newSlotManager(l)
	return l
}

// Borrower returns the part that admits requests.
func (l *Leaser) Borrower() *limiter.Borrower {
	return l.borrower
}

// SetHeartbeatSender sets the sender of heartbeats. It must be called before
// Start.
func (l *Leaser) SetHeartbeatSender(s HeartbeatSender) {
	l.heartbeats = s
}

// Install applies the workspaces and engines of a new revision.
func (l *Leaser) Install(d declarer.Declaration) {
	l.lender.Install(d)
	l.ledger.Install(d)
	l.slot.setCount(d.Limits.StandingSlots)
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := len(l.shards); n < l.lender.Shards(); n++ {
		l.shards = append(l.shards, newShardManager(l, n))
	}
}

// Start maintains leases and borrows until ctx ends.
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

// run starts a step of each manager in each period. Each step has its own
// goroutine, so that a slow call of one manager does not delay the lease
// renewal of another.
func (l *Leaser) run(ctx context.Context, group *conc.WaitGroup) {
	ticker := l.cfg.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		for _, m := range l.managers() {
			if m.tryStartStep() {
				group.Go(func() {
					defer m.endStep()
					m.step(ctx)
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

// A manager maintains leases in the platform. Its steps do not overlap.
type manager interface {
	tryStartStep() bool
	endStep()
	step(ctx context.Context)
}

// A stepLock allows one step at a time.
type stepLock struct {
	sync.Mutex
}

func (s *stepLock) tryStartStep() bool {
	return s.TryLock()
}

// startStep waits until no other step runs.
func (s *stepLock) startStep() {
	s.Lock()
}

func (s *stepLock) endStep() {
	s.Unlock()
}

// managers lists all managers, the slot's first.
func (l *Leaser) managers() []manager {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []manager{l.slot}
	for _, m := range l.shards {
		list = append(list, m)
	}
	return list
}

// shard returns the manager of a rate shard, or nil.
func (l *Leaser) shard(number int) *shardManager {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number < 0 || number >= len(l.shards) {
		return nil
	}
	return l.shards[number]
}

// isLeaving reports whether the instance is leaving and acquires no more
// leases.
func (l *Leaser) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// Leave releases everything: leases of rate shards, borrowed tokens and
// permits, and the slot. It is called after the instance's requests have
// ended and before the context of Start ends.
func (l *Leaser) Leave(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	shards := l.shards
	l.mu.Unlock()
	promised := l.handOverAll(ctx, shards)
	l.sendHeartbeat()
	l.slot.stopUse()
	l.borrower.ReturnAll(ctx)
	if !promised && l.awaitGiveBack(ctx) {
		l.slot.release(ctx)
	}
}

// handOverAll hands the shards over concurrently. It reports whether a
// promise for one of them is in force.
func (l *Leaser) handOverAll(ctx context.Context, shards []*shardManager) bool {
	var promised atomic.Bool
	var group conc.WaitGroup
	for _, m := range shards {
		group.Go(func() {
			if m.leave(ctx) {
				promised.Store(true)
			}
		})
	}
	group.Wait()
	return promised.Load()
}

// awaitGiveBack waits until no standing token is given back without an
// answer. Otherwise the next holder of the slot would have the same token.
func (l *Leaser) awaitGiveBack(ctx context.Context) bool {
	if !l.ledger.GiveBackPending() {
		return true
	}
	timer := l.cfg.Clock.NewTimer(limiter.GiveBackTimeout)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// sendHeartbeat informs the peers at once about a change of the shards lent
// here.
func (l *Leaser) sendHeartbeat() {
	if l.heartbeats != nil {
		l.heartbeats.SendNow()
	}
}

// Lendings lists the rate shards that this instance lends. It is sent in
// heartbeats.
func (l *Leaser) Lendings() []registrar.LenderAnnouncement {
	return l.lender.Lendings()
}

// SlotVersion is the version of this instance's standing slot. It is sent in
// heartbeats.
func (l *Leaser) SlotVersion() int64 {
	return l.slot.version()
}

// ObserveLendings handles the content of a peer's heartbeat: the shards that
// it lends and the version of its slot.
func (l *Leaser) ObserveLendings(peer string, lendings []registrar.LenderAnnouncement, slot int64) {
	lent := make(map[int]bool, len(lendings))
	for _, lending := range lendings {
		lent[lending.Shard] = true
		l.directory.Announce(lending.Shard, peer, lending.Epoch)
		l.slot.confirmShard(lending.Shard, lending.SlotVersion)
	}
	for _, number := range l.directory.Shards(peer) {
		if !lent[number] {
			l.directory.Forget(number, peer)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.shards {
		m.noteSlotVersion(slot)
	}
}

// holderOf decodes the holder of a slot or of a rate shard. A value that
// can't be decoded counts as held by another instance.
func holderOf(e storer.Entry) string {
	var r record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return ""
	}
	return r.Holder
}

// recordValue encodes the record of this instance.
func (l *Leaser) recordValue() []byte {
	data, _ := json.Marshal(record{Holder: l.cfg.InstanceID}) // Encoding a struct of one string cannot fail.
	return data
}
