package jobkeeper

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A refusingStore refuses the transactions that it is told to refuse.
type refusingStore struct {
	Store
	refuses  func(t storer.Transaction) bool
	refusals int
}

func (s *refusingStore) Commit(ctx context.Context, t storer.Transaction) (int64, error) {
	if s.refuses(t) {
		s.refusals++
		return 0, storer.ErrRefused
	}
	return s.Store.Commit(ctx, t)
}

// writesText reports whether a transaction writes a value below a prefix that contains a
// text.
func writesText(t storer.Transaction, prefix, text string) bool {
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, prefix) && strings.Contains(string(w.Value), text) {
			return true
		}
	}
	return false
}

// TestRefusedResults guards against jobs of which no result is listed any more, because
// the store refuses one write that is repeated for ever.
func TestRefusedResults(t *testing.T) {
	start := func(t *testing.T, refuses func(t storer.Transaction) bool) (*Keeper, *job, *refusingStore) {
		t.Helper()
		c := newTestCluster()
		c.client.hold = make(chan struct{})
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1", "i2", "i3", "i4", "i5"))
		j, ok := k.owned(jobID)
		assert.Assert(t, ok)
		j.mu.Lock()
		j.flushing = true // Keeps flushLoop from starting.
		j.mu.Unlock()
		store := &refusingStore{Store: c.store, refuses: refuses}
		k.cfg.Store = store
		return k, j, store
	}
	flushUntilListed := func(t *testing.T, k *Keeper, j *job, n int) {
		t.Helper()
		for range 10 {
			assert.NilError(t, k.flush(t.Context(), j))
		}
		assertListed(t, k, n)
	}
	t.Run("one result does not hold up the others", func(t *testing.T) {
		k, j, store := start(t, func(t storer.Transaction) bool { return writesText(t, "batch/out/", "i2") })
		for _, item := range []string{"i1", "i2", "i3", "i4"} {
			finishItem(t, k, j, item)
		}
		flushUntilListed(t, k, j, 3)
		assert.Assert(t, store.refusals <= 5, "%d writes refused", store.refusals)
	})
	t.Run("progress does not hold up results", func(t *testing.T) {
		k, j, store := start(t, func(t storer.Transaction) bool { return writesText(t, "batch/part/", "i5") })
		j.mu.Lock()
		j.unfinished["i5"].recordFailure()
		j.mu.Unlock()
		finishItem(t, k, j, "i1")
		flushUntilListed(t, k, j, 1)
		store.refuses = func(storer.Transaction) bool { return false } // The progress is saved at the end of the test.
	})
	t.Run("a result that the store takes later is listed", func(t *testing.T) {
		k, j, store := start(t, func(t storer.Transaction) bool { return writesText(t, "batch/out/", "i1") })
		finishItem(t, k, j, "i1")
		j.mu.Lock()
		j.flushing = false
		k.scheduleFlush(j)
		j.mu.Unlock()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			j.mu.Lock()
			defer j.mu.Unlock()
			if len(j.pending) > 0 || j.flushing {
				return poll.Continue("the result is not set aside")
			}
			return poll.Success()
		}, poll.WithTimeout(flushDelay+flushRetryDelay*5))
		store.refuses = func(storer.Transaction) bool { return false }
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
	t.Run("an earlier attempt may still take effect", func(t *testing.T) {
		c := newTestCluster()
		k, j := startHeldJob(t, c)
		finishItem(t, k, j, "i1")
		failCommits(c, storeemulator.ResponseLost, 1)
		assert.ErrorIs(t, k.flush(t.Context(), j), storer.ErrUnknownEffect)
		failCommits(c, storeemulator.Refused, 1)
		assert.ErrorIs(t, k.flush(t.Context(), j), storer.ErrRefused)
		assert.Assert(t, j.isDoubtful())
		j.mu.Lock()
		j.doubtfulAt = j.doubtfulAt.Add(-inDoubtPeriod)
		j.mu.Unlock()
		failCommits(c, storeemulator.Refused, 1)
		assert.NilError(t, k.flush(t.Context(), j))
		assertListed(t, k, 1)
	})
}

// TestRefusedProgress guards against progress that the store refuses and that is written
// again every few seconds.
func TestRefusedProgress(t *testing.T) {
	c := newTestCluster()
	k, j := startHeldJob(t, c)
	j.mu.Lock()
	j.unfinished["i1"].recordFailure()
	j.mu.Unlock()
	failCommits(c, storeemulator.Refused, 1)
	assert.ErrorIs(t, k.save(t.Context(), j, minNewEvents), storer.ErrRefused)
	before := c.store.Calls("commit")
	assert.NilError(t, k.save(t.Context(), j, minNewEvents))
	assert.Equal(t, c.store.Calls("commit"), before)
}

// TestRefusedJob guards against callers that are told to submit a job again that the store
// refuses.
func TestRefusedJob(t *testing.T) {
	c := newTestCluster()
	k := c.startKeeper(t, "k1")
	failCommits(c, storeemulator.Refused, 1)
	refusal := k.Submit(t.Context(), manifest("i1"))
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Code, refuser.BadRequest)
	assert.Equal(t, refusal.Outcome, refuser.NotRun)
}
