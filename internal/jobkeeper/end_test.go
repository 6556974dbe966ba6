package jobkeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// startTakenOver starts two keepers and a job of the first one that the second one has
// taken over, while the first one still has it in its table.
func startTakenOver(t *testing.T) (c *testCluster, former, owner *Keeper) {
	t.Helper()
	c = newTestCluster()
	c.client.hold = make(chan struct{})
	former, owner = c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
	awaitScan(t, former) // Its next one would show that the job is lost.
	submit(t, former, manifest("i1"))
	c.removeFirstMember(t, owner)
	awaitOwned(t, owner, true)
	_, owned := former.owned(jobID)
	assert.Assert(t, owned)
	return c, former, owner
}

// awaitScan waits until a keeper has scanned the records once.
func awaitScan(t *testing.T, k *Keeper) {
	t.Helper()
	awaitScanAfter(t, k, time.Time{})
}

// awaitScanAfter waits until a keeper has scanned the records after a time.
func awaitScanAfter(t *testing.T, k *Keeper, at time.Time) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		k.mu.Lock()
		defer k.mu.Unlock()
		if !k.scannedAt.After(at) {
			return poll.Continue("the records have not been scanned")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func assertEnded(t *testing.T, k *Keeper) {
	t.Helper()
	j, ok := k.owned(jobID)
	assert.Assert(t, ok)
	j.mu.Lock()
	defer j.mu.Unlock()
	assert.Assert(t, j.ended, "the owner goes on with a job whose end was acknowledged")
}

// TestEndAfterTakeOver guards against items that run after the end of their job was
// acknowledged by an instance that did not own the job any more.
func TestEndAfterTakeOver(t *testing.T) {
	t.Run("at an instance that leaves", func(t *testing.T) {
		c, former, owner := startTakenOver(t)
		former.Leave()
		c.terms["k1"].set(2, true) // Its entry says that it leaves.
		assert.Assert(t, former.End(t.Context(), workspace, jobID) == nil)
		assertEnded(t, owner)
	})
	t.Run("at an instance whose lease has ended", func(t *testing.T) {
		c, former, owner := startTakenOver(t)
		c.terms["k1"].set(1, false)
		assert.Assert(t, former.End(t.Context(), workspace, jobID) == nil)
		assertEnded(t, owner)
	})
	t.Run("at an instance that has enrolled again", func(t *testing.T) {
		c, former, owner := startTakenOver(t)
		c.terms["k1"].set(2, true)
		assert.Assert(t, former.End(t.Context(), workspace, jobID) == nil)
		assertEnded(t, owner)
	})
	t.Run("at an instance that takes the former owner for the owner", func(t *testing.T) {
		c, former, owner := startTakenOver(t)
		former.Leave()
		c.terms["k1"].set(1, false)
		other := c.startKeeper(t, "k3")
		other.RecordOwner("k1", []string{jobID})
		assert.Assert(t, other.End(t.Context(), workspace, jobID) == nil)
		assertEnded(t, owner)
	})
	t.Run("by a request of an earlier build to the former owner", func(t *testing.T) {
		c, former, _ := startTakenOver(t)
		c.terms["k1"].set(1, false)
		former.Leave()
		var response jobResponse
		request := jobRequest{Operation: operationEnd, Job: jobID, Workspace: workspace}
		assert.NilError(t, fakeLinks{c.network, "k4"}.Call(t.Context(), "k1", linker.KindJob, request, &response))
		assert.Assert(t, !response.Owned, "the caller takes the former owner for the owner")
	})
	t.Run("while the job is taken over", func(t *testing.T) {
		c := newTestCluster()
		c.client.hold = make(chan struct{})
		k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		submit(t, k1, manifest("i1"))
		c.removeFirstMember(t)
		record, version, err := k2.readRecord(t.Context(), jobID)
		assert.NilError(t, err)
		ended := false
		k2.cfg.Store = beforeCommit{Store: c.store, do: func() {
			if !ended {
				ended = true
				_, err := c.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: "end/" + jobID, Value: []byte(workspace)}}})
				assert.NilError(t, err)
			}
		}}
		assert.ErrorIs(t, k2.takeOver(t.Context(), jobID, record, version), storer.ErrConflict)
		assert.NilError(t, k2.takeOver(t.Context(), jobID, record, version))
		assertEnded(t, k2)
	})
	t.Run("before the new owner has added the job", func(t *testing.T) {
		c := newTestCluster()
		c.client.hold = make(chan struct{})
		k := c.startKeeper(t, "k1")
		m := manifest("i1")
		submit(t, k, m)
		j, _ := k.owned(jobID)
		k.dropOwned(j)
		request := jobRequest{Operation: operationEnd, Job: jobID, Workspace: workspace}
		assert.NilError(t, fakeLinks{c.network, "k2"}.Call(t.Context(), "k1", linker.KindJob, request, &jobResponse{}))
		k.addOwned(newJob(m, j.record, j.version, nil))
		assertEnded(t, k)
	})
}

// TestVerifyOwnership guards against instances that learn only from the scan of each
// minute that their jobs were taken over while they had no lease.
func TestVerifyOwnership(t *testing.T) {
	c, former, _ := startTakenOver(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		former.mu.Lock()
		defer former.mu.Unlock()
		if former.scannedAt.IsZero() {
			return poll.Continue("the records have not been scanned")
		}
		return poll.Success()
	})
	c.terms["k1"].set(2, true)
	former.VerifyOwnership()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, owned := former.owned(jobID); owned {
			return poll.Continue("the former owner has the job in its table")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestApplyEnds guards against ends in the store that the owner does not apply, and against
// jobs that never run because an earlier one with the same ID was ended and removed.
func TestApplyEnds(t *testing.T) {
	endEntry := []storer.Entry{{Key: "end/" + jobID, Value: []byte(workspace)}}
	t.Run("the owner ends its job", func(t *testing.T) {
		c := newTestCluster()
		c.client.hold = make(chan struct{})
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1"))
		k.ApplyEnds(endEntry)
		assertEnded(t, k)
	})
	t.Run("a job that is being taken over", func(t *testing.T) {
		c := newTestCluster()
		c.client.hold = make(chan struct{})
		owner, successor := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		submit(t, owner, manifest("i1"))
		successor.ApplyEnds(endEntry)
		c.removeFirstMember(t)
		record, version, err := successor.readRecord(t.Context(), jobID)
		assert.NilError(t, err)
		assert.NilError(t, successor.takeOver(t.Context(), jobID, record, version))
		assertEnded(t, successor)
	})
	t.Run("an ID that is used again", func(t *testing.T) {
		k := newTestCluster().startKeeper(t, "k1")
		k.ApplyEnds(endEntry)
		k.ApplyEnds(nil)
		submit(t, k, manifest("i1"))
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
}
