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
}

func (h *health) suspected(now time.Time) bool {
	return now.Before(h.suspectedUntil)
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
		h.failures, h.lost = 0, 0
		h.suspectedUntil = time.Time{}
	case OutcomeFull:
		h.suspectedUntil = now.Add(fullPause)
	case OutcomeMisdirected:
		h.misdirected = true
	case OutcomeLost:
		h.lost++
		if h.lost >= lostBeforeSuspicion {
			h.suspect(now)
		}
	case OutcomeSilent, OutcomeUnreachable:
		h.suspect(now)
	}
}

func (h *health) suspect(now time.Time) {
	pause := min(minSuspicion<<min(h.failures, 4), maxSuspicion)
	h.failures++
	h.suspectedUntil = now.Add(pause)
}
