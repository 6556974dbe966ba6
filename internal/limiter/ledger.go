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

// ledgerShards is the number of locks of a Ledger.
const ledgerShards = 32

// A Ledger is what this instance has borrowed and what it may use of its
// standing slot. It decides on requests and says what to ask of the lenders;
// sending is left to its user.
type Ledger struct {
	clock     Clock
	self      string
	directory *Directory
	slot      atomic.Pointer[Slot] // Nil when no slot is held.
	arrived   chan struct{}        // Signals that permits were lent; holds one.
	seed      maphash.Seed
	shards    [ledgerShards]ledgerShard
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
		clock:     clock,
		self:      self,
		directory: directory,
		arrived:   make(chan struct{}, 1),
		seed:      maphash.MakeSeed(),
	}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*account)
		l.shards[i].engines = make(map[string]*permitAccount)
	}
	return l
}

// shard returns the shard of a name.
func (l *Ledger) shard(name string) *ledgerShard {
	return &l.shards[maphash.String(l.seed, name)%ledgerShards]
}

// SetSlot takes over the standing slot that this instance holds; nil when it
// holds none.
func (l *Ledger) SetSlot(slot *Slot) {
	l.slot.Store(slot)
	now := l.clock.Now()
	for i := range l.shards {
		l.shards[i].setSlot(slot, now)
	}
}

// Install takes over the workspaces and engines of a new revision. What is
// held of subjects that stay is kept.
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
		l.shards[i].keep(workspaces, engines)
	}
}

// Request decides on a request. If the lender has to be asked the result is a
// Waiter, and the decision comes through it.
func (l *Ledger) Request(workspace string) (Decision, *Waiter) {
	s := l.shard(workspace)
	now := l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[workspace]
	if !ok {
		return Decision{Reason: ReasonUnknownWorkspace}, nil
	}
	if decision, ok := a.request(now); ok {
		return decision, nil
	}
	if !l.directory.Row(a.shard).awaited(now) {
		return a.refusal(ReasonNoLender, 0), nil
	}
	return Decision{}, a.wait()
}

// Tokens is the number of tokens of a workspace that can be used here without
// asking.
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

// Withdraw ends the wait of a request with the given reason, unless it has
// been decided on.
func (l *Ledger) Withdraw(w *Waiter, reason Reason) Decision {
	w.account.mu.Lock()
	defer w.account.mu.Unlock()
	if w.account.withdraw(w) {
		return w.account.refusal(reason, 0)
	}
	return <-w.done
}

// AskFor returns a batch with the ask of the requests that wait with w, or
// the time until it may be sent. It reports false when no ask is needed.
func (l *Ledger) AskFor(w *Waiter) (b *Batch, pause time.Duration, ok bool) {
	a := w.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	row := l.directory.Row(a.shard)
	if len(a.waiters) > 0 && row.Lender == "" && row.awaited(now) {
		return nil, maxAskPause, true
	}
	f, pause, ok := a.askForWaiters(row.Lender, now)
	if f == nil {
		return nil, pause, ok
	}
	b = &Batch{Lender: row.Lender, pending: []*pendingAsk{f}}
	b.finish()
	return b, 0, true
}

// Collect returns the asks that are due at a prefetch, in a batch for each
// lender. It also ends permits whose contracts end. The order is fixed, which
// makes simulations repeatable.
func (l *Ledger) Collect() []*Batch {
	batches := make(map[string]*Batch)
	now := l.clock.Now()
	for i := range l.shards {
		l.shards[i].collect(l.directory, batches, now)
	}
	list := make([]*Batch, 0, len(batches))
	for _, b := range batches {
		b.finish()
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *Batch) int { return strings.Compare(a.Lender, b.Lender) })
	return list
}

// AskForPermits returns a batch that asks for permits of an engine at once, or
// nil when that was done just now or no lender is known.
func (l *Ledger) AskForPermits(server string) *Batch {
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.engines[server]
	if !ok {
		return nil
	}
	lender := l.directory.Row(d.shard).Lender
	f, ok := d.askSoon(lender, l.clock.Now())
	if !ok {
		return nil
	}
	b := &Batch{Lender: lender, pending: []*pendingAsk{f}}
	b.finish()
	return b
}

// Deliver takes over the lender's answer to a batch. It returns a Waiter for
// each workspace that has to be asked for again.
func (l *Ledger) Deliver(b *Batch, answer BorrowAnswer) []*Waiter {
	if len(answer.Grants) != len(b.pending) {
		return l.Abandon(b, true)
	}
	now := l.clock.Now()
	for i, f := range b.pending {
		if answer.Grants[i].Status == StatusNotLender {
			l.directory.Forget(f.shard, b.Lender)
		}
		f.owner.deliver(f, answer.Grants[i], now)
	}
	return b.waiting()
}

// Abandon gives up a batch without an answer. handedOver tells whether the
// lender may have got it or may still get it.
func (l *Ledger) Abandon(b *Batch, handedOver bool) []*Waiter {
	now := l.clock.Now()
	for _, f := range b.pending {
		f.owner.abandon(f, handedOver, now)
	}
	return b.waiting()
}

// waiting returns a Waiter for each workspace of the batch in which requests
// wait and nobody asks.
func (b *Batch) waiting() []*Waiter {
	var waiters []*Waiter
	for _, f := range b.pending {
		a, ok := f.owner.(*account)
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

// HandBack gives up everything borrowed and returns the batches that tell the
// lenders so. It is called when the instance leaves.
func (l *Ledger) HandBack() []*Batch {
	for i := range l.shards {
		l.shards[i].handBack()
	}
	return l.Collect()
}

// InTransit tells whether standing tokens were given back without an answer.
// The slot must not be released meanwhile.
func (l *Ledger) InTransit() bool {
	for i := range l.shards {
		if l.shards[i].inTransit(l.clock.Now()) {
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

// install opens or changes the account of a workspace. After a change of the
// number of rate shards the contracts are left to end.
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
		a.reopen(now)
	}
	a.division = Divide(w, limits)
	a.setSlot(l.slot.Load(), now)
}

// openEngine opens the permitAccount of an engine, if there is none.
func (s *ledgerShard) openEngine(l *Ledger, server string, shards int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := ShardOf(EngineSubject(server), shards)
	if d, ok := s.engines[server]; !ok || d.shard != shard {
		if ok {
			d.close()
		}
		s.engines[server] = newPermitAccount(l, &s.mu, server, shard)
	}
}

// keep drops the accounts and engines that are not declared any more.
func (s *ledgerShard) keep(workspaces, engines map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.accounts, func(name string, a *account) bool {
		if !workspaces[name] {
			a.pending = nil
			a.refuseAll(ReasonUnknownWorkspace)
		}
		return !workspaces[name]
	})
	maps.DeleteFunc(s.engines, func(name string, d *permitAccount) bool {
		if !engines[name] {
			d.close()
		}
		return !engines[name]
	})
}

func (s *ledgerShard) collect(directory *Directory, batches map[string]*Batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		lender := directory.Row(a.shard).Lender
		if f, ok := a.collect(lender, now); ok {
			addTo(batches, lender, f)
		}
	}
	for _, d := range s.engines {
		lender := directory.Row(d.shard).Lender
		if f, ok := d.collect(lender, now); ok {
			addTo(batches, lender, f)
		}
	}
}

// addTo puts a pending ask into the batch of its lender.
func addTo(batches map[string]*Batch, lender string, f *pendingAsk) {
	b, ok := batches[lender]
	if !ok {
		b = &Batch{Lender: lender}
		batches[lender] = b
	}
	b.pending = append(b.pending, f)
}

func (s *ledgerShard) handBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		a.pending = nil
		a.current.Amount = 0
		a.old = nil
		a.demand = demand{}
	}
	for _, d := range s.engines {
		d.close()
	}
}

func (s *ledgerShard) inTransit(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		if a.standing.transit > 0 && now.Before(a.standing.transitEnd) {
			return true
		}
	}
	return false
}
