package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	// itemTokens make batch items of about three seconds.
	itemTokens = 1500
	itemTime   = itemTokens * 2 * time.Millisecond
	// labelBound tells a wait behind batch work, which takes an item's
	// duration, from a busy machine.
	labelBound = itemTime / 6
	labelCalls = 300
	// yieldTime bounds the time in which batch yields, and in which it takes
	// idle capacity back.
	yieldTime = time.Second
	// onlineStreams fill both engines.
	onlineStreams = 16
	// itemsBack is about the number of items that fill both engines.
	itemsBack = 10
	// uploadItems make an upload of about four megabytes.
	uploadItems = 20_000
)

// startFullBench starts a bench whose engines are full of batch items.
func startFullBench(t *testing.T) *bench {
	b := startBench(t, benchConfig{workspaces: ample, change: reportLoadsAtOnce})
	assertOK(t, b.mustCall("entry-a1", submit(b.keys["packing"], "confirmations", batchItems("confirmations", 400, itemTokens))))
	tester.Eventually(t, patience, "batch fills the engines", func() error { return b.batchRuns(itemsBack) })
	return b
}

func reportLoadsAtOnce(d *tester.DeploymentConfig) {
	for i, s := range d.BackendServers {
		if strings.HasPrefix(s.Name, "engine") {
			d.BackendServers[i].Arguments = []string{"--load-lag", "1ms"}
		}
	}
}

// batchRuns checks that at least n batch items are in flight on the engines.
func (b *bench) batchRuns(n int) error {
	running := 0
	for _, engine := range []string{"engine-a1", "engine-b1"} {
		running += b.running(engine)
	}
	if running < n {
		return fmt.Errorf("%d items", running)
	}
	return nil
}

// running is the number of requests in flight on an engine.
func (b *bench) running(engine string) int {
	b.t.Helper()
	response, err := freshClient.Get("http://" + b.BackendServer(engine).Addresses().HTTP + "/load")
	assert.NilError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	var report engineemulator.LoadReport
	assert.NilError(b.t, json.NewDecoder(response.Body).Decode(&report))
	return report.Running
}

// itemsAfter are the times after start at which engines got items of a job, in
// order.
func (b *bench) itemsAfter(job string, start time.Time) (times []time.Time) {
	for _, r := range b.receivedBy("engine-a1", "engine-b1") {
		if r.At.After(start) && r.Contains(job+"-item") {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// Guards against label lookups that wait for batch items or for uploads.
func TestLabelsBesideBatch(t *testing.T) {
	b := startFullBench(t)
	var uploads conc.WaitGroup
	defer uploads.Wait()
	for _, e := range b.Entries {
		uploads.Go(func() {
			job := "long-" + e.ID
			_, _ = b.call(e.ID, submit(b.keys["packing"], job, batchItems(job, uploadItems, 2)))
		})
	}
	took := make([]time.Duration, labelCalls)
	for n := range labelCalls {
		start := time.Now()
		assertOK(t, b.mustCall(b.Entries[n%2].ID, get(b.keys["packing"], fmt.Sprintf("/services/label/labels/%d", n))))
		took[n] = time.Since(start)
	}
	assert.NilError(t, b.batchRuns(1), "no batch ran beside the calls")
	slices.Sort(took)
	p99, longest := took[labelCalls*99/100], took[labelCalls-1]
	t.Logf("p50 %s, p99 %s, max %s", took[labelCalls/2], p99, longest)
	assert.Assert(t, longest < labelBound, "a label lookup took %s", longest)
}

// onlineStreams is the number of streams that an engine got, none of which
// ends.
func (b *bench) onlineStreams(engine string) (n int) {
	for _, r := range b.received(engine).Requests {
		if r.Contains("marker:online-") {
			n++
		}
	}
	return n
}

// Guards against batch items that stay on engines when online streams need
// them, and against idle capacity that batch does not take back.
func TestBatchYields(t *testing.T) {
	b := startFullBench(t)
	var streams []*openStream
	for n := range onlineStreams {
		start := time.Now()
		streams = append(streams, b.openStream(b.Entries[n%2].ID, chat(b.keys["packing"], fmt.Sprintf("online-%d", n), endlessTokens, true)))
		assert.Assert(t, time.Since(start) < itemTime, "a stream waited for a batch item")
	}
	start := time.Now()
	for _, engine := range []string{"engine-a1", "engine-b1"} {
		tester.Eventually(t, patience, "batch yields on "+engine, func() error {
			online := b.onlineStreams(engine)
			batch := b.running(engine) - online
			if room := max(b.BackendServer(engine).Capacity-online, 0); batch > room {
				return fmt.Errorf("%d items beside %d streams", batch, online)
			}
			return nil
		})
	}
	took := time.Since(start)
	assert.Assert(t, took <= yieldTime, "batch yielded after %s", took)
	t.Logf("yielded after %s", took)
	for _, s := range streams {
		assert.Assert(t, s.running(), "a stream ended: %s", s.text())
		s.cancel()
	}
	t.Run("idle capacity is taken back", func(t *testing.T) {
		start := time.Now()
		var back, first time.Duration
		tester.Eventually(t, patience, "batch takes idle capacity back", func() error {
			items := b.itemsAfter("confirmations", start)
			if len(items) < itemsBack {
				return fmt.Errorf("%d items", len(items))
			}
			first, back = items[0].Sub(start), items[itemsBack-1].Sub(start)
			return nil
		})
		t.Logf("first item back after %s, %d after %s", first, itemsBack, back)
		assert.Assert(t, back <= yieldTime, "batch was back after %s", back)
	})
	a := b.mustCall("entry-b1", request{method: http.MethodPost, path: "/v1/batches/confirmations/cancel", key: b.keys["packing"]})
	assertOK(t, a)
	b.awaitJob("entry-a1", b.keys["packing"], "confirmations", "cancelled")
}
