package limiter

import (
	"math"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// A lentContract is the lender's state of a contract. Amount is the number of
// tokens or permits that count as lent; ExpiresAt includes the margin.
type lentContract struct {
	registrar.Contract
	ID              uint64
	Sequence        uint64 // Of the last lender request applied.
	Spent           int64  // As stated in that request.
	AtOnce          int    // Part of Amount lent to waiting requests; expires at AtOnceExpiresAt.
	AtOnceExpiresAt time.Time
	Wanted          int // Permits that the borrower could use.
}

// A pool holds what the lender can lend of one subject.
type pool struct {
	subject   string
	reusable  bool      // True for permits, which return when a contract ends; tokens are consumed.
	allotment Allotment // The lender's share; for permits the bound, at rate zero.

	// startedAt is when this lender took over. Tokens lent by an earlier
	// lender may be in use until MaxContractLifetime after it.
	startedAt time.Time
	// hasHandOver is set if the earlier lender reported what it had lent;
	// previousLent is that amount.
	hasHandOver  bool
	previousLent int

	free        float64 // Tokens or permits that can be lent.
	outstanding int     // Sum of the contracts' amounts. free + outstanding <= capacity.
	updatedAt   time.Time

	// fullSince is the time since when free + outstanding has been at the
	// capacity without interruption, so that new tokens were discarded. It is
	// zero when the pool is not full.
	fullSince time.Time

	contracts map[uint64]*lentContract
	// nextExpiry is not after the first expiry of a contract or of its AtOnce
	// tokens. It avoids a scan of all contracts for each lender request.
	nextExpiry time.Time
}

// newPool returns an empty pool.
func newPool(subject string, allotment Allotment, reusable bool, startedAt time.Time) *pool {
	return &pool{
		subject:   subject,
		reusable:  reusable,
		allotment: allotment,
		startedAt: startedAt,
		updatedAt: startedAt,
		contracts: make(map[uint64]*lentContract),
	}
}

// setAllotment changes the lender's share from now on. Contracts stay: after
// a reduction nothing is lent until enough of them have expired.
func (p *pool) setAllotment(allotment Allotment, now time.Time) {
	if p.allotment == allotment {
		return
	}
	p.advance(now)
	p.allotment = allotment
	p.fullSince = time.Time{}
	p.accrue(now)
	p.clamp(now)
}

// minAheadBurst is the smallest burst of which tokens are lent ahead of
// demand. With a smaller burst, a single idle token at one borrower would be
// missed by others.
const minAheadBurst = 8

// maxAhead is the number of tokens that may be lent ahead of demand.
func (p *pool) maxAhead() int {
	if p.allotment.Burst < minAheadBurst && !p.reusable {
		return 0
	}
	return p.allotment.Burst / 2
}

// previousReserve is an upper bound of what an earlier lender lent and is
// still in use. Tokens lent to waiting requests expire first; tokens lent
// ahead were at most half of the burst.
func (p *pool) previousReserve(now time.Time) int {
	switch age := now.Sub(p.startedAt); {
	case age >= MaxContractLifetime:
		return 0
	case p.hasHandOver:
		return p.previousLent
	case age < LenderTimeout+ContractMargin:
		return p.allotment.Burst
	case p.reusable:
		return p.allotment.Burst
	default:
		return p.maxAhead()
	}
}

// capacity is the upper bound of free + outstanding.
func (p *pool) capacity(now time.Time) float64 {
	return float64(p.allotment.Burst - p.previousReserve(now))
}

// advance brings the pool up to now, stopping at each time at which its
// capacity grows or a contract expires.
func (p *pool) advance(now time.Time) {
	for {
		at, ok := p.nextChange(now)
		if !ok {
			break
		}
		p.accrue(at)
		p.expire(at)
	}
	p.accrue(now)
}

// nextChange returns the next time up to now at which advance has to stop.
func (p *pool) nextChange(now time.Time) (at time.Time, ok bool) {
	at = now
	for _, after := range []time.Duration{LenderTimeout + ContractMargin, MaxContractLifetime} {
		step := p.startedAt.Add(after)
		if step.After(p.updatedAt) && step.Before(at) {
			at = step
			ok = true
		}
	}
	if !p.nextExpiry.IsZero() && !p.nextExpiry.After(at) {
		return later(p.nextExpiry, p.updatedAt), true
	}
	return at, ok
}

// accrue adds the tokens since updatedAt. Capacity and contracts must not
// have changed in between.
func (p *pool) accrue(now time.Time) {
	elapsed := now.Sub(p.updatedAt)
	if elapsed < 0 {
		return
	}
	if p.reusable {
		p.free = max(0, p.capacity(now)-float64(p.outstanding))
		p.updatedAt = now
		return
	}
	room := p.capacity(p.updatedAt) - p.free - float64(p.outstanding)
	gain := p.allotment.Rate * elapsed.Seconds()
	switch {
	case gain < room, room < 0:
		p.free = max(0, p.free+min(gain, room))
		p.fullSince = time.Time{}
	case gain > 0:
		p.free += room
		if room > tokenEpsilon || p.fullSince.IsZero() {
			p.fullSince = p.updatedAt.Add(seconds(room / p.allotment.Rate))
		}
	}
	p.updatedAt = now
}

// clamp discards free tokens above the capacity.
func (p *pool) clamp(now time.Time) {
	p.free = max(0, min(p.free, p.capacity(now)-float64(p.outstanding)))
}

// expire removes what has expired. Expired tokens are discarded, because the
// lender does not know whether they were used.
func (p *pool) expire(now time.Time) {
	p.nextExpiry = time.Time{}
	for id, c := range p.contracts {
		if c.AtOnce > 0 && !now.Before(c.AtOnceExpiresAt) {
			p.writeOff(c, c.AtOnce)
			c.AtOnce = 0
		}
		if !now.Before(c.ExpiresAt) {
			p.writeOff(c, c.Amount)
			delete(p.contracts, id)
			continue
		}
		p.trackExpiry(c)
	}
}

// writeOff removes an amount from a contract. Tokens are lost; permits become
// free at the next accrue.
func (p *pool) writeOff(c *lentContract, amount int) {
	if amount == 0 {
		return
	}
	c.Amount -= amount
	p.outstanding -= amount
	p.fullSince = time.Time{}
}

// trackExpiry lowers nextExpiry to the expiry of a contract.
func (p *pool) trackExpiry(c *lentContract) {
	end := c.ExpiresAt
	if c.AtOnce > 0 && c.AtOnceExpiresAt.Before(end) {
		end = c.AtOnceExpiresAt
	}
	if p.nextExpiry.IsZero() || end.Before(p.nextExpiry) {
		p.nextExpiry = end
	}
}

// available is the number of whole tokens or permits that can be lent.
func (p *pool) available() int {
	return int(math.Floor(p.free + tokenEpsilon))
}

// lentAhead is the number of tokens lent ahead of demand.
func (p *pool) lentAhead() int {
	n := p.outstanding
	for _, c := range p.contracts {
		n -= c.AtOnce
	}
	return n
}
