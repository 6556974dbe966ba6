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

// Guards against the loss of a job whose acknowledgement was the last thing
// that its entry did, and against results that only one disk holds.
func TestAcknowledgedJobOutlivesItsEntry(t *testing.T) {
	b := startBatchBench(t)
	key := b.keys["packing"]
	const items = 150
	content := batchItems("night", items, 10)

	t.Run("the entry is killed after its answer", func(t *testing.T) {
		assertOK(t, b.mustCall("entry-a1", submit(key, "night", content)))
		assert.NilError(t, b.Kill("entry-a1"))
		b.lapse("entry-a1")
		b.know("entry-b1", key, "night", content)
		b.awaitJobWithin(takeover, "entry-b1", key, "night", "completed")
		assertResults(t, b.results("entry-b2", key, "night"), "night", items)
	})
	t.Run("a disk is lost after the end", func(t *testing.T) {
		// The only entry that is left in its failure domain holds a copy of all.
		before := b.results("entry-b1", key, "night").body
		assert.NilError(t, b.Kill("entry-a2"))
		assert.NilError(t, os.RemoveAll(b.Entry("entry-a2").Settings.DataFolder))
		after := b.results("entry-b2", key, "night")
		assertResults(t, after, "night", items)
		assert.Equal(t, after.body, before)
	})
}

// Guards against a job that runs twice because its caller sends it again, and
// against other items under a name that is taken.
func TestResentJobIsTheSameJob(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	const items = 120
	content := batchItems("resent", items, 10)
	first := b.mustCall("entry-a1", submit(key, "resent", content))
	assertOK(t, first)

	t.Run("the same items while the job runs", func(t *testing.T) {
		assertSameJob(t, b.mustCall("entry-b1", submit(key, "resent", content)), first)
	})
	t.Run("other items", func(t *testing.T) {
		a := b.mustCall("entry-b1", submit(key, "resent", batchItems("resent", items+1, 10)))
		assertRefused(t, a, "job-conflict", "not-run")
	})
	t.Run("the same items after the end", func(t *testing.T) {
		b.awaitJob("entry-b1", key, "resent", "completed")
		assertSameJob(t, b.mustCall("entry-b1", submit(key, "resent", content)), first)
		assertResults(t, b.results("entry-a1", key, "resent"), "resent", items)
	})
	t.Run("each item ran once", func(t *testing.T) {
		assert.Equal(t, b.dispatched("resent"), items)
	})
}

// Guards against the late commit of a holder that was paused past its lease:
// it must not replace the results that another holder has committed. The lease
// is ended at the platform, so that the holder's own clock does not stop it.
func TestFrozenHolderCommitsNothing(t *testing.T) {
	b := startBatchBench(t)
	key := b.keys["packing"]
	const items = 110
	content := batchItems("frozen", items, 40)
	// The last item holds the job open, so that the first chunk has its record.
	b.engineFault(engineemulator.Fault{Match: "frozen-item-109", DelayMillis: 12_000})
	assertOK(t, b.mustCall("entry-a1", submit(key, "frozen", content)))
	b.awaitStarted("frozen", 20)
	held := b.awaitChunk("frozen", "00000", batcher.ChunkClaimed)
	frozen, _, _ := strings.Cut(held.Holder, ".")
	other, reader := "entry-b1", "entry-b2"
	if frozen == other {
		other = "entry-a1"
	}

	assert.NilError(t, b.Freeze(frozen))
	assert.Equal(t, b.lapse(frozen), 1)
	b.know(other, key, "frozen", content)
	done := b.awaitChunk("frozen", "00000", batcher.ChunkDone)
	assert.Assert(t, done.Holder != held.Holder, "the frozen holder finished the chunk")
	assert.NilError(t, b.Continue(frozen))
	tester.Eventually(t, patience, "the late commit is dropped", func() error {
		after, err := b.chunkRecord("frozen", "00000")
		assert.NilError(t, err)
		assert.DeepEqual(t, after, done)
		return b.logged(frozen, "a claim was taken over")
	})
	b.awaitJobWithin(takeover, reader, key, "frozen", "completed")
	assertResults(t, b.results(reader, key, "frozen"), "frozen", items)
}

// assertSameJob checks that an answer is about the submission of another one.
func assertSameJob(t testing.TB, a, first answer) {
	t.Helper()
	assertOK(t, a)
	assert.Equal(t, a.acceptedAt(), first.acceptedAt(), "%s", a.body)
}
