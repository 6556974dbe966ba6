package balancer

import "time"

const (
	// minSuspicion is how long a server is avoided after its first failure.
	minSuspicion = 400 * time.Millisecond
	// maxSuspicion bounds how long a server that is back stays unused.
	maxSuspicion = 5 * time.Second
	// fullPause is how long a server that refused a request as full is avoided;
	// a slot becomes free within about this time.
	fullPause = 60 * time.Millisecond
	// probePause is the time between two probes of an unreachable server. A probe
	// is a connection, which costs little; a request that waits for one is late.
	probePause = 300 * time.Millisecond
	// rateWeight is the weight of the newest outcome in the rate of failures.
	rateWeight = 0.2
	// badRate is the rate of failures from which on a server is avoided. Two
	// failures in a row reach it; one failure in twenty, as lost answers bring
	// to sound servers, does not.
	badRate = 0.35
	// goodRate is the rate below which earlier failures are forgotten. It takes
	// some ten answers.
	goodRate = 0.05
	// maxDoublings bounds the doubling of the time for which a server is avoided.
	maxDoublings = 6
)

// A health is what the outcomes of requests say about a server.
type health struct {
	suspectedUntil time.Time
	failures       int     // Since the server was sound last.
	rate           float64 // Of failures among the last outcomes, 0 to 1.
	misdirected    bool
	unreachable    bool // No connection could be made; a probe finds out when one can.
	probing        bool
	probeAt        time.Time // Of the next probe while it is unreachable.
}

func (h *health) suspected(now time.Time) bool {
	return h.unreachable || now.Before(h.suspectedUntil)
}

// begin renews the suspicion of a server that is tried again, so that one
// request at a time finds out whether it is back.
func (h *health) begin(now time.Time) {
	if h.failures > 0 {
		h.suspectedUntil = now.Add(minSuspicion)
	}
}

func (h *health) learn(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeDone:
		h.rate -= rateWeight * h.rate
		h.unreachable = false
		if h.rate < badRate {
			h.suspectedUntil = time.Time{}
		}
		if h.rate < goodRate {
			h.failures = 0
		}
	case OutcomeFull:
		h.suspectedUntil = later(h.suspectedUntil, now.Add(fullPause))
	case OutcomeMisdirected:
		h.misdirected = true
	case OutcomeFailed, OutcomeLost:
		h.rate += rateWeight * (1 - h.rate)
		if h.rate >= badRate {
			h.suspect(now)
		}
	case OutcomeSilent:
		h.rate += rateWeight * (1 - h.rate)
		h.suspect(now)
	case OutcomeUnreachable:
		h.unreachable = true
		h.probeAt = now.Add(probePause)
	}
}

func (h *health) suspect(now time.Time) {
	pause := min(minSuspicion<<min(h.failures, maxDoublings), maxSuspicion)
	h.failures++
	h.suspectedUntil = later(h.suspectedUntil, now.Add(pause))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// probed learns from a probe.
func (h *health) probed(reached bool, now time.Time) {
	h.probing = false
	if reached {
		h.unreachable = false
		return
	}
	h.unreachable = true
	h.probeAt = now.Add(probePause)
}
