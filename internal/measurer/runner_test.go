package measurer

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// smallConfig describes a run of about a second with two workspaces.
func smallConfig(t *testing.T, entries ...string) Config {
	t.Helper()
	d, err := Load("ljepilo-hub/steady")
	assert.NilError(t, err)
	d.Deployment.Workspaces = []Workspace{
		{Name: "large", Rate: 100, Burst: 50, ChatRate: 60, CallRate: 20, BatchShare: 0.75},
		{Name: "small", Rate: 20, Burst: 10, ChatRate: 10, CallRate: 5, BatchShare: 0.25},
	}
	d.Deployment.Batch.Items = 80
	d.Deployment.Batch.ItemsPerJob = 25
	d.Scenario.WarmUp = declarer.Duration(200 * time.Millisecond)
	d.Scenario.Duration = declarer.Duration(time.Second)
	return Config{
		Description:    d,
		Entries:        entryList(entries),
		Keys:           map[string]string{"large": "key-large", "small": "key-small"},
		Clock:          clockwork.NewRealClock(),
		RequestTimeout: 5 * time.Second,
	}
}

func run(t *testing.T, cfg Config) Result {
	t.Helper()
	r, err := NewRunner(cfg)
	assert.NilError(t, err)
	result, err := r.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, result.Tool.Unsent, 0)
	return result
}

// plannedRequests returns the number of measured requests in the schedule of a
// workspace.
func plannedRequests(cfg Config, workspace string) (n int) {
	for _, w := range cfg.Description.Deployment.Workspaces {
		c := newSchedule(cfg.Description.Scenario, w)
		for r, ok := c.next(); ok; r, ok = c.next() {
			if r.Measured && w.Name == workspace {
				n++
			}
		}
	}
	return n
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	return listener.Addr().String()
}

// Guards against requests that are missing from the counts, and against a
// balancer that does not skip an entry that is down.
func TestRunCountsEveryRequest(t *testing.T) {
	entry, address := startFakeEntry(t)
	cfg := smallConfig(t, address, unusedAddress(t))
	result := run(t, cfg)

	total := 0
	for _, w := range result.Workspaces {
		total += w.Sent
		assert.Equal(t, w.Sent, plannedRequests(cfg, w.Name))
		assert.Equal(t, w.Answered, w.Sent, "%v", w.Reasons)
		assert.Equal(t, w.FairShare, 1.0)
		assert.Equal(t, w.Excess, w.Sent-w.SentWithinRate)
	}
	assert.Assert(t, entry.requests > total, "no load in the warm-up")
	assert.Assert(t, result.Batch == nil)
}

// Guards against a closed loop, which sends less while the system is slow, and
// against latencies that leave out the send lag.
func TestRunIsOpenLoop(t *testing.T) {
	entry, address := startFakeEntry(t)
	cfg := smallConfig(t, address)
	entry.withLock(func() { entry.stallUntil = time.Now().Add(cfg.Description.Scenario.end()) })
	result := run(t, cfg)
	for _, w := range result.Workspaces {
		assert.Equal(t, w.Answered, plannedRequests(cfg, w.Name))
	}
	// All requests wait for the end of the stall, 500 ms on average.
	assert.Assert(t, result.Online.FirstToken.P50 > 250, "%v", result.Online.FirstToken)

	const late = time.Second
	o := newClient(cfg).send(t.Context(), request{Workspace: "large", Kind: KindChat}, time.Now().Add(-late))
	assert.Equal(t, o.kind, answered)
	assert.Assert(t, o.firstToken >= late && o.total >= o.firstToken)
}

// Guards against refusals within the rate that are not counted, and against a
// wrong worst-served workspace.
func TestRunRefusals(t *testing.T) {
	entry, address := startFakeEntry(t)
	entry.withLock(func() { entry.refusedWorkspace = "small" })
	result := run(t, smallConfig(t, address))
	small := result.Workspaces[1]
	assert.Equal(t, small.Name, "small")
	assert.Equal(t, small.Refused, small.Sent)
	assert.Equal(t, small.RefusedWithinRate, small.SentWithinRate)
	assert.Equal(t, small.Reasons["rate-exceeded"], small.Sent)
	assert.Equal(t, result.Refusals.RefusedWithinRate, small.SentWithinRate)
	assert.Equal(t, result.Fairness.WorstWorkspace, "small")
	assert.Equal(t, result.Fairness.WorstFairShare, 0.0)
	// Refusals within the rate must not lower the tail latency.
	assert.Assert(t, small.Online.Call.Max >= 5000, "%v", small.Online.Call)
}

// Guards against batch throughput that counts items completed outside the
// measurement, and against duplicate results that are not reported.
func TestRunBatch(t *testing.T) {
	entry, address := startFakeEntry(t)
	cfg := smallConfig(t, address)
	cfg.Batch = true
	result := run(t, cfg)
	const jobs = 4 // 60 items in 3 jobs and 20 items in 1.
	assert.Equal(t, len(entry.jobs), jobs)
	assert.Equal(t, result.Batch.Items, jobs*entry.itemsPerPoll)
	assert.Equal(t, result.Batch.Duplicates, jobs)
	assert.Assert(t, !result.Batch.Exhausted)
	assert.Assert(t, result.Batch.ItemsPerSecond > 0)
	assert.Assert(t, result.Batch.TokensPerSecond/result.Batch.ItemsPerSecond > 4.9)
	for _, j := range entry.jobs {
		assert.Assert(t, j.cancelled)
	}
}

// Guards against counting broken responses as answered.
func TestClientOutcomes(t *testing.T) {
	for ending, want := range map[string]string{
		"cut":     failureTruncated,
		"crossed": failureMismatchedResponse,
		"error":   failureStreamError,
		"silent":  failureTimeout,
	} {
		t.Run(ending, func(t *testing.T) {
			entry, address := startFakeEntry(t)
			entry.withLock(func() { entry.streamEnding = ending })
			cfg := smallConfig(t, address)
			cfg.RequestTimeout = 300 * time.Millisecond
			o := newClient(cfg).send(t.Context(), request{Workspace: "large", Kind: KindChat}, time.Now())
			assert.Equal(t, o, outcome{kind: failed, reason: want})
		})
	}
	t.Run("no entry", func(t *testing.T) {
		o := newClient(smallConfig(t, unusedAddress(t))).send(t.Context(), request{Workspace: "large"}, time.Now())
		assert.Equal(t, o.reason, failureNoEntry)
	})
}

// A faultRecorder records the faults of a run.
type faultRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (l *faultRecorder) Begin(_ context.Context, f Fault) error {
	return l.add("begin " + string(f.Kind))
}

func (l *faultRecorder) End(_ context.Context, f Fault) error { return l.add("end " + string(f.Kind)) }

func (l *faultRecorder) add(call string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
	return nil
}

// Guards against a fault that is not injected or not ended.
func TestRunFaults(t *testing.T) {
	_, address := startFakeEntry(t)
	cfg := smallConfig(t, address)
	cfg.Description.Scenario.Faults = []Fault{{
		Kind: PlatformDown, At: declarer.Duration(100 * time.Millisecond), Duration: declarer.Duration(200 * time.Millisecond),
	}}
	_, err := NewRunner(cfg)
	assert.ErrorContains(t, err, "has no fault injector")

	recorder := &faultRecorder{}
	cfg.FaultInjector = recorder
	result := run(t, cfg)
	assert.DeepEqual(t, recorder.calls, []string{"begin platform-down", "end platform-down"})
	assert.Equal(t, len(result.Faults), 1)
}

// Guards against comparing runs that differ in more than batch work, and against
// tables that omit a measurement.
func TestBatchImpactAndTables(t *testing.T) {
	with := Result{Scenario: "s", WithBatch: true, Batch: &BatchResult{ItemsPerSecond: 12.5}}
	with.Online.FirstToken.P99 = 105
	without := Result{Scenario: "s"}
	without.Online.FirstToken.P99 = 100
	impact, err := NewBatchImpact(with, without)
	assert.NilError(t, err)
	assert.Equal(t, impact.FirstTokenP99.Ratio, 1.05)
	_, err = NewBatchImpact(with, with)
	assert.ErrorContains(t, err, "one without")
	without.Seed = 2
	_, err = NewBatchImpact(with, without)
	assert.ErrorContains(t, err, "differ")

	var table strings.Builder
	assert.NilError(t, with.WriteTable(&table))
	assert.NilError(t, impact.WriteTable(&table))
	for _, want := range []string{"12.5 items/s", "worst-served workspace", "refused inside the rate", "first token p99", "1.050"} {
		assert.Assert(t, cmp.Contains(table.String(), want))
	}
	content, err := json.Marshal(with)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(content), "_"), string(content))
}
