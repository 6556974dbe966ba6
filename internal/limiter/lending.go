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

// rotationPeriod is how long the remainder of an uneven division of permits
// stays with the same borrowers.
const rotationPeriod = 10 * time.Second

// A contractIssuer identifies the lender in new contracts.
type contractIssuer struct {
	Lender         string
	Epoch          int64
	NextContractID uint64
}

// lend applies a lender request and answers it.
func (p *pool) lend(r LenderRequest, borrower string, issuer contractIssuer, now time.Time) Grant {
	p.advance(now)
	c, status := p.findOrOpen(r, borrower, issuer)
	if status != StatusGranted {
		return Grant{Subject: p.subject, Status: status}
	}
	receivedLast := r.Answered == c.Sequence
	c.Sequence = r.Sequence
	p.applyReport(c, r, now)
	if receivedLast {
		p.addGivenBack(r.GiveBack, now)
	}
	grant := Grant{Subject: p.subject, Status: StatusGranted, Epoch: c.Epoch, Contract: c.ID}
	if p.reusable {
		p.lendPermits(c, r, &grant, now)
	} else {
		p.lendTokens(c, r, &grant, now)
	}
	p.renew(c, &grant, now)
	p.trackExpiry(c)
	return grant
}

// renew restarts the term of a contract, unless more is lent than the pool
// may lend since its share was reduced. Such a contract expires on time, so
// that the reduction is in force after MaxContractLifetime at the latest.
func (p *pool) renew(c *lentContract, grant *Grant, now time.Time) {
	grant.Renewed = p.outstanding <= p.allotment.Burst || c.Amount <= grant.Target
	if !p.reusable {
		grant.Renewed = p.lentAhead() <= p.maxAhead()
	}
	grant.Renewed = grant.Renewed || c.ExpiresAt.IsZero()
	if grant.Renewed {
		c.ExpiresAt = now.Add(MaxContractLifetime)
	}
}

// findOrOpen returns the contract of a lender request, or opens one.
func (p *pool) findOrOpen(r LenderRequest, borrower string, issuer contractIssuer) (*lentContract, Status) {
	if r.Contract == 0 {
		c := &lentContract{ID: issuer.NextContractID}
		c.Contract = registrar.Contract{
			Subject:  p.subject,
			Lender:   issuer.Lender,
			Borrower: borrower,
			Epoch:    issuer.Epoch,
		}
		p.contracts[c.ID] = c
		return c, StatusGranted
	}
	c, ok := p.contracts[r.Contract]
	switch {
	case !ok, c.Epoch != r.Epoch, c.Borrower != borrower:
		return nil, StatusGone
	case r.Sequence <= c.Sequence:
		return nil, StatusStale
	}
	return c, StatusGranted
}

// applyReport applies what the borrower reports as held and spent.
func (p *pool) applyReport(c *lentContract, r LenderRequest, now time.Time) {
	held := max(0, r.Held)
	released := c.Amount - held
	used := 0
	if !p.reusable {
		used = max(0, min(released, int(r.Spent-c.Spent)))
	}
	c.Spent = max(c.Spent, r.Spent)
	c.Amount = held
	c.AtOnce = 0
	p.outstanding -= released
	if released > 0 {
		p.free += float64(released - used)
	}
	p.creditDiscarded(r.Uses, used, now)
	p.clamp(now)
}

// creditDiscarded restores tokens that were discarded because used tokens
// still counted as lent. If n tokens were used while the pool was full, up to
// n of the tokens discarded since that time would have had room.
func (p *pool) creditDiscarded(uses []Use, used int, now time.Time) {
	if used == 0 || p.fullSince.IsZero() {
		return
	}
	alreadyReported := -used // Uses that earlier requests already reported.
	for _, use := range uses {
		alreadyReported += use.Count
	}
	missing := float64(used)
	for _, use := range uses {
		count := use.Count - min(use.Count, max(0, alreadyReported))
		alreadyReported -= use.Count - count
		age := use.Age - time.Duration(float64(use.Age)*ageDiscount)
		from := later(now.Add(-age), p.fullSince)
		gain := min(float64(count), p.allotment.Rate*now.Sub(from).Seconds())
		if count == 0 || gain <= 0 {
			continue
		}
		p.free += gain
		missing -= gain
		p.fullSince = from.Add(seconds(gain / p.allotment.Rate))
	}
	if missing > tokenEpsilon {
		p.fullSince = time.Time{}
	}
}

// addGivenBack adds idle standing tokens, as far as the pool has room.
func (p *pool) addGivenBack(amount float64, now time.Time) {
	if amount > 0 && !p.reusable {
		p.free += amount
		p.clamp(now)
	}
}

// lendTokens lends tokens for waiting requests, and then tokens ahead of
// demand. The latter are at most half of what is free, so that the pool can
// still answer other borrowers. While contracts of an earlier lender may be
// in use, less is lent ahead, because together it could exceed half of the
// burst.
func (p *pool) lendTokens(c *lentContract, r LenderRequest, grant *Grant, now time.Time) {
	grant.AtOnce = max(0, min(r.AtOnce, p.available()))
	p.allocate(c, grant.AtOnce)
	if grant.AtOnce > 0 {
		c.AtOnce = grant.AtOnce
		c.AtOnceExpiresAt = now.Add(LenderTimeout + ContractMargin)
	}
	room := p.maxAhead() - p.previousReserve(now) - p.lentAhead()
	grant.Ahead = max(0, min(r.Ahead, room, p.available()/2))
	p.allocate(c, grant.Ahead)
	if grant.AtOnce < r.AtOnce {
		grant.RetryAfter = p.untilNext()
	}
	grant.ReportSoon = grant.AtOnce > 0 && p.refillBlocked(now)
}

// refillBlocked reports whether lent tokens keep the pool from filling before
// the next prefetch while few are free. If they have been used already, an
// early report makes room for new tokens.
func (p *pool) refillBlocked(now time.Time) bool {
	room := p.capacity(now) - float64(p.outstanding)
	scarce := p.free < p.capacity(now)/2
	return scarce && p.free+p.allotment.Rate*PrefetchPeriod.Seconds() > room
}

// lendPermits lends permits up to the borrower's fair share.
func (p *pool) lendPermits(c *lentContract, r LenderRequest, grant *Grant, now time.Time) {
	c.Wanted = c.Amount + max(0, r.Ahead)
	grant.Target = p.fairShare(c, now)
	grant.Ahead = max(0, min(r.Ahead, p.available(), grant.Target-c.Amount))
	p.allocate(c, grant.Ahead)
}

// allocate moves an amount from the pool to a contract.
func (p *pool) allocate(c *lentContract, amount int) {
	p.free = max(0, p.free-float64(amount))
	p.outstanding += amount
	c.Amount += amount
}

// untilNext is the time until the pool has a whole token.
func (p *pool) untilNext() time.Duration {
	missing := 1 - p.free
	if missing <= 0 || p.allotment.Rate <= 0 {
		return 0
	}
	return seconds(missing / p.allotment.Rate)
}

// fairShare is the max-min fair share of a contract in the bound, given what
// all borrowers want.
func (p *pool) fairShare(c *lentContract, now time.Time) int {
	contracts := make([]*lentContract, 0, len(p.contracts))
	for _, other := range p.contracts {
		contracts = append(contracts, other)
	}
	slices.SortFunc(contracts, func(x, y *lentContract) int { return p.compareDemand(x, y, now) })
	left := p.allotment.Burst
	for i, other := range contracts {
		// The contracts are sorted by demand, so what a small demand leaves
		// over is shared by the larger ones. The last ones get the remainder.
		share := min(other.Wanted, left/(len(contracts)-i))
		if other == c {
			return share
		}
		left -= share
	}
	return 0
}

// compareDemand orders by demand. The order of equal demands changes with
// time, because it decides who gets the remainder.
func (p *pool) compareDemand(x, y *lentContract, now time.Time) int {
	if x.Wanted != y.Wanted {
		return x.Wanted - y.Wanted
	}
	rotation := uint64(now.Sub(p.startedAt) / rotationPeriod)
	return cmp.Compare(shuffle(x.ID, rotation), shuffle(y.ID, rotation))
}

// shuffle maps different IDs to different numbers, because the multiplier is
// odd. The order differs between rotations.
func shuffle(id, rotation uint64) uint64 {
	return id * (0x9e3779b97f4a7c15 + 2*rotation*0x61c8864680b583eb)
}
