package limiter

import (
	"math"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// minSlotFillTime is the shortest time in which a slot's bucket fills. In two
// prefetch periods an idle slot can give back all that it gains; a faster one
// would discard tokens in between.
const minSlotFillTime = 2 * PrefetchPeriod

// An Allotment is a share of a workspace's rate and burst.
type Allotment struct {
	Rate  float64 // Tokens per second.
	Burst int     // Tokens.
}

// A Division splits a workspace's rate and burst between the lender and the
// standing slots. The shares add up to the whole. All instances with the same
// configuration compute the same division.
type Division struct {
	Lender Allotment
	Slots  []Allotment
}

// Divide splits the rate and burst of a workspace.
func Divide(w declarer.Workspace, limits declarer.Limits) Division {
	d := Division{
		Lender: Allotment{Rate: w.Rate, Burst: w.Burst},
		Slots:  make([]Allotment, max(0, limits.StandingSlots)),
	}
	standingBurst := int(math.Floor(limits.StandingShare*float64(w.Burst) + tokenEpsilon))
	if standingBurst <= 0 || len(d.Slots) == 0 {
		return d
	}
	// The first slot differs between workspaces, so that the remainders of
	// the division are spread over the slots.
	first := int(stableHash(w.Name) % uint64(len(d.Slots)))
	for n := range d.Slots {
		position := (n + first) % len(d.Slots)
		burst := standingBurst / len(d.Slots)
		if position < standingBurst%len(d.Slots) {
			burst++
		}
		rate := limits.StandingShare * w.Rate * float64(burst) / float64(standingBurst)
		rate = min(rate, float64(burst)/minSlotFillTime.Seconds())
		d.Slots[n] = Allotment{Rate: rate, Burst: burst}
		d.Lender.Rate -= rate
		d.Lender.Burst -= burst
	}
	return d
}

// SlotAllotment returns the share of a slot. It is zero for an undeclared
// slot.
func (d Division) SlotAllotment(n int) Allotment {
	if n < 0 || n >= len(d.Slots) {
		return Allotment{}
	}
	return d.Slots[n]
}

// LenderAllotment returns the lender's share, which includes the shares of
// the slots that nobody holds.
func (d Division) LenderAllotment(table SlotTable) Allotment {
	allotment := d.Lender
	for n, slot := range d.Slots {
		if !table.Held(n) {
			allotment.Rate += slot.Rate
			allotment.Burst += slot.Burst
		}
	}
	return allotment
}

// A SlotTable lists the standing slots that are held. The zero table counts
// all slots as held, which is safe until the table has been read.
type SlotTable struct {
	Read    bool
	Version int64          // Highest version of a held slot.
	Holders map[int]string // Instance ID by slot.
}

// Held reports whether a slot is or may be held.
func (t SlotTable) Held(n int) bool {
	_, held := t.Holders[n]
	return held || !t.Read
}

// gainedSince reports whether a slot is held in t that was not held in old.
func (t SlotTable) gainedSince(old SlotTable) bool {
	for n := range t.Holders {
		if !old.Held(n) {
			return true
		}
	}
	return false
}

// A Slot is the standing slot that this instance holds.
type Slot struct {
	Number     int
	Version    int64     // Of its key in the platform; zero when no slot is held.
	ValidUntil time.Time // End of the lease, less a margin.

	// UsableFrom is when the slot's buckets may start to fill.
	UsableFrom time.Time
	// Confirmed holds the rate shards whose lenders count the slot as held.
	Confirmed map[int]bool
}

// usable reports whether the slot's share of a rate shard may be used.
func (s *Slot) usable(shard int, now time.Time) bool {
	return s != nil && s.Version != 0 && s.Confirmed[shard] &&
		!now.Before(s.UsableFrom) && now.Before(s.ValidUntil)
}
