package limiter

import (
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// ledgerShardCount is the number of locks of a Ledger.
const ledgerShardCount = 32

// A Ledger holds what this instance has borrowed and what it may use of its
// standing slot. It admits requests and creates the requests to the lenders;
// the caller sends them.
type Ledger struct {
	clock       Clock
	self        string
	directory   *Directory
	slot        atomic.Pointer[Slot] // Nil when no slot is held.
	permitsLent chan struct{}        // Signals that permits were lent; buffered for one signal.
	seed        maphash.Seed
	shards      [ledgerShardCount]ledgerShard
}

// A ledgerShard holds the workspaces and engines whose names hash to it.
type ledgerShard struct {
	mu       sync.Mutex
	accounts map[string]*account       // By workspace.
	engines  map[string]*permitAccount // By engine.
}

// NewLedger returns an empty ledger.
func NewLedger(clock Clock, self string, directory *Directory) *Ledger {
	l := &Ledger{
		clock:       clock,
		self:        self,
		directory:   directory,
		permitsLent: make(chan struct{}, 1),
		seed:        maphash.MakeSeed(),
	}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*account)
		l.shards[i].engines = make(map[string]*permitAccount)
	}
	return l
}

func (l *Ledger) shard(name string) *ledgerShard {
	return &l.shards[maphash.String(l.seed, name)%ledgerShardCount]
}

// SetSlot sets the standing slot that this instance holds; nil when it holds
// none.
func (l *Ledger) SetSlot(slot *Slot) {
	l.slot.Store(slot)
	now := l.clock.Now()
	for i := range l.shards {
		l.shards[i].setSlot(slot, now)
	}
}

// Install applies the workspaces and engines of a new revision. What is held
// of subjects that remain is kept.
func (l *Ledger) Install(d declarer.Declaration) {
	now := l.clock.Now()
	count := max(1, d.Limits.RateShards)
	workspaces := make(map[string]bool, len(d.Workspaces))
	for _, w := range d.Workspaces {
		workspaces[w.Name] = true
		l.shard(w.Name).install(l, w, d.Limits, count, now)
	}
	engines := make(map[string]bool)
	for _, server := range d.BackendServers {
		if server.Kind == declarer.Engine && server.BatchBound > 0 {
			engines[server.Name] = true
			l.shard(server.Name).openEngine(l, server.Name, count)
		}
	}
	for i := range l.shards {
		l.shards[i].removeUndeclared(workspaces, engines)
	}
}

// Request decides on a request. If the lender has to be asked, it returns a
// Waiter that receives the decision.
func (l *Ledger) Request(workspace string) (Decision, *Waiter) {
	s := l.shard(workspace)
	now := l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[workspace]
	if !ok {
		return Decision{Reason: ReasonUnknownWorkspace}, nil
	}
	if decision, ok := a.tryAdmit(now); ok {
		return decision, nil
	}
	if !l.directory.Lookup(a.shard).lenderExpected(now) {
		return a.refusal(ReasonNoLender, 0), nil
	}
	return Decision{}, a.wait()
}

// Tokens returns the number of tokens of a workspace that can be used without
// asking the lender.
func (l *Ledger) Tokens(workspace string) float64 {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[workspace]
	if !ok {
		return 0
	}
	return a.tokens(l.clock.Now())
}

// Withdraw stops the wait of a request and refuses it with the given reason,
// unless it has been decided on.
func (l *Ledger) Withdraw(w *Waiter, reason Reason) Decision {
	w.account.mu.Lock()
	defer w.account.mu.Unlock()
	if w.account.removeWaiter(w) {
		return w.account.refusal(reason, 0)
	}
	return <-w.done
}

// NextBatch returns a batch with the lender request for the requests that
// wait with w, or the delay until it may be sent. It reports false when none
// is needed.
func (l *Ledger) NextBatch(w *Waiter) (b *Batch, pause time.Duration, ok bool) {
	a := w.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	info := l.directory.Lookup(a.shard)
	if len(a.waiters) > 0 && info.Lender == "" && info.lenderExpected(now) {
		return nil, maxRetryDelay, true
	}
	pending, pause, ok := a.requestForWaiters(info.Lender, now)
	if pending == nil {
		return nil, pause, ok
	}
	b = &Batch{Lender: info.Lender, pending: []*pendingRequest{pending}}
	b.buildMessage()
	return b, 0, true
}

// DueBatches returns the lender requests that are due at a prefetch, in a
// batch for each lender. It also expires permits whose contracts are about to
// expire. The order is fixed, for repeatable simulations.
func (l *Ledger) DueBatches() []*Batch {
	batches := make(map[string]*Batch)
	now := l.clock.Now()
	for i := range l.shards {
		l.shards[i].collectDue(l.directory, batches, now)
	}
	list := make([]*Batch, 0, len(batches))
	for _, b := range batches {
		b.buildMessage()
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *Batch) int { return strings.Compare(a.Lender, b.Lender) })
	return list
}

// AskForPermits returns a batch that asks for permits of an engine, or nil if
// one was created just before or no lender is known.
func (l *Ledger) AskForPermits(server string) *Batch {
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.engines[server]
	if !ok {
		return nil
	}
	lender := l.directory.Lookup(a.shard).Lender
	pending, ok := a.requestUnmet(lender, l.clock.Now())
	if !ok {
		return nil
	}
	b := &Batch{Lender: lender, pending: []*pendingRequest{pending}}
	b.buildMessage()
	return b
}

// HandleAnswer applies the lender's answer to a batch. It returns a Waiter
// for each workspace for which the lender has to be asked again.
func (l *Ledger) HandleAnswer(b *Batch, answer BorrowAnswer) []*Waiter {
	if len(answer.Grants) != len(b.pending) {
		return l.HandleFailure(b, true)
	}
	now := l.clock.Now()
	for i, pending := range b.pending {
		if answer.Grants[i].Status == StatusNotLender {
			l.directory.Forget(pending.shard, b.Lender)
		}
		pending.owner.handleGrant(pending, answer.Grants[i], now)
	}
	return b.waitersToAsk()
}

// HandleFailure drops a batch that got no answer. maybeSent tells whether the
// lender may have received it or may still receive it.
func (l *Ledger) HandleFailure(b *Batch, maybeSent bool) []*Waiter {
	now := l.clock.Now()
	for _, pending := range b.pending {
		pending.owner.handleFailure(pending, maybeSent, now)
	}
	return b.waitersToAsk()
}

// waitersToAsk returns a Waiter for each workspace of the batch that has
// waiting requests and for which nobody is asking the lender.
func (b *Batch) waitersToAsk() []*Waiter {
	var waiters []*Waiter
	for _, pending := range b.pending {
		a, ok := pending.owner.(*account)
		if !ok {
			continue
		}
		a.mu.Lock()
		if a.claimAsking() {
			waiters = append(waiters, a.waiters[0])
		}
		a.mu.Unlock()
	}
	return waiters
}

// ReturnAll gives up everything borrowed and returns the batches that report
// this to the lenders. It is called when the instance leaves.
func (l *Ledger) ReturnAll() []*Batch {
	for i := range l.shards {
		l.shards[i].returnAll()
	}
	return l.DueBatches()
}

// GiveBackPending reports whether standing tokens were given back without an
// answer. The slot must not be released meanwhile.
func (l *Ledger) GiveBackPending() bool {
	for i := range l.shards {
		if l.shards[i].giveBackPending(l.clock.Now()) {
			return true
		}
	}
	return false
}

func (s *ledgerShard) setSlot(slot *Slot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		a.setSlot(slot, now)
	}
}

// install creates or changes the account of a workspace. If its rate shard
// has changed, its contracts are left to expire.
func (s *ledgerShard) install(l *Ledger, w declarer.Workspace, limits declarer.Limits, shards int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	subject := WorkspaceSubject(w.Name)
	shard := ShardOf(subject, shards)
	a, ok := s.accounts[w.Name]
	if !ok {
		a = &account{ledger: l, mu: &s.mu, workspace: w.Name, subject: subject, shard: shard}
		s.accounts[w.Name] = a
	}
	if a.shard != shard {
		a.shard = shard
		a.pending = nil
		a.refuseAll(ReasonNoLender)
		a.resetContract(now)
	}
	a.division = Divide(w, limits)
	a.setSlot(l.slot.Load(), now)
}

// openEngine creates the permitAccount of an engine, if there is none.
func (s *ledgerShard) openEngine(l *Ledger, server string, shards int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := ShardOf(EngineSubject(server), shards)
	if a, ok := s.engines[server]; !ok || a.shard != shard {
		if ok {
			a.close()
		}
		s.engines[server] = newPermitAccount(l, &s.mu, server, shard)
	}
}

// removeUndeclared removes the accounts of workspaces and engines that are no
// longer declared.
func (s *ledgerShard) removeUndeclared(workspaces, engines map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.accounts, func(name string, a *account) bool {
		if !workspaces[name] {
			a.pending = nil
			a.refuseAll(ReasonUnknownWorkspace)
		}
		return !workspaces[name]
	})
	maps.DeleteFunc(s.engines, func(name string, a *permitAccount) bool {
		if !engines[name] {
			a.close()
		}
		return !engines[name]
	})
}

func (s *ledgerShard) collectDue(directory *Directory, batches map[string]*Batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		lender := directory.Lookup(a.shard).Lender
		if pending, ok := a.prefetchRequest(lender, now); ok {
			addToBatch(batches, lender, pending)
		}
	}
	for _, a := range s.engines {
		lender := directory.Lookup(a.shard).Lender
		if pending, ok := a.prefetchRequest(lender, now); ok {
			addToBatch(batches, lender, pending)
		}
	}
}

// addToBatch adds a pending request to the batch of its lender.
func addToBatch(batches map[string]*Batch, lender string, pending *pendingRequest) {
	b, ok := batches[lender]
	if !ok {
		b = &Batch{Lender: lender}
		batches[lender] = b
	}
	b.pending = append(b.pending, pending)
}

func (s *ledgerShard) returnAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		a.pending = nil
		a.current.Amount = 0
		a.previous = nil
		a.demand = demand{}
	}
	for _, a := range s.engines {
		a.close()
	}
}

func (s *ledgerShard) giveBackPending(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		if a.standing.givenBack > 0 && now.Before(a.standing.givenBackExpiry) {
			return true
		}
	}
	return false
}
