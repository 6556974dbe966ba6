package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// otherSlots is the part of its slots, as a divisor, up to which a server that this
// instance neither prefers nor helps to fill gets queued requests. With a half, the
// instances of a large fleet overload servers at the beginning of a wave, when reports
// still show them as free.
const otherSlots = 4

// limitRecheck is the longest time after which a queued request is tried again if the limit
// of a server is all that keeps it from that server. A limit may end early without an event
// that Config.OnCapacity tells of. Peers report at least this often.
const limitRecheck = 320 * time.Millisecond

// A BusyError means that no server has a free slot for a queued request, but some may
// have one later. From then on, batch work gets nothing until EndOnlineWaiting.
type BusyError struct {
	// Recheck is the time after which a server may be used again without any event that
	// Config.OnCapacity tells of: its backoff or the wait for its limit ends. It is zero
	// if there is no such server.
	Recheck time.Duration
}

// Error implements error.
func (e *BusyError) Error() string { return "no backend server has a free slot" }

// A queueState is what a pool knows of the queue of its service.
type queueState struct {
	waiting bool   // A queued request found no free slot, and EndOnlineWaiting was not called since.
	notify  func() // Nil if there is no queue.
}

// EndOnlineWaiting tells that no online request of the service waits in the queue any
// more, so that batch work may be placed again.
func (b *Balancer) EndOnlineWaiting(service string) {
	p := b.pool(service)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.waiting = false
	p.signalCapacity()
}

func (p *pool) notifyOf(service string, onCapacity func(service string)) {
	if onCapacity != nil {
		p.queue.notify = func() { onCapacity(service) }
	}
}

// notifyQueue tells the queue that a choice may turn out differently from now on. The
// caller holds p.mu, so that a choice that the queue makes next sees the change.
func (p *pool) notifyQueue() {
	if p.queue.notify != nil {
		p.queue.notify()
	}
}

// selectFor selects the server of work that may be queued. It returns a *BusyError for a
// queued request that has to wait.
func (p *pool) selectFor(q Query, cfg Config, now time.Time, throughPeer bool) (s *server, wait time.Duration, busy *BusyError) {
	if !q.Queued {
		s, wait = p.selectServer(q, cfg, now, throughPeer)
		return s, wait, nil
	}
	usable := func(s *server) bool { return !s.health.suspected(now) }
	if throughPeer {
		usable = func(s *server) bool { return !now.Before(s.health.suspectedUntil) }
	}
	in, hasSlot := p.slotRule(q, now, usable)
	if in.reputation = trusted; throughPeer {
		in.reputation = anyReputation
	}
	s, wait = p.lowestCost(q, cfg, now, in, func(s *server) bool { return usable(s) && hasSlot(s) })
	if s != nil {
		return s, 0, nil
	}
	state := p.inspect(q, cfg, now, usable)
	switch {
	case state.open:
		p.queue.waiting = true
		return nil, 0, &BusyError{Recheck: earlierWait(state.recheck, min(wait, limitRecheck))}
	case state.limitWait > 0:
		return nil, state.limitWait, nil
	}
	// Only servers that have failed are left, which get requests as they do without a
	// queue.
	in, hasSlot = p.slotRule(q, now, usable)
	in.reputation = suspected
	s, wait = p.lowestCost(q, cfg, now, in, func(s *server) bool { return !usable(s) && hasSlot(s) })
	if s == nil && wait == 0 && state.suspected {
		p.queue.waiting = true
		return nil, 0, &BusyError{Recheck: state.recheck}
	}
	return s, wait, nil
}

// A poolState tells why no server is free for a queued request.
type poolState struct {
	open      bool          // A server that is not limited will take it, after a release or a backoff.
	suspected bool          // A server that has failed may take it.
	limitWait time.Duration // Shortest wait for the limit of a server; zero if none is limited.
	recheck   time.Duration // Time until the first server that is suspected or backs off is used again; zero if there is none.
}

// inspect looks at the servers that are suspected, and at the others up to the first one that
// is not limited. The caller has found no server that is free.
func (p *pool) inspect(q Query, cfg Config, now time.Time, usable func(s *server) bool) (state poolState) {
	version, found := p.index.ofVersion(q)
	if !found {
		return state
	}
	in := func(reputation reputation) func(word int) uint64 {
		return func(word int) uint64 { return p.index.word(word, scope{reputation: reputation}, version, true) }
	}
	for s := range p.walk(0, in(suspected)) {
		p.inspectServer(&state, s, q, cfg, now, usable)
	}
	for s := range p.walk(0, in(trusted)) {
		if state.open {
			break
		}
		p.inspectServer(&state, s, q, cfg, now, usable)
	}
	return state
}

func (p *pool) inspectServer(state *poolState, s *server, q Query, cfg Config, now time.Time, usable func(s *server) bool) {
	if !s.eligible(q) {
		return
	}
	backsOff := s.health.backsOff(now)
	if !usable(s) {
		state.recheck = earlierWait(state.recheck, s.health.suspectedUntil.Sub(now))
		if !backsOff {
			state.suspected = true
			return
		}
	}
	paceWait, _ := s.paceWait(q, cfg.Pacer)
	if limited := max(s.limitWait(q, cfg.Throttle), paceWait); limited > 0 {
		state.limitWait = earlierWait(state.limitWait, limited)
		return
	}
	state.open = true
}

// earlierWait returns the shorter one of two times; a time of zero or less means none.
func earlierWait(a, b time.Duration) time.Duration {
	switch {
	case a <= 0:
		return max(b, 0)
	case b <= 0:
		return a
	}
	return min(a, b)
}

// backsOff reports whether the server is avoided only because it refused a request as
// full.
func (h *health) backsOff(now time.Time) bool {
	return !h.unreachable && h.failures == 0 && now.Before(h.suspectedUntil)
}

// assignHelped selects the servers that this instance helps to fill: one instance of
// each failure domain for each server. The load of these servers is known late, and if
// all instances filled what a report shows as free, they would overload it.
func (p *pool) assignHelped(domain string, position Position) {
	for _, s := range p.order {
		s.helped = int(xxhash.Sum64String(s.ID+"\x00"+domain)%uint64(max(position.Count, 1))) == position.Index
	}
}

// lowLoad returns the number of online requests below which a server that this instance
// neither prefers nor helps to fill gets queued requests.
func (s *server) lowLoad() int { return max(s.Slots/otherSlots, 1) }

// slotRule returns the rule which servers have a slot for a queued request, and a scope
// that contains them. Batch work gives way. Preferred servers get an allowance beyond their
// slots, helped ones no more than their slots, and the others a small part of them. If no
// preferred or helped server is usable, or backs off for a moment, all count as helped.
func (p *pool) slotRule(q Query, now time.Time, usable func(s *server) bool) (in scope, hasSlot func(s *server) bool) {
	near := p.anyNear(q, now, usable)
	others := 0
	in = scope{room: freeRoom}
	if near {
		in = scope{room: lowRoom, others: &others}
	}
	return in, func(s *server) bool {
		switch {
		case s.preferred:
			return s.onlineLoad() < s.Slots+q.Allowance
		case s.helped || !near:
			return s.onlineLoad() < s.Slots
		case others >= nonPreferredSamples:
			return false // lowestCost considers no more of them.
		case s.onlineLoad() >= s.lowLoad():
			return false
		}
		others++
		return true
	}
}

// anyNear reports whether a preferred or helped server is usable or backs off for a moment.
func (p *pool) anyNear(q Query, now time.Time, usable func(s *server) bool) bool {
	untried := Query{Version: q.Version} // A server that has just refused the request still counts.
	x := &p.index
	for s := range p.walk(0, func(word int) uint64 { return x.eligible[word] & (x.preferred[word] | x.helped[word]) }) {
		if s.eligible(untried) && (usable(s) || s.health.backsOff(now)) {
			return true
		}
	}
	return false
}
