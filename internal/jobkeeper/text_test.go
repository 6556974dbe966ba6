package jobkeeper

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// TestInvalidText guards against jobs that cannot be read or taken over any more because
// one byte of one event is not UTF-8.
func TestInvalidText(t *testing.T) {
	t.Run("an item goes on after the last valid event", func(t *testing.T) {
		c := newTestCluster()
		c.client.garbled["i1"] = 1
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1", "i2"))
		assertResults(t, awaitResults(t, k, 2), StateCompleted, fullText)
		assert.DeepEqual(t, c.client.resumes, []string{"1"})
	})
	t.Run("a result that an earlier build stored", func(t *testing.T) {
		c := newTestCluster()
		k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		submit(t, k1, manifest("i1", "i2"))
		awaitResults(t, k1, 2)
		segment, err := cbor.Marshal([]Result{{Item: "i1", State: StateCompleted, Text: "t\xff"}, {Item: "i2", State: StateCompleted, Text: fullText}})
		assert.NilError(t, err)
		c.put(t, "batch/"+segmentKey(jobID, 0), segment)
		c.network.isolate("k1")
		assert.Equal(t, len(read(t, k2).Results), 2)
	})
	t.Run("saved progress that cannot be decoded", func(t *testing.T) {
		c := newTestCluster()
		hold := make(chan struct{})
		c.client.hold = hold
		k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		submit(t, k1, manifest("i1"))
		c.put(t, "batch/"+progressKey(jobID), []byte{0xff})
		c.terms["k1"].set(1, false)
		c.removeFirstMember(t, k2)
		awaitOwned(t, k2, true)
		close(hold)
		assertResults(t, awaitResults(t, k2, 1), StateCompleted, fullText)
	})
}

// put writes a key as another writer would.
func (c *testCluster) put(t *testing.T, key string, value []byte) {
	t.Helper()
	_, err := c.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: value}}})
	assert.NilError(t, err)
}
