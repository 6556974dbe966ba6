// Package router chooses the backend server that runs a request. It decides on
// the objects of the registrar and knows no protocol.
package router

import (
	"math/rand/v2"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// Errors of a choice.
var (
	// ErrNoServer means that the pool has no candidate for the request.
	ErrNoServer = merry.Sentinel("no backend server is available")
	// ErrNoRoom means that no candidate that was looked at has room for a
	// batch item.
	ErrNoRoom = merry.Sentinel("no backend server has room for batch work")
)

const (
	// maxLooks bounds the servers that one decision looks at in a group, so
	// that its cost does not grow with the fleet. It covers all servers of a
	// failure domain at today's sizes.
	maxLooks = 16
	// maxRingSteps bounds the walk on the ring; the servers after that are no
	// better for the prefix than any other.
	maxRingSteps = 4
	// loadBoundPercent is the load, relative to the mean, up to which a server
	// keeps the prefixes that the ring gives it.
	loadBoundPercent = 125
	// freeShare is the part of the capacity below which the bound does not
	// apply. Without it two requests on an idle fleet would lose their common
	// prefix, because the mean is near zero.
	freeShare = 4
)

// A Reason says why a server was chosen.
type Reason string

// The reasons of a choice.
const (
	ReasonAlone      Reason = "alone"      // A suspect request runs alone on it.
	ReasonAffinity   Reason = "affinity"   // The ring names it for the prefix.
	ReasonLeastOfTwo Reason = "least-of-2" // It has the lower load of two random servers.
	ReasonNextOnRing Reason = "next-ring"  // The server that the ring names is above the bound.
	ReasonRoom       Reason = "batch-room" // It has the most room among those looked at.
)

// A Random draws numbers. It is called from several goroutines.
type Random interface {
	IntN(n int) int
}

// SharedRandom draws from the shared generator of math/rand/v2.
type SharedRandom struct{}

// IntN is a number in [0, n).
func (SharedRandom) IntN(n int) int {
	return rand.IntN(n)
}

// A Config places a router in the fleet.
type Config struct {
	FailureDomain string
	Region        string
	Random        Random
	// Place is the position of this entry among those that serve, and their
	// number. The entries divide the servers on which suspects run alone, so that
	// two suspects of different entries don't run on the same one. Nil for a single
	// entry.
	Place func() (index, count int)
}

// A Router chooses backend servers.
type Router struct {
	cfg Config
}

// A Query describes the request that needs a server.
type Query struct {
	Class   registrar.Class
	Prefix  string   // Start of the prompt; empty for requests without one.
	Exclude []string // Servers that were tried already.
	Alone   bool     // The request is suspected of crashing servers.
}

// A Decision names the chosen server.
type Decision struct {
	Server        *registrar.Server
	FailureDomain string // Where the server is.
	Candidates    int    // Number of servers in the pool that take new requests.
	Reason        Reason
}

// New returns a router for an entry.
func New(cfg Config) *Router {
	if cfg.Random == nil {
		cfg.Random = SharedRandom{}
	}
	return &Router{cfg: cfg}
}

// Choose picks a server of the pool. The error wraps ErrNoServer or ErrNoRoom.
func (r *Router) Choose(pool *registrar.Pool, q Query) (d Decision, err error) {
	d.Candidates = pool.Candidates()
	switch {
	case q.Alone:
		r.chooseAlone(pool, q, &d)
		err = ErrNoServer
	case q.Class == registrar.Batch:
		r.chooseInGroups(pool, q, &d, r.chooseBatch)
		err = ErrNoRoom
	default:
		r.chooseInGroups(pool, q, &d, r.chooseOnline)
		err = ErrNoServer
	}
	if d.Server == nil {
		return d, err
	}
	return d, nil
}

type chooseFunc func(g *registrar.Group, q Query) (*registrar.Server, Reason)

// chooseInGroups goes through the failure domains from the best to the worst
// until one has a server for the request.
func (r *Router) chooseInGroups(pool *registrar.Pool, q Query, d *Decision, choose chooseFunc) {
	var tried groupSet
	for range pool.Groups {
		i := r.bestGroup(pool, &tried)
		if i < 0 {
			return
		}
		tried.add(i)
		g := pool.Groups[i]
		if s, reason := choose(g, q); s != nil {
			d.Server, d.Reason, d.FailureDomain = s, reason, g.FailureDomain.Name
			return
		}
	}
}

func (r *Router) chooseOnline(g *registrar.Group, q Query) (*registrar.Server, Reason) {
	if q.Prefix != "" {
		if s, reason := r.chooseByPrefix(g, q); s != nil {
			return s, reason
		}
	}
	return r.leastOfTwo(g, q), ReasonLeastOfTwo
}

// chooseByPrefix walks the ring from the position of the prefix until a server
// is below the bound.
func (r *Router) chooseByPrefix(g *registrar.Group, q Query) (*registrar.Server, Reason) {
	sum := g.Load()
	walk := g.IterateRing(registrar.HashPrefix(q.Prefix))
	reason := ReasonAffinity
	for range maxRingSteps {
		s := walk.Next()
		if s == nil {
			return nil, ""
		}
		if s.Eligible() && !excluded(q, s) && belowBound(s.Load(), sum) {
			return s, reason
		}
		reason = ReasonNextOnRing
	}
	return nil, ""
}

// belowBound reports whether one more request keeps the server within the
// bound of the mean load, both counted with that request.
func belowBound(load registrar.Load, sum registrar.GroupLoad) bool {
	with := load.Online + 1
	if with*freeShare <= load.Capacity {
		return true
	}
	return with*sum.Capacity*100 <= loadBoundPercent*(sum.Online+1)*load.Capacity
}

// leastOfTwo draws two servers and takes the one with the lower load. Where a
// drawn server is excluded, the next in the list takes its place.
func (r *Router) leastOfTwo(g *registrar.Group, q Query) *registrar.Server {
	candidates := g.Candidates()
	if len(candidates) == 0 {
		return nil
	}
	first := r.draw(candidates, q, nil)
	if first == nil {
		return nil
	}
	second := r.draw(candidates, q, first)
	if second != nil && second.Load().LessUtilized(first.Load()) {
		return second
	}
	return first
}

func (r *Router) draw(candidates []*registrar.Server, q Query, not *registrar.Server) *registrar.Server {
	start := r.cfg.Random.IntN(len(candidates))
	for i := range min(len(candidates), maxLooks) {
		s := candidates[(start+i)%len(candidates)]
		if s != not && !excluded(q, s) {
			return s
		}
	}
	return nil
}

// chooseBatch takes the server with the most room among those that it looks
// at; the server that the ring names for the prefix comes first.
func (r *Router) chooseBatch(g *registrar.Group, q Query) (*registrar.Server, Reason) {
	if q.Prefix != "" {
		walk := g.IterateRing(registrar.HashPrefix(q.Prefix))
		s := walk.Next()
		if s != nil && s.Eligible() && !excluded(q, s) && s.Load().BatchHeadroom() > 0 {
			return s, ReasonAffinity
		}
	}
	return r.mostRoom(g, q), ReasonRoom
}

func (r *Router) mostRoom(g *registrar.Group, q Query) *registrar.Server {
	candidates := g.Candidates()
	if len(candidates) == 0 {
		return nil
	}
	var best *registrar.Server
	bestRoom := 0
	start := r.cfg.Random.IntN(len(candidates))
	for i := range min(len(candidates), maxLooks) {
		s := candidates[(start+i)%len(candidates)]
		room := s.Load().BatchHeadroom()
		if room > bestRoom && !excluded(q, s) {
			best, bestRoom = s, room
		}
	}
	return best
}

// chooseAlone takes the server with the least load among those that fall to this
// entry, and among all where none of them takes requests. Suspects are rare, so
// that a look at all servers does no harm.
func (r *Router) chooseAlone(pool *registrar.Pool, q Query, d *Decision) {
	mine := r.ownServers(pool)
	leastLoad, own := 0, false
	for _, g := range pool.Groups {
		for _, s := range g.Candidates() {
			load, isMine := s.Load().Total(), mine[s.Name()]
			better := d.Server == nil || isMine && !own || isMine == own && load < leastLoad
			if excluded(q, s) || !better {
				continue
			}
			d.Server, d.Reason, d.FailureDomain = s, ReasonAlone, g.FailureDomain.Name
			leastLoad, own = load, isMine
		}
	}
}

// ownServers are this entry's part of all servers of a pool, candidates or not,
// so that entries with different views of their health agree.
func (r *Router) ownServers(pool *registrar.Pool) map[string]bool {
	index, count := 0, 1
	if r.cfg.Place != nil {
		index, count = r.cfg.Place()
	}
	var names []string
	for _, g := range pool.Groups {
		walk := g.IterateRing(0)
		for s := walk.Next(); s != nil; s = walk.Next() {
			names = append(names, s.Name())
		}
	}
	slices.Sort(names)
	mine := map[string]bool{}
	for i, name := range slices.Compact(names) {
		mine[name] = i%count == index
	}
	return mine
}

func excluded(q Query, s *registrar.Server) bool {
	return slices.Contains(q.Exclude, s.Name())
}
