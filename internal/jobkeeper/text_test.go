package jobkeeper

import (
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
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

// TestOversizedAnswer guards against results that the store refuses, and that hold up all
// later results of their job, after a server has answered an item without end.
func TestOversizedAnswer(t *testing.T) {
	run := func(t *testing.T, endless *endlessStream) {
		t.Helper()
		c := newTestCluster()
		c.client.queued = []*forwarder.Answer{{Outcome: forwarder.AnswerSucceeded, Status: 200, Stream: endless}}
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1", "i2"))
		assertResults(t, awaitResults(t, k, 2), StateCompleted, fullText)
		assert.Equal(t, len(c.client.resumes), 0, "an item went on after events of the oversized answer")
	}
	t.Run("more events than the item has tokens", func(t *testing.T) {
		endless := &endlessStream{data: "x"}
		run(t, endless)
		assert.Equal(t, endless.events, itemTokens+1)
	})
	t.Run("more text than a value of the store holds", func(t *testing.T) {
		run(t, &endlessStream{data: strings.Repeat("x", maxValueBytes/2)})
	})
	t.Run("more JSON than a caller accepts", func(t *testing.T) {
		endless := &endlessStream{data: strings.Repeat("\x01", maxPageBytes/12)}
		run(t, endless)
		assert.Equal(t, endless.events, 2)
	})
}

// An endlessStream has events without end.
type endlessStream struct {
	data   string
	events int
}

func (s *endlessStream) Next() (forwarder.Event, error) {
	s.events++
	id := strconv.Itoa(s.events)
	return forwarder.Event{ID: id, Raw: []byte("id: " + id + "\ndata: " + s.data + "\n\n")}, nil
}

func (s *endlessStream) Close() {}

// put writes a key as another writer would.
func (c *testCluster) put(t *testing.T, key string, value []byte) {
	t.Helper()
	_, err := c.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: value}}})
	assert.NilError(t, err)
}
