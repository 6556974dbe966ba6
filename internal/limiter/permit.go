package limiter

import (
	"slices"
	"sync"
	"time"
)

// permitStopMargin is the remaining term at which permits of a contract that
// was not renewed are stopped. It covers the time until the next check and
// lets batch items stop before the lender lends their permits to others.
const permitStopMargin = 2 * PrefetchPeriod

// minPermitRequestInterval is the least time between two lender requests for
// permits of one engine that are sent on demand. It limits an instance whose
// batch items find no permit to 40 messages a second for each engine.
const minPermitRequestInterval = 25 * time.Millisecond

// A Permit allows one batch item to run on an engine. The item must stop when
// the permit expires.
type Permit struct {
	permit *permit
}

// Release returns the permit. It may be called more than once.
func (p Permit) Release() {
	p.permit.permitAccount.mu.Lock()
	defer p.permit.permitAccount.mu.Unlock()
	p.permit.stop()
}

// Expired returns a channel that is closed when the permit ends without a
// release.
func (p Permit) Expired() <-chan struct{} {
	return p.permit.expired
}

// ExpiresAt is when the permit expires unless it is renewed, by this
// process's clock. It does not change once the permit has ended.
func (p Permit) ExpiresAt() time.Time {
	p.permit.permitAccount.mu.Lock()
	defer p.permit.permitAccount.mu.Unlock()
	return p.permit.holding.ExpiresAt
}

// A permit is the state behind a Permit.
type permit struct {
	permitAccount *permitAccount
	holding       *permitHolding // The contract under which it was lent.
	expired       chan struct{}
}

// stop takes the permit out of use. It reports whether it was in use. The
// caller holds the permitAccount's lock.
func (p *permit) stop() bool {
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

// expireAll expires all permits in use.
func (h *permitHolding) expireAll() {
	for _, p := range h.inUse {
		close(p.expired)
	}
	h.inUse = nil
	h.Amount = 0
}

// usable reports whether permits may be used until the next check.
func (h *permitHolding) usable(now time.Time) bool {
	return h.ID != 0 && h.ExpiresAt.Sub(now) > permitStopMargin
}

// A permitAccount is the borrower's state of an engine's batch permits.
type permitAccount struct {
	ledger  *Ledger
	mu      *sync.Mutex // The lock of the account's ledgerShard.
	server  string
	subject string
	shard   int // Rate shard.

	current  *permitHolding   // Contract with the current lender.
	previous []*permitHolding // Contracts with earlier lenders; kept while their permits are in use.
	pending  *pendingRequest

	unmet     int // Permits that were not available since the last lender request.
	peakInUse int // Most permits in use since the last lender request.
	target    int // Fair share of the permits in the last answer of the lender.

	nextAskAt time.Time // Earliest time of the next lender request on demand.
}

func newPermitAccount(l *Ledger, mu *sync.Mutex, server string, shard int) *permitAccount {
	a := &permitAccount{ledger: l, mu: mu, server: server, subject: EngineSubject(server), shard: shard}
	a.resetContract("")
	return a
}

// AcquirePermit takes a batch permit of an engine, if one is held. A failed
// attempt counts as demand.
func (l *Ledger) AcquirePermit(server string) (Permit, bool) {
	s := l.shard(server)
	now := l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.engines[server]
	if !ok {
		return Permit{}, false
	}
	return a.acquire(now)
}

// acquire takes a permit. The caller holds mu.
func (a *permitAccount) acquire(now time.Time) (Permit, bool) {
	h := a.current
	if !h.usable(now) || len(h.inUse) >= min(h.Amount, a.target) {
		a.unmet++
		return Permit{}, false
	}
	p := &permit{permitAccount: a, holding: h, expired: make(chan struct{})}
	h.inUse = append(h.inUse, p)
	a.peakInUse = max(a.peakInUse, len(h.inUse))
	return Permit{permit: p}, true
}

// prefetchRequest returns the lender request that is due at a prefetch, if
// any, and expires permits that were not renewed. The caller holds mu.
func (a *permitAccount) prefetchRequest(lender string, now time.Time) (pending *pendingRequest, ok bool) {
	a.expirePermits(now)
	if a.pending != nil || lender == "" {
		return nil, false
	}
	if a.current.Lender != lender || (a.current.ID != 0 && !a.current.active(now)) {
		a.resetContract(lender)
	}
	wanted := a.takeDemand()
	h := a.current
	h.Amount = min(h.Amount, max(len(h.inUse), min(wanted, a.target)))
	ahead := max(0, wanted-h.Amount)
	if ahead == 0 && !h.unreported() && !h.renewalDue(now) {
		return nil, false
	}
	request := h.newRequest(a.subject, now)
	request.Ahead = ahead
	a.pending = &pendingRequest{owner: a, shard: a.shard, request: request, sentAt: now}
	return a.pending, true
}

// requestUnmet returns a lender request for the permits that were not
// available, unless one was sent just before. The caller holds mu.
func (a *permitAccount) requestUnmet(lender string, now time.Time) (pending *pendingRequest, ok bool) {
	if now.Before(a.nextAskAt) {
		return nil, false
	}
	pending, ok = a.prefetchRequest(lender, now)
	if ok {
		a.nextAskAt = now.Add(minPermitRequestInterval)
	}
	return pending, ok
}

// takeDemand returns the number of permits that could be used, and starts a
// new measurement period.
func (a *permitAccount) takeDemand() int {
	wanted := max(a.peakInUse+a.unmet, len(a.current.inUse))
	a.unmet = 0
	a.peakInUse = len(a.current.inUse)
	return wanted
}

// expirePermits expires the permits whose contract is about to expire.
func (a *permitAccount) expirePermits(now time.Time) {
	if !a.current.usable(now) {
		a.current.expireAll()
	}
	for _, h := range a.previous {
		if !h.usable(now) {
			h.expireAll()
		}
	}
	a.previous = slices.DeleteFunc(a.previous, func(h *permitHolding) bool { return len(h.inUse) == 0 })
}

// resetContract replaces the current contract by one that is not open yet.
// Permits in use stay valid until the old one expires.
func (a *permitAccount) resetContract(lender string) {
	if a.current != nil && len(a.current.inUse) > 0 {
		a.previous = append(a.previous, a.current)
	}
	a.current = &permitHolding{}
	a.current.Contract = newContract(a.subject, lender, a.ledger.self)
	a.target = 0
}

// close ends all permits, for example when the engine is removed from the
// configuration.
func (a *permitAccount) close() {
	a.pending = nil
	a.unmet, a.peakInUse = 0, 0
	a.current.expireAll()
	for _, h := range a.previous {
		h.expireAll()
	}
	a.previous = nil
}

// handleGrant applies the lender's answer. It implements requestOwner.
func (a *permitAccount) handleGrant(pending *pendingRequest, g Grant, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending != pending {
		return
	}
	a.pending = nil
	switch g.Status {
	case StatusGranted:
		a.current.applyGrant(pending, g)
		a.target = g.Target
		if g.Ahead > 0 {
			a.signalLent()
		}
	case StatusGone:
		a.resetContract(a.current.Lender)
	}
}

// handleFailure drops a lender request that got no answer. It implements
// requestOwner.
func (a *permitAccount) handleFailure(pending *pendingRequest, _ bool, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == pending {
		a.pending = nil
	}
}

func (a *permitAccount) signalLent() {
	select {
	case a.ledger.permitsLent <- struct{}{}:
	default:
	}
}
