package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// An Outcome says how a server dealt with the work that was placed on it.
type Outcome string

// The outcomes of a placement.
const (
	OutcomeDone        Outcome = "done"        // It answered, or the caller took the work back.
	OutcomeFailed      Outcome = "failed"      // It answered that it failed.
	OutcomeFull        Outcome = "full"        // It refused the request without running it.
	OutcomeLost        Outcome = "lost"        // The connection ended before the answer did.
	OutcomeMisdirected Outcome = "misdirected" // Another server has the address now.
	OutcomeSilent      Outcome = "silent"      // It gave no sign within the time allowed.
	OutcomeUnreachable Outcome = "unreachable" // No connection could be made.
)

// A Placement is work that is counted on a server until it is released.
type Placement struct {
	Backend Backend
	Load    int // Requests in flight on the server before this one, as known here.

	class     Class
	pool      *pool
	server    *server
	cfg       Config
	startedAt time.Time
	displaced chan struct{} // Closed when batch work has to leave; nil for online requests.
	vacating  bool          // It was displaced; guarded by the lock of the pool.
	displaceO sync.Once
	releaseO  sync.Once
}

// Displaced is closed when an online request needs the place of batch work.
func (p *Placement) Displaced() <-chan struct{} {
	return p.displaced
}

func (p *Placement) displace() {
	if p == nil {
		return
	}
	p.displaceO.Do(func() { close(p.displaced) })
}

// Silent reports that the server has given no sign though it had a place for the
// work. The work stays on it.
func (p *Placement) Silent() {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.Load < p.Backend.Slots {
		p.server.health.learn(OutcomeSilent, p.cfg.Clock.Now())
	}
}

// Release takes the work off the server. Only the first call counts.
func (p *Placement) Release(outcome Outcome) {
	p.releaseO.Do(func() { p.pool.release(p, outcome) })
}

func (p *pool) release(placement *Placement, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := placement.server
	now := placement.cfg.Clock.Now()
	if placement.class == Batch {
		s.local.Batch--
		if placement.vacating {
			s.vacating--
		}
		s.batch = slices.DeleteFunc(s.batch, func(other *Placement) bool { return other == placement })
	} else {
		s.local.Online--
		if outcome == OutcomeDone {
			took := now.Sub(placement.startedAt)
			p.duration += time.Duration(durationWeight * float64(took-p.duration))
		}
	}
	before := s.health.suspected(now)
	s.health.learn(outcome, now)
	suspected := 0
	if outcome == OutcomeUnreachable {
		suspected = p.suspectDomain(s.FailureDomain, now)
	}
	if after := s.health.suspected(now); after != before && outcome != OutcomeFull {
		placement.cfg.Logger.WithFields(logrus.Fields{
			"backend-server": s.ID, "failure-domain": s.FailureDomain, "outcome": outcome, "suspected": after, "probed-with-it": suspected,
		}).Info("belief about a backend server changed")
	}
	p.signalRoom()
}
