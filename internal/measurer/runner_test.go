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
		Description:  d,
		Entries:      entryList(entries),
		Keys:         map[string]string{"large": "key-large", "small": "key-small"},
		Clock:        clockwork.NewRealClock(),
		RequestLimit: 5 * time.Second,
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

// planned is the number of measured requests of a workspace.
func planned(cfg Config, workspace string) (n int) {
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

// unusedAddress returns an address where nobody listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	return listener.Addr().String()
}

// Guards against requests that are lost in the counts, and against a dead
// entry that the balancer does not pass over.
func TestRunCountsEveryRequest(t *testing.T) {
	entry, address := startFakeEntry(t)
	cfg := smallConfig(t, address, unusedAddress(t))
	result := run(t, cfg)

	total := 0
	for _, w := range result.Workspaces {
		total += w.Asked
		assert.Equal(t, w.Asked, planned(cfg, w.Name))
		assert.Equal(t, w.Answered, w.Asked, "%v", w.Reasons)
		assert.Equal(t, w.ShareOfFair, 1.0)
		assert.Equal(t, w.Excess, w.Asked-w.AskedInside)
	}
	assert.Assert(t, entry.starts > total, "no load in the warm-up")
	assert.Assert(t, result.Batch == nil)
}

// Guards against a closed loop, which sends less while the system is slow, and
// against latency that leaves out the time before a late sending.
func TestRunIsOpenLoop(t *testing.T) {
	entry, address := startFakeEntry(t)
	cfg := smallConfig(t, address)
	entry.set(func() { entry.stallEnd = time.Now().Add(cfg.Description.Scenario.end()) })
	result := run(t, cfg)
	for _, w := range result.Workspaces {
		assert.Equal(t, w.Answered, planned(cfg, w.Name))
	}
	// All wait for the end of the stall, 500 ms on average.
	assert.Assert(t, result.Online.FirstToken.P50 > 250, "%v", result.Online.FirstToken)

	const late = time.Second
	o := newClient(cfg).send(t.Context(), request{Workspace: "large", Kind: KindChat}, time.Now().Add(-late))
	assert.Equal(t, o.verdict, answered)
	assert.Assert(t, o.first >= late && o.whole >= o.first)
}

// Guards against refusals inside the rate that are not noticed, and against a
// worst-served workspace that is not named.
func TestRunRefusals(t *testing.T) {
	entry, address := startFakeEntry(t)
	entry.set(func() { entry.refuse = "small" })
	result := run(t, smallConfig(t, address))
	small := result.Workspaces[1]
	assert.Equal(t, small.Name, "small")
	assert.Equal(t, small.Refused, small.Asked)
	assert.Equal(t, small.RefusedInside, small.AskedInside)
	assert.Equal(t, small.Reasons["rate-exceeded"], small.Asked)
	assert.Equal(t, result.Refusals.RefusedInside, small.AskedInside)
	assert.Equal(t, result.Fairness.Worst, "small")
	assert.Equal(t, result.Fairness.WorstShare, 0.0)
	// What was refused inside the rate must not make the tail look quick.
	assert.Assert(t, small.Online.Call.Max >= 5000, "%v", small.Online.Call)
}

// Guards against batch throughput that counts other items than those of the
// measurement, and against a duplicate result that is not noticed.
func TestRunBatch(t *testing.T) {
	entry, address := startFakeEntry(t)
	cfg := smallConfig(t, address)
	cfg.Batch = true
	result := run(t, cfg)
	const jobs = 4 // 60 items in 3 jobs and 20 items in 1.
	assert.Equal(t, len(entry.jobs), jobs)
	assert.Equal(t, result.Batch.Items, jobs*entry.perLook)
	assert.Equal(t, result.Batch.Duplicates, jobs)
	assert.Assert(t, !result.Batch.Dry)
	assert.Assert(t, result.Batch.ItemsPerSecond > 0)
	assert.Assert(t, result.Batch.TokensPerSecond/result.Batch.ItemsPerSecond > 4.9)
	for _, j := range entry.jobs {
		assert.Assert(t, j.cancelled)
	}
}

// Guards against broken answers that count as answered.
func TestClientVerdicts(t *testing.T) {
	for ending, want := range map[string]string{
		"cut":     failureCut,
		"crossed": failureCrossed,
		"error":   failureStreamError,
		"silent":  failureTimeout,
	} {
		t.Run(ending, func(t *testing.T) {
			entry, address := startFakeEntry(t)
			entry.set(func() { entry.ending = ending })
			cfg := smallConfig(t, address)
			cfg.RequestLimit = 300 * time.Millisecond
			o := newClient(cfg).send(t.Context(), request{Workspace: "large", Kind: KindChat}, time.Now())
			assert.Equal(t, o, outcome{verdict: failed, reason: want})
		})
	}
	t.Run("no entry", func(t *testing.T) {
		o := newClient(smallConfig(t, unusedAddress(t))).send(t.Context(), request{Workspace: "large"}, time.Now())
		assert.Equal(t, o.reason, failureNoEntry)
	})
}

// A faultLog notes the faults of a run.
type faultLog struct {
	mu    sync.Mutex
	calls []string
}

func (l *faultLog) Begin(_ context.Context, f Fault) error { return l.add("begin " + string(f.Kind)) }
func (l *faultLog) End(_ context.Context, f Fault) error   { return l.add("end " + string(f.Kind)) }

func (l *faultLog) add(call string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
	return nil
}

// Guards against a fault that is forgotten or never ended.
func TestRunFaults(t *testing.T) {
	_, address := startFakeEntry(t)
	cfg := smallConfig(t, address)
	cfg.Description.Scenario.Faults = []Fault{{
		Kind: PlatformDown, At: declarer.Duration(100 * time.Millisecond), Duration: declarer.Duration(200 * time.Millisecond),
	}}
	_, err := NewRunner(cfg)
	assert.ErrorContains(t, err, "nothing can inject them")

	log := &faultLog{}
	cfg.Faulter = log
	result := run(t, cfg)
	assert.DeepEqual(t, log.calls, []string{"begin platform-down", "end platform-down"})
	assert.Equal(t, len(result.Faults), 1)
}

// Guards against a comparison of runs that differ in more than batch work, and
// against reports that leave a measure out.
func TestReports(t *testing.T) {
	with := Result{Scenario: "s", WithBatch: true, Batch: &BatchResult{ItemsPerSecond: 12.5}}
	with.Online.FirstToken.P99 = 105
	without := Result{Scenario: "s"}
	without.Online.FirstToken.P99 = 100
	harm, err := NewHarm(with, without)
	assert.NilError(t, err)
	assert.Equal(t, harm.FirstTokenP99.Ratio, 1.05)
	_, err = NewHarm(with, with)
	assert.ErrorContains(t, err, "one without")
	without.Seed = 2
	_, err = NewHarm(with, without)
	assert.ErrorContains(t, err, "differ")

	var table strings.Builder
	assert.NilError(t, with.WriteTable(&table))
	assert.NilError(t, harm.WriteTable(&table))
	for _, want := range []string{"12.5 items/s", "worst-served workspace", "refused inside the rate", "first token p99", "1.050"} {
		assert.Assert(t, cmp.Contains(table.String(), want))
	}
	content, err := json.Marshal(with)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(content), "_"), string(content))
}
