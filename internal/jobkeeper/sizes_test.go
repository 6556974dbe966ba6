package jobkeeper

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// storeJob stores a job without an owner, as an earlier build may have accepted it.
func (c *testCluster) storeJob(t *testing.T, m Manifest, listed ...Result) {
	t.Helper()
	write := storer.Transaction{}
	add := func(key string, value any) {
		data, err := encoder.Marshal(value)
		assert.NilError(t, err)
		for n := 0; n == 0 || n*maxValueBytes < len(data); n++ {
			part := data[n*maxValueBytes : min(len(data), (n+1)*maxValueBytes)]
			write.Writes = append(write.Writes, storer.Write{Key: "batch/" + strings.ReplaceAll(key, "#", fmt.Sprint(n)), Value: part})
		}
	}
	add("job/"+m.Job+"/#", m)
	record := Record{
		Owner: "gone", Incarnation: "gone-1", Workspace: m.Workspace, Route: m.Route, SubmittedAt: m.SubmittedAt,
		Total: len(m.Items), Parts: len(write.Writes), Tokens: m.tokens(), WaitingTokens: m.tokens(), Listed: len(listed),
	}
	if len(listed) > 0 {
		add(segmentKey(m.Job, 0), listed)
		record.Segments = 1
	}
	add(recordKey(m.Job), record)
	_, err := c.store.Commit(t.Context(), write)
	assert.NilError(t, err)
}

// largeIDs returns n item IDs of 80 KB each.
func largeIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, strings.Repeat(fmt.Sprintf("i%03d", i), 20<<10))
	}
	return ids
}

// TestLargeItemIDs guards against results and progress that the store refuses because only
// their texts were counted.
func TestLargeItemIDs(t *testing.T) {
	t.Run("all results of the job are listed", func(t *testing.T) {
		c := newTestCluster()
		c.storeJob(t, manifest(largeIDs(20)...))
		k := c.startKeeper(t, "k1")
		k.SetMembers(enroller.Membership{})
		awaitOwned(t, k, true)
		assertResults(t, awaitAllResults(t, k, 20), StateCompleted, fullText)
		assert.Equal(t, c.store.Refusals(), 0)
	})
	t.Run("the progress is saved as far as it fits", func(t *testing.T) {
		c := newTestCluster()
		c.client.hold = make(chan struct{})
		c.storeJob(t, manifest(largeIDs(20)...))
		k := c.startKeeper(t, "k1")
		k.SetMembers(enroller.Membership{})
		awaitOwned(t, k, true)
		j, _ := k.owned(jobID)
		j.mu.Lock()
		for _, unfinished := range j.unfinished {
			unfinished.appendEvent(forwarder.Event{ID: "1", Raw: []byte("id: 1\ndata: t1\n\n")}, "")
			unfinished.recordFailure()
		}
		j.mu.Unlock()
		assert.NilError(t, k.save(t.Context(), j, 1))
		saved, err := k.readProgress(t.Context(), jobID)
		assert.NilError(t, err)
		assert.Assert(t, len(saved) > 0)
		assert.Equal(t, c.store.Refusals(), 0)
	})
}

// TestEncodedBytes guards against bounds that are below the size of the encoded records.
func TestEncodedBytes(t *testing.T) {
	long := strings.Repeat("x", 70_000)
	assertBound := func(t *testing.T, bound int, record any) {
		t.Helper()
		data, err := encoder.Marshal(record)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= bound, "%d bytes, bound %d", len(data), bound)
	}
	for _, r := range []Result{{}, {Item: long, State: StateDeadLettered, Text: long}} {
		assertBound(t, r.encodedBytes(), r)
	}
	for _, p := range []Progress{{}, {Item: long, After: long, Events: math.MaxInt, Text: long, Version: &long, Failures: math.MaxInt}} {
		assertBound(t, p.encodedBytes(), p)
	}
}

// awaitAllResults reads the pages of a job until it has n results.
func awaitAllResults(t *testing.T, k *Keeper, n int) (all View) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		page, refusal := k.Read(t.Context(), workspace, jobID, len(all.Results), 0)
		if refusal != nil {
			return poll.Continue("refused: %v", refusal)
		}
		all.Results = append(all.Results, page.Results...)
		if len(all.Results) < n {
			return poll.Continue("%d results instead of %d", len(all.Results), n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return all
}
