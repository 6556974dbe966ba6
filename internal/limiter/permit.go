package limiter

import (
	"slices"
	"sync"
	"time"
)

// permitGuard is the remaining term at which the permits of a contract that
// was not renewed are ended. It covers the time until the next look and lets
// batch items stop before the lender lends their permits to others.
const permitGuard = 2 * PrefetchPeriod

// permitAskPause is the least pause between two asks for permits of one engine
// that are sent at the moment of need. It bounds the messages of an instance
// whose batch work finds no room to 40 a second for each engine.
const permitAskPause = 25 * time.Millisecond

// A Permit allows one batch item to run on an engine. Its item must stop when
// the permit ends.
type Permit struct {
	permit *permit
}

// Release gives the permit back. It may be called more than once.
func (p Permit) Release() {
	p.permit.permitAccount.mu.Lock()
	defer p.permit.permitAccount.mu.Unlock()
	p.permit.end()
}

// Expired is closed when the permit has ended without a release.
func (p Permit) Expired() <-chan struct{} {
	return p.permit.expired
}

// ExpiresAt is the end of the permit unless it is renewed, by this process's
// clock. Once the permit has ended the time does not change any more.
func (p Permit) ExpiresAt() time.Time {
	p.permit.permitAccount.mu.Lock()
	defer p.permit.permitAccount.mu.Unlock()
	return p.permit.holding.ExpiresAt
}

// A permit is the state behind a Permit.
type permit struct {
	permitAccount *permitAccount
	holding       *permitHolding // The contract that it belongs to.
	expired       chan struct{}
}

// end takes the permit out of use. It reports whether it was in use. The
// caller holds the permitAccount's lock.
func (p *permit) end() bool {
	i := slices.Index(p.holding.inUse, p)
	if i < 0 {
		return false
	}
	p.holding.inUse = slices.Delete(p.holding.inUse, i, i+1)
	return true
}

// A permitHolding is a contract for permits. Amount counts all of them, and
// len(inUse) <= Amount.
type permitHolding struct {
	holding
	inUse []*permit
}

// endAll ends all permits in use.
func (h *permitHolding) endAll() {
	for _, p := range h.inUse {
		close(p.expired)
	}
	h.inUse = nil
	h.Amount = 0
}

// safe tells whether permits may be used until the next look.
func (h *permitHolding) safe(now time.Time) bool {
	return h.ID != 0 && h.ExpiresAt.Sub(now) > permitGuard
}

// A permitAccount is an engine's batch permits as their borrower sees them.
type permitAccount struct {
	ledger  *Ledger
	mu      *sync.Mutex // Of the permitAccount's shard of the ledger.
	server  string
	subject string
	shard   int // Rate shard.

	current *permitHolding   // With the present lender.
	old     []*permitHolding // With earlier lenders; kept while their permits are in use.
	pending *pendingAsk

	missed int // Permits asked for in vain since the last ask.
	peak   int // Most permits in use since the last ask.
	target int // Fair part as the lender said last.

	askNotBefore time.Time // No ask at the moment of need before.
}

// newPermitAccount returns a permitAccount without permits.
func newPermitAccount(l *Ledger, mu *sync.Mutex, server string, shard int) *permitAccount {
	d := &permitAccount{ledger: l, mu: mu, server: server, subject: EngineSubject(server), shard: shard}
	d.reopen("")
	return d
}

// AcquirePermit takes a batch permit of an engine, if one is held here. A
// try in vain counts as demand.
func (l *Ledger) AcquirePermit(server string) (Permit, bool) {
	s := l.shard(server)
	now := l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.engines[server]
	if !ok {
		return Permit{}, false
	}
	return d.acquire(now)
}

// acquire takes a permit. The caller holds mu.
func (d *permitAccount) acquire(now time.Time) (Permit, bool) {
	h := d.current
	if !h.safe(now) || len(h.inUse) >= min(h.Amount, d.target) {
		d.missed++
		return Permit{}, false
	}
	p := &permit{permitAccount: d, holding: h, expired: make(chan struct{})}
	h.inUse = append(h.inUse, p)
	d.peak = max(d.peak, len(h.inUse))
	return Permit{permit: p}, true
}

// collect returns the ask that is due at a prefetch, if any, and ends what
// was not renewed. The caller holds mu.
func (d *permitAccount) collect(lender string, now time.Time) (f *pendingAsk, ok bool) {
	d.endUnsafe(now)
	if d.pending != nil || lender == "" {
		return nil, false
	}
	if d.current.Lender != lender || (d.current.ID != 0 && !d.current.live(now)) {
		d.reopen(lender)
	}
	wanted := d.wanted()
	h := d.current
	h.Amount = min(h.Amount, max(len(h.inUse), min(wanted, d.target)))
	ahead := max(0, wanted-h.Amount)
	if ahead == 0 && !h.unreported() && !h.renewalDue(now) {
		return nil, false
	}
	ask := h.ask(d.subject, now)
	ask.Ahead = ahead
	d.pending = &pendingAsk{owner: d, shard: d.shard, ask: ask, sentAt: now}
	return d.pending, true
}

// askSoon returns an ask for the permits that were missed, unless one was sent
// just now. The caller holds mu.
func (d *permitAccount) askSoon(lender string, now time.Time) (f *pendingAsk, ok bool) {
	if now.Before(d.askNotBefore) {
		return nil, false
	}
	f, ok = d.collect(lender, now)
	if ok {
		d.askNotBefore = now.Add(permitAskPause)
	}
	return f, ok
}

// wanted is the number of permits that could be used, and starts a new period
// of measurement.
func (d *permitAccount) wanted() int {
	wanted := max(d.peak+d.missed, len(d.current.inUse))
	d.missed = 0
	d.peak = len(d.current.inUse)
	return wanted
}

// endUnsafe ends the permits whose contract ends before it can be renewed.
func (d *permitAccount) endUnsafe(now time.Time) {
	if !d.current.safe(now) {
		d.current.endAll()
	}
	for _, h := range d.old {
		if !h.safe(now) {
			h.endAll()
		}
	}
	d.old = slices.DeleteFunc(d.old, func(h *permitHolding) bool { return len(h.inUse) == 0 })
}

// reopen turns to a new contract. Permits in use stay until theirs ends.
func (d *permitAccount) reopen(lender string) {
	if d.current != nil && len(d.current.inUse) > 0 {
		d.old = append(d.old, d.current)
	}
	d.current = &permitHolding{}
	d.current.Contract = newContract(d.subject, lender, d.ledger.self)
	d.target = 0
}

// close ends all permits, such as when the engine is withdrawn.
func (d *permitAccount) close() {
	d.pending = nil
	d.missed, d.peak = 0, 0
	d.current.endAll()
	for _, h := range d.old {
		h.endAll()
	}
	d.old = nil
}

// deliver takes over the lender's answer. It implements owner.
func (d *permitAccount) deliver(f *pendingAsk, g Grant, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending != f {
		return
	}
	d.pending = nil
	switch g.Status {
	case StatusGranted:
		d.current.answered(f, g)
		d.target = g.Target
		if g.Ahead > 0 {
			d.signal()
		}
	case StatusGone:
		d.reopen(d.current.Lender)
	}
}

// abandon gives up an ask without an answer. It implements owner.
func (d *permitAccount) abandon(f *pendingAsk, _ bool, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == f {
		d.pending = nil
	}
}

// signal tells that permits were lent.
func (d *permitAccount) signal() {
	select {
	case d.ledger.arrived <- struct{}{}:
	default:
	}
}
