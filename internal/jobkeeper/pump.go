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

// roomWait is the longest wait for room before servers are looked at again:
// work of other instances ends without a sign here.
const roomWait = 100 * time.Millisecond

// urgentTime is the time before the end of a job in which its items take places
// that are otherwise left free for online work. An item runs for some seven
// seconds.
const urgentTime = 12 * time.Second

// pumps hold a queue of items for each service.
type pumps struct {
	keeper *Keeper

	mu     sync.Mutex
	queues map[string]*pump // By service.
}

// A pump runs the items of one service, those that are due first before the
// others, as servers have room.
type pump struct {
	keeper  *Keeper
	service string

	mu      sync.Mutex
	queue   workQueue
	running bool // Its goroutine is alive.
}

func (p *pumps) init(k *Keeper) {
	p.keeper = k
	p.queues = map[string]*pump{}
}

// add queues an item, or gives it up where its time or its route has ended.
func (p *pumps) add(w *work) {
	k := p.keeper
	if w.isStopped() || k.isLeaving() || k.baseContext().Err() != nil {
		return
	}
	route, ok := k.route(w.job.manifest)
	switch {
	case !ok:
		k.cfg.Clock.AfterFunc(failurePause, func() { p.add(w) }) // No policy yet.
		return
	case route == nil || !k.now().Before(k.givenUpAt(w.job.manifest, route)):
		k.log(w.job.manifest.Job).WithField("item", w.item.ID).Warn("item given up")
		k.finished(w, StateDeadLettered, "")
		return
	case w.deaths > maxDeaths:
		k.cfg.Clock.AfterFunc(k.givenUpAt(w.job.manifest, route).Sub(k.now()), func() { p.add(w) })
		return
	}
	p.pump(route.Service()).push(w)
}

func (p *pumps) pump(service string) *pump {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[service]
	if q == nil {
		q = &pump{keeper: p.keeper, service: service}
		p.queues[service] = q
	}
	return q
}

// route is the present route of a job: nil after it was dropped. It is not known
// without a policy.
func (k *Keeper) route(m Manifest) (route *steerer.Route, known bool) {
	table := k.cfg.Policies.Table()
	if table == nil {
		return nil, false
	}
	route, ok := table.Named(m.Route)
	if !ok || route.Kind != steerer.KindBatch {
		return nil, true
	}
	return route, true
}

func (k *Keeper) givenUpAt(m Manifest, route *steerer.Route) time.Time {
	return m.SubmittedAt.Add(route.MaxWait)
}

// dueAt is when the results of a job are due.
func (k *Keeper) dueAt(m Manifest) (at time.Time, ok bool) {
	route, known := k.route(m)
	if !known || route == nil {
		return time.Time{}, false
	}
	return m.SubmittedAt.Add(route.Due), true
}

func (p *pump) push(w *work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heap.Push(&p.queue, w)
	if !p.running {
		p.running = true
		p.keeper.running.Go(p.work)
	}
}

func (p *pump) pop() *work {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.running = false
		return nil
	}
	return heap.Pop(&p.queue).(*work)
}

// work places items until the queue is empty.
func (p *pump) work() {
	ctx := p.keeper.baseContext()
	for w := p.pop(); w != nil; w = p.pop() {
		if w.isStopped() || p.keeper.isLeaving() {
			continue
		}
		placement := p.place(ctx, w)
		if placement == nil {
			p.drain()
			return
		}
		p.keeper.running.Go(func() { p.runOne(ctx, w, placement) })
	}
}

// drain empties the queue when the keeper ends.
func (p *pump) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = nil
	p.running = false
}

// place waits for a server with room. It returns nil when the keeper ends.
func (p *pump) place(ctx context.Context, w *work) *balancer.Placement {
	for ctx.Err() == nil {
		room := p.keeper.cfg.Placer.WaitRoom(p.service)
		placement, err := p.keeper.cfg.Placer.Acquire(balancer.Query{Service: p.service, Class: balancer.Batch, Urgent: p.keeper.urgent(w)})
		if err == nil {
			return placement
		}
		waiter.Pause(ctx, p.keeper.cfg.Clock, roomWait, room)
	}
	return nil
}

// urgent reports whether the results of an item are due within urgentTime, and
// are not late yet.
func (k *Keeper) urgent(w *work) bool {
	due, ok := k.dueAt(w.job.manifest)
	if !ok {
		return false
	}
	left := due.Sub(k.now())
	return left > 0 && left < urgentTime
}

func (p *pump) runOne(ctx context.Context, w *work, placement *balancer.Placement) {
	k := p.keeper
	route, known := k.route(w.job.manifest)
	if !known || route == nil {
		placement.Release(balancer.OutcomeDone)
		k.pumps.add(w)
		return
	}
	k.settleWork(w, placement, k.run(ctx, w, route, p.service, placement))
}

// A workQueue is a heap of items by the time of submission of their jobs: with
// equal terms the oldest is due first.
type workQueue []*work

func (q workQueue) Len() int { return len(q) }

func (q workQueue) Less(i, j int) bool {
	return q[i].job.manifest.SubmittedAt.Before(q[j].job.manifest.SubmittedAt)
}

func (q workQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *workQueue) Push(x any) { *q = append(*q, x.(*work)) }

// Pop implements heap.Interface.
func (q *workQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
