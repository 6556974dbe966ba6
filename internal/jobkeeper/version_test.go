package jobkeeper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
)

// assertOneVersion checks that each text is whole and was written by servers of one
// version.
func assertOneVersion(t *testing.T, v View, versions ...string) {
	t.Helper()
	for _, r := range v.Results {
		whole := false
		for _, version := range versions {
			whole = whole || r.Text == strings.ReplaceAll("t1%\nt2%\nt3%", "%", version)
		}
		assert.Assert(t, whole, "item %s: %q", r.Item, r.Text)
	}
}

// TestTextOfOneVersion guards against texts that are put together from what two versions
// of a server's software wrote, and against items that never end because the servers of
// the version that began them are gone or full.
func TestTextOfOneVersion(t *testing.T) {
	t.Run("items go on at the version that began them", func(t *testing.T) {
		c := newTestCluster()
		c.versions = [3]string{"v1", "v2", "v2"}
		var items []string
		for n := range 4 {
			id := fmt.Sprint("i", n)
			items = append(items, id)
			c.client.cuts[id] = 1
		}
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest(items...))
		assertOneVersion(t, awaitResults(t, k, len(items)), "v1", "v2")
		assert.Equal(t, len(c.client.resumes), len(items), "items that went on")
	})
	t.Run("an item begins again when its version is gone", func(t *testing.T) {
		c := newTestCluster()
		c.versions = [3]string{"v1", "v1", "v1"}
		c.client.cuts["i1"] = 1
		stall := make(chan struct{})
		c.client.stall = stall
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1"))
		j, ok := k.owned(jobID)
		assert.Assert(t, ok)
		awaitFirstEvent(t, j)
		c.placers[0].Install(backendsOf([3]string{"v2", "v2", "v2"}))
		close(stall)
		assertOneVersion(t, awaitResults(t, k, 1), "v2")
	})
	t.Run("a successor does not go on from the progress of another version", func(t *testing.T) {
		c := newTestCluster()
		c.versions = [3]string{"v1", "v1", "v1"}
		stall := make(chan struct{})
		c.client.stall = stall
		k1 := c.startKeeper(t, "k1")
		c.versions = [3]string{"v2", "v2", "v2"}
		k2 := c.startKeeper(t, "k2")
		submit(t, k1, manifest("i1"))
		j, ok := k1.owned(jobID)
		assert.Assert(t, ok)
		awaitFirstEvent(t, j)
		assert.NilError(t, k1.save(t.Context(), j, 1))
		c.terms["k1"].set(1, false)
		c.removeFirstMember(t, k2)
		awaitOwned(t, k2, true)
		close(stall)
		assertOneVersion(t, awaitResults(t, k2, 1), "v2")
	})
	t.Run("an item begins again when the servers of its version stay full", func(t *testing.T) {
		_, k, busy := startBlockedItem(t)
		for _, p := range busy {
			p.Release(balancer.OutcomeDone)
		}
		assertOneVersion(t, awaitResults(t, k, 1), "v2")
	})
	t.Run("items that wait for their version do not hold up others", func(t *testing.T) {
		c, k, busy := startBlockedItem(t)
		time.Sleep(2 * itemRetryDelay) // The item waits for its version.
		for _, p := range busy {
			p.Release(balancer.OutcomeDone)
		}
		other := manifest("i2")
		other.Job = "j2"
		submit(t, k, other)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			c.client.mu.Lock()
			defer c.client.mu.Unlock()
			if c.client.runs["i2"] == 0 {
				return poll.Continue("the other item did not run")
			}
			assert.Equal(t, c.client.runs["i1"], 1, "runs of the item that waits")
			return poll.Success()
		}, poll.WithTimeout(versionPatience), poll.WithDelay(10*time.Millisecond))
		assertOneVersion(t, awaitResults(t, k, 1), "v2")
	})
}

// startBlockedItem starts an item that has begun at version v1, whose server is full. The
// placements occupy the servers of version v2.
func startBlockedItem(t *testing.T) (c *testCluster, k *Keeper, busy []*balancer.Placement) {
	t.Helper()
	c = newTestCluster()
	c.versions = [3]string{"v1", "v2", "v2"}
	c.client.cuts["i1"] = 1
	k = c.startKeeper(t, "k1")
	busy = occupy(t, c.placers[0], "v2")
	submit(t, k, manifest("i1"))
	j, ok := k.owned(jobID)
	assert.Assert(t, ok)
	awaitFirstEvent(t, j)
	occupy(t, c.placers[0], "v1")
	return c, k, busy
}

// occupy fills the servers of a version with online requests.
func occupy(t *testing.T, b *balancer.Balancer, version string) (placements []*balancer.Placement) {
	t.Helper()
	for {
		p, err := b.Acquire(balancer.Query{Service: "s", Version: &version, MaxWait: 1})
		if err != nil {
			return placements
		}
		placements = append(placements, p)
	}
}
