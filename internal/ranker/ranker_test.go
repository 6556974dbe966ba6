package ranker

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHighest guards against instances that choose differently from the same members,
// and against a member that changes the choice for most keys.
func TestHighest(t *testing.T) {
	var members []string
	for n := range 10 {
		members = append(members, fmt.Sprint("i", n))
	}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	changed, chosen := 0, map[string]int{}
	for n := range 1000 {
		key := fmt.Sprint("key", n)
		highest := Highest(key, members, 3)
		assert.DeepEqual(t, highest, Highest(key, reversed, 3))
		if !slices.Equal(highest, Highest(key, members[1:], 3)) {
			changed++
		}
		for _, id := range highest {
			chosen[id]++
		}
	}
	assert.Equal(t, changed, chosen["i0"], "choices that change without a member are those that held it")
	for id, n := range chosen {
		assert.Assert(t, n > 200 && n < 400, "%s was chosen for %d of 1000 keys", id, n)
	}
	assert.Equal(t, len(Highest("key", members[:2], 3)), 2)
}
