package router

import (
	"sync"
	"sync/atomic"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// ReasonRoundRobin means that it was the server's turn.
const ReasonRoundRobin Reason = "turn"

// A RoundRobin selects the backend servers of a pool in turn. It ignores failure
// domains, prefixes and online loads, and is a baseline for measurements.
type RoundRobin struct {
	router    *Router  // Selects servers for suspects.
	positions sync.Map // Pool name to *atomic.Uint64.
}

// NewRoundRobin returns a round-robin router for an entry.
func NewRoundRobin(cfg Config) *RoundRobin {
	return &RoundRobin{router: New(cfg)}
}

// Choose selects the next server of the pool. It returns the errors of
// Router.Choose.
func (r *RoundRobin) Choose(pool *registrar.Pool, q Query) (d Decision, err error) {
	if q.Isolated {
		return r.router.Choose(pool, q)
	}
	d = Decision{Candidates: pool.Candidates(), Reason: ReasonRoundRobin}
	if d.Candidates > 0 {
		d.Server, d.FailureDomain = firstAccepting(pool, q, r.nextPosition(pool, d.Candidates))
	}
	switch {
	case d.Server != nil:
		return d, nil
	case q.Class == registrar.Batch:
		return d, ErrNoCapacity
	default:
		return d, ErrNoServer
	}
}

// nextPosition returns the next position in the pool. Entries start at random
// positions, so that they do not all choose the same server at once.
func (r *RoundRobin) nextPosition(pool *registrar.Pool, candidates int) int {
	value, ok := r.positions.Load(pool.Name)
	if !ok {
		start := new(atomic.Uint64)
		start.Store(uint64(r.router.cfg.Random.IntN(candidates)))
		value, _ = r.positions.LoadOrStore(pool.Name, start)
	}
	counter, _ := value.(*atomic.Uint64)
	return int(counter.Add(1) % uint64(candidates))
}

// firstAccepting returns the first server at or after a position that accepts the
// request. It continues at the start of the pool.
func firstAccepting(pool *registrar.Pool, q Query, position int) (chosen *registrar.Server, failureDomain string) {
	var wrapped *registrar.Server // The first accepting server before the position.
	var wrappedDomain string
	for _, g := range pool.Groups {
		for _, s := range g.Candidates() {
			position--
			if !accepts(s, q) {
				continue
			}
			if position < 0 {
				return s, g.FailureDomain.Name
			}
			if wrapped == nil {
				wrapped, wrappedDomain = s, g.FailureDomain.Name
			}
		}
	}
	return wrapped, wrappedDomain
}

func accepts(s *registrar.Server, q Query) bool {
	return !excluded(q, s) && (q.Class != registrar.Batch || s.Load().BatchHeadroom() > 0)
}
