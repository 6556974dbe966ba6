package balancer

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// A Preview is what Acquire would do, and why.
type Preview struct {
	Servers []ServerPreview // All servers of the service.
	Server  string          // The one that Acquire would choose; it may choose another one of nearly the same cost.
	// Wait is the expected wait for a slot at the server.
	Wait time.Duration
	// Holders are the peers of which one would make the attempt; see Placement.
	Holders []string
	Err     error // As Acquire returns it.
}

// A ServerPreview is a server as it stands in a choice.
type ServerPreview struct {
	Backend
	Load      Load
	Preferred bool
	Speed     float64
	Cost      float64       // Of a server that is not preferred, with a random part of up to nonPreferredJitter.
	Excluded  string        // Why the server cannot be chosen; empty if it can.
	Wait      time.Duration // Until it may be chosen; zero if that is not known.
}

// Preview returns what Acquire would do with a query now. Nothing is placed or counted,
// and no state changes.
func (b *Balancer) Preview(q Query) Preview {
	p := b.pool(q.Service)
	if p == nil {
		return Preview{Err: ErrNoServer}
	}
	return p.preview(q, b.cfg.quiet())
}

// preview mirrors acquire up to the placement.
func (p *pool) preview(q Query, cfg Config) (result Preview) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A refusal sets these fields.
	defer func(waiting bool, next time.Time) { p.queue.waiting, p.nextReturnAt = waiting, next }(p.queue.waiting, p.nextReturnAt)
	now := cfg.Clock.Now()
	throughPeer := p.reach.cutOff && cfg.Peers != nil && cfg.Peers.TakesWork(q.Service)
	q.throughPeer = throughPeer
	result.Servers = p.previewServers(q, cfg, now)
	if q.Class == Batch && (p.queue.waiting || now.Sub(p.onlineRefusedAt) < batchPause) {
		result.Err = ErrFull
		return result
	}
	s, wait, busy := p.selectFor(q, cfg, now, throughPeer)
	if s == nil && wait > 0 {
		s, result.Holders, wait = p.selectThroughHolder(q, cfg, now, wait)
	}
	switch {
	case busy != nil:
		result.Err = busy
	case s == nil && wait > 0:
		result.Err = &LimitedError{RetryAfter: p.returnDelay(q.Class, wait, now, cfg)}
	case s == nil:
		result.Err = p.absenceError(q, cfg)
	case q.Class == Batch && (!s.hasBatchCapacity(q.Urgent) || !p.hasRoomBeside(s, q, now)):
		result.Err = ErrFull
	default:
		result.Server, result.Wait = s.ID, p.expectedWait(s, q.Work, now)
		if q.Class == Online && !q.Queued && result.Wait > q.MaxWait {
			result.Err = ErrFull
		}
	}
	return result
}

func (p *pool) previewServers(q Query, cfg Config, now time.Time) []ServerPreview {
	_, hasSlot := p.slotRule(q, now, func(s *server) bool { return !s.health.suspected(now) })
	previews := make([]ServerPreview, 0, len(p.order))
	for _, s := range p.order {
		online := s.onlineLoad()
		v := ServerPreview{
			Backend: s.Backend, Load: Load{Online: online, Batch: s.load() - online}, Preferred: s.preferred,
			Speed: s.speed(now), Cost: s.cost(cfg.FailureDomain, q.Class, now),
		}
		v.Excluded, v.Wait = s.exclusion(q, cfg, now)
		if v.Excluded == "" && q.Queued && !hasSlot(s) {
			v.Excluded = "no free slot"
		}
		if v.Excluded == "" && q.Class == Batch && !s.hasBatchCapacity(q.Urgent) {
			v.Excluded = "slots are reserved for online requests"
		}
		if v.Excluded == "" && q.Class == Batch && !p.hasRoomBeside(s, q, now) {
			v.Excluded = "slots are left free for the next wave of online requests"
		}
		previews = append(previews, v)
	}
	return previews
}

// exclusion returns why a server cannot be chosen, and for how long if that is known.
func (s *server) exclusion(q Query, cfg Config, now time.Time) (reason string, wait time.Duration) {
	paceWait, _ := s.paceWait(q, cfg.Pacer)
	limitWait := s.limitWait(q, cfg.Throttle)
	switch {
	case s.evacuated:
		return "evacuated", 0
	case s.Leaving:
		return "leaving", 0
	case s.health.misdirected:
		return "its address belongs to another server", 0
	case q.Version != nil && s.Version != *q.Version:
		return "another version", 0
	case !s.takes(q):
		return "tried before", 0
	case !q.throughPeer && s.health.unreachable:
		return "unreachable", 0
	case now.Before(s.health.suspectedUntil) && s.health.backsOff(now):
		return "refused a request as full", s.health.suspectedUntil.Sub(now)
	case now.Before(s.health.suspectedUntil):
		return "suspected", s.health.suspectedUntil.Sub(now)
	case paceWait > 0:
		return "cold", paceWait
	case limitWait > 0:
		return "limited", limitWait
	}
	return "", 0
}

// quiet returns a configuration whose dependencies count nothing.
func (c Config) quiet() Config {
	if c.Throttle != nil {
		c.Throttle = quietThrottle{c.Throttle}
	}
	if c.Pacer != nil {
		c.Pacer = quietPacer{c.Pacer}
	}
	if c.Evacuations != nil {
		c.Evacuations = quietEvacuations{c.Evacuations}
	}
	return c
}

type quietThrottle struct{ Throttle }

// Wait implements Throttle.
func (t quietThrottle) Wait(server throttler.Server, canWait bool) time.Duration {
	if p, ok := t.Throttle.(interface {
		Peek(server throttler.Server, canWait bool) time.Duration
	}); ok {
		return p.Peek(server, canWait)
	}
	return t.Throttle.Wait(server, canWait)
}

type quietPacer struct{ Pacer }

// Wait implements Pacer.
func (p quietPacer) Wait(server throttler.Server, canWait, throughPeer bool) (time.Duration, bool) {
	if peeker, ok := p.Pacer.(interface {
		Peek(server throttler.Server, canWait, throughPeer bool) (time.Duration, bool)
	}); ok {
		return peeker.Peek(server, canWait, throughPeer)
	}
	return p.Pacer.Wait(server, canWait, throughPeer)
}

// RecordTurnedAway implements Pacer.
func (quietPacer) RecordTurnedAway(throttler.Server) {}

type quietEvacuations struct{ Evacuations }

// RecordDenied implements Evacuations.
func (quietEvacuations) RecordDenied(string) {}
