package jobkeeper

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

// capacityPollInterval is the longest wait before backend servers are checked for
// capacity again: this instance is not notified when work of others ends.
const capacityPollInterval = 100 * time.Millisecond

// urgentWindow is the time before a job is due in which its items may use slots
// that are otherwise reserved for online requests. An item runs for about seven
// seconds.
const urgentWindow = 12 * time.Second

// A queueSet holds one queue of items for each service.
type queueSet struct {
	keeper *Keeper

	mu     sync.Mutex
	queues map[string]*itemQueue // By service.
}

// An itemQueue runs the items of one service in the order in which they are due,
// as backend servers have capacity.
type itemQueue struct {
	keeper  *Keeper
	service string

	mu          sync.Mutex
	queue       taskHeap
	dispatching bool // dispatchLoop is running.
}

func (p *queueSet) init(k *Keeper) {
	p.keeper = k
	p.queues = map[string]*itemQueue{}
}

// enqueue queues an item, or dead-letters it if it has expired or its route was
// removed.
func (p *queueSet) enqueue(t *task) {
	k := p.keeper
	if t.isStopped() || k.isLeaving() || k.runContext().Err() != nil {
		return
	}
	route, ok := k.currentRoute(t.job.manifest)
	switch {
	case !ok:
		k.cfg.Clock.AfterFunc(itemRetryDelay, func() { p.enqueue(t) }) // No policy is known yet.
		return
	case route == nil || !k.now().Before(k.expiresAt(t.job.manifest, route)):
		k.log(t.job.manifest.Job).WithField("item", t.item.ID).Warn("item dead-lettered: it expired or its batch route was removed")
		k.recordResult(t, StateDeadLettered, "")
		return
	case t.lostRuns > maxLostRuns:
		k.cfg.Clock.AfterFunc(k.expiresAt(t.job.manifest, route).Sub(k.now()), func() { p.enqueue(t) })
		return
	}
	p.forService(route.ChooseService()).push(t)
}

func (p *queueSet) forService(service string) *itemQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[service]
	if q == nil {
		q = &itemQueue{keeper: p.keeper, service: service}
		p.queues[service] = q
	}
	return q
}

// currentRoute returns the route of a job in the current policy, or nil if it was
// removed. known is false before the first policy.
func (k *Keeper) currentRoute(m Manifest) (route *steerer.Route, known bool) {
	table := k.cfg.Policies.Table()
	if table == nil {
		return nil, false
	}
	route, ok := table.RouteByName(m.Route)
	if !ok || route.Kind != steerer.KindBatch {
		return nil, true
	}
	return route, true
}

func (k *Keeper) expiresAt(m Manifest, route *steerer.Route) time.Time {
	return m.SubmittedAt.Add(route.MaxWait)
}

// dueAt returns when the results of a job are due, if its route exists.
func (k *Keeper) dueAt(m Manifest) (at time.Time, ok bool) {
	route, known := k.currentRoute(m)
	if !known || route == nil {
		return time.Time{}, false
	}
	return m.SubmittedAt.Add(route.Due), true
}

func (p *itemQueue) push(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heap.Push(&p.queue, t)
	if !p.dispatching {
		p.dispatching = true
		p.keeper.running.Go(p.dispatchLoop)
	}
}

func (p *itemQueue) pop() *task {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.dispatching = false
		return nil
	}
	return heap.Pop(&p.queue).(*task)
}

// dispatchLoop places items until the queue is empty.
func (p *itemQueue) dispatchLoop() {
	ctx := p.keeper.runContext()
	for t := p.pop(); t != nil; t = p.pop() {
		if t.isStopped() || p.keeper.isLeaving() {
			continue
		}
		placement := p.place(ctx, t)
		if placement == nil {
			p.clear()
			return
		}
		p.keeper.running.Go(func() { p.runPlaced(ctx, t, placement) })
	}
}

// clear empties the queue when the keeper is stopped.
func (p *itemQueue) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = nil
	p.dispatching = false
}

// place waits for a backend server with capacity. It returns nil when the keeper is
// stopped.
func (p *itemQueue) place(ctx context.Context, t *task) *balancer.Placement {
	for ctx.Err() == nil {
		room := p.keeper.cfg.Placer.WaitCapacity(p.service)
		placement, err := p.keeper.cfg.Placer.Acquire(balancer.Query{Service: p.service, Class: balancer.Batch, Urgent: p.keeper.urgent(t)})
		if err == nil {
			return placement
		}
		waiter.Pause(ctx, p.keeper.cfg.Clock, capacityPollInterval, room)
	}
	return nil
}

// urgent reports whether the results of an item are due within urgentWindow and
// not late yet.
func (k *Keeper) urgent(t *task) bool {
	due, ok := k.dueAt(t.job.manifest)
	if !ok {
		return false
	}
	left := due.Sub(k.now())
	return left > 0 && left < urgentWindow
}

func (p *itemQueue) runPlaced(ctx context.Context, t *task, placement *balancer.Placement) {
	k := p.keeper
	route, known := k.currentRoute(t.job.manifest)
	if !known || route == nil {
		placement.Release(balancer.OutcomeDone)
		k.queues.enqueue(t)
		return
	}
	k.handleOutcome(t, placement, k.run(ctx, t, route, p.service, placement))
}

// A taskHeap orders items by the submission time of their jobs: with equal due
// times after submission, the oldest is due first.
type taskHeap []*task

func (q taskHeap) Len() int { return len(q) }

func (q taskHeap) Less(i, j int) bool {
	return q[i].job.manifest.SubmittedAt.Before(q[j].job.manifest.SubmittedAt)
}

func (q taskHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskHeap) Push(x any) { *q = append(*q, x.(*task)) }

// Pop implements heap.Interface.
func (q *taskHeap) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}
