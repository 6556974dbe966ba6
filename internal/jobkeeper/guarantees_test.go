package jobkeeper

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
)

// installRoute installs the batch route r with other limits.
func installRoute(c *testCluster, version int64, maxWait time.Duration, maxAttempts int) {
	route := batchRoute("r", "s")
	route.MaxWait, route.MaxAttempts = maxWait, maxAttempts
	c.policies[0].Install(routefinder.Policy{Version: version, Routes: []routefinder.Route{route}})
}

// TestGuarantees guards against items that are given up by a policy from before their job was
// accepted, or sooner than the policy allowed when it was.
func TestGuarantees(t *testing.T) {
	t.Run("the policy of a new owner does not have the route yet", func(t *testing.T) {
		c := newTestCluster()
		hold := make(chan struct{})
		c.client.hold = hold
		k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		installRoute(c, 5, time.Minute, 2)
		withoutRoute := &routefinder.Finder{}
		withoutRoute.Install(routefinder.Policy{Version: 4})
		k2.cfg.Policies = withoutRoute
		submit(t, k1, manifest("i1"))
		c.terms["k1"].set(1, false)
		c.removeFirstMember(t, k2)
		awaitOwned(t, k2, true)
		close(hold)
		time.Sleep(2 * itemRetryDelay)
		assert.Equal(t, len(read(t, k2).Results), 0, "the item was given up")
		withoutRoute.Install(c.policies[0].Table().Policy)
		assertResults(t, awaitResults(t, k2, 1), StateCompleted, fullText)
	})
	t.Run("the route was removed later", func(t *testing.T) {
		c, k := startWaiting(t)
		c.policies[0].Install(routefinder.Policy{Version: 2})
		assertResults(t, awaitResults(t, k, 3), StateDeadLettered, "")
	})
	t.Run("a later policy has a shorter wait", func(t *testing.T) {
		c, k := startWaiting(t)
		installRoute(c, 2, time.Millisecond, 2)
		time.Sleep(2 * recheckInterval)
		assert.Equal(t, len(read(t, k).Results), 0, "items were given up")
	})
	t.Run("a later policy has fewer attempts", func(t *testing.T) {
		c := newTestCluster()
		hold := make(chan struct{})
		c.client.hold = hold
		c.client.queued = []*forwarder.Answer{{Outcome: forwarder.AnswerFailed, Status: 500}}
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1"))
		installRoute(c, 2, time.Minute, 1)
		close(hold)
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
	t.Run("an earlier build reads the manifest, and its own is read", func(t *testing.T) {
		type earlierManifest struct {
			Job         string    `cbor:"job"`
			SubmittedAt time.Time `cbor:"submitted-at"`
			Items       []Item    `cbor:"items"`
		}
		m := manifest("i1")
		m.Guarantees = Guarantees{PolicyVersion: 5, MaxWait: time.Minute, MaxAttempts: 3}
		data, err := encoder.Marshal(m)
		assert.NilError(t, err)
		var earlier earlierManifest
		assert.NilError(t, cbor.Unmarshal(data, &earlier))
		assert.Equal(t, earlier.Items[0].ID, "i1")
		assert.Assert(t, earlier.SubmittedAt.Equal(m.SubmittedAt))
		data, err = cbor.Marshal(earlier)
		assert.NilError(t, err)
		var read Manifest
		assert.NilError(t, encoder.Unmarshal(data, &read))
		assert.Equal(t, read.Guarantees, Guarantees{})
		assert.Equal(t, read.Job, jobID)
	})
}
