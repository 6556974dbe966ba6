package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// holderSamples is the number of servers whose holders may have room that one choice
// compares, from a random start. All servers of a domain may be cold at once.
const holderSamples = 8

// Shares are the parts of the limits of cold servers that instances hold. *pacer.Pacer
// implements it.
type Shares interface {
	// Holders returns the other instances that hold a part of the server's limit; none if
	// it has no limit.
	Holders(server throttler.Server) []string
	// TakeShare counts work that is sent to the server for a peer. It returns a wait, and
	// counts nothing, if the part of this instance has no room. Work that can wait leaves
	// room for other work.
	TakeShare(server throttler.Server, canWait bool) (wait time.Duration)
	// TakeResumed counts work that continues a stream, as Take does.
	TakeResumed(server throttler.Server)
	// RecordTurnedAway records that work that continues a stream found no room.
	RecordTurnedAway(server throttler.Server)
	// NewWorkWait returns how much longer new work leaves the part of this instance to work
	// that continues streams.
	NewWorkWait(server throttler.Server) time.Duration
}

// ErrNotHeld means that this instance makes no attempt at a server for a peer.
var ErrNotHeld = merry.Sentinel("no part of the limit of the backend server is held here")

// continuesStream reports whether online work continues a stream of one version.
func (q Query) continuesStream() bool { return q.Class == Online && q.Version != nil }

// selectThroughHolder selects a server for work that is bound to a version while this
// instance may send to no usable server of it for a time: one that a holder of its limit
// may send to. If there is none, it returns the time until this instance or a holder may.
func (p *pool) selectThroughHolder(q Query, cfg Config, now time.Time, ownWait time.Duration) (best *server, holders []string, wait time.Duration) {
	if q.Version == nil || cfg.Pacer == nil || cfg.Peers == nil {
		return nil, nil, ownWait
	}
	wait = ownWait
	bestCost := math.Inf(1)
	start, compared := rand.IntN(max(len(p.order), 1)), 0
	for i := range p.order {
		s := p.order[(start+i)%len(p.order)]
		if !s.eligible(q) || !s.isUsable(q, now) || s.limitWait(q, cfg.Throttle) > 0 || q.Queued && s.onlineLoad() >= s.Slots {
			continue
		}
		names := cfg.Pacer.Holders(s.Start())
		if len(names) == 0 {
			continue
		}
		if holdersWait := cfg.Peers.ShareWait(q.Service, s.ID, names); holdersWait > 0 {
			wait = min(wait, holdersWait)
			continue
		}
		if cost := s.cost(cfg.FailureDomain, q.Class, now); cost < bestCost {
			best, bestCost, holders = s, cost, names
		}
		if compared++; compared == holderSamples {
			break
		}
	}
	if best == nil && q.continuesStream() {
		p.recordTurnedAway(q, cfg, now)
	}
	return best, holders, wait
}

// recordTurnedAway tells the pacer that work that continues a stream finds no room.
func (p *pool) recordTurnedAway(q Query, cfg Config, now time.Time) {
	for _, s := range p.order {
		if s.eligible(q) && s.isUsable(q, now) {
			cfg.Pacer.RecordTurnedAway(s.Start())
		}
	}
}

// isUsable reports whether the server is not suspected. For work that goes through a peer,
// it does not matter whether it is in reach from here.
func (s *server) isUsable(q Query, now time.Time) bool {
	if q.throughPeer {
		return !now.Before(s.health.suspectedUntil)
	}
	return !s.health.suspected(now)
}

// takePace counts work on a server. Work that a holder sends is counted there.
func (c Config) takePace(s *server, q Query, holders []string) {
	switch {
	case c.Pacer == nil || len(holders) > 0:
	case q.continuesStream():
		c.Pacer.TakeResumed(s.Start())
	default:
		c.Pacer.Take(s.Start())
	}
}

// TakeShare counts work that a peer sends to a server through this instance, in this
// instance's part of the server's limit. The error wraps ErrNotHeld if this instance would
// not send to the server itself. A wait means that its part has no room.
func (b *Balancer) TakeShare(service string, server throttler.Server, canWait bool) (wait time.Duration, err error) {
	defer func() { err = merry.Prepend(err, server.ID) }()
	p := b.pool(service)
	if p == nil || b.cfg.Pacer == nil {
		return 0, ErrNotHeld
	}
	p.mu.Lock() // Own work is not placed between the check of the limit and the count.
	defer p.mu.Unlock()
	s := p.servers[server.ID]
	if s == nil || s.Start() != server || !s.eligible(Query{}) || s.health.suspected(b.cfg.Clock.Now()) {
		return 0, ErrNotHeld
	}
	return b.cfg.Pacer.TakeShare(server, canWait), nil
}
