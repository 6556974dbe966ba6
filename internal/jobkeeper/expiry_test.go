package jobkeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
)

// takeOverAged starts a keeper that takes over a job of which it sees, by its clock, that
// it was submitted the given time ago. Its item can run at once.
func takeOverAged(t *testing.T, age time.Duration) *Keeper {
	t.Helper()
	c := newTestCluster()
	hold := make(chan struct{})
	c.client.hold = hold
	k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
	m := manifest("i1")
	submit(t, k1, m)
	m.SubmittedAt = time.Now().Add(-age) // As if the clocks differed.
	c.storeManifest(t, m)
	c.terms["k1"].set(1, false)
	c.removeFirstMember(t, k2)
	awaitOwned(t, k2, true)
	close(hold)
	return k2
}

// storeManifest replaces the manifest in the store.
func (c *testCluster) storeManifest(t *testing.T, m Manifest) {
	t.Helper()
	value, err := encoder.Marshal(m)
	assert.NilError(t, err)
	c.put(t, "batch/"+manifestKey(m.Job, 0), value)
}

// TestExpiry guards against items that are given up before their job has expired,
// because its time of submission was stored in whole seconds, or was compared with the
// clock of another instance.
func TestExpiry(t *testing.T) {
	const maxWait = time.Minute // As in the policy of startKeeper.
	t.Run("the time of submission is stored in full", func(t *testing.T) {
		c := newTestCluster()
		k := c.startKeeper(t, "k1")
		m := manifest("i1")
		m.SubmittedAt = time.Now().Truncate(time.Second).Add(987 * time.Millisecond)
		submit(t, k, m)
		record, _, err := k.readRecord(t.Context(), jobID)
		assert.NilError(t, err)
		stored, err := k.readManifest(t.Context(), jobID, record.Parts)
		assert.NilError(t, err)
		assert.Assert(t, stored.SubmittedAt.Equal(m.SubmittedAt), "stored %v", stored.SubmittedAt)
		assert.Assert(t, record.SubmittedAt.Equal(m.SubmittedAt), "stored %v", record.SubmittedAt)
	})
	t.Run("the clock of a new owner is ahead", func(t *testing.T) {
		k := takeOverAged(t, maxWait+maxClockError-2*time.Second)
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
	t.Run("a job that was taken over expires", func(t *testing.T) {
		k := takeOverAged(t, maxWait+maxClockError)
		assertResults(t, awaitResults(t, k, 1), StateDeadLettered, "")
	})
}
