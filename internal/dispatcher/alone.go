package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	laneShards = 16
	// serversPerLane is the number of candidates of a pool for each server that
	// suspects may hold. With fewer, suspects would take the servers that
	// everybody else needs. A pool with few candidates has one place, also on
	// its last server: most servers die for other reasons than a request, and
	// two deaths end the suspicion.
	serversPerLane = 4
)

// noServerMessage tells callers that a route has servers and none is available.
const noServerMessage = "no backend server of the route takes requests"

// errNoLane means that no server can be had for a suspect.
var errNoLane = errors.New("no server is free to run a suspect request alone")

// lanes bounds, for each pool, how many servers run a suspect alone.
type lanes struct {
	shards [laneShards]lanesShard
}

type lanesShard struct {
	mu    sync.Mutex
	lanes map[string]*lane // By pool name.
}

// A lane is the queue of suspects of one pool.
type lane struct {
	mu      sync.Mutex
	busy    int
	waiting []chan struct{} // Closed when a place is handed over.
}

func (l *lanes) init() {
	for i := range l.shards {
		l.shards[i].lanes = map[string]*lane{}
	}
}

func (l *lanes) of(pool string) *lane {
	shard := &l.shards[xxhash.Sum64String(pool)%laneShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found, ok := shard.lanes[pool]
	if !ok {
		found = &lane{}
		shard.lanes[pool] = found
	}
	return found
}

func places(pool *registrar.Pool) int {
	return max(1, pool.Candidates()/serversPerLane)
}

// enter waits for one of the places.
func (l *lane) enter(ctx context.Context, places int) error {
	turn := l.join(places)
	if turn == nil {
		return nil
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		if !l.giveUp(turn) {
			l.leave() // The place was handed over meanwhile.
		}
		return ctx.Err()
	}
}

// tryEnter takes a place if one is free.
func (l *lane) tryEnter(places int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy >= places {
		return false
	}
	l.busy++
	return true
}

// join takes a free place and returns nil, or queues.
func (l *lane) join(places int) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy < places {
		l.busy++
		return nil
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	return turn
}

func (l *lane) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy > 0
}

func (l *lane) giveUp(turn chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, turn)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// leave hands the place to the first that waits.
func (l *lane) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.busy--
		return
	}
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}

// takeAlone takes a server for a suspect: nothing else of this entry runs on
// it, so that another death is surely the suspect's.
func (r *run) takeAlone(ctx context.Context, pool *registrar.Pool) (t taken, refusal *refuser.Refusal) {
	waitCtx, cancel := context.WithTimeout(ctx, max(r.remaining(), time.Millisecond))
	defer cancel()
	lane := r.d.lanes.of(pool.Name)
	if err := lane.enter(waitCtx, places(pool)); err != nil {
		return t, r.notAlone(ctx)
	}
	if s := r.d.cfg.Retrier.Suspicion(r.digest); !s.RunAlone() {
		lane.leave()
		return r.takeAgain(ctx) // Acquitted or quarantined while it waited.
	}
	t, err := r.d.reserve(waitCtx, pool, lane)
	if err != nil {
		lane.leave()
		return t, r.notAlone(ctx)
	}
	t.server.Begin(registrar.Online)
	release := t.release
	t.release = func() {
		t.server.End(registrar.Online)
		release()
	}
	return t, nil
}

// takeAfterSuspects waits for a server that suspects hold, where no other is
// left. It keeps its place in their queue until it is counted on the server, so
// that the next suspect waits for it in turn.
func (r *run) takeAfterSuspects(ctx context.Context, pool *registrar.Pool) (t taken, refusal *refuser.Refusal) {
	lane := r.d.lanes.of(pool.Name)
	if !lane.inUse() {
		return t, r.noServer(noServerMessage)
	}
	waitCtx, cancel := context.WithTimeout(ctx, max(r.remaining(), time.Millisecond))
	defer cancel()
	if err := lane.enter(waitCtx, places(pool)); err != nil {
		if ctx.Err() != nil {
			return t, r.cancelled(ctx)
		}
		return t, r.noServer(noServerMessage)
	}
	defer lane.leave()
	decision, err := r.choose(pool)
	if err != nil {
		return t, r.noServer(noServerMessage)
	}
	return r.takeChosen(decision), nil
}

func (r *run) takeAgain(ctx context.Context) (taken, *refuser.Refusal) {
	if refusal := r.checkQuarantine(); refusal != nil {
		return taken{}, refusal
	}
	return r.take(ctx)
}

func (r *run) notAlone(ctx context.Context) *refuser.Refusal {
	if ctx.Err() != nil {
		return r.cancelled(ctx)
	}
	r.logDecision("choice", "not-alone")
	return refuser.New(refuser.UpstreamFailed, r.outcome(),
		"a backend server died while it ran this request, and none is free to run it alone")
}

// reserve takes an idle server out of the candidates, or empties the one with
// the least load. The batch items on it make way.
func (d *Dispatcher) reserve(ctx context.Context, pool *registrar.Pool, lane *lane) (t taken, err error) {
	decision, err := d.cfg.Router.Choose(pool, router.Query{Alone: true})
	if err != nil {
		return t, err
	}
	s := decision.Server
	if !s.Reserve() {
		return t, errNoLane
	}
	d.instruments.countYields(d.displacer.displaceAll(s.Name()))
	if err := s.WaitIdle(ctx); err != nil {
		s.Unreserve()
		return t, err
	}
	return taken{server: s, decision: decision, release: func() {
		s.Unreserve()
		lane.leave()
	}}, nil
}
