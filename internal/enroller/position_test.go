package enroller

import (
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStoreFollowers guards against fleets in which every instance follows the store,
// so that the number of calls grows with the fleet, and against fleets in which none
// does.
func TestStoreFollowers(t *testing.T) {
	fleet := func(domains, perDomain int) (members []Member) {
		for d := range domains {
			for i := range perDomain {
				domain := string(rune('a' + d))
				members = append(members, Member{ID: domain + strconv.Itoa(i), FailureDomain: domain})
			}
		}
		return members
	}
	storeFollowersOf := func(members []Member, id string) []string {
		peers := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
		return Member{ID: id, FailureDomain: id[:1]}.StoreFollowers(peers)
	}
	t.Run("an instance of a small fleet", func(t *testing.T) {
		assert.Equal(t, len(storeFollowersOf(fleet(2, 3), "b2")), 0)
	})
	t.Run("a store follower", func(t *testing.T) {
		assert.Equal(t, len(storeFollowersOf(fleet(4, 7), "c0")), 0)
	})
	t.Run("the first instance of another failure domain", func(t *testing.T) {
		assert.DeepEqual(t, storeFollowersOf(fleet(4, 7), "d0"), []string{"a0", "b0", "c0"})
	})
	t.Run("another instance of that failure domain", func(t *testing.T) {
		assert.DeepEqual(t, storeFollowersOf(fleet(4, 7), "d3"), []string{"a0", "b0", "c0", "d0"})
	})
	t.Run("a store follower that is leaving", func(t *testing.T) {
		members := fleet(4, 7)
		members[0].Leaving = true
		assert.DeepEqual(t, storeFollowersOf(members, "a5"), []string{"a1", "b0", "c0"})
	})
}

// TestFollowerTurn guards against fleets in which nobody checks whether watches have
// missed changes, or all instances do at the same time.
func TestFollowerTurn(t *testing.T) {
	turnsOf := func(n int) (checking, maxCount int) {
		var members []Member
		for i := range n {
			members = append(members, Member{ID: "i" + strconv.Itoa(100+i), FailureDomain: string(rune('a' + i%3))})
		}
		seen := map[int]bool{}
		for i, m := range members {
			peers := slices.Delete(slices.Clone(members), i, i+1)
			if m.StoreFollowers(peers) != nil {
				continue
			}
			index, count := m.FollowerTurn(peers)
			seen[index] = true
			maxCount = max(maxCount, count)
		}
		return len(seen), maxCount
	}
	for _, n := range []int{1, 2, 7} {
		checking, count := turnsOf(n)
		assert.Equal(t, checking, n)
		assert.Equal(t, count, n)
	}
	checking, count := turnsOf(33)
	assert.Equal(t, checking, maxStoreFollowers)
	assert.Equal(t, count, maxStoreFollowers)
	t.Run("in a fleet of cells the aggregators of a cell take turns", func(t *testing.T) {
		_, count := turnsOf(100)
		assert.Equal(t, count, aggregatorsPerCell)
	})
}
