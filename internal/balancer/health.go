package balancer

import "time"

const (
	// minSuspicion is how long a server is avoided after its first failure.
	minSuspicion = 400 * time.Millisecond
	// maxSuspicion limits how long a server that has recovered stays unused.
	maxSuspicion = 5 * time.Second
	// fullBackoff is how long a server that refused a request as full is avoided;
	// a slot becomes free within about this time.
	fullBackoff = 60 * time.Millisecond
	// probeRetryDelay is the time between two probes of an unreachable server. A
	// probe only opens a connection, which is cheap; a request that has to wait for
	// a connection is late.
	probeRetryDelay = 300 * time.Millisecond
	// failureRateWeight is the weight of the latest outcome in the failure rate, an
	// exponential moving average.
	failureRateWeight = 0.2
	// suspectFailureRate is the failure rate from which on a server is avoided. Two
	// consecutive failures reach it; one failure in twenty, as healthy servers show
	// when responses are lost, does not.
	suspectFailureRate = 0.35
	// recoveredFailureRate is the failure rate below which the count of failures is
	// reset. It takes about ten successful responses.
	recoveredFailureRate = 0.05
	// maxDoublings limits the exponential backoff of suspicion.
	maxDoublings = 6
)

// A health is the health state of a server, derived from request outcomes and
// probes.
type health struct {
	suspectedUntil time.Time
	failures       int     // Since the count was last reset.
	failureRate    float64 // Moving average, 0 to 1.
	misdirected    bool
	unreachable    bool // No connection could be opened; cleared by a successful probe or request.
	presumed       bool // unreachable was only concluded from other servers of the failure domain.
	sample         bool // Due for a probe that helps to tell whether this instance is cut off.
	probing        bool
	lost           bool      // It dropped a request, and no probe has shown yet whether it still listens.
	nextProbeAt    time.Time // Earliest time of the next probe; only while one is of use.
	// changed is called when the server may have become suspected or recovered. It may be
	// nil.
	changed func()
}

func (h *health) signalChange() {
	if h.changed != nil {
		h.changed()
	}
}

func (h *health) suspected(now time.Time) bool {
	return h.unreachable || now.Before(h.suspectedUntil)
}

// startAttempt renews the suspicion of a failed server when a request is placed on
// it, so that only one request at a time tests whether it has recovered.
func (h *health) startAttempt(now time.Time) {
	if h.failures > 0 {
		h.suspectedUntil = now.Add(minSuspicion)
		h.signalChange()
	}
}

func (h *health) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeDone:
		if h.unreachable || h.failures > 0 || !h.suspectedUntil.IsZero() {
			h.signalChange()
		}
		h.failureRate -= failureRateWeight * h.failureRate
		h.unreachable, h.presumed = false, false
		if h.failureRate < suspectFailureRate {
			h.suspectedUntil = time.Time{}
		}
		if h.failureRate < recoveredFailureRate {
			h.failures = 0
		}
	case OutcomeFull:
		h.suspectedUntil = latest(h.suspectedUntil, now.Add(fullBackoff))
		h.signalChange()
	case OutcomeMisdirected:
		h.misdirected = true
	case OutcomeFailed, OutcomeLost:
		if outcome == OutcomeLost && !h.lost && !h.unreachable {
			h.lost, h.nextProbeAt = true, now
		}
		h.failureRate += failureRateWeight * (1 - h.failureRate)
		if h.failureRate >= suspectFailureRate {
			h.suspect(now)
		}
	case OutcomeSilent:
		h.failureRate += failureRateWeight * (1 - h.failureRate)
		h.suspect(now)
	}
}

// recordPeerOutcome records the outcome of work that a peer passed on. It says nothing
// about the way from here to the server.
func (h *health) recordPeerOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeUnreachable:
		h.suspect(now)
	case OutcomeDone:
		unreachable := h.unreachable
		h.recordOutcome(outcome, now)
		h.unreachable = unreachable
		h.signalChange()
	case OutcomeLost:
		h.recordOutcome(OutcomeFailed, now)
	default:
		h.recordOutcome(outcome, now)
	}
}

func (h *health) suspect(now time.Time) {
	pause := min(minSuspicion<<min(h.failures, maxDoublings), maxSuspicion)
	h.failures++
	h.suspectedUntil = latest(h.suspectedUntil, now.Add(pause))
	h.signalChange()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// probeDue reports whether the server is to be probed now.
func (h *health) probeDue(now time.Time, cutOff bool) bool {
	return !h.probing && (h.sample || (h.unreachable || h.lost || cutOff) && !now.Before(h.nextProbeAt))
}

// recordProbe records the result of a probe.
func (h *health) recordProbe(reached bool, now time.Time) {
	h.probing, h.lost = false, false
	h.signalChange()
	if reached {
		h.unreachable, h.presumed = false, false
		return
	}
	h.unreachable = true
	h.nextProbeAt = now.Add(probeRetryDelay)
}
