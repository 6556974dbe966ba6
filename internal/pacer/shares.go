package pacer

import (
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// reservationTime is how long the part of this instance is left to work that continues a
// stream, after such work found no room. A caller that was refused for a limit returns
// within 1.5 s, and may first ask another instance.
const reservationTime = 2 * takeWindow

// A reservation leaves the part of this instance to work that continues a stream.
type reservation struct {
	pending int       // Streams that found no room and were not followed by one that did.
	endsAt  time.Time // Later, those that found no room are not expected any more.
}

// reserve records that work that continues a stream found no room.
func (s *server) reserve(l limits, now time.Time) {
	if !now.Before(s.reserved.endsAt) {
		s.reserved.pending = 0
	}
	s.reserved.pending = min(s.reserved.pending+1, max(l.perView, 1))
	s.reserved.endsAt = now.Add(reservationTime)
}

// Holders returns the other instances that hold a part of the limit of a server, those with
// the highest hashes first. It returns none if the server has no strict limit now. Some may
// have left recently.
func (p *Pacer) Holders(start throttler.Server) (holders []string) {
	p.update(start, func(s *server, now time.Time) {
		l, cause := p.observe(s, now)
		if cause == "" || s.start != start {
			return
		}
		v := p.currentView(now)
		p.rank(s, v)
		holders = slices.DeleteFunc(slices.Clone(s.holders(l, v)), func(id string) bool { return id == p.cfg.Instance })
	})
	return holders
}

// holders returns the instances that hold a part of the limit of a cold server.
func (s *server) holders(l limits, v *view) []string {
	if len(v.members) < minMembers {
		return nil
	}
	return s.highest[:min(len(s.highest), l.perView)]
}

// TakeShare counts a request that this instance sends to a server for a peer in this
// instance's part of the limit. If it has no room for it, it counts nothing and returns the
// time until it has. The part is kept to even if this instance does not know that the server
// is cold: the peer does. It must not be called between Wait and Take of other work for the
// same server.
func (p *Pacer) TakeShare(start throttler.Server, canWait bool) (wait time.Duration) {
	wait = never
	p.update(start, func(s *server, now time.Time) {
		l := p.view.Load().services[s.service]
		if !l.strict || s.start != start || !s.removedAt.IsZero() {
			return
		}
		v := p.currentView(now)
		p.rank(s, v)
		if wait = s.coldWait(l, v, canWait, now); wait == 0 {
			s.endReservation(canWait)
			p.take(s, now)
		} else if !canWait && wait != never {
			s.reserve(l, now)
		}
	})
	return wait
}

// RecordTurnedAway records that work that continues a stream found no room at a server.
func (p *Pacer) RecordTurnedAway(start throttler.Server) {
	p.update(start, func(s *server, now time.Time) {
		v := p.currentView(now)
		p.rank(s, v)
		if l := v.services[s.service]; l.strict && s.coldShare(l, v, now) > 0 {
			s.reserve(l, now)
		}
	})
}

// TakeResumed counts a request that continues a stream, as Take does.
func (p *Pacer) TakeResumed(start throttler.Server) {
	p.update(start, func(s *server, now time.Time) {
		s.endReservation(false)
		p.take(s, now)
	})
}

// newWorkWait returns the time until new work may take one of the requests of the part that
// are not reserved.
func (s *server) newWorkWait(unreserved int, now time.Time) (wait time.Duration) {
	wait = max(s.reserved.endsAt.Sub(now), 0)
	switch {
	case unreserved <= 0:
		return wait
	case len(s.recent) < unreserved:
		return 0
	}
	return max(0, min(wait, s.recent[len(s.recent)-unreserved].Add(takeWindow).Sub(now)))
}

func (s *server) endReservation(canWait bool) {
	if !canWait && s.reserved.pending > 0 {
		s.reserved.pending--
	}
}

// NewWorkWait returns how much longer new work leaves the part of this instance to work
// that continues streams, apart from the wait that Wait returns.
func (p *Pacer) NewWorkWait(start throttler.Server) (wait time.Duration) {
	p.update(start, func(s *server, now time.Time) {
		if !s.cold || s.reserved.pending == 0 {
			return
		}
		v := p.currentView(now)
		p.rank(s, v)
		wait = s.newWorkWait(s.coldShare(v.services[s.service], v, now)-s.reserved.pending, now)
	})
	if wait > 0 {
		p.heldBack.Add(1)
	}
	return wait
}
