package limiter

import (
	"math"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// minSlotFill is the shortest time in which a slot's tokens are refilled. Two
// prefetch periods let an idle slot give back all that it gains; a faster
// slot would lose tokens in between.
const minSlotFill = 2 * PrefetchPeriod

// An Allotment is a part of a workspace's rate and burst.
type Allotment struct {
	Rate  float64 // Tokens a second.
	Burst int     // Tokens.
}

// A Division splits a workspace's rate and burst between the lender and the
// standing slots. The parts add up to the whole. All instances with the same
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
	standing := int(math.Floor(limits.StandingShare*float64(w.Burst) + tokenEpsilon))
	if standing <= 0 || len(d.Slots) == 0 {
		return d
	}
	// The first slot differs between workspaces, so that no slot gets the odd
	// tokens of all of them.
	first := int(hashOf(w.Name) % uint64(len(d.Slots)))
	for n := range d.Slots {
		position := (n + first) % len(d.Slots)
		burst := standing / len(d.Slots)
		if position < standing%len(d.Slots) {
			burst++
		}
		rate := limits.StandingShare * w.Rate * float64(burst) / float64(standing)
		rate = min(rate, float64(burst)/minSlotFill.Seconds())
		d.Slots[n] = Allotment{Rate: rate, Burst: burst}
		d.Lender.Rate -= rate
		d.Lender.Burst -= burst
	}
	return d
}

// Slot returns the part of a slot. A slot beyond the declared number has none.
func (d Division) Slot(n int) Allotment {
	if n < 0 || n >= len(d.Slots) {
		return Allotment{}
	}
	return d.Slots[n]
}

// LenderWith returns the lender's part while some slots are held: it also has
// the parts of the slots that nobody holds.
func (d Division) LenderWith(table SlotTable) Allotment {
	part := d.Lender
	for n, slot := range d.Slots {
		if !table.Held(n) {
			part.Rate += slot.Rate
			part.Burst += slot.Burst
		}
	}
	return part
}

// A SlotTable says which standing slots are held. The zero table counts all
// slots as held, which is the safe assumption before the table was read.
type SlotTable struct {
	Read    bool
	Version int64          // Highest version of a held slot.
	Holders map[int]string // Instance ID by slot.
}

// Held tells whether a slot is or may be held.
func (t SlotTable) Held(n int) bool {
	_, held := t.Holders[n]
	return held || !t.Read
}

// gained tells whether a slot is held in t that was not held in old.
func (t SlotTable) gained(old SlotTable) bool {
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
	Version    int64     // Of its entry in the platform; zero when no slot is held.
	ValidUntil time.Time // End of the contract, less a margin.

	// UsableFrom is the time from which the slot's buckets may fill.
	UsableFrom time.Time
	// Confirmed holds the rate shards whose lenders count the slot as held.
	Confirmed map[int]bool
}

// usable tells whether the slot's share of a rate shard may be used.
func (s *Slot) usable(shard int, now time.Time) bool {
	return s != nil && s.Version != 0 && s.Confirmed[shard] &&
		!now.Before(s.UsableFrom) && now.Before(s.ValidUntil)
}
