package balancer

import "time"

const (
	// minSuspicion is how long a server is avoided after its first failure.
	minSuspicion = 400 * time.Millisecond
	// maxSuspicion bounds how long a server that is back stays unused.
	maxSuspicion = 3 * time.Second
	// fullPause is how long a server that refused a request as full is avoided;
	// a slot becomes free within about this time.
	fullPause = 60 * time.Millisecond
	// probePause is the time between two probes of an unreachable server. A probe
	// is a connection, which costs little; a request that waits for one is late.
	probePause = 300 * time.Millisecond
	// lostBeforeSuspicion is the number of lost answers in a row after which
	// the server itself is suspected and not the connection.
	lostBeforeSuspicion = 3
)

// A health is what the outcomes of requests say about a server.
type health struct {
	suspectedUntil time.Time
	failures       int // In a row.
	lost           int // In a row.
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
		*h = health{misdirected: h.misdirected}
	case OutcomeFull:
		h.suspectedUntil = now.Add(fullPause)
	case OutcomeMisdirected:
		h.misdirected = true
	case OutcomeLost:
		h.lost++
		if h.lost >= lostBeforeSuspicion {
			h.suspect(now)
		}
	case OutcomeSilent:
		h.suspect(now)
	case OutcomeUnreachable:
		h.unreachable = true
		h.probeAt = now.Add(probePause)
	}
}

func (h *health) suspect(now time.Time) {
	pause := min(minSuspicion<<min(h.failures, 4), maxSuspicion)
	h.failures++
	h.suspectedUntil = now.Add(pause)
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
