package limiter

import (
	"math"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// A lentContract is a contract as its lender keeps it. Amount is what counts as lent;
// ExpiresAt includes the margin.
type lentContract struct {
	registrar.Contract
	ID        uint64
	Sequence  uint64 // Of the last ask taken into account.
	Spent     int64  // As stated in that ask.
	AtOnce    int    // Part of Amount that was lent to waiting requests; ends at AtOnceEnd.
	AtOnceEnd time.Time
	Wanted    int // Permits that the borrower could use.
}

// A pool is what the lender can lend of one subject.
type pool struct {
	subject  string
	reusable bool      // Permits: they come back when a contract ends. Tokens are used up.
	part     Allotment // The lender's part; for permits the bound, at rate zero.

	// startedAt is when this lender took over. What an earlier lender lent
	// may be in use until EndOfContracts after it.
	startedAt time.Time
	// handedOver means that the earlier lender said what it had lent, and
	// lentBefore is that amount.
	handedOver bool
	lentBefore int

	free        float64 // Tokens or permits that can be lent.
	outstanding int     // Sum of the contracts' amounts. free + outstanding <= capacity.
	settledAt   time.Time

	// fullSince is the time since which free + outstanding has been at the
	// capacity without a break, so that new tokens were discarded. It is zero
	// when the pool is not full.
	fullSince time.Time

	contracts map[uint64]*lentContract
	// firstEnd is not after the first end of a contract or of its tokens lent
	// at once. It saves looking at all contracts for each ask.
	firstEnd time.Time
}

// newPool returns an empty pool.
func newPool(subject string, part Allotment, reusable bool, startedAt time.Time) *pool {
	return &pool{
		subject:   subject,
		reusable:  reusable,
		part:      part,
		startedAt: startedAt,
		settledAt: startedAt,
		contracts: make(map[uint64]*lentContract),
	}
}

// setPart changes the lender's part from now on. Contracts stay: after a cut
// nothing is lent until enough of them have ended.
func (p *pool) setPart(part Allotment, now time.Time) {
	if p.part == part {
		return
	}
	p.settle(now)
	p.part = part
	p.fullSince = time.Time{}
	p.accrue(now)
	p.clamp(now)
}

// minAheadBurst is the smallest burst of which tokens are lent ahead of
// demand. Of a smaller one, a single token that lies idle at a borrower would
// be missed elsewhere.
const minAheadBurst = 8

// half is the number of tokens that may be lent ahead of demand.
func (p *pool) half() int {
	if p.part.Burst < minAheadBurst && !p.reusable {
		return 0
	}
	return p.part.Burst / 2
}

// reserve bounds what an earlier lender lent and is still in use. Tokens lent
// to waiting requests end first; tokens lent ahead were at most half of the
// burst.
func (p *pool) reserve(now time.Time) int {
	switch age := now.Sub(p.startedAt); {
	case age >= EndOfContracts:
		return 0
	case p.handedOver:
		return p.lentBefore
	case age < AskTimeout+ContractMargin:
		return p.part.Burst
	case p.reusable:
		return p.part.Burst
	default:
		return p.half()
	}
}

// capacity bounds free + outstanding.
func (p *pool) capacity(now time.Time) float64 {
	return float64(p.part.Burst - p.reserve(now))
}

// settle brings the pool to now, step by step over the moments at which its
// capacity grows or a contract ends.
func (p *pool) settle(now time.Time) {
	for {
		at, ok := p.nextChange(now)
		if !ok {
			break
		}
		p.accrue(at)
		p.endContracts(at)
	}
	p.accrue(now)
}

// nextChange returns the next moment up to now that settle has to stop at.
func (p *pool) nextChange(now time.Time) (at time.Time, ok bool) {
	at = now
	for _, after := range []time.Duration{AskTimeout + ContractMargin, EndOfContracts} {
		step := p.startedAt.Add(after)
		if step.After(p.settledAt) && step.Before(at) {
			at = step
			ok = true
		}
	}
	if !p.firstEnd.IsZero() && !p.firstEnd.After(at) {
		return later(p.firstEnd, p.settledAt), true
	}
	return at, ok
}

// accrue adds the tokens made since settledAt, during which nothing changed.
func (p *pool) accrue(now time.Time) {
	elapsed := now.Sub(p.settledAt)
	if elapsed < 0 {
		return
	}
	if p.reusable {
		p.free = max(0, p.capacity(now)-float64(p.outstanding))
		p.settledAt = now
		return
	}
	room := p.capacity(p.settledAt) - p.free - float64(p.outstanding)
	gain := p.part.Rate * elapsed.Seconds()
	switch {
	case gain < room, room < 0:
		p.free = max(0, p.free+min(gain, room))
		p.fullSince = time.Time{}
	case gain > 0:
		p.free += room
		if room > tokenEpsilon || p.fullSince.IsZero() {
			p.fullSince = p.settledAt.Add(seconds(room / p.part.Rate))
		}
	}
	p.settledAt = now
}

// clamp drops free tokens above the capacity.
func (p *pool) clamp(now time.Time) {
	p.free = max(0, min(p.free, p.capacity(now)-float64(p.outstanding)))
}

// endContracts drops what has ended by now. Tokens that end are lost: whether
// they were used is not known.
func (p *pool) endContracts(now time.Time) {
	p.firstEnd = time.Time{}
	for id, c := range p.contracts {
		if c.AtOnce > 0 && !now.Before(c.AtOnceEnd) {
			p.drop(c, c.AtOnce)
			c.AtOnce = 0
		}
		if !now.Before(c.ExpiresAt) {
			p.drop(c, c.Amount)
			delete(p.contracts, id)
			continue
		}
		p.noteEnd(c)
	}
}

// drop takes an amount out of a contract.
func (p *pool) drop(c *lentContract, amount int) {
	if amount == 0 {
		return
	}
	c.Amount -= amount
	p.outstanding -= amount
	p.fullSince = time.Time{}
}

// noteEnd keeps firstEnd valid for a contract.
func (p *pool) noteEnd(c *lentContract) {
	end := c.ExpiresAt
	if c.AtOnce > 0 && c.AtOnceEnd.Before(end) {
		end = c.AtOnceEnd
	}
	if p.firstEnd.IsZero() || end.Before(p.firstEnd) {
		p.firstEnd = end
	}
}

// whole is the number of whole tokens or permits that can be lent.
func (p *pool) whole() int {
	return int(math.Floor(p.free + tokenEpsilon))
}

// aheadOut is the number of tokens lent ahead of demand.
func (p *pool) aheadOut() int {
	n := p.outstanding
	for _, c := range p.contracts {
		n -= c.AtOnce
	}
	return n
}
