package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// ageDiscount shortens the age of a reported use, because the borrower's
// clock may run faster than the lender's.
const ageDiscount = 0.002

// rotationPeriod is how long the odd permits of a fair division stay with the
// same borrowers.
const rotationPeriod = 10 * time.Second

// A lendingTerm identifies the lender for new contracts.
type lendingTerm struct {
	Lender string
	Epoch  int64
	ID     uint64 // For the next contract.
}

// lend takes an ask into account and answers it.
func (p *pool) lend(a Ask, borrower string, term lendingTerm, now time.Time) Grant {
	p.settle(now)
	c, status := p.find(a, borrower, term)
	if status != StatusGranted {
		return Grant{Subject: p.subject, Status: status}
	}
	inStep := a.Answered == c.Sequence
	c.Sequence = a.Sequence
	p.report(c, a, now)
	if inStep {
		p.takeBack(a.GiveBack, now)
	}
	grant := Grant{Subject: p.subject, Status: StatusGranted, Epoch: c.Epoch, Contract: c.ID}
	if p.reusable {
		p.lendPermits(c, a, &grant, now)
	} else {
		p.lendTokens(c, a, &grant, now)
	}
	p.renew(c, &grant, now)
	p.noteEnd(c)
	return grant
}

// renew starts the term of a contract again, unless more is lent than the
// pool may lend since its part was cut. Then the contract ends on time, so
// that the cut is in force after EndOfContracts at the latest.
func (p *pool) renew(c *lent, grant *Grant, now time.Time) {
	grant.Renewed = p.outstanding <= p.part.Burst || c.Amount <= grant.Target
	if !p.reusable {
		grant.Renewed = p.aheadOut() <= p.half()
	}
	grant.Renewed = grant.Renewed || c.ExpiresAt.IsZero()
	if grant.Renewed {
		c.ExpiresAt = now.Add(EndOfContracts)
	}
}

// find returns the contract of an ask, or opens one.
func (p *pool) find(a Ask, borrower string, term lendingTerm) (*lent, Status) {
	if a.Contract == 0 {
		c := &lent{ID: term.ID}
		c.Contract = registrar.Contract{
			Subject:  p.subject,
			Lender:   term.Lender,
			Borrower: borrower,
			Epoch:    term.Epoch,
		}
		p.contracts[c.ID] = c
		return c, StatusGranted
	}
	c, ok := p.contracts[a.Contract]
	switch {
	case !ok, c.Epoch != a.Epoch, c.Borrower != borrower:
		return nil, StatusGone
	case a.Sequence <= c.Sequence:
		return nil, StatusStale
	}
	return c, StatusGranted
}

// report takes over the borrower's statement of what it holds and has spent.
func (p *pool) report(c *lent, a Ask, now time.Time) {
	held := max(0, a.Held)
	released := c.Amount - held
	used := 0
	if !p.reusable {
		used = max(0, min(released, int(a.Spent-c.Spent)))
	}
	c.Spent = max(c.Spent, a.Spent)
	c.Amount = held
	c.AtOnce = 0
	p.outstanding -= released
	if released > 0 {
		p.free += float64(released - used)
	}
	p.restore(a.Uses, used, now)
	p.clamp(now)
}

// restore makes up for tokens that were discarded because used tokens still
// counted as lent. If n tokens were used at a time since when the pool has
// been full, the tokens made after it would have found room.
func (p *pool) restore(uses []Use, used int, now time.Time) {
	if used == 0 || p.fullSince.IsZero() {
		return
	}
	older := -used // Uses that were reported before.
	for _, use := range uses {
		older += use.Count
	}
	missing := float64(used)
	for _, use := range uses {
		count := use.Count - min(use.Count, max(0, older))
		older -= use.Count - count
		age := use.Age - time.Duration(float64(use.Age)*ageDiscount)
		from := later(now.Add(-age), p.fullSince)
		gain := min(float64(count), p.part.Rate*now.Sub(from).Seconds())
		if count == 0 || gain <= 0 {
			continue
		}
		p.free += gain
		missing -= gain
		p.fullSince = from.Add(seconds(gain / p.part.Rate))
	}
	if missing > tokenEpsilon {
		p.fullSince = time.Time{}
	}
}

// takeBack adds idle standing tokens, as far as the pool has room.
func (p *pool) takeBack(amount float64, now time.Time) {
	if amount > 0 && !p.reusable {
		p.free += amount
		p.clamp(now)
	}
}

// lendTokens lends tokens for requests that wait, and then tokens ahead of
// demand. The latter are at most half of what is free, so that the pool can
// still answer other borrowers. While an earlier lender's contracts may be in
// use, nothing is lent ahead: together it could exceed half of the burst.
func (p *pool) lendTokens(c *lent, a Ask, grant *Grant, now time.Time) {
	grant.AtOnce = max(0, min(a.AtOnce, p.whole()))
	p.take(c, grant.AtOnce)
	if grant.AtOnce > 0 {
		c.AtOnce = grant.AtOnce
		c.AtOnceEnd = now.Add(AskTimeout + ContractMargin)
	}
	room := p.half() - p.reserve(now) - p.aheadOut()
	grant.Ahead = max(0, min(a.Ahead, room, p.whole()/2))
	p.take(c, grant.Ahead)
	if grant.AtOnce < a.AtOnce {
		grant.RetryAfter = p.untilNext()
	}
	grant.ReportSoon = grant.AtOnce > 0 && p.held(now)
}

// held tells whether lent tokens keep the pool from filling before the next
// prefetch, while little is free. If they are used already, the sooner that
// is known the sooner new tokens find room.
func (p *pool) held(now time.Time) bool {
	room := p.capacity(now) - float64(p.outstanding)
	scarce := p.free < p.capacity(now)/2
	return scarce && p.free+p.part.Rate*PrefetchPeriod.Seconds() > room
}

// lendPermits lends permits up to the borrower's fair part.
func (p *pool) lendPermits(c *lent, a Ask, grant *Grant, now time.Time) {
	c.Wanted = c.Amount + max(0, a.Ahead)
	grant.Target = p.fairPart(c, now)
	grant.Ahead = max(0, min(a.Ahead, p.whole(), grant.Target-c.Amount))
	p.take(c, grant.Ahead)
}

// take moves an amount from the pool to a contract.
func (p *pool) take(c *lent, amount int) {
	p.free = max(0, p.free-float64(amount))
	p.outstanding += amount
	c.Amount += amount
}

// untilNext is the time until the pool has a whole token.
func (p *pool) untilNext() time.Duration {
	missing := 1 - p.free
	if missing <= 0 || p.part.Rate <= 0 {
		return 0
	}
	return seconds(missing / p.part.Rate)
}

// fairPart is the max-min fair part of a contract in the bound, given what
// all borrowers want.
func (p *pool) fairPart(c *lent, now time.Time) int {
	contracts := make([]*lent, 0, len(p.contracts))
	for _, other := range p.contracts {
		contracts = append(contracts, other)
	}
	slices.SortFunc(contracts, func(x, y *lent) int { return p.compareClaims(x, y, now) })
	left := p.part.Burst
	for i, other := range contracts {
		// The claims are in rising order, so what a small claim leaves over
		// is shared by the larger ones. The last ones get the odd permits.
		part := min(other.Wanted, left/(len(contracts)-i))
		if other == c {
			return part
		}
		left -= part
	}
	return 0
}

// compareClaims orders by claim. The order of equal claims changes with time,
// because it decides who gets the odd permits.
func (p *pool) compareClaims(x, y *lent, now time.Time) int {
	if x.Wanted != y.Wanted {
		return x.Wanted - y.Wanted
	}
	turn := uint64(now.Sub(p.startedAt) / rotationPeriod)
	return cmp.Compare(shuffle(x.ID, turn), shuffle(y.ID, turn))
}

// shuffle maps different IDs to different numbers, in another order in each
// turn: both multipliers are odd.
func shuffle(id, turn uint64) uint64 {
	return id * (0x9e3779b97f4a7c15 + 2*turn*0x61c8864680b583eb)
}
