package jobkeeper

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// TestJobCache guards against callers that fill the memory with what they ask for: names of
// jobs that do not exist, and results of other instances' jobs.
func TestJobCache(t *testing.T) {
	t.Run("names that fit no key are not kept", func(t *testing.T) {
		k := newTestCluster().startKeeper(t, "k1")
		long := strings.Repeat("j", 16<<10)
		_, refusal := k.Read(t.Context(), workspace, long, 0, 0)
		assert.Equal(t, refusal, notFound)
		_, refusal = k.Body(t.Context(), workspace, long, "i1")
		assert.Equal(t, refusal, notFound)
		assert.Equal(t, k.End(t.Context(), workspace, long), notFound)
		assert.Equal(t, len(k.cache.jobs), 0)
	})
	t.Run("names of jobs that do not exist are not kept", func(t *testing.T) {
		k := newTestCluster().startKeeper(t, "k1")
		_, refusal := k.Read(t.Context(), workspace, "j9", 0, 0)
		assert.Equal(t, refusal, notFound)
		assert.Equal(t, len(k.cache.jobs), 0)
	})
	t.Run("results are bounded", func(t *testing.T) {
		results := []Result{{Item: "i1", Text: strings.Repeat("x", 1000)}}
		size := int64(results[0].encodedBytes())
		var c jobCache
		c.init(3 * size)
		for _, id := range []string{"j1", "j2", "j3", "j4", "j4", "j4", "j4", "j5"} {
			c.add(c.get(id), id, results)
			assert.Assert(t, c.bytes <= c.limit || len(c.jobs) == 1, "%d bytes of %d jobs", c.bytes, len(c.jobs))
			assert.Assert(t, c.jobs[id] != nil, "the job that was read last was dropped")
		}
		c.add(&cachedJob{}, "j5", results) // Dropped and read again meanwhile.
		c.remove("j5")
		assert.Equal(t, c.bytes, int64(0))
	})
}

// TestJobMemory guards against callers that fill the memory of an instance with jobs, and
// against room that is not given back.
func TestJobMemory(t *testing.T) {
	const bodyBytes = 10_000
	large := func(id string) Manifest {
		m := manifest("i1", "i2")
		m.Job = id
		m.Items[1].Body = []byte(strings.Repeat("x", bodyBytes))
		return m
	}
	held := func(k *Keeper) int64 {
		k.memory.mu.Lock()
		defer k.memory.mu.Unlock()
		return k.memory.used
	}
	// start returns a keeper with room for one job, whose items run until release.
	start := func(t *testing.T) (c *testCluster, k *Keeper, release func()) {
		t.Helper()
		c = newTestCluster()
		hold := make(chan struct{})
		c.client.hold = hold
		k = c.startKeeper(t, "k1")
		k.memory.limit = large("j1").heldBytes()
		submit(t, k, large("j1"))
		refusal := k.Submit(t.Context(), large("j2"))
		assert.Assert(t, refusal != nil, "accepted")
		assert.Equal(t, refusal.Code, refuser.Overloaded)
		assert.Equal(t, refusal.Outcome, refuser.NotRun)
		submit(t, k, large("j1")) // Repeated.
		return c, k, func() { close(hold) }
	}
	// assertRoom waits until another job fits.
	assertRoom := func(t *testing.T, k *Keeper) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := held(k); n != 0 {
				return poll.Continue("%d bytes are held", n)
			}
			return poll.Success()
		})
		submit(t, k, large("j3"))
		assert.Equal(t, held(k), k.memory.limit)
	}
	t.Run("a job that is done makes room, and its bodies can be read", func(t *testing.T) {
		_, k, release := start(t)
		release()
		assertRoom(t, k)
		body, refusal := k.Body(t.Context(), workspace, "j1", "i2")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, len(body), bodyBytes)
		_, refusal = k.Body(t.Context(), workspace, "j1", "i9")
		assert.Equal(t, refusal, notFound)
	})
	t.Run("a job that was ended makes room", func(t *testing.T) {
		_, k, release := start(t)
		defer release()
		assert.Assert(t, k.End(t.Context(), workspace, "j1") == nil)
		assertRoom(t, k)
	})
	t.Run("a job that cannot be stored makes room", func(t *testing.T) {
		c := newTestCluster()
		k := c.startKeeper(t, "k1")
		c.store.SetFault(func(string) storeemulator.Fault { return storeemulator.Down })
		assert.Assert(t, k.Submit(t.Context(), large("j1")) != nil)
		assert.Equal(t, held(k), int64(0))
	})
	t.Run("a job that is taken over counts", func(t *testing.T) {
		c, _, release := start(t)
		defer release()
		other := c.startKeeper(t, "k2")
		other.memory.limit = 1
		c.removeFirstMember(t, other)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := held(other); n != large("j1").heldBytes() {
				return poll.Continue("%d bytes are held", n)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	})
}

// TestSharesOfJobMemory guards against large jobs, and against workspaces, that keep out
// the jobs of others.
func TestSharesOfJobMemory(t *testing.T) {
	const limit = 1 << 20
	assertTaken := func(t *testing.T, m *jobMemory, workspace string, n int64, want bool) {
		t.Helper()
		assert.Equal(t, m.take(workspace, n), want, "%d bytes of %s, %d are used", n, workspace, m.used)
	}
	t.Run("large jobs leave room for small ones", func(t *testing.T) {
		m := newJobMemory(limit)
		assertTaken(t, m, "a", limit*2/5, true)
		assertTaken(t, m, "b", limit*2/5, false)
		assertTaken(t, m, "b", limit*3/10, true)
		assertTaken(t, m, "c", limit/10, false)
		assertTaken(t, m, "c", smallBytes, true)
	})
	t.Run("a workspace leaves room for others", func(t *testing.T) {
		m := newJobMemory(limit)
		for range limit / 2 / smallBytes {
			assertTaken(t, m, "a", smallBytes, true)
		}
		assertTaken(t, m, "a", smallBytes, false)
		assertTaken(t, m, "b", smallBytes, true)
		m.add("a", -smallBytes)
		assertTaken(t, m, "a", smallBytes, true)
	})
	t.Run("a single job of any size fits", func(t *testing.T) {
		m := newJobMemory(limit)
		assertTaken(t, m, "a", 2*limit, true)
		assertTaken(t, m, "b", 1, false)
		m.add("a", -2*limit)
		assert.Equal(t, len(m.workspaces), 0)
	})
}

// TestRefuse guards against a refusal that says of an accepted job that it does not run.
func TestRefuse(t *testing.T) {
	c := newTestCluster()
	owner, other := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
	submit(t, owner, manifest("i1"))
	for _, k := range []*Keeper{owner, other} {
		m := Manifest{Job: jobID, Workspace: workspace}
		assert.Assert(t, k.Refuse(t.Context(), m, memoryRefusal()) == nil, "an accepted job is refused")
		m.Workspace = "w2"
		assert.Equal(t, k.Refuse(t.Context(), m, memoryRefusal()).Code, refuser.JobConflict)
		m.Job = "j9"
		assert.Equal(t, k.Refuse(t.Context(), m, memoryRefusal()).Code, refuser.Overloaded)
	}
	c.store.SetFault(func(string) storeemulator.Fault { return storeemulator.Down })
	assert.Equal(t, other.Refuse(t.Context(), Manifest{Job: "j9", Workspace: workspace}, memoryRefusal()).Outcome, refuser.Unknown)
	c.store.SetFault(func(string) storeemulator.Fault { return storeemulator.None })
}
