package jobkeeper

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// TestInvalidJobs guards against accepted jobs that can never be done, since one of their
// items cannot be listed or run.
func TestInvalidJobs(t *testing.T) {
	assertRefused := func(t *testing.T, m Manifest, reason string) {
		t.Helper()
		c := newTestCluster()
		k := c.startKeeper(t, "k1")
		refusal := k.Submit(t.Context(), m)
		assert.Assert(t, refusal != nil, "accepted")
		assert.Equal(t, refusal.Code, refuser.BadRequest)
		assert.Equal(t, refusal.Outcome, refuser.NotRun)
		assert.Assert(t, strings.Contains(refusal.Message, reason), refusal.Message)
		assert.Equal(t, c.store.Calls("commit"), 1, "writes besides the member's own")
	}
	changed := func(change func(item *Item)) Manifest {
		m := manifest("i1", "i2")
		change(&m.Items[1])
		return m
	}
	t.Run("an ID that stands twice", func(t *testing.T) {
		assertRefused(t, manifest("i1", "i1", "i2"), "item 2: its ID is that of item 1")
	})
	t.Run("an empty ID", func(t *testing.T) {
		assertRefused(t, manifest("i1", ""), "item 2")
	})
	t.Run("an ID too long for a header field", func(t *testing.T) {
		assertRefused(t, manifest("i1", strings.Repeat("i", maxItemIDBytes+1)), "item 2")
	})
	t.Run("an ID with a line break", func(t *testing.T) {
		assertRefused(t, manifest("i1", "i\n2"), "item 2")
	})
	t.Run("a path with a space", func(t *testing.T) {
		assertRefused(t, changed(func(i *Item) { i.Target = "/x y" }), "item 2")
	})
	t.Run("a header field whose name has a space", func(t *testing.T) {
		assertRefused(t, changed(func(i *Item) { i.Header = []sender.Field{{Name: "X Model", Value: "m"}} }), "item 2")
	})
	t.Run("a header field with a line break", func(t *testing.T) {
		assertRefused(t, changed(func(i *Item) { i.Header = []sender.Field{{Name: "X-Model", Value: "m\r\nX: 1"}} }), "item 2")
	})
	t.Run("the longest ID is accepted", func(t *testing.T) {
		c := newTestCluster()
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest(strings.Repeat("i", maxItemIDBytes)))
	})
}

// TestLongJobID guards against jobs that the store refuses at each attempt, and that their
// callers are told to submit again.
func TestLongJobID(t *testing.T) {
	longest := storer.MaxKeyBytes - len("batch/job//0000")
	named := func(bytes int) Manifest {
		m := manifest("i1")
		m.Job = strings.Repeat("j", bytes)
		return m
	}
	c := newTestCluster()
	k := c.startKeeper(t, "k1")
	t.Run("the longest ID is accepted", func(t *testing.T) {
		submit(t, k, named(longest))
	})
	t.Run("a longer one is refused for good", func(t *testing.T) {
		refusal := k.Submit(t.Context(), named(longest+1))
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Code, refuser.BadRequest)
	})
	t.Run("no job of a longer ID exists", func(t *testing.T) {
		id := named(storer.MaxKeyBytes).Job
		_, refusal := k.Read(t.Context(), workspace, id, 0, 0)
		assert.Equal(t, refusal, notFound)
		_, refusal = k.Body(t.Context(), workspace, id, "i1")
		assert.Equal(t, refusal, notFound)
		assert.Equal(t, k.End(t.Context(), workspace, id), notFound)
	})
	t.Run("a job that an earlier build has accepted is read", func(t *testing.T) {
		m := named(longest + 1)
		c.storeJob(t, m, Result{Item: "i1", State: StateCompleted, Text: fullText})
		v, refusal := k.Read(t.Context(), workspace, m.Job, 0, 0)
		assert.Assert(t, refusal == nil)
		assertResults(t, v, StateCompleted, fullText)
		submit(t, k, m)
	})
	assert.Equal(t, c.store.Refusals(), 0)
}

// TestLongNames guards against jobs that are refused because the name of their workspace
// does not fit into a key.
func TestLongNames(t *testing.T) {
	c := newTestCluster()
	c.waitingTokens = 1000
	k := c.startKeeper(t, "k1")
	m := manifest("i1")
	m.Workspace = strings.Repeat("w", storer.MaxKeyBytes)
	submit(t, k, m)
	assert.Equal(t, c.store.Refusals(), 0)
}

// TestRepeatedItemIDs guards against jobs of earlier builds that are never done, because an
// ID that stands several times in them is listed once.
func TestRepeatedItemIDs(t *testing.T) {
	start := func(t *testing.T, listed ...Result) (*testCluster, *Keeper) {
		t.Helper()
		c := newTestCluster()
		c.storeJob(t, manifest("i1", "i2", "i1"), listed...)
		k := c.startKeeper(t, "k1")
		k.SetMembers(enroller.Membership{})
		awaitOwned(t, k, true)
		return c, k
	}
	assertDone := func(t *testing.T, k *Keeper) {
		t.Helper()
		v := awaitAllResults(t, k, 3)
		count := map[string]int{}
		for _, r := range v.Results {
			count[r.Item]++
			assert.Equal(t, r.Text, fullText)
		}
		assert.DeepEqual(t, count, map[string]int{"i1": 2, "i2": 1})
		record, _, err := k.readRecord(t.Context(), jobID)
		assert.NilError(t, err)
		assert.Assert(t, record.Done)
		assert.Equal(t, record.WaitingTokens, int64(0))
	}
	t.Run("each position gets a result of one run", func(t *testing.T) {
		c, k := start(t)
		assertDone(t, k)
		assert.Equal(t, c.client.runsOfFirstItem(), 1)
	})
	t.Run("the earlier build has listed the ID once", func(t *testing.T) {
		c, k := start(t, Result{Item: "i1", State: StateCompleted, Text: fullText})
		assertDone(t, k)
		assert.Equal(t, c.client.runsOfFirstItem(), 0)
	})
	t.Run("it is accepted again", func(t *testing.T) {
		_, k := start(t)
		submit(t, k, manifest("i1", "i2", "i1"))
		c := newTestCluster()
		c.storeJob(t, manifest("i1", "i2", "i1"))
		submit(t, c.startKeeper(t, "k2"), manifest("i1", "i2", "i1"))
	})
}

// TestUnusableJob guards against one job that cannot be read and for which the records of
// all jobs are listed every second.
func TestUnusableJob(t *testing.T) {
	for name, key := range map[string]string{"its manifest": manifestKey("j2", 0), "a segment": segmentKey("j2", 0)} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster()
			unusable := manifest("i1", "i2")
			unusable.Job = "j2"
			c.storeJob(t, unusable, Result{Item: "i1", State: StateCompleted})
			c.put(t, "batch/"+key, []byte{0xff})
			c.storeJob(t, manifest("i1"))
			k := c.startKeeper(t, "k1")
			k.SetMembers(enroller.Membership{})
			assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
			time.Sleep(3 * sweepDebounce) // The scans that the start and the members request have ended.
			before := c.store.Calls("list")
			time.Sleep(3 * sweepRetryDelay)
			assert.Equal(t, c.store.Calls("list"), before)
			_, readRefusal := k.Read(t.Context(), workspace, "j2", 0, 0)
			_, bodyRefusal := k.Body(t.Context(), workspace, "j2", "i2")
			for _, refusal := range []*refuser.Refusal{readRefusal, bodyRefusal} {
				assert.Assert(t, refusal == nil || refusal.Code == refuser.PlatformUnavailable, "refused: %v", refusal)
			}
		})
	}
}
