package limiter

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// idleTimeout is how long after the last request the tokens held ahead of
	// demand are returned.
	idleTimeout = 2 * PrefetchPeriod
	// prefetchWindow is how much expected demand is covered by tokens held
	// ahead. Holding more would take tokens from other instances; when they
	// run out the lender is asked at once.
	prefetchWindow = PrefetchPeriod
	// minPrefetch is the smallest demand in a prefetchWindow for which tokens
	// are held ahead. Below it, asking the lender for each request costs
	// little.
	minPrefetch = 4
	// demandSmoothing is the weight of the last prefetch period in the
	// smoothed rate.
	demandSmoothing = 0.25
	// maxRetryDelay is the longest delay between an answer with too few
	// tokens and the next lender request for the same workspace. It bounds
	// the lender requests of a workspace that sends several times its rate;
	// its requests wait meanwhile.
	maxRetryDelay = 20 * time.Millisecond
)

// An account is the borrower's state of a workspace.
type account struct {
	ledger    *Ledger
	mu        *sync.Mutex // The lock of the account's ledgerShard.
	workspace string
	subject   string
	shard     int // Rate shard.

	division Division
	standing standingBucket
	current  holding   // Contract with the current lender.
	previous []holding // Contracts with earlier lenders, or that the lender no longer has.
	pending  *pendingRequest
	demand   demand

	waiters    []*Waiter // In order of arrival; those with asked set come first.
	asking     bool      // A goroutine is asking the lender for the waiters.
	nextAskAt  time.Time // Earliest time of the next lender request for waiters.
	reportSoon bool      // The lender wants used tokens reported without delay.
}

// A Waiter is a request that waits for the lender's answer.
type Waiter struct {
	MustAsk bool // The caller has to start asking the lender for the account.
	account *account
	asked   bool          // The lender request in flight includes it.
	done    chan Decision // Buffered for one decision.
}

// Done returns a channel that receives the decision.
func (w *Waiter) Done() <-chan Decision {
	return w.done
}

// tryAdmit admits a request if a token is held. The caller holds mu.
func (a *account) tryAdmit(now time.Time) (Decision, bool) {
	a.demand.countRequest(now)
	slot := a.ledger.slot.Load()
	a.standing.advance(slot, a.shard, now)
	if a.standing.take() {
		return Decision{Admitted: true, Reason: ReasonStanding}, true
	}
	for i := range a.previous {
		if a.previous[i].spend(now) {
			return Decision{Admitted: true, Reason: ReasonBorrowed}, true
		}
	}
	if a.current.spend(now) {
		return Decision{Admitted: true, Reason: ReasonBorrowed}, true
	}
	return Decision{}, false
}

// setSlot applies the standing slot, or a change of the workspace's division.
func (a *account) setSlot(slot *Slot, now time.Time) {
	allotment := Allotment{}
	if slot != nil {
		allotment = a.division.SlotAllotment(slot.Number)
	}
	a.standing.setAllotment(allotment, slot, a.shard, now)
}

// wait adds a waiter for the lender's answer. The caller holds mu.
func (a *account) wait() *Waiter {
	w := &Waiter{account: a, done: make(chan Decision, 1)}
	a.waiters = append(a.waiters, w)
	w.MustAsk = a.claimAsking()
	return w
}

// claimAsking reports whether the caller has to start asking the lender.
func (a *account) claimAsking() bool {
	if a.asking || a.pending != nil || len(a.waiters) == 0 {
		return false
	}
	a.asking = true
	return true
}

// refusal returns the decision on a request for which there is no token.
func (a *account) refusal(reason Reason, retryAfter time.Duration) Decision {
	if wait := a.standing.untilNext(); retryAfter == 0 || (wait > 0 && wait < retryAfter) {
		retryAfter = wait
	}
	return Decision{Reason: reason, RetryAfter: retryAfter}
}

// refuseAll refuses all waiting requests.
func (a *account) refuseAll(reason Reason) {
	for _, w := range a.waiters {
		w.done <- a.refusal(reason, 0)
	}
	a.waiters = nil
}

// requestForWaiters returns a lender request for all waiters, or an urgent
// report of used tokens, or the delay until it may be sent. It reports false
// when none is needed. The caller holds mu.
func (a *account) requestForWaiters(lender string, now time.Time) (pending *pendingRequest, pause time.Duration, ok bool) {
	if lender == "" {
		a.refuseAll(ReasonNoLender)
	}
	if a.pending != nil || (len(a.waiters) == 0 && !a.reportDue(lender)) {
		a.asking = false
		return nil, 0, false
	}
	if pause := a.nextAskAt.Sub(now); pause > 0 && len(a.waiters) > 0 {
		return nil, pause, true
	}
	a.switchLender(lender, now)
	return a.newRequest(len(a.waiters), a.prefetchAmount(), 0, now), 0, true
}

// reportDue reports whether used tokens have to be reported without delay.
func (a *account) reportDue(lender string) bool {
	return a.reportSoon && a.current.unreported() && a.current.Lender == lender
}

// prefetchRequest returns the lender request that is due at a prefetch, if
// any. The caller holds mu.
func (a *account) prefetchRequest(lender string, now time.Time) (pending *pendingRequest, ok bool) {
	a.demand.endPeriod(now)
	a.standing.advance(a.ledger.slot.Load(), a.shard, now)
	if a.pending != nil || lender == "" {
		return nil, false
	}
	a.switchLender(lender, now)
	a.returnIdle(now)
	ahead := a.prefetchAmount()
	surplus := 0.0
	if a.standingIdle(now) && a.current.active(now) {
		surplus = a.standing.expectedOverflow()
	}
	shouldOpen := a.current.ID == 0 && a.standing.refills()
	due := ahead > 0 || surplus > 0 || shouldOpen || a.current.unreported() || a.current.renewalDue(now)
	if !due {
		return nil, false
	}
	return a.newRequest(0, ahead, surplus, now), true
}

// standingIdle reports whether the standing tokens are not needed here:
// requests arrive more slowly than the tokens, or none arrived lately.
func (a *account) standingIdle(now time.Time) bool {
	return a.demand.rate < a.standing.allotment.Rate || now.Sub(a.demand.lastRequestAt) >= PrefetchPeriod
}

// newRequest creates a lender request and marks it as in flight.
func (a *account) newRequest(atOnce, ahead int, givenBack float64, now time.Time) *pendingRequest {
	a.reportSoon = false
	request := a.current.newRequest(a.subject, now)
	request.AtOnce = atOnce
	request.Ahead = ahead
	if givenBack > 0 {
		a.standing.giveBack(givenBack, &request, now)
	}
	a.pending = &pendingRequest{owner: a, shard: a.shard, request: request, sentAt: now}
	for _, w := range a.waiters[:atOnce] {
		w.asked = true
	}
	return a.pending
}

// switchLender removes expired contracts and starts a new one if the lender
// has changed.
func (a *account) switchLender(lender string, now time.Time) {
	a.previous = slices.DeleteFunc(a.previous, func(h holding) bool { return h.Amount == 0 || !h.active(now) })
	if a.current.ID != 0 && !a.current.active(now) {
		a.resetContract(now)
	}
	if lender != "" && a.current.Lender != lender {
		a.resetContract(now)
		a.current.Lender = lender
	}
}

// resetContract replaces the current contract by one that is not open yet.
// Tokens held under the old one can be used until it expires.
func (a *account) resetContract(now time.Time) {
	if a.current.Amount > 0 && a.current.active(now) {
		a.previous = append(a.previous, a.current)
	}
	a.current = holding{Contract: newContract(a.subject, a.current.Lender, a.ledger.self)}
}

// heldTokens is the number of borrowed tokens, including those of expired
// contracts.
func (a *account) heldTokens() int {
	n := a.current.Amount
	for i := range a.previous {
		n += a.previous[i].Amount
	}
	return n
}

// tokens is the number of tokens that can be used now. The caller holds mu.
func (a *account) tokens(now time.Time) float64 {
	a.standing.advance(a.ledger.slot.Load(), a.shard, now)
	n := a.standing.tokens
	for _, h := range append(a.previous[:len(a.previous):len(a.previous)], a.current) {
		if h.active(now) {
			n += float64(h.Amount)
		}
	}
	return n
}

// prefetchAmount is the number of tokens to borrow ahead of demand. Small
// amounts are deferred.
func (a *account) prefetchAmount() int {
	target := a.demand.prefetchTarget()
	missing := target - a.heldTokens()
	if missing < max(1, target/4) {
		return 0
	}
	return missing
}

// returnIdle returns surplus tokens: after idleTimeout all that the expected
// demand does not cover, before it only what exceeds twice that demand.
func (a *account) returnIdle(now time.Time) {
	kept := a.demand.prefetchTarget()
	if now.Sub(a.demand.lastRequestAt) < idleTimeout {
		kept = 2*kept + 1
	}
	a.current.Amount = min(a.current.Amount, kept)
}

// handleGrant applies the lender's answer. It implements requestOwner.
func (a *account) handleGrant(pending *pendingRequest, g Grant, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending != pending {
		return
	}
	a.pending = nil
	atOnce := 0
	switch g.Status {
	case StatusGranted:
		a.current.applyGrant(pending, g)
		a.standing.confirmGiveBack(pending.request.Contract, pending.request.Sequence, now)
		a.reportSoon = g.ReportSoon
		if now.Sub(pending.sentAt) <= LenderTimeout {
			atOnce = g.AtOnce
		}
	case StatusGone:
		a.resetContract(now)
	}
	a.admitWaiters(atOnce, now)
	if g.Status == StatusGranted {
		a.refuseAsked(ReasonExceeded, g.RetryAfter, now)
	} else {
		a.requeueAsked(now)
	}
}

// handleFailure drops a lender request that got no answer. It implements
// requestOwner.
func (a *account) handleFailure(pending *pendingRequest, maybeSent bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending != pending {
		return
	}
	a.pending = nil
	if !maybeSent {
		a.standing.undoGiveBack(pending.request.Contract, pending.request.Sequence, now)
	}
	a.admitWaiters(0, now)
	a.refuseAsked(ReasonLenderUnreachable, 0, now)
}

// admitWaiters admits waiting requests, first with the tokens lent for them,
// then with tokens held here.
func (a *account) admitWaiters(atOnce int, now time.Time) {
	for len(a.waiters) > 0 {
		decision := Decision{Admitted: true, Reason: ReasonLent}
		if atOnce > 0 {
			atOnce--
			a.current.countUse(now)
		} else {
			held, ok := a.tryAdmitWaiting(now)
			if !ok {
				return
			}
			decision = held
		}
		a.waiters[0].done <- decision
		a.waiters = a.waiters[1:]
	}
}

// tryAdmitWaiting is tryAdmit for a request that demand already includes.
func (a *account) tryAdmitWaiting(now time.Time) (Decision, bool) {
	savedDemand := a.demand
	decision, ok := a.tryAdmit(now)
	a.demand = savedDemand
	return decision, ok
}

// refuseAsked refuses the waiters that the last lender request included.
func (a *account) refuseAsked(reason Reason, retryAfter time.Duration, now time.Time) {
	refused := 0
	for refused < len(a.waiters) && a.waiters[refused].asked {
		a.waiters[refused].done <- a.refusal(reason, retryAfter)
		refused++
	}
	a.waiters = a.waiters[refused:]
	if refused > 0 {
		a.nextAskAt = now.Add(min(maxRetryDelay, retryAfter))
	}
}

// requeueAsked keeps the waiters for another lender request: the contract had
// expired or the lender changed, so the first one was not decided on.
func (a *account) requeueAsked(now time.Time) {
	for _, w := range a.waiters {
		w.asked = false
	}
	a.nextAskAt = now.Add(maxRetryDelay / 2)
}

// removeWaiter removes a waiter. It reports false if it has been decided on.
func (a *account) removeWaiter(w *Waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// A demand measures the request rate of a workspace at this instance.
type demand struct {
	count         int     // Requests since periodStart.
	rate          float64 // Requests per second, smoothed.
	lastRequestAt time.Time
	periodStart   time.Time
}

func (d *demand) countRequest(now time.Time) {
	d.count++
	d.lastRequestAt = now
}

// endPeriod updates the smoothed rate and starts a new measurement period.
func (d *demand) endPeriod(now time.Time) {
	elapsed := now.Sub(d.periodStart).Seconds()
	if elapsed <= 0 {
		return
	}
	if !d.periodStart.IsZero() {
		measured := float64(d.count) / elapsed
		d.rate += demandSmoothing * (measured - d.rate)
	}
	d.count = 0
	d.periodStart = now
}

// prefetchTarget is the number of tokens that cover the expected demand.
func (d *demand) prefetchTarget() int {
	target := max(d.count/2, int(math.Floor(d.rate*prefetchWindow.Seconds())))
	if target < minPrefetch {
		return 0
	}
	return target
}
