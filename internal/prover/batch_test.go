package prover

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

// Guards against the loss of a job whose entry is killed right after the
// acknowledgement, and against results that are stored on one disk only.
func TestAcknowledgedJobSurvivesEntryLoss(t *testing.T) {
	d := startBatchDeployment(t)
	key := d.keys["packing"]
	const items = 150
	content := batchItems("night", items, 10)

	t.Run("the entry is killed after its answer", func(t *testing.T) {
		assertOK(t, d.mustCall("entry-a1", submit(key, "night", content)))
		assert.NilError(t, d.Kill("entry-a1"))
		d.revokeLeases("entry-a1")
		d.resubmit("entry-b1", key, "night", content)
		d.awaitJobWithin(takeoverTimeout, "entry-b1", key, "night", "completed")
		assertResults(t, d.results("entry-b2", key, "night"), "night", items)
	})
	t.Run("a disk is lost after completion", func(t *testing.T) {
		// The only remaining entry of its failure domain holds a copy of all results.
		before := d.results("entry-b1", key, "night").body
		assert.NilError(t, d.Kill("entry-a2"))
		assert.NilError(t, os.RemoveAll(d.Entry("entry-a2").Settings.DataFolder))
		after := d.results("entry-b2", key, "night")
		assertResults(t, after, "night", items)
		assert.Equal(t, after.body, before)
	})
}

// Guards against a job that runs twice because its caller resubmits it, and
// against a submission of other items under an existing job name.
func TestResubmittedJobIsIdempotent(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	const items = 120
	content := batchItems("resent", items, 10)
	first := d.mustCall("entry-a1", submit(key, "resent", content))
	assertOK(t, first)

	t.Run("the same items while the job runs", func(t *testing.T) {
		assertSameJob(t, d.mustCall("entry-b1", submit(key, "resent", content)), first)
	})
	t.Run("other items", func(t *testing.T) {
		a := d.mustCall("entry-b1", submit(key, "resent", batchItems("resent", items+1, 10)))
		assertRefused(t, a, "job-conflict", "not-run")
	})
	t.Run("the same items after completion", func(t *testing.T) {
		d.awaitJob("entry-b1", key, "resent", "completed")
		assertSameJob(t, d.mustCall("entry-b1", submit(key, "resent", content)), first)
		assertResults(t, d.results("entry-a1", key, "resent"), "resent", items)
	})
	t.Run("each item ran once", func(t *testing.T) {
		assert.Equal(t, d.dispatchedItems("resent"), items)
	})
}

// Guards against a late commit of a claim holder that was frozen beyond its
// lease: it must not replace the results that another holder has committed. The
// test revokes the lease at the platform, so that the frozen holder does not
// notice the expiry by its own clock.
func TestFrozenHolderCommitsNothing(t *testing.T) {
	d := startBatchDeployment(t)
	key := d.keys["packing"]
	const items = 110
	content := batchItems("frozen", items, 40)
	// The delayed last item keeps the job open, so that the chunk records remain.
	d.setEngineFault(engineemulator.Fault{Match: "frozen-item-109", DelayMillis: 12_000})
	assertOK(t, d.mustCall("entry-a1", submit(key, "frozen", content)))
	d.awaitItems("frozen", 20)
	claimed := d.awaitChunk("frozen", "00000", batcher.ChunkClaimed)
	frozenEntry, _, _ := strings.Cut(claimed.Holder, ".")
	other, reader := "entry-b1", "entry-b2"
	if frozenEntry == other {
		other = "entry-a1"
	}

	assert.NilError(t, d.Freeze(frozenEntry))
	assert.Equal(t, d.revokeLeases(frozenEntry), 1)
	d.resubmit(other, key, "frozen", content)
	done := d.awaitChunk("frozen", "00000", batcher.ChunkDone)
	assert.Assert(t, done.Holder != claimed.Holder, "the frozen holder finished the chunk")
	assert.NilError(t, d.Continue(frozenEntry))
	tester.Eventually(t, waitTimeout, "the late commit is rejected", func() error {
		after, err := d.chunkRecord("frozen", "00000")
		assert.NilError(t, err)
		assert.DeepEqual(t, after, done)
		return d.checkLogged(frozenEntry, "a claim was taken over")
	})
	d.awaitJobWithin(takeoverTimeout, reader, key, "frozen", "completed")
	assertResults(t, d.results(reader, key, "frozen"), "frozen", items)
}

// assertSameJob checks that two answers report the same submission.
func assertSameJob(t testing.TB, a, first answer) {
	t.Helper()
	assertOK(t, a)
	assert.Equal(t, a.acceptedAt(), first.acceptedAt(), "%s", a.body)
}
