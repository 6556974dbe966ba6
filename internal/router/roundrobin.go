package router

import (
	"sync"
	"sync/atomic"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// ReasonTurn means that it was the server's turn.
const ReasonTurn Reason = "turn"

// A RoundRobin takes the backend servers of a pool in turn. It knows neither
// failure domains, prefixes nor online loads, and exists to be measured
// against.
type RoundRobin struct {
	router *Router  // Chooses servers for suspects.
	turns  sync.Map // *atomic.Uint64 by the name of the pool.
}

// NewRoundRobin returns a baseline of New.
func NewRoundRobin(cfg Config) *RoundRobin {
	return &RoundRobin{router: New(cfg)}
}

// Choose picks the next server of the pool. The errors are those of
// Router.Choose.
func (r *RoundRobin) Choose(pool *registrar.Pool, q Query) (d Decision, err error) {
	if q.Alone {
		return r.router.Choose(pool, q)
	}
	d = Decision{Candidates: pool.Candidates(), Reason: ReasonTurn}
	if d.Candidates > 0 {
		d.Server, d.FailureDomain = pick(pool, q, r.turn(pool, d.Candidates))
	}
	switch {
	case d.Server != nil:
		return d, nil
	case q.Class == registrar.Batch:
		return d, ErrNoRoom
	default:
		return d, ErrNoServer
	}
}

// turn is the position in the pool that comes next. Entries start at random
// positions, so that they do not go round in step.
func (r *RoundRobin) turn(pool *registrar.Pool, candidates int) int {
	value, ok := r.turns.Load(pool.Name)
	if !ok {
		first := new(atomic.Uint64)
		first.Store(uint64(r.router.cfg.Random.IntN(candidates)))
		value, _ = r.turns.LoadOrStore(pool.Name, first)
	}
	counter, _ := value.(*atomic.Uint64)
	return int(counter.Add(1) % uint64(candidates))
}

// pick returns the first server from a position on that takes the request.
func pick(pool *registrar.Pool, q Query, position int) (chosen *registrar.Server, failureDomain string) {
	var before *registrar.Server // The first one before the position.
	var beforeDomain string
	for _, g := range pool.Groups {
		for _, s := range g.Candidates() {
			position--
			if !takes(s, q) {
				continue
			}
			if position < 0 {
				return s, g.FailureDomain.Name
			}
			if before == nil {
				before, beforeDomain = s, g.FailureDomain.Name
			}
		}
	}
	return before, beforeDomain
}

func takes(s *registrar.Server, q Query) bool {
	return !excluded(q, s) && (q.Class != registrar.Batch || s.Load().BatchHeadroom() > 0)
}
