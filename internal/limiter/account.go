package limiter

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// idleAfter is the time without a request after which tokens held ahead
	// of demand are returned.
	idleAfter = 2 * PrefetchPeriod
	// prefetchCover is the demand that is held ahead. More would keep tokens
	// from other instances; when it falls short the lender is asked at once.
	prefetchCover = PrefetchPeriod
	// minPrefetch is the smallest demand in a prefetchCover for which tokens
	// are held ahead. Below it asking for each request costs little.
	minPrefetch = 4
	// demandSmoothing is the weight of the last prefetch period.
	demandSmoothing = 0.25
	// maxQuiet is the longest pause between an answer that fell short and the
	// next ask for the same workspace. It bounds the asks of a workspace that
	// sends several times its rate; its requests wait meanwhile.
	maxQuiet = 20 * time.Millisecond
)

// An account is a workspace as its borrower sees it.
type account struct {
	ledger    *Ledger
	mu        *sync.Mutex // Of the account's shard of the ledger.
	workspace string
	subject   string
	shard     int // Rate shard.

	division Division
	standing standing
	current  holding   // With the present lender.
	old      []holding // With earlier lenders, or under contracts that the lender has forgotten.
	flight   *flight
	demand   demand

	waiters    []*Waiter // In order of arrival. Those with asked set come first.
	asking     bool      // A goroutine asks for the waiters.
	quietUntil time.Time // No ask for waiters before.
	reportSoon bool      // The lender waits for a report of what was used.
}

// A Waiter is a request that waits for an answer of the lender.
type Waiter struct {
	Asks    bool // The caller has to start asking for the account.
	account *account
	asked   bool          // An ask in flight counts it.
	done    chan Decision // Receives the decision; holds one.
}

// Done receives the decision when there is one.
func (w *Waiter) Done() <-chan Decision {
	return w.done
}

// request decides on a request with what is held here. The caller holds mu.
func (a *account) request(now time.Time) (Decision, bool) {
	a.demand.note(now)
	slot := a.ledger.slot.Load()
	a.standing.settle(slot, a.shard, now)
	if a.standing.take() {
		return Decision{Admitted: true, Reason: ReasonStanding}, true
	}
	for i := range a.old {
		if a.old[i].spend(now) {
			return Decision{Admitted: true, Reason: ReasonBorrowed}, true
		}
	}
	if a.current.spend(now) {
		return Decision{Admitted: true, Reason: ReasonBorrowed}, true
	}
	return Decision{}, false
}

// setSlot takes over the standing slot or the workspace's division.
func (a *account) setSlot(slot *Slot, now time.Time) {
	part := Allotment{}
	if slot != nil {
		part = a.division.Slot(slot.Number)
	}
	a.standing.setPart(part, slot, a.shard, now)
}

// wait adds a request that waits for the lender. The caller holds mu.
func (a *account) wait() *Waiter {
	w := &Waiter{account: a, done: make(chan Decision, 1)}
	a.waiters = append(a.waiters, w)
	w.Asks = a.claimAsking()
	return w
}

// claimAsking tells whether the caller has to start asking.
func (a *account) claimAsking() bool {
	if a.asking || a.flight != nil || len(a.waiters) == 0 {
		return false
	}
	a.asking = true
	return true
}

// refusal is the decision on a request for which there is no token.
func (a *account) refusal(reason Reason, retryAfter time.Duration) Decision {
	if wait := a.standing.untilNext(); retryAfter == 0 || (wait > 0 && wait < retryAfter) {
		retryAfter = wait
	}
	return Decision{Reason: reason, RetryAfter: retryAfter}
}

// refuseAll refuses all requests that wait.
func (a *account) refuseAll(reason Reason) {
	for _, w := range a.waiters {
		w.done <- a.refusal(reason, 0)
	}
	a.waiters = nil
}

// askForWaiters returns an ask for all requests that wait, or a report that
// can't wait, or the time until it may be sent. It reports false when none is
// needed. The caller holds mu.
func (a *account) askForWaiters(lender string, now time.Time) (f *flight, pause time.Duration, ok bool) {
	if lender == "" {
		a.refuseAll(ReasonNoLender)
	}
	if a.flight != nil || (len(a.waiters) == 0 && !a.reportDue(lender)) {
		a.asking = false
		return nil, 0, false
	}
	if pause := a.quietUntil.Sub(now); pause > 0 && len(a.waiters) > 0 {
		return nil, pause, true
	}
	a.follow(lender, now)
	return a.ask(len(a.waiters), a.wanted(), 0, now), 0, true
}

// reportDue tells whether used tokens have to be reported without delay.
func (a *account) reportDue(lender string) bool {
	return a.reportSoon && a.current.unreported() && a.current.Lender == lender
}

// collect returns the ask that is due at a prefetch, if any. The caller holds
// mu.
func (a *account) collect(lender string, now time.Time) (f *flight, ok bool) {
	a.demand.tick(now)
	a.standing.settle(a.ledger.slot.Load(), a.shard, now)
	if a.flight != nil || lender == "" {
		return nil, false
	}
	a.follow(lender, now)
	a.shedIdle(now)
	ahead := a.wanted()
	giveBack := 0.0
	if a.standingIdle(now) && a.current.live(now) {
		giveBack = a.standing.overflow()
	}
	opens := a.current.ID == 0 && a.standing.gains()
	due := ahead > 0 || giveBack > 0 || opens || a.current.unreported() || a.current.renewalDue(now)
	if !due {
		return nil, false
	}
	return a.ask(0, ahead, giveBack, now), true
}

// standingIdle tells whether the standing tokens are not needed here: requests
// come more slowly than the tokens, or none came lately.
func (a *account) standingIdle(now time.Time) bool {
	return a.demand.rate < a.standing.part.Rate || now.Sub(a.demand.lastAt) >= PrefetchPeriod
}

// ask puts an ask in flight.
func (a *account) ask(atOnce, ahead int, giveBack float64, now time.Time) *flight {
	a.reportSoon = false
	ask := a.current.ask(a.subject, now)
	ask.AtOnce = atOnce
	ask.Ahead = ahead
	if giveBack > 0 {
		a.standing.giveBack(giveBack, &ask, now)
	}
	a.flight = &flight{owner: a, shard: a.shard, ask: ask, sentAt: now, asked: atOnce}
	for _, w := range a.waiters[:atOnce] {
		w.asked = true
	}
	return a.flight
}

// follow turns to another lender, and drops what has ended.
func (a *account) follow(lender string, now time.Time) {
	a.old = slices.DeleteFunc(a.old, func(h holding) bool { return h.Amount == 0 || !h.live(now) })
	if a.current.ID != 0 && !a.current.live(now) {
		a.reopen(now)
	}
	if lender != "" && a.current.Lender != lender {
		a.reopen(now)
		a.current.Lender = lender
	}
}

// reopen gives up the current contract. What is held under it can be used
// until it ends.
func (a *account) reopen(now time.Time) {
	if a.current.Amount > 0 && a.current.live(now) {
		a.old = append(a.old, a.current)
	}
	a.current = holding{Contract: newContract(a.subject, a.current.Lender, a.ledger.self)}
}

// held is the number of tokens that can be used here.
func (a *account) held() int {
	n := a.current.Amount
	for i := range a.old {
		n += a.old[i].Amount
	}
	return n
}

// tokens counts what can be used now. The caller holds mu.
func (a *account) tokens(now time.Time) float64 {
	a.standing.settle(a.ledger.slot.Load(), a.shard, now)
	n := a.standing.level
	for _, h := range append(a.old[:len(a.old):len(a.old)], a.current) {
		if h.live(now) {
			n += float64(h.Amount)
		}
	}
	return n
}

// wanted is the number of tokens to borrow ahead of demand. Small additions
// are put off.
func (a *account) wanted() int {
	target := a.demand.target()
	missing := target - a.held()
	if missing < max(1, target/4) {
		return 0
	}
	return missing
}

// shedIdle returns tokens that are not needed any more: after a pause all
// that the demand does not cover, before that only what is far beyond it.
func (a *account) shedIdle(now time.Time) {
	kept := a.demand.target()
	if now.Sub(a.demand.lastAt) < idleAfter {
		kept = 2*kept + 1
	}
	a.current.Amount = min(a.current.Amount, kept)
}

// deliver takes over the lender's answer. It implements owner.
func (a *account) deliver(f *flight, g Grant, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flight != f {
		return
	}
	a.flight = nil
	atOnce := 0
	switch g.Status {
	case StatusGranted:
		a.current.answered(f, g)
		a.standing.answered(f.ask.Contract, f.ask.Sequence)
		a.reportSoon = g.ReportSoon
		if now.Sub(f.sentAt) <= AskTimeout {
			atOnce = g.AtOnce
		}
	case StatusGone:
		a.reopen(now)
	}
	a.serve(atOnce, now)
	if g.Status == StatusGranted {
		a.refuseAsked(ReasonExceeded, g.RetryAfter, now)
	} else {
		a.retryAsked(now)
	}
}

// abandon gives up an ask without an answer. It implements owner.
func (a *account) abandon(f *flight, handedOver bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flight != f {
		return
	}
	a.flight = nil
	if !handedOver {
		a.standing.undelivered(f.ask.Contract, f.ask.Sequence)
	}
	a.serve(0, now)
	a.refuseAsked(ReasonLenderUnreachable, 0, now)
}

// serve admits requests that wait: with tokens lent for them, then with what
// is held here.
func (a *account) serve(atOnce int, now time.Time) {
	for len(a.waiters) > 0 {
		decision := Decision{Admitted: true, Reason: ReasonLent}
		if atOnce > 0 {
			atOnce--
			a.current.note(now)
		} else {
			held, ok := a.requestWaiting(now)
			if !ok {
				return
			}
			decision = held
		}
		a.waiters[0].done <- decision
		a.waiters = a.waiters[1:]
	}
}

// requestWaiting is request for a request that was counted before.
func (a *account) requestWaiting(now time.Time) (Decision, bool) {
	counted := a.demand
	decision, ok := a.request(now)
	a.demand = counted
	return decision, ok
}

// refuseAsked refuses the requests for which the lender was asked in vain.
func (a *account) refuseAsked(reason Reason, retryAfter time.Duration, now time.Time) {
	refused := 0
	for refused < len(a.waiters) && a.waiters[refused].asked {
		a.waiters[refused].done <- a.refusal(reason, retryAfter)
		refused++
	}
	a.waiters = a.waiters[refused:]
	if refused > 0 {
		a.quietUntil = now.Add(min(maxQuiet, retryAfter))
	}
}

// retryAsked lets the requests wait for another ask: the contract had ended
// or the lender has changed, so the first one was not decided on.
func (a *account) retryAsked(now time.Time) {
	for _, w := range a.waiters {
		w.asked = false
	}
	a.quietUntil = now.Add(maxQuiet / 2)
}

// withdraw takes a request out of the waiting ones. It reports false when it
// has been decided on.
func (a *account) withdraw(w *Waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// A demand measures the requests of a workspace at this instance.
type demand struct {
	count  int     // Since ticked.
	rate   float64 // Requests a second, smoothed.
	lastAt time.Time
	ticked time.Time
}

// note counts a request.
func (d *demand) note(now time.Time) {
	d.count++
	d.lastAt = now
}

// tick ends a period of measurement.
func (d *demand) tick(now time.Time) {
	elapsed := now.Sub(d.ticked).Seconds()
	if elapsed <= 0 {
		return
	}
	if !d.ticked.IsZero() {
		measured := float64(d.count) / elapsed
		d.rate += demandSmoothing * (measured - d.rate)
	}
	d.count = 0
	d.ticked = now
}

// target is the number of tokens that cover the demand to come.
func (d *demand) target() int {
	target := max(d.count/2, int(math.Floor(d.rate*prefetchCover.Seconds())))
	if target < minPrefetch {
		return 0
	}
	return target
}
