package measurer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and precision of the histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// An outcomeKind tells whether a request was answered.
type outcomeKind int

// The kinds of outcomes.
const (
	answered outcomeKind = iota // The complete response was received.
	refused                     // An entry refused the request with a code.
	failed                      // Anything else, such as a truncated stream or a timeout.
)

// An outcome describes how one request ended. Latencies count from the intended
// start.
type outcome struct {
	kind       outcomeKind
	reason     string // Code of a refusal or reason of a failure.
	firstToken time.Duration
	total      time.Duration
}

// A latencyHistogram counts latencies in microseconds.
type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)}
}

func (l latencyHistogram) record(d time.Duration) {
	v := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = l.histogram.RecordValue(v) // The value is in range.
}

// latencies holds the histograms of one workspace or of all workspaces.
type latencies struct {
	firstToken latencyHistogram // Of chats.
	wholeChat  latencyHistogram
	call       latencyHistogram
}

func newLatencies() latencies {
	return latencies{firstToken: newLatencyHistogram(), wholeChat: newLatencyHistogram(), call: newLatencyHistogram()}
}

func (l latencies) merge(other latencies) {
	l.firstToken.histogram.Merge(other.firstToken.histogram)
	l.wholeChat.histogram.Merge(other.wholeChat.histogram)
	l.call.histogram.Merge(other.call.histogram)
}

// A tally counts the outcomes of a workspace's measured requests.
type tally struct {
	mu                sync.Mutex
	sent              int
	sentWithinRate    int
	answered          int
	refused           int
	refusedWithinRate int
	failed            int
	reasons           map[string]int // Refusals by code, failures by reason.
	latencies         latencies
}

func newTally() *tally {
	return &tally{reasons: make(map[string]int), latencies: newLatencies()}
}

// record counts the outcome of a request. An unanswered request within the rate
// is recorded with the timeout as its latency, so that a system that drops slow
// requests does not appear fast.
func (t *tally) record(r request, o outcome, timeout time.Duration) {
	if !r.Measured {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if r.WithinRate {
		t.sentWithinRate++
	}
	switch o.kind {
	case answered:
		t.answered++
	case refused:
		t.refused++
		t.reasons[o.reason]++
		if r.WithinRate {
			t.refusedWithinRate++
		}
	case failed:
		t.failed++
		t.reasons[o.reason]++
	}
	if o.kind != answered {
		if !r.WithinRate {
			return
		}
		o.firstToken, o.total = timeout, timeout
	}
	t.recordLatency(r.Kind, o)
}

func (t *tally) recordLatency(k RequestKind, o outcome) {
	if k == KindCall {
		t.latencies.call.record(o.total)
		return
	}
	t.latencies.firstToken.record(o.firstToken)
	t.latencies.wholeChat.record(o.total)
}
