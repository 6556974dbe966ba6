package measurer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// A verdict is how a request ended.
type verdict int

// The ends of a request.
const (
	answered verdict = iota // The whole answer came.
	refused                 // An entry refused it with a code.
	failed                  // Anything else, such as a cut stream or no answer in time.
)

// An outcome is the end of one request. Times count from the intended start.
type outcome struct {
	verdict verdict
	reason  string // Code of a refusal or name of a failure.
	first   time.Duration
	whole   time.Duration
}

// A latency is a histogram of latencies.
type latency struct {
	histogram *hdrhistogram.Histogram
}

func newLatency() latency {
	return latency{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (l latency) record(d time.Duration) {
	v := min(max(d.Microseconds(), lowestLatency), highestLatency)
	_ = l.histogram.RecordValue(v) // The value is in range.
}

// latencies are the histograms of one workspace, or of all.
type latencies struct {
	chatFirst latency // First token of a chat.
	chatWhole latency
	callWhole latency
}

func newLatencies() latencies {
	return latencies{chatFirst: newLatency(), chatWhole: newLatency(), callWhole: newLatency()}
}

func (l latencies) merge(other latencies) {
	l.chatFirst.histogram.Merge(other.chatFirst.histogram)
	l.chatWhole.histogram.Merge(other.chatWhole.histogram)
	l.callWhole.histogram.Merge(other.callWhole.histogram)
}

// A tally counts the ends of a workspace's measured requests.
type tally struct {
	mu            sync.Mutex
	asked         int
	askedInside   int
	answered      int
	refused       int
	refusedInside int
	failed        int
	reasons       map[string]int // Refusals by code, failures by name.
	latencies     latencies
}

func newTally() *tally {
	return &tally{reasons: make(map[string]int), latencies: newLatencies()}
}

// record counts the end of a request. A request inside the rate that was not
// answered counts with the limit in the latencies: a system that drops slow
// requests must not look quick.
func (t *tally) record(r request, o outcome, limit time.Duration) {
	if !r.Measured {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if r.Inside {
		t.askedInside++
	}
	switch o.verdict {
	case answered:
		t.answered++
	case refused:
		t.refused++
		t.reasons[o.reason]++
		if r.Inside {
			t.refusedInside++
		}
	case failed:
		t.failed++
		t.reasons[o.reason]++
	}
	if o.verdict != answered {
		if !r.Inside {
			return
		}
		o.first, o.whole = limit, limit
	}
	t.recordLatency(r.Kind, o)
}

func (t *tally) recordLatency(k Kind, o outcome) {
	if k == KindCall {
		t.latencies.callWhole.record(o.whole)
		return
	}
	t.latencies.chatFirst.record(o.first)
	t.latencies.chatWhole.record(o.whole)
}
