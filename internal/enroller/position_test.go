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
