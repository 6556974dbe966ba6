// Package queuer orders the online requests that wait at this instance while no backend
// server has a free slot, and dispatches them as slots become free. The order and all
// decisions (Order, line) have neither goroutines nor locks; Queue lets callers wait.
package queuer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
)

const (
	// DefaultAllowance is the number of requests beyond its slots that a preferred server
	// gets. With one, a slot does not stand idle while its release is on its way here.
	DefaultAllowance = 1
	// DefaultLength bounds the waiting requests of one service.
	DefaultLength = 256
	// MemoryShare is the part of the machine's memory that the waiting requests of one
	// service may hold, as a divisor.
	MemoryShare = 16
)

// A Clock tells the time and starts timers.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// Config holds the settings and dependencies of a queue.
type Config struct {
	Clock     Clock
	Placer    Placer
	Limits    Limits // Of each service.
	Allowance int    // Requests beyond its slots that a preferred server gets.
	Meter     metric.Meter
}

// A Queue holds the waiting requests of all services, one shard for each service.
type Queue struct {
	cfg         Config
	instruments *instruments
	wake        chan struct{} // Wakes the dispatcher.
	stopped     atomic.Bool

	mu     sync.RWMutex // Guards shards; each shard has its own lock.
	shards map[string]*shard
}

// A shard holds the waiting requests of one service.
type shard struct {
	// changes counts the changes of capacity. It is increased before the dispatcher is
	// woken, and read before a dispatch, so that no change is lost.
	changes atomic.Uint64
	waiting atomic.Int64 // Requests in the line.

	mu   sync.Mutex // Guards the fields below.
	line *line
	// seen is the value of changes before the last dispatch, if busy.
	seen    uint64
	busy    bool            // The last dispatch left requests because no server had a free slot.
	recheck clockwork.Timer // Nil if no server is expected back without an event.
}

// New returns a queue. Requests that have to wait are dispatched only after Start.
func New(cfg Config) (q *Queue, err error) {
	defer func() { err = merry.Prepend(err, "create request queue") }()
	q = &Queue{cfg: cfg, wake: make(chan struct{}, 1), shards: map[string]*shard{}}
	q.instruments, err = newInstruments(cfg.Meter, q)
	return q, err
}

func (q *Queue) shard(service string) *shard {
	q.mu.RLock()
	s := q.shards[service]
	q.mu.RUnlock()
	if s != nil {
		return s
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shards[service] == nil {
		q.shards[service] = &shard{line: newLine(service, q.cfg.Placer, q.cfg.Limits)}
	}
	return q.shards[service]
}

// CapacityChanged wakes as many waiting requests of a service as there is capacity for.
// It returns at once and calls nothing.
func (q *Queue) CapacityChanged(service string) {
	q.mu.RLock()
	s := q.shards[service]
	q.mu.RUnlock()
	if s == nil {
		return // A request that arrives later sees the change.
	}
	s.changes.Add(1)
	if s.waiting.Load() > 0 {
		q.wakeDispatcher()
	}
}

func (q *Queue) wakeDispatcher() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Start dispatches waiting requests until the context ends, and then refuses those that
// still wait.
func (q *Queue) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				q.RefuseAll()
				ended <- nil
				return
			case <-q.wake:
			}
			for _, s := range q.allShards() {
				q.dispatch(s)
			}
		}
	})
	return ended
}

func (q *Queue) allShards() []*shard {
	q.mu.RLock()
	defer q.mu.RUnlock()
	shards := make([]*shard, 0, len(q.shards))
	for _, s := range q.shards {
		shards = append(shards, s)
	}
	return shards
}

func (q *Queue) dispatch(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.dispatchLocked(s, q.cfg.Clock.Now())
	q.settle(s)
}

// dispatchLocked dispatches what there is capacity for, unless nothing has changed since
// there was none. The caller holds s.mu.
func (q *Queue) dispatchLocked(s *shard, now time.Time) {
	changes := s.changes.Load()
	if s.busy && s.seen == changes {
		return
	}
	decisions, busy, recheck := s.line.dispatch(now)
	s.seen, s.busy = changes, busy
	q.deliver(decisions)
	if s.recheck != nil {
		s.recheck.Stop()
		s.recheck = nil
	}
	if recheck > 0 {
		s.recheck = q.cfg.Clock.AfterFunc(recheck, func() { q.CapacityChanged(s.line.service) })
	}
}

// settle ends an operation on a shard. The caller holds s.mu.
func (q *Queue) settle(s *shard) {
	s.waiting.Store(int64(s.line.order.Len()))
	s.line.settle()
	if s.line.order.Len() == 0 {
		s.busy = false
	}
}

// deliver ends the waits of requests. The channels have room.
func (q *Queue) deliver(decisions []decision) {
	for _, d := range decisions {
		q.instruments.observe(d)
		d.ticket.result <- d.result
	}
}

// Acquire places a request on a server with a free slot, and waits for one in the order
// of the queue. urgent means that a part of its response has been passed on. The error
// is a *RefusedError, an error of the placer, or that of the context.
func (q *Queue) Acquire(ctx context.Context, t *Ticket, query balancer.Query, urgent bool) (*balancer.Placement, error) {
	query.Queued, query.Allowance = true, q.cfg.Allowance
	t.query, t.result = query, make(chan result, 1)
	s := q.shard(query.Service)
	giveUpAfter := q.enter(s, t, urgent)
	select {
	case r := <-t.result:
		return r.placement, r.err
	default:
	}
	timer := q.cfg.Clock.AfterFunc(giveUpAfter, func() { q.remove(s, t, CauseDeadline) })
	defer timer.Stop()
	select {
	case r := <-t.result:
		return r.placement, r.err
	case <-ctx.Done():
	}
	q.remove(s, t, "")
	if r := <-t.result; r.placement != nil {
		r.placement.Release(balancer.OutcomeCancelled)
	}
	return nil, ctx.Err()
}

// enter adds a request and dispatches or refuses what is to be. It returns the time until
// the request can no longer be served.
func (q *Queue) enter(s *shard, t *Ticket, urgent bool) (giveUpAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer q.settle(s)
	now := q.cfg.Clock.Now()
	s.line.add(t, urgent, now)
	// A change of capacity that comes after the dispatch must find the request waiting.
	s.waiting.Store(int64(s.line.order.Len()))
	q.dispatchLocked(s, now)
	if t.entry.flow == nil {
		return 0
	}
	if q.stopped.Load() {
		q.deliver(s.line.end(nil, t, result{err: &RefusedError{Cause: CauseStopped}}, now))
		return 0
	}
	q.deliver(s.line.bound(t, now))
	return s.line.giveUpAt(t).Sub(now)
}

// remove ends the wait of a request that has not been decided yet. Without a cause, its
// caller no longer waits.
func (q *Queue) remove(s *shard, t *Ticket, cause Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer q.settle(s)
	if t.entry.flow == nil {
		return
	}
	r := result{err: context.Canceled}
	if cause != "" {
		r.err = &RefusedError{Cause: cause}
	}
	q.deliver(s.line.end(nil, t, r, q.cfg.Clock.Now()))
}

// RefuseAll refuses all waiting requests, and from then on those that would have to wait.
func (q *Queue) RefuseAll() {
	q.stopped.Store(true)
	for _, s := range q.allShards() {
		s.mu.Lock()
		for _, t := range s.line.tickets {
			q.deliver(s.line.end(nil, t, result{err: &RefusedError{Cause: CauseStopped}}, q.cfg.Clock.Now()))
		}
		if s.recheck != nil {
			s.recheck.Stop()
		}
		q.settle(s)
		s.mu.Unlock()
	}
}

// RecordResponse records that the first byte of the response to a request has arrived.
func (q *Queue) RecordResponse(t *Ticket) {
	s := q.shard(t.query.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.recordResponse(t, q.cfg.Clock.Now())
}

// Lengths returns the number of waiting requests by priority, over all services.
func (q *Queue) Lengths() map[int]int {
	lengths := map[int]int{}
	for _, s := range q.allShards() {
		s.mu.Lock()
		for _, l := range s.line.order.Lengths() {
			lengths[l.Priority] += l.Length
		}
		s.mu.Unlock()
	}
	return lengths
}
