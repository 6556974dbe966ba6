package enroller

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func fleetOf(domains, perDomain int) (members []Member) {
	for d := range domains {
		for i := range perDomain {
			members = append(members, Member{ID: fmt.Sprintf("%d-%03d", d, i), FailureDomain: fmt.Sprint(d)})
		}
	}
	return members
}

func cellOf(members []Member, m Member) Cell {
	return m.Cell(slices.DeleteFunc(slices.Clone(members), func(other Member) bool { return other.ID == m.ID }))
}

// TestCell guards against reports between all pairs of a large fleet, and against
// instances that receive no reports.
func TestCell(t *testing.T) {
	t.Run("a small fleet is one cell", func(t *testing.T) {
		members := fleetOf(4, 7)
		c := cellOf(members, members[3])
		assert.Equal(t, len(c.Members), len(members)-1)
		assert.Equal(t, len(c.Aggregators)+len(c.OtherAggregators), 0)
	})
	t.Run("a large fleet", func(t *testing.T) {
		members := fleetOf(4, 75)
		byID := map[string]Cell{}
		pairs := 0
		for _, m := range members {
			c := cellOf(members, m)
			byID[m.ID] = c
			pairs += len(c.Members) + len(c.OtherAggregators)
		}
		assert.Assert(t, pairs < 9000, "%d ends of pairs; all pairs have 89,700", pairs)
		for id, c := range byID {
			for _, other := range slices.Concat(c.Members, c.OtherAggregators) {
				known := slices.Concat(byID[other].Members, byID[other].OtherAggregators)
				assert.Assert(t, slices.Contains(known, id), "%s exchanges reports with %s but not the other way round", id, other)
			}
			assert.Assert(t, len(c.Aggregators) > 0)
			assert.Equal(t, len(c.OtherAggregators) > 0, slices.Contains(c.Aggregators, id))
		}
	})
	t.Run("an instance that leaves changes few cells", func(t *testing.T) {
		members := fleetOf(4, 75)
		changed := 0
		for _, m := range members[1:] {
			if cellOf(members, m).Name != cellOf(members[1:], m).Name {
				changed++
			}
		}
		assert.Equal(t, changed, 0)
	})
}
