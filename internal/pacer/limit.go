package pacer

import "time"

const (
	// maxSendDelay is the longest time from Take until the request is handed to the
	// connections. A process with a small part of a core may not run for that long.
	maxSendDelay = 100 * time.Millisecond
	// maxDelay is the longest time from Take until the request arrives at the server:
	// maxSendDelay, 120 ms for opening a connection, and the way to the server.
	maxDelay = 250 * time.Millisecond
	// takeWindow is the time in which this instance sends no more than its part of what a
	// cold server may get in a second. Requests that are sent further apart do not arrive
	// within the same second.
	takeWindow = time.Second + maxDelay
	// deferrableWindow replaces takeWindow for work that can wait.
	deferrableWindow = 3 * takeWindow / 2
	// views is the number of disjoint views of the members for which the limit holds: the
	// holders of one view together use the limit divided by views.
	views = 2
	// maxPerView bounds the requests of a window that are remembered for one server.
	maxPerView = 256
)

// Causes for which a server is limited.
const (
	causeEntry       = "entry"
	causeStart       = "start"
	causeEvacuation  = "evacuation ended"
	causeReachable   = "reachable again"
	causeUnreachable = "unreachable"
	causeRecovered   = "recovered" // Of a ramp only.
)

// limits say how the servers of a service warm up.
type limits struct {
	warmup time.Duration
	strict bool // A cold server has a limit.
	// perView is the number of requests that the holders of one view of the members may
	// send a cold server in takeWindow, all together.
	perView int
}

func (p *Pacer) limitsOf(s Service) limits {
	l := limits{warmup: s.Warmup, strict: s.Rate > 0 && p.cfg.ColdOver > 0}
	if l.strict {
		l.perView = int(min(s.Rate*p.cfg.ColdOver+p.cfg.ColdSlack, views*maxPerView)) / views
	}
	return l
}

// coldCause returns the cause for which a server is cold, or "" if it is not. The cause that
// only this instance knows of comes last.
func (s *server) coldCause(l limits, evacuations Evacuations, now time.Time) string {
	warming := func(since time.Time) bool { return !since.IsZero() && now.Before(since.Add(l.warmup)) }
	switch {
	case now.Before(s.entryUntil):
		return causeEntry
	case warming(s.startedAt):
		return causeStart
	case warming(evacuationEnd(evacuations, s.domain)):
		return causeEvacuation
	case warming(s.reachedAt):
		return causeReachable
	case !s.unreachableAt.IsZero() && now.Sub(s.unreachableAt) < unreachableRetention:
		return causeUnreachable
	}
	return ""
}

func evacuationEnd(evacuations Evacuations, domain string) time.Time {
	if evacuations == nil {
		return time.Time{}
	}
	at, _ := evacuations.EndedAt(domain)
	return at
}

// coldShare returns the number of requests that this instance may send a cold server in
// takeWindow. Up to perView instances hold the limit, those with the highest hashes, and
// each has an equal part. An instance that has just started, or that knows of no other
// one, may not know who else sends.
func (s *server) coldShare(l limits, v *view, now time.Time) int {
	if len(v.members) < minMembers || now.Before(v.settledAt) {
		return 0
	}
	holders := min(len(v.members), l.perView)
	if s.rank >= holders {
		return 0
	}
	return l.perView / holders
}

// coldWait returns the time until this instance may send a cold server a request.
func (s *server) coldWait(l limits, v *view, canWait bool, now time.Time) time.Duration {
	share := s.coldShare(l, v, now)
	if share == 0 {
		if s.rank < l.perView && len(v.members) >= minMembers {
			return max(v.settledAt.Sub(now), time.Millisecond)
		}
		return never
	}
	if len(s.recent) < share {
		return 0
	}
	window := takeWindow
	if canWait {
		window = deferrableWindow
	}
	return max(0, s.recent[len(s.recent)-share].Add(window).Sub(now))
}

// recordTake records the time of a request.
func (s *server) recordTake(l limits, now time.Time) {
	if drop := len(s.recent) + 1 - max(l.perView, 1); drop > 0 {
		s.recent = append(s.recent[:0], s.recent[drop:]...)
	}
	s.recent = append(s.recent, now)
}
