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
	isolationShards = 16
	// candidatesPerSlot is the number of candidate servers in a pool per server
	// that suspects may occupy; with fewer, suspects would occupy the servers
	// that other requests need. A small pool has one slot, even on its last
	// server: most crashes are not caused by a request, and a second crash
	// quarantines the suspect.
	candidatesPerSlot = 4
)

// noServerMessage tells callers that the route has servers but none is available.
const noServerMessage = "no backend server of the route takes requests"

// errReserveFailed means that the chosen server cannot be reserved for a suspect.
var errReserveFailed = errors.New("no backend server can be reserved for a suspect request")

// isolationLimits limits, for each pool, how many servers run suspects in
// isolation.
type isolationLimits struct {
	shards [isolationShards]isolationShard
}

type isolationShard struct {
	mu     sync.Mutex
	limits map[string]*isolationLimit // By pool name.
}

// An isolationLimit is a counting semaphore for the suspects of one pool, with a
// FIFO queue.
type isolationLimit struct {
	mu      sync.Mutex
	held    int
	waiters []chan struct{} // Each is closed when its waiter gets a slot.
}

func (l *isolationLimits) init() {
	for i := range l.shards {
		l.shards[i].limits = map[string]*isolationLimit{}
	}
}

func (l *isolationLimits) forPool(pool string) *isolationLimit {
	shard := &l.shards[xxhash.Sum64String(pool)%isolationShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found, ok := shard.limits[pool]
	if !ok {
		found = &isolationLimit{}
		shard.limits[pool] = found
	}
	return found
}

func isolationSlots(pool *registrar.Pool) int {
	return max(1, pool.Candidates()/candidatesPerSlot)
}

// acquire waits for one of the slots.
func (l *isolationLimit) acquire(ctx context.Context, slots int) error {
	granted := l.acquireOrEnqueue(slots)
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		if !l.stopWaiting(granted) {
			l.release() // The slot was granted at the same time.
		}
		return ctx.Err()
	}
}

// tryAcquire takes a slot if one is free.
func (l *isolationLimit) tryAcquire(slots int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held >= slots {
		return false
	}
	l.held++
	return true
}

// acquireOrEnqueue takes a free slot and returns nil, or joins the queue and
// returns a channel that is closed when a slot is granted.
func (l *isolationLimit) acquireOrEnqueue(slots int) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held < slots {
		l.held++
		return nil
	}
	granted := make(chan struct{})
	l.waiters = append(l.waiters, granted)
	return granted
}

func (l *isolationLimit) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held > 0
}

// stopWaiting leaves the queue. It returns false if the slot was already granted.
func (l *isolationLimit) stopWaiting(granted chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiters, granted)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// release passes the slot to the first waiter.
func (l *isolationLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) == 0 {
		l.held--
		return
	}
	close(l.waiters[0])
	l.waiters = l.waiters[1:]
}

// acquireIsolated reserves a server for a suspect. Nothing else of this entry
// runs on it, so that another crash must be caused by the suspect.
func (r *run) acquireIsolated(ctx context.Context, pool *registrar.Pool) (a assignment, refusal *refuser.Refusal) {
	waitCtx, cancel := context.WithTimeout(ctx, max(r.remaining(), time.Millisecond))
	defer cancel()
	limit := r.dispatcher.isolation.forPool(pool.Name)
	if err := limit.acquire(waitCtx, isolationSlots(pool)); err != nil {
		return a, r.isolationRefusal(ctx)
	}
	if s := r.dispatcher.cfg.Retrier.Suspicion(r.digest); !s.NeedsIsolation() {
		limit.release()
		return r.reacquire(ctx) // Cleared or quarantined while it waited.
	}
	a, err := r.dispatcher.reserveIsolated(waitCtx, pool, limit)
	if err != nil {
		limit.release()
		return a, r.isolationRefusal(ctx)
	}
	a.server.Begin(registrar.Online)
	release := a.release
	a.release = func() {
		a.server.End(registrar.Online)
		release()
	}
	return a, nil
}

// acquireAfterSuspects waits for a server that is reserved for suspects if no
// other is left. It holds a slot until the request counts in the server's load,
// so that the next suspect waits for the request in turn.
func (r *run) acquireAfterSuspects(ctx context.Context, pool *registrar.Pool) (a assignment, refusal *refuser.Refusal) {
	limit := r.dispatcher.isolation.forPool(pool.Name)
	if !limit.inUse() {
		return a, r.noServerRefusal(noServerMessage)
	}
	waitCtx, cancel := context.WithTimeout(ctx, max(r.remaining(), time.Millisecond))
	defer cancel()
	if err := limit.acquire(waitCtx, isolationSlots(pool)); err != nil {
		if ctx.Err() != nil {
			return a, r.cancellationRefusal(ctx)
		}
		return a, r.noServerRefusal(noServerMessage)
	}
	defer limit.release()
	decision, err := r.choose(pool)
	if err != nil {
		return a, r.noServerRefusal(noServerMessage)
	}
	return r.assign(decision), nil
}

func (r *run) reacquire(ctx context.Context) (assignment, *refuser.Refusal) {
	if refusal := r.checkQuarantine(ctx); refusal != nil {
		return assignment{}, refusal
	}
	return r.acquireServer(ctx)
}

func (r *run) isolationRefusal(ctx context.Context) *refuser.Refusal {
	if ctx.Err() != nil {
		return r.cancellationRefusal(ctx)
	}
	r.logDecision("choice", "not-alone")
	return refuser.New(refuser.UpstreamFailed, r.outcome(),
		"a backend server died while it ran this request, and none is free to run it alone")
}

// reserveIsolated reserves the server with the lowest load, preempts its batch
// items and waits until it is idle.
func (d *Dispatcher) reserveIsolated(ctx context.Context, pool *registrar.Pool, limit *isolationLimit) (a assignment, err error) {
	decision, err := d.cfg.Router.Choose(pool, router.Query{Isolated: true})
	if err != nil {
		return a, err
	}
	s := decision.Server
	if !s.Reserve() {
		return a, errReserveFailed
	}
	d.instruments.countPreemptions(d.tracker.preemptAll(s.Name()))
	if err := s.WaitIdle(ctx); err != nil {
		s.Unreserve()
		return a, err
	}
	return assignment{server: s, decision: decision, isolated: true, release: func() {
		s.Unreserve()
		limit.release()
	}}, nil
}
