// Package router selects the backend server that runs a request. It works on the
// fleet model of package registrar and is independent of protocols.
package router

import (
	"math/rand/v2"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// Errors of Choose.
var (
	// ErrNoServer means that the pool has no candidate for the request.
	ErrNoServer = merry.Sentinel("no backend server is available")
	// ErrNoCapacity means that no sampled candidate has free capacity for a batch
	// item.
	ErrNoCapacity = merry.Sentinel("no backend server has free capacity for a batch item")
)

const (
	// maxSampledServers bounds the servers that one decision examines per group,
	// so that its cost does not grow with the fleet. It covers all servers of a
	// failure domain at current fleet sizes.
	maxSampledServers = 16
	// maxRingSteps bounds the walk on the hash ring. Servers beyond it are no
	// better for the prefix than any other.
	maxRingSteps = 4
	// loadBoundPercent is the load relative to the mean up to which a server
	// takes requests whose prefix hashes to it.
	loadBoundPercent = 125
	// lightLoadDivisor exempts servers with a load of at most capacity divided
	// by it from the load bound. On an idle fleet the mean is near zero, and two
	// requests with a common prefix would go to different servers.
	lightLoadDivisor = 4
)

// A Reason says why a server was selected.
type Reason string

// The reasons of decisions.
const (
	ReasonIsolated      Reason = "alone"      // The request is a suspect and needs a server of its own.
	ReasonAffinity      Reason = "affinity"   // The prefix hashes to the server.
	ReasonLeastOfTwo    Reason = "least-of-2" // The server has the lower load of two random ones.
	ReasonNextOnRing    Reason = "next-ring"  // The server to which the prefix hashes cannot take the request.
	ReasonBatchCapacity Reason = "batch-room" // The server has the most headroom for batch items in the sample.
)

// A Random generates random numbers. It must be safe for concurrent use.
type Random interface {
	IntN(n int) int
}

// SharedRandom uses the global generator of math/rand/v2.
type SharedRandom struct{}

// IntN returns a number in [0, n).
func (SharedRandom) IntN(n int) int {
	return rand.IntN(n)
}

// A Config configures a router for its entry.
type Config struct {
	FailureDomain string
	Region        string
	Random        Random
	// EntryPosition returns the index of this entry among the active entries, and
	// their number. The entries divide the servers for suspects among them, so
	// that suspects of different entries do not run on the same server. Nil for a
	// single entry.
	EntryPosition func() (index, count int)
}

// A Router selects backend servers.
type Router struct {
	cfg Config
}

// A Query describes the request that needs a server.
type Query struct {
	Class    registrar.Class
	Prefix   string   // Start of the prompt; empty for requests without one.
	Exclude  []string // Names of servers that must not be selected.
	Isolated bool     // The request is suspected of crashing servers and needs one of its own.
}

// A Decision is the selected server and how it was selected.
type Decision struct {
	Server        *registrar.Server
	FailureDomain string // Failure domain of the server.
	Candidates    int    // Number of eligible servers in the pool.
	Reason        Reason
}

// New returns a router for an entry.
func New(cfg Config) *Router {
	if cfg.Random == nil {
		cfg.Random = SharedRandom{}
	}
	return &Router{cfg: cfg}
}

// Choose selects a server of the pool. The error is ErrNoServer or ErrNoCapacity.
func (r *Router) Choose(pool *registrar.Pool, q Query) (d Decision, err error) {
	d.Candidates = pool.Candidates()
	switch {
	case q.Isolated:
		r.chooseIsolated(pool, q, &d)
		err = ErrNoServer
	case q.Class == registrar.Batch:
		r.chooseInGroups(pool, q, &d, r.chooseBatch)
		err = ErrNoCapacity
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

// chooseInGroups tries the failure domains in order of preference until one has
// a server for the request.
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

// chooseByPrefix walks the hash ring from the hash of the prefix until it finds
// an eligible server within the load bound.
func (r *Router) chooseByPrefix(g *registrar.Group, q Query) (*registrar.Server, Reason) {
	groupLoad := g.Load()
	walk := g.IterateRing(registrar.HashPrefix(q.Prefix))
	reason := ReasonAffinity
	for range maxRingSteps {
		s := walk.Next()
		if s == nil {
			return nil, ""
		}
		if s.Eligible() && !excluded(q, s) && belowBound(s.Load(), groupLoad) {
			return s, reason
		}
		reason = ReasonNextOnRing
	}
	return nil, ""
}

// belowBound reports whether the server stays within the bound relative to the
// mean load of its group. Both loads include the new request.
func belowBound(load registrar.Load, groupLoad registrar.GroupLoad) bool {
	online := load.Online + 1
	if online*lightLoadDivisor <= load.Capacity {
		return true
	}
	return online*groupLoad.Capacity*100 <= loadBoundPercent*(groupLoad.Online+1)*load.Capacity
}

// leastOfTwo samples two servers and returns the one with the lower load. An
// excluded server is replaced by the next one in the list.
func (r *Router) leastOfTwo(g *registrar.Group, q Query) *registrar.Server {
	candidates := g.Candidates()
	if len(candidates) == 0 {
		return nil
	}
	first := r.sample(candidates, q, nil)
	if first == nil {
		return nil
	}
	second := r.sample(candidates, q, first)
	if second != nil && second.Load().LessUtilized(first.Load()) {
		return second
	}
	return first
}

func (r *Router) sample(candidates []*registrar.Server, q Query, other *registrar.Server) *registrar.Server {
	start := r.cfg.Random.IntN(len(candidates))
	for i := range min(len(candidates), maxSampledServers) {
		s := candidates[(start+i)%len(candidates)]
		if s != other && !excluded(q, s) {
			return s
		}
	}
	return nil
}

// chooseBatch prefers the server to which the prefix hashes, and otherwise
// returns the sampled server with the most batch headroom.
func (r *Router) chooseBatch(g *registrar.Group, q Query) (*registrar.Server, Reason) {
	if q.Prefix != "" {
		walk := g.IterateRing(registrar.HashPrefix(q.Prefix))
		s := walk.Next()
		if s != nil && s.Eligible() && !excluded(q, s) && s.Load().BatchHeadroom() > 0 {
			return s, ReasonAffinity
		}
	}
	return r.mostBatchHeadroom(g, q), ReasonBatchCapacity
}

func (r *Router) mostBatchHeadroom(g *registrar.Group, q Query) *registrar.Server {
	candidates := g.Candidates()
	if len(candidates) == 0 {
		return nil
	}
	var best *registrar.Server
	bestHeadroom := 0
	start := r.cfg.Random.IntN(len(candidates))
	for i := range min(len(candidates), maxSampledServers) {
		s := candidates[(start+i)%len(candidates)]
		headroom := s.Load().BatchHeadroom()
		if headroom > bestHeadroom && !excluded(q, s) {
			best, bestHeadroom = s, headroom
		}
	}
	return best
}

// chooseIsolated selects the server with the lowest load among those assigned to
// this entry, or among all if none of them is a candidate. It examines all
// servers, which is affordable because suspects are rare.
func (r *Router) chooseIsolated(pool *registrar.Pool, q Query, d *Decision) {
	assigned := r.assignedServers(pool)
	leastLoad, bestAssigned := 0, false
	for _, g := range pool.Groups {
		for _, s := range g.Candidates() {
			load, isAssigned := s.Load().Total(), assigned[s.Name()]
			better := d.Server == nil || isAssigned && !bestAssigned || isAssigned == bestAssigned && load < leastLoad
			if excluded(q, s) || !better {
				continue
			}
			d.Server, d.Reason, d.FailureDomain = s, ReasonIsolated, g.FailureDomain.Name
			leastLoad, bestAssigned = load, isAssigned
		}
	}
}

// assignedServers returns the servers of a pool that are assigned to this entry
// for suspects. It divides all servers and not only the candidates, so that
// entries with different views of server health agree.
func (r *Router) assignedServers(pool *registrar.Pool) map[string]bool {
	index, count := 0, 1
	if r.cfg.EntryPosition != nil {
		index, count = r.cfg.EntryPosition()
	}
	var names []string
	for _, g := range pool.Groups {
		walk := g.IterateRing(0)
		for s := walk.Next(); s != nil; s = walk.Next() {
			names = append(names, s.Name())
		}
	}
	slices.Sort(names)
	assigned := map[string]bool{}
	for i, name := range slices.Compact(names) {
		assigned[name] = i%count == index
	}
	return assigned
}

// excluded reports whether the request may not go to the server now: it was tried, or
// has asked for a pause.
func excluded(q Query, s *registrar.Server) bool {
	return slices.Contains(q.Exclude, s.Name()) || s.Paused()
}
