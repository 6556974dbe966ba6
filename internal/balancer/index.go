package balancer

import (
	"math/bits"
	"math/rand/v2"
	"time"
)

// pacedRefresh is the time between two checks of which servers the pacer limits. A server
// that is limited without an event at this balancer is noticed by then, or earlier if a
// choice considers it for another reason.
const pacedRefresh = time.Second

// A bitset is a set of indexes in pool.order.
type bitset []uint64

func newBitset(n int) bitset { return make(bitset, (n+63)/64) }

func (b bitset) set(i int, in bool) {
	if in {
		b[i/64] |= 1 << (i % 64)
	} else {
		b[i/64] &^= 1 << (i % 64)
	}
}

// An index holds sets of the servers of a pool, so that a choice visits only those that it
// considers. To find them it reads one word of each set for 64 servers.
type index struct {
	eligible  bitset            // All but those that leave, are evacuated or were misdirected.
	versions  map[string]bitset // By Backend.Version.
	preferred bitset
	helped    bitset
	used      bitset // With work of this instance.
	free      bitset // With fewer online requests than slots.
	low       bitset // With a load that leaves room for queued requests of other instances.
	// suspect has all servers that are suspected, and some that were until recently.
	suspect bitset
	// checkSuspectsAt is when the first of suspect may be suspected no longer; zero if
	// this is not known.
	checkSuspectsAt time.Time
	// paced has the servers that the pacer limits, as far as noticed, and some others.
	paced        bitset
	checkPacedAt time.Time // When paced is to be determined again.
}

// rebuildIndex computes the index after a change of the list, of preferred servers or of
// evacuations. The caller holds p.mu.
func (p *pool) rebuildIndex() {
	n := len(p.order)
	p.index = index{
		eligible: newBitset(n), versions: map[string]bitset{}, preferred: newBitset(n), helped: newBitset(n),
		used: newBitset(n), free: newBitset(n), low: newBitset(n), suspect: newBitset(n), paced: newBitset(n),
	}
	for i, s := range p.order {
		s.position = i
		p.index.eligible.set(i, s.eligible(Query{}))
		if p.index.versions[s.Version] == nil {
			p.index.versions[s.Version] = newBitset(n)
		}
		p.index.versions[s.Version].set(i, true)
		p.index.preferred.set(i, s.preferred)
		p.index.helped.set(i, s.helped)
		p.index.suspect.set(i, true)
		p.indexLoad(s)
	}
}

// indexLoad enters the load of a server. The caller holds p.mu.
func (p *pool) indexLoad(s *server) {
	if s.position < 0 {
		return // It has left the list.
	}
	online := s.onlineLoad()
	p.index.used.set(s.position, s.local.total() > 0)
	p.index.free.set(s.position, online < s.Slots)
	p.index.low.set(s.position, online < s.lowLoad())
}

// indexHealth enters that the health of a server has changed, after which the pacer may
// limit it as well. The caller holds p.mu.
func (p *pool) indexHealth(s *server) {
	if s.position < 0 {
		return
	}
	p.index.suspect.set(s.position, true)
	p.index.paced.set(s.position, true)
	p.index.checkSuspectsAt = time.Time{}
}

// refreshSuspects removes the servers that are suspected no longer.
func (p *pool) refreshSuspects(now time.Time) {
	x := &p.index
	if now.Before(x.checkSuspectsAt) {
		return
	}
	x.checkSuspectsAt = now.Add(maxSuspicion)
	for s := range p.walk(0, func(word int) uint64 { return x.suspect[word] }) {
		switch {
		case s.health.unreachable:
		case now.Before(s.health.suspectedUntil):
			x.checkSuspectsAt = earliest(x.checkSuspectsAt, s.health.suspectedUntil)
		default:
			x.suspect.set(s.position, false)
		}
	}
}

// refreshPaced determines from time to time which servers the pacer limits.
func (p *pool) refreshPaced(q Query, pacer Pacer, now time.Time) {
	if pacer == nil || now.Before(p.index.checkPacedAt) {
		return
	}
	p.index.checkPacedAt = now.Add(pacedRefresh)
	for i, s := range p.order {
		_, paced := s.paceWait(q, pacer)
		p.index.paced.set(i, paced)
	}
}

// A reputation says which servers a scope contains by their health.
type reputation int

const (
	anyReputation reputation = iota
	trusted
	suspected
)

// A room says which servers a scope contains by their load, of those that are neither
// preferred nor limited by the pacer.
type room int

const (
	anyRoom  room = iota
	lowRoom       // Those with a low load, and those with a free slot that the instance helps to fill.
	freeRoom      // Those with a free slot.
)

// A scope selects the servers that a choice visits. It contains all that the choice may
// select, and may contain others.
type scope struct {
	reputation reputation
	room       room
	// others counts the servers with a low load that have been visited; nil if the choice
	// does not limit them.
	others *int
}

// word returns the word of a scope. Without others, it contains only the servers of which a
// choice considers all: the preferred ones and those that the pacer limits.
func (x *index) word(i int, sc scope, version bitset, others bool) uint64 {
	w := x.eligible[i]
	if version != nil {
		w &= version[i]
	}
	switch sc.reputation {
	case trusted:
		w &^= x.suspect[i]
	case suspected:
		w &= x.suspect[i]
	}
	near := x.preferred[i] | x.paced[i]
	switch {
	case !others:
		return w & near
	case sc.room == lowRoom:
		return w & (near | x.low[i] | x.helped[i]&x.free[i])
	case sc.room == freeRoom:
		return w & (near | x.free[i])
	}
	return w
}

// ofVersion returns the servers of the version that the work needs, nil if it needs none.
func (x *index) ofVersion(q Query) (servers bitset, found bool) {
	if q.Version == nil {
		return nil, true
	}
	servers, found = x.versions[*q.Version]
	return servers, found
}

// walk yields the servers of a set in their order, from the one with the index start on and
// then from the first one on. The set may change meanwhile.
func (p *pool) walk(start int, set func(word int) uint64) func(yield func(s *server) bool) {
	return func(yield func(s *server) bool) {
		words := len(p.index.eligible)
		if words == 0 {
			return
		}
		for n := range words + 1 {
			word := (start/64 + n) % words
			left := ^uint64(0)
			switch n {
			case 0:
				left <<= start % 64
			case words:
				left = 1<<(start%64) - 1
			}
			for found := set(word) & left; found != 0; found = set(word) & left {
				bit := bits.TrailingZeros64(found)
				left &= ^uint64(0) << bit << 1
				if !yield(p.order[word*64+bit]) {
					return
				}
			}
		}
	}
}

// lowestCost returns the usable server with the lowest cost among those that a choice
// considers: all preferred ones, all that the pacer limits, and a few samples of the others
// from a random start. If all usable ones are limited, it returns the shortest wait. The
// scope must contain all usable servers.
func (p *pool) lowestCost(q Query, cfg Config, now time.Time, in scope, usable func(s *server) bool) (best *server, wait time.Duration) {
	version, found := p.index.ofVersion(q)
	if len(p.order) == 0 || !found {
		return nil, 0
	}
	p.refreshSuspects(now)
	p.refreshPaced(q, cfg.Pacer, now)
	bestCost := 0.0
	sampled := 0
	set := func(word int) uint64 {
		more := sampled < nonPreferredSamples || in.others != nil && *in.others < nonPreferredSamples
		return p.index.word(word, in, version, more)
	}
	for s := range p.walk(rand.IntN(len(p.order)), set) {
		if !s.eligible(q) || !usable(s) {
			continue
		}
		paceWait, paced := s.paceWait(q, cfg.Pacer)
		p.index.paced.set(s.position, paced)
		if limited := max(s.limitWait(q, cfg.Throttle), paceWait); limited > 0 {
			wait = earlierWait(wait, limited)
			continue
		}
		if !s.preferred && !paced {
			if sampled++; sampled > nonPreferredSamples {
				continue
			}
		}
		cost := s.cost(cfg.FailureDomain, q.Class, now)
		if paced {
			cost += s.pacedPenalty()
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, wait
}
