package measurer

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Percentiles that results report.
const (
	median   = 50
	ninety5  = 95
	ninety9  = 99
	ninety99 = 99.9
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

func (l latency) percentiles() Percentiles {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }
	h := l.histogram
	return Percentiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtPercentile(median)),
		P95:   ms(h.ValueAtPercentile(ninety5)),
		P99:   ms(h.ValueAtPercentile(ninety9)),
		P999:  ms(h.ValueAtPercentile(ninety99)),
		Max:   ms(h.Max()),
	}
}

// An OnlineResult is the latencies of online requests, from the intended
// start. A request inside its workspace's rate that was not answered counts
// with the request limit.
type OnlineResult struct {
	FirstToken Percentiles `json:"first-token"`
	WholeChat  Percentiles `json:"whole-chat"`
	Call       Percentiles `json:"call"`
}

// A BatchResult is what batch work did during the measurement.
type BatchResult struct {
	Items           int     `json:"items"`
	ItemsPerSecond  float64 `json:"items-per-second"`
	TokensPerSecond float64 `json:"tokens-per-second"`
	Ran             int     `json:"ran"` // Tries that the entries count as answered; not in steps of a chunk as items are.
	RanPerSecond    float64 `json:"ran-per-second"`
	Yielded         int     `json:"yielded"`    // Tries that made way for online requests.
	Failed          int     `json:"failed"`     // Items of the whole run that could not be done.
	Duplicates      int     `json:"duplicates"` // Results of the whole run beyond the first of an item.
	Dry             bool    `json:"dry"`        // The backlog ended early: the rates are too low.
}

// A WorkspaceResult is how a workspace fared.
type WorkspaceResult struct {
	Name          string         `json:"name"`
	Asked         int            `json:"asked"`
	AskedInside   int            `json:"asked-inside"` // Inside its rate and burst.
	Answered      int            `json:"answered"`
	Refused       int            `json:"refused"`
	RefusedInside int            `json:"refused-inside"`
	Excess        int            `json:"excess"` // Answered requests beyond those inside its rate.
	Failed        int            `json:"failed"`
	Reasons       map[string]int `json:"reasons,omitempty"` // Refusals by code, failures by name.
	ShareOfAsked  float64        `json:"share-of-asked"`    // Answered requests of those asked for.
	ShareOfFair   float64        `json:"share-of-fair"`     // Answered requests of those inside its rate, at most 1.
	Online        OnlineResult   `json:"online"`
}

// A Fairness compares the worst-served workspace with the mean.
//
// A workspace that sends several times its rate is refused most of what it
// asks for, and rightly so. The fair part is therefore what lies inside its
// rate and burst; the plain share of what it asked for stands beside it.
type Fairness struct {
	Worst        string  `json:"worst"`          // Lowest share of its fair part.
	WorstShare   float64 `json:"worst-share"`    // Of its fair part.
	MeanShare    float64 `json:"mean-share"`     // Of the fair parts, over workspaces.
	AgainstMean  float64 `json:"against-mean"`   // WorstShare / MeanShare.
	LeastAsked   string  `json:"least-of-asked"` // Lowest share of what it asked for.
	LeastOfAsked float64 `json:"least-of-asked-share"`
}

// A RefusalResult counts requests that were refused although they lay inside
// their workspace's rate.
type RefusalResult struct {
	AskedInside   int     `json:"asked-inside"`
	RefusedInside int     `json:"refused-inside"`
	PerHundred    float64 `json:"per-hundred"`
	// Shortfall is the number of requests inside a workspace's rate beyond
	// those answered. RefusedInside counts single requests; of a workspace that
	// sends more than its rate, the system may rightly answer another request
	// than the one that the tool counts as inside.
	Shortfall int `json:"shortfall"`
}

// A ToolResult says whether the load tool itself kept up.
type ToolResult struct {
	SendLag Percentiles `json:"send-lag"` // From the intended start to the sending.
	Unsent  int         `json:"unsent"`   // Requests that were never sent; above zero the run is void.
}

// A Result is what one run measured.
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

// result computes the measures once all requests have ended.
func (r *Runner) result(progress batchProgress) Result {
	scenario := r.cfg.Description.Scenario
	result := Result{
		Scenario:  scenario.Name,
		Baseline:  r.cfg.Baseline,
		WithBatch: r.cfg.Batch,
		Seed:      scenario.Seed,
		Duration:  scenario.Duration,
		Faults:    scenario.Faults,
		Tool:      ToolResult{SendLag: r.lag.percentiles(), Unsent: r.unsent},
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
		FirstToken: l.chatFirst.percentiles(),
		WholeChat:  l.chatWhole.percentiles(),
		Call:       l.callWhole.percentiles(),
	}
}

func (t *tally) result(name string) WorkspaceResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return WorkspaceResult{
		Name:          name,
		Asked:         t.asked,
		AskedInside:   t.askedInside,
		Answered:      t.answered,
		Refused:       t.refused,
		RefusedInside: t.refusedInside,
		Excess:        max(0, t.answered-t.askedInside),
		Failed:        t.failed,
		Reasons:       maps.Clone(t.reasons),
		ShareOfAsked:  share(t.answered, t.asked),
		ShareOfFair:   min(1, share(t.answered, t.askedInside)),
		Online:        t.latencies.result(),
	}
}

// result computes the rates. Tokens are counted over the whole run, so that
// their rate is that of the items times the mean tokens of an item.
func (p batchProgress) result() *BatchResult {
	itemRate := float64(p.items) / p.period.Seconds()
	done := p.results.Results - p.results.Failed
	return &BatchResult{
		Items:           p.items,
		ItemsPerSecond:  itemRate,
		TokensPerSecond: itemRate * float64(p.results.Tokens) / float64(max(1, done)),
		Ran:             p.counts.ran,
		RanPerSecond:    float64(p.counts.ran) / p.period.Seconds(),
		Yielded:         p.counts.yielded,
		Failed:          p.results.Failed,
		Duplicates:      p.results.Duplicates,
		Dry:             p.dry,
	}
}

func newFairness(workspaces []WorkspaceResult) (f Fairness) {
	for i, w := range workspaces {
		f.MeanShare += w.ShareOfFair / float64(len(workspaces))
		if i == 0 || w.ShareOfFair < f.WorstShare {
			f.Worst, f.WorstShare = w.Name, w.ShareOfFair
		}
		if i == 0 || w.ShareOfAsked < f.LeastOfAsked {
			f.LeastAsked, f.LeastOfAsked = w.Name, w.ShareOfAsked
		}
	}
	if f.MeanShare > 0 {
		f.AgainstMean = f.WorstShare / f.MeanShare
	}
	return f
}

func newRefusals(workspaces []WorkspaceResult) (r RefusalResult) {
	for _, w := range workspaces {
		r.AskedInside += w.AskedInside
		r.RefusedInside += w.RefusedInside
		r.Shortfall += max(0, w.AskedInside-w.Answered)
	}
	r.PerHundred = 100 * float64(r.RefusedInside) / float64(max(1, r.AskedInside))
	return r
}

// share is a part of a whole; nothing asked counts as all answered.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
