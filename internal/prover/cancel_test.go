package prover

import (
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

// cancelLimit is the time after which a cancelled job must not reach an engine.
const cancelLimit = 5 * time.Second

// Guards against a cancelled job that continues at an entry other than the one
// that received the cancellation, and against the loss of its finished results.
func TestCancelledJobStops(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	const items = 2000
	assertOK(t, d.mustCall("entry-a1", submit(key, "stop", batchItems("stop", items, 25))))
	tester.Eventually(t, waitTimeout, "a chunk has results", func() error {
		if lines := strings.Count(d.results("entry-b1", key, "stop").body, "\n"); lines == 0 {
			return merry.New("no results")
		}
		return nil
	})
	before := d.results("entry-b1", key, "stop").body
	assert.Assert(t, d.holdsChunk("entry-a1", "stop"), "entry-a1 runs no chunk of the job")

	// From here on the claimed chunks take longer than cancelLimit, so that only
	// the cancellation can end them in time.
	d.setEngineFault(engineemulator.Fault{Match: "stop-item", DelayMillis: 1500})
	assertOK(t, d.mustCall("entry-b1", request{path: "/v1/batches/stop/cancel", key: key}))
	deadline := time.Now().Add(cancelLimit)
	tester.Eventually(t, waitTimeout, "the cancellation limit has passed", func() error {
		if time.Now().Before(deadline) {
			return merry.New("not yet")
		}
		return nil
	})
	t.Run("no item starts after the limit", func(t *testing.T) {
		stopped := d.dispatchedItems("stop")
		assert.Assert(t, stopped < items, "all items were dispatched before the cancellation")
		tester.Always(t, 4*time.Second, "no item reaches an engine", func() error {
			if now := d.dispatchedItems("stop"); now != stopped {
				return merry.Errorf("%d items after %d", now, stopped)
			}
			return nil
		})
	})
	t.Run("finished results stay readable", func(t *testing.T) {
		for _, entry := range d.Entries {
			d.awaitJob(entry.ID, key, "stop", "cancelled")
			assertLinesKept(t, d.results(entry.ID, key, "stop"), before)
		}
	})
}

// assertLinesKept checks that an answer contains each line of an earlier one
// exactly once.
func assertLinesKept(t testing.TB, a answer, before string) {
	t.Helper()
	assertOK(t, a)
	for line := range strings.Lines(before) {
		assert.Equal(t, strings.Count(a.body, line), 1, "%s", line)
	}
}
