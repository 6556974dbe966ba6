package measurer

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Percentiles of latency in results.
const (
	percentile50  = 50
	percentile95  = 95
	percentile99  = 99
	percentile999 = 99.9
)

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p99.9-ms"`
	Max   float64 `json:"max-ms"`
}

func (l latencyHistogram) percentiles() Percentiles {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }
	h := l.histogram
	return Percentiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtPercentile(percentile50)),
		P95:   ms(h.ValueAtPercentile(percentile95)),
		P99:   ms(h.ValueAtPercentile(percentile99)),
		P999:  ms(h.ValueAtPercentile(percentile999)),
		Max:   ms(h.Max()),
	}
}

// An OnlineResult holds the latencies of online requests, measured from the
// intended start. An unanswered request within its workspace's rate counts with
// the request timeout.
type OnlineResult struct {
	FirstToken Percentiles `json:"first-token"`
	WholeChat  Percentiles `json:"whole-chat"`
	Call       Percentiles `json:"call"`
}

// A BatchResult holds the batch throughput during the measurement.
type BatchResult struct {
	Items              int     `json:"items"`
	ItemsPerSecond     float64 `json:"items-per-second"`
	TokensPerSecond    float64 `json:"tokens-per-second"`
	Succeeded          int     `json:"ran"` // Successful attempts as counted by the entries; Items grows by whole chunks only.
	SucceededPerSecond float64 `json:"ran-per-second"`
	Yielded            int     `json:"yielded"`    // Attempts cancelled in favour of online requests.
	Failed             int     `json:"failed"`     // Failed items of the whole run.
	Duplicates         int     `json:"duplicates"` // Results of the whole run beyond the first for each item.
	Exhausted          bool    `json:"dry"`        // The backlog ran out during the measurement, so the rates are too low.
}

// A WorkspaceResult holds the outcomes of a workspace's measured requests.
type WorkspaceResult struct {
	Name              string         `json:"name"`
	Sent              int            `json:"asked"`
	SentWithinRate    int            `json:"asked-inside"` // Within its rate and burst.
	Answered          int            `json:"answered"`
	Refused           int            `json:"refused"`
	RefusedWithinRate int            `json:"refused-inside"`
	Excess            int            `json:"excess"` // Answered requests beyond SentWithinRate.
	Failed            int            `json:"failed"`
	Reasons           map[string]int `json:"reasons,omitempty"` // Refusals by code, failures by reason.
	AnsweredShare     float64        `json:"share-of-asked"`    // Answered / Sent.
	FairShare         float64        `json:"share-of-fair"`     // Answered / SentWithinRate, at most 1.
	Online            OnlineResult   `json:"online"`
}

// A Fairness compares the worst-served workspace with the mean.
//
// Most requests of a workspace that sends several times its rate are refused,
// which is correct. The fair share therefore relates to the requests within rate
// and burst; the share of all sent requests is reported as well.
type Fairness struct {
	WorstWorkspace         string  `json:"worst"`          // Lowest FairShare.
	WorstFairShare         float64 `json:"worst-share"`    // Its FairShare.
	MeanFairShare          float64 `json:"mean-share"`     // Mean FairShare of all workspaces.
	WorstToMean            float64 `json:"against-mean"`   // WorstFairShare / MeanFairShare.
	LeastAnsweredWorkspace string  `json:"least-of-asked"` // Lowest AnsweredShare.
	LeastAnsweredShare     float64 `json:"least-of-asked-share"`
}

// A RefusalResult counts requests that were refused although they were within
// their workspace's rate.
type RefusalResult struct {
	SentWithinRate    int     `json:"asked-inside"`
	RefusedWithinRate int     `json:"refused-inside"`
	Percent           float64 `json:"per-hundred"`
	// Shortfall sums up, over workspaces, by how much the answered requests fall
	// short of SentWithinRate. RefusedWithinRate counts individual requests; when a
	// workspace exceeds its rate, the system may correctly answer other requests
	// than those that the tool counts as within the rate.
	Shortfall int `json:"shortfall"`
}

// A ToolResult shows whether the load tool itself kept up with the schedule.
type ToolResult struct {
	SendLag Percentiles `json:"send-lag"` // From the intended start to sending.
	Unsent  int         `json:"unsent"`   // Requests that were never sent; the run is invalid unless zero.
}

// A Result holds the measurements of one run.
type Result struct {
	Scenario   string              `json:"scenario"`
	Baseline   configurer.Baseline `json:"baseline,omitempty"`
	WithBatch  bool                `json:"with-batch"`
	Seed       uint64              `json:"seed"`
	Duration   declarer.Duration   `json:"duration"`
	Faults     []Fault             `json:"faults,omitempty"`
	Online     OnlineResult        `json:"online"`
	Batch      *BatchResult        `json:"batch,omitempty"`
	Fairness   Fairness            `json:"fairness"`
	Refusals   RefusalResult       `json:"refusals"`
	Workspaces []WorkspaceResult   `json:"workspaces"`
	Tool       ToolResult          `json:"tool"`
}

// result computes the result after all requests have ended.
func (r *Runner) result(progress batchProgress) Result {
	scenario := r.cfg.Description.Scenario
	result := Result{
		Scenario:  scenario.Name,
		Baseline:  r.cfg.Baseline,
		WithBatch: r.cfg.Batch,
		Seed:      scenario.Seed,
		Duration:  scenario.Duration,
		Faults:    scenario.Faults,
		Tool:      ToolResult{SendLag: r.sendLag.percentiles(), Unsent: r.unsent},
	}
	all := newLatencies()
	for _, name := range slices.Sorted(maps.Keys(r.tallies)) {
		t := r.tallies[name]
		all.merge(t.latencies)
		result.Workspaces = append(result.Workspaces, t.result(name))
	}
	result.Online = all.result()
	result.Fairness = newFairness(result.Workspaces)
	result.Refusals = newRefusals(result.Workspaces)
	if r.cfg.Batch {
		result.Batch = progress.result()
	}
	return result
}

func (l latencies) result() OnlineResult {
	return OnlineResult{
		FirstToken: l.firstToken.percentiles(),
		WholeChat:  l.wholeChat.percentiles(),
		Call:       l.call.percentiles(),
	}
}

func (t *tally) result(name string) WorkspaceResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return WorkspaceResult{
		Name:              name,
		Sent:              t.sent,
		SentWithinRate:    t.sentWithinRate,
		Answered:          t.answered,
		Refused:           t.refused,
		RefusedWithinRate: t.refusedWithinRate,
		Excess:            max(0, t.answered-t.sentWithinRate),
		Failed:            t.failed,
		Reasons:           maps.Clone(t.reasons),
		AnsweredShare:     share(t.answered, t.sent),
		FairShare:         min(1, share(t.answered, t.sentWithinRate)),
		Online:            t.latencies.result(),
	}
}

// result computes the rates. Tokens are counted over the whole run, so the token
// rate is the item rate times the mean number of tokens per item.
func (p batchProgress) result() *BatchResult {
	itemRate := float64(p.items) / p.period.Seconds()
	done := p.results.Results - p.results.Failed
	return &BatchResult{
		Items:              p.items,
		ItemsPerSecond:     itemRate,
		TokensPerSecond:    itemRate * float64(p.results.Tokens) / float64(max(1, done)),
		Succeeded:          p.counts.succeeded,
		SucceededPerSecond: float64(p.counts.succeeded) / p.period.Seconds(),
		Yielded:            p.counts.yielded,
		Failed:             p.results.Failed,
		Duplicates:         p.results.Duplicates,
		Exhausted:          p.exhausted,
	}
}

func newFairness(workspaces []WorkspaceResult) (f Fairness) {
	for i, w := range workspaces {
		f.MeanFairShare += w.FairShare / float64(len(workspaces))
		if i == 0 || w.FairShare < f.WorstFairShare {
			f.WorstWorkspace, f.WorstFairShare = w.Name, w.FairShare
		}
		if i == 0 || w.AnsweredShare < f.LeastAnsweredShare {
			f.LeastAnsweredWorkspace, f.LeastAnsweredShare = w.Name, w.AnsweredShare
		}
	}
	if f.MeanFairShare > 0 {
		f.WorstToMean = f.WorstFairShare / f.MeanFairShare
	}
	return f
}

func newRefusals(workspaces []WorkspaceResult) (r RefusalResult) {
	for _, w := range workspaces {
		r.SentWithinRate += w.SentWithinRate
		r.RefusedWithinRate += w.RefusedWithinRate
		r.Shortfall += max(0, w.SentWithinRate-w.Answered)
	}
	r.Percent = 100 * float64(r.RefusedWithinRate) / float64(max(1, r.SentWithinRate))
	return r
}

// share returns part / whole, or 1 when the whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
