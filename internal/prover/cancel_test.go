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

// cancelBound is the time after which a cancelled job must not reach an engine.
const cancelBound = 5 * time.Second

// Guards against a cancelled job that goes on at another entry than the one
// that took the cancellation, and against the loss of its finished results.
func TestCancelledJobStops(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	const items = 2000
	assertOK(t, b.mustCall("entry-a1", submit(key, "stop", batchItems("stop", items, 25))))
	tester.Eventually(t, patience, "a chunk has results", func() error {
		if lines := strings.Count(b.results("entry-b1", key, "stop").body, "\n"); lines == 0 {
			return merry.New("no results")
		}
		return nil
	})
	before := b.results("entry-b1", key, "stop").body
	assert.Assert(t, b.holds("entry-a1", "stop"), "entry-a1 runs no chunk of the job")

	// The chunks in hand would take longer than the bound from here on, so that
	// only the cancellation ends them in time.
	b.engineFault(engineemulator.Fault{Match: "stop-item", DelayMillis: 1500})
	assertOK(t, b.mustCall("entry-b1", request{path: "/v1/batches/stop/cancel", key: key}))
	bound := time.Now().Add(cancelBound)
	tester.Eventually(t, patience, "the bound has passed", func() error {
		if time.Now().Before(bound) {
			return merry.New("not yet")
		}
		return nil
	})
	t.Run("no item starts after the bound", func(t *testing.T) {
		stopped := b.dispatched("stop")
		assert.Assert(t, stopped < items, "all items were dispatched before the cancellation")
		tester.Always(t, 4*time.Second, "no item reaches an engine", func() error {
			if now := b.dispatched("stop"); now != stopped {
				return merry.Errorf("%d items after %d", now, stopped)
			}
			return nil
		})
	})
	t.Run("finished results stay readable", func(t *testing.T) {
		for _, entry := range b.Entries {
			b.awaitJob(entry.ID, key, "stop", "cancelled")
			assertLinesKept(t, b.results(entry.ID, key, "stop"), before)
		}
	})
}

// assertLinesKept checks that an answer holds each line of an earlier one once.
func assertLinesKept(t testing.TB, a answer, before string) {
	t.Helper()
	assertOK(t, a)
	for line := range strings.Lines(before) {
		assert.Equal(t, strings.Count(a.body, line), 1, "%s", line)
	}
}
