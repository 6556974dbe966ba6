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
	// itemTokens is the token count of batch items that take about 3 s.
	itemTokens = 1500
	itemTime   = itemTokens * 2 * time.Millisecond
	// maxLabelLatency is well below an item's duration, which is the wait behind
	// batch work, and leaves room for delays of a busy machine.
	maxLabelLatency = itemTime / 6
	labelCalls      = 300
	// yieldLimit bounds the time in which batch yields capacity, and in which it
	// uses idle capacity again.
	yieldLimit = time.Second
	// onlineStreams is the number of streams that fill both engines.
	onlineStreams = 16
	// itemsToFill is about the number of items that fill both engines.
	itemsToFill = 10
	// uploadItems is the number of items of an upload of about 4 MB.
	uploadItems = 20_000
)

// startSaturatedDeployment starts a deployment and fills its engines with batch
// items.
func startSaturatedDeployment(t *testing.T) *testDeployment {
	d := startTestDeployment(t, testDeploymentConfig{workspaces: highRateWorkspaces, changeConfig: disableLoadLag})
	assertOK(t, d.mustCall("entry-a1", submit(d.keys["packing"], "confirmations", batchItems("confirmations", 400, itemTokens))))
	tester.Eventually(t, waitTimeout, "batch fills the engines", func() error { return d.checkItemsInFlight(itemsToFill) })
	return d
}

func disableLoadLag(cfg *tester.DeploymentConfig) {
	for i, s := range cfg.BackendServers {
		if strings.HasPrefix(s.Name, "engine") {
			cfg.BackendServers[i].Arguments = []string{"--load-lag", "1ms"}
		}
	}
}

// checkItemsInFlight returns an error unless at least n batch items are in
// flight on the engines.
func (d *testDeployment) checkItemsInFlight(n int) error {
	running := 0
	for _, engine := range []string{"engine-a1", "engine-b1"} {
		running += d.requestsInFlight(engine)
	}
	if running < n {
		return fmt.Errorf("%d items", running)
	}
	return nil
}

// requestsInFlight returns the number of requests in flight on an engine.
func (d *testDeployment) requestsInFlight(engine string) int {
	d.t.Helper()
	response, err := noKeepAliveClient.Get("http://" + d.BackendServer(engine).Addresses().HTTP + "/load")
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	var report engineemulator.LoadReport
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&report))
	return report.Running
}

// itemArrivals returns the sorted times after start at which engines received
// items of a job.
func (d *testDeployment) itemArrivals(job string, start time.Time) (times []time.Time) {
	for _, r := range d.receivedBy("engine-a1", "engine-b1") {
		if r.At.After(start) && r.Contains(job+"-item") {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// Guards against label lookups that wait for batch items or for uploads.
func TestLabelLatencyUnderBatchLoad(t *testing.T) {
	d := startSaturatedDeployment(t)
	var uploads conc.WaitGroup
	defer uploads.Wait()
	for _, e := range d.Entries {
		uploads.Go(func() {
			job := "long-" + e.ID
			_, _ = d.call(e.ID, submit(d.keys["packing"], job, batchItems(job, uploadItems, 2)))
		})
	}
	took := make([]time.Duration, labelCalls)
	for n := range labelCalls {
		start := time.Now()
		assertOK(t, d.mustCall(d.Entries[n%2].ID, get(d.keys["packing"], fmt.Sprintf("/services/label/labels/%d", n))))
		took[n] = time.Since(start)
	}
	assert.NilError(t, d.checkItemsInFlight(1), "no batch item ran during the calls")
	slices.Sort(took)
	p99, longest := took[labelCalls*99/100], took[labelCalls-1]
	t.Logf("p50 %s, p99 %s, max %s", took[labelCalls/2], p99, longest)
	assert.Assert(t, longest < maxLabelLatency, "a label lookup took %s", longest)
}

// onlineStreams returns the number of streams that an engine received. None of
// them has ended.
func (d *testDeployment) onlineStreams(engine string) (n int) {
	for _, r := range d.received(engine).Requests {
		if r.Contains("marker:online-") {
			n++
		}
	}
	return n
}

// Guards against batch items that keep running on engines when online streams
// need the capacity, and against idle capacity that batch does not use again.
func TestBatchYieldsToStreams(t *testing.T) {
	d := startSaturatedDeployment(t)
	var streams []*runningStream
	for n := range onlineStreams {
		start := time.Now()
		streams = append(streams, d.openStream(d.Entries[n%2].ID, chat(d.keys["packing"], fmt.Sprintf("online-%d", n), endlessTokens, true)))
		assert.Assert(t, time.Since(start) < itemTime, "a stream waited for a batch item")
	}
	start := time.Now()
	for _, engine := range []string{"engine-a1", "engine-b1"} {
		tester.Eventually(t, waitTimeout, "batch yields on "+engine, func() error {
			online := d.onlineStreams(engine)
			batch := d.requestsInFlight(engine) - online
			if allowed := max(d.BackendServer(engine).Capacity-online, 0); batch > allowed {
				return fmt.Errorf("%d items and %d streams", batch, online)
			}
			return nil
		})
	}
	took := time.Since(start)
	assert.Assert(t, took <= yieldLimit, "batch yielded after %s", took)
	t.Logf("yielded after %s", took)
	for _, s := range streams {
		assert.Assert(t, s.running(), "a stream ended: %s", s.text())
		s.cancel()
	}
	t.Run("idle capacity is used again", func(t *testing.T) {
		start := time.Now()
		var refilled, first time.Duration
		tester.Eventually(t, waitTimeout, "batch uses idle capacity", func() error {
			items := d.itemArrivals("confirmations", start)
			if len(items) < itemsToFill {
				return fmt.Errorf("%d items", len(items))
			}
			first, refilled = items[0].Sub(start), items[itemsToFill-1].Sub(start)
			return nil
		})
		t.Logf("first item after %s, %d items after %s", first, itemsToFill, refilled)
		assert.Assert(t, refilled <= yieldLimit, "batch used idle capacity after %s", refilled)
	})
	a := d.mustCall("entry-b1", request{method: http.MethodPost, path: "/v1/batches/confirmations/cancel", key: d.keys["packing"]})
	assertOK(t, a)
	d.awaitJob("entry-a1", d.keys["packing"], "confirmations", "cancelled")
}
