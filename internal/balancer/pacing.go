package balancer

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// pacedPenalty is added to the cost of a server that has just started or recovered: what
// it can take is better left to requests that no other server has room for.
const pacedPenalty = 0.25

// A Pacer limits the work on servers that have just started or recovered. *pacer.Pacer
// implements it.
type Pacer interface {
	// Wait returns the time until the server takes more work from this instance, and
	// whether it is being limited. Work that can wait leaves room for other work.
	Wait(server throttler.Server, canWait, throughPeer bool) (wait time.Duration, limited bool)
	// Rate returns the work per second that is this instance's part of what the server
	// takes; zero if it is not being limited or others send it.
	Rate(server throttler.Server) float64
	// Take counts work that is sent to the server.
	Take(server throttler.Server)
	// RecordResponse records how work ended, and whether the server is avoided for it.
	RecordResponse(server throttler.Server, inTime, avoided bool)
	// RecordUnreachable records that no connection to the server can be opened.
	RecordUnreachable(server throttler.Server)
	// RecordReachable records that the server has accepted a connection.
	RecordReachable(server throttler.Server)
	// ForgetUnreachable takes RecordUnreachable back.
	ForgetUnreachable(server throttler.Server)
	Shares
}

// paceWait returns the time until the server takes the work after a start or recovery,
// and whether it is being limited.
func (s *server) paceWait(q Query, pacer Pacer) (wait time.Duration, paced bool) {
	if pacer == nil {
		return 0, false
	}
	wait, paced = pacer.Wait(s.Start(), q.Class == Batch && !q.Urgent, q.throughPeer)
	if paced && wait == 0 && q.Version == nil {
		wait = pacer.NewWorkWait(s.Start())
	}
	return wait, paced
}

// pacedPenalty returns what is added to the cost of a server that is being limited and
// has room for work of this instance. The few instances that send to it know of most of
// its load, so it costs no more if it is not a preferred one.
func (s *server) pacedPenalty() float64 {
	if s.preferred {
		return pacedPenalty
	}
	return pacedPenalty - nonPreferredPenalty
}

// recordResponse tells the pacer how work on a server ended. The caller holds the lock of
// the pool.
func (c Config) recordResponse(s *server, placement *Placement, outcome Outcome, now time.Time) {
	if c.Pacer == nil {
		return
	}
	switch outcome {
	case OutcomeCancelled, OutcomeMisdirected, OutcomeUnreachable:
		return
	case OutcomeDone:
		if !placement.wasSilent {
			c.Pacer.RecordResponse(s.Start(), true, false)
		}
	default:
		c.Pacer.RecordResponse(s.Start(), false, outcome != OutcomeFull && now.Before(s.health.suspectedUntil))
	}
}

// recordReach tells the pacer whether a connection to a server could be opened.
func (c Config) recordReach(s *server, reached bool) {
	switch {
	case c.Pacer == nil:
	case reached:
		c.Pacer.RecordReachable(s.Start())
	default:
		c.Pacer.RecordUnreachable(s.Start())
	}
}

// forgetUnreachable tells the pacer that only this instance was cut off from the servers.
func (p *pool) forgetUnreachable(cfg Config) {
	if cfg.Pacer == nil {
		return
	}
	for _, s := range p.order {
		cfg.Pacer.ForgetUnreachable(s.Start())
	}
}
