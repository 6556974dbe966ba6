package jobkeeper

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
)

// TestFailuresOfFormerOwner guards against items that fail at each run and are sent again
// after each change of their owner.
func TestFailuresOfFormerOwner(t *testing.T) {
	t.Run("they count for the next owner", func(t *testing.T) {
		c := newTestCluster()
		c.client.answers["i1"] = &forwarder.Answer{Outcome: forwarder.AnswerFailed, Status: 500}
		k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		for _, finder := range c.policies {
			policy := finder.Table().Policy
			policy.Version, policy.Routes[0].MaxAttempts = 2, 3
			finder.Install(policy)
		}
		submit(t, k1, manifest("i1"))
		c.awaitRuns(t, 2)
		k1.Leave()
		j, ok := k1.owned(jobID)
		assert.Assert(t, ok)
		assert.NilError(t, k1.save(t.Context(), j, minNewEvents))
		c.terms["k1"].set(1, false)
		c.removeFirstMember(t, k2)
		assertResults(t, awaitResults(t, k2, 1), StateDeadLettered, "")
		assert.Equal(t, c.client.runsOfFirstItem(), 3)
	})
	t.Run("they are saved once", func(t *testing.T) {
		c := newTestCluster()
		k, j := startHeldJob(t, c)
		j.mu.Lock()
		j.unfinished["i1"].recordFailure()
		j.mu.Unlock()
		assert.NilError(t, k.save(t.Context(), j, minNewEvents))
		before := c.store.Calls("commit")
		assert.NilError(t, k.save(t.Context(), j, minNewEvents))
		assert.Equal(t, c.store.Calls("commit"), before)
	})
	t.Run("earlier builds read the progress", func(t *testing.T) {
		type earlierProgress struct {
			Item    string  `cbor:"item"`
			Events  int     `cbor:"events"`
			Text    string  `cbor:"text"`
			Version *string `cbor:"version,omitempty"`
		}
		version := "v1"
		data, err := encoder.Marshal([]Progress{{Item: "i1", Failures: 2}, {Item: "i2", Events: 1, Text: "t1", Version: &version, Failures: 1}})
		assert.NilError(t, err)
		var earlier []earlierProgress
		assert.NilError(t, cbor.Unmarshal(data, &earlier))
		assert.Assert(t, earlier[0].Version == nil, "an earlier build would restore an item without events")
		assert.DeepEqual(t, earlier[1], earlierProgress{Item: "i2", Events: 1, Text: "t1", Version: &version})
		data, err = cbor.Marshal(earlier)
		assert.NilError(t, err)
		var read []Progress
		assert.NilError(t, encoder.Unmarshal(data, &read))
		assert.Equal(t, read[1].Text, "t1")
	})
}
