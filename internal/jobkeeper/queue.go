package jobkeeper

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/sequencer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

// capacityPollInterval is the longest wait before backend servers are checked for
// capacity again: this instance is not notified when work of others ends.
const capacityPollInterval = 100 * time.Millisecond

// recheckInterval is the time between two looks at all items that wait, for those that
// have expired, and those whose service has no servers any more.
const recheckInterval = time.Second

// maxClockError is the most by which the times of day of two instances may differ, each
// of them by a step of 2.5 s. It also covers the fraction of a second by which earlier
// builds store the time of submission too early.
const maxClockError = 6 * time.Second

// urgentWindow is the time before a job is due in which its items may use slots
// that are otherwise reserved for online requests. An item runs for about seven
// seconds.
const urgentWindow = 12 * time.Second

const (
	// versionPatience is how long an item that has begun waits for a server of its
	// version while others have capacity, before it begins again.
	versionPatience = 2 * time.Second
	// maxPassedItems is the maximum number of items that are passed over in one search
	// for an item to place.
	maxPassedItems = 64
)

// A queueSet holds one queue of items for each service.
type queueSet struct {
	keeper *Keeper

	mu     sync.Mutex
	queues map[string]*itemQueue // By service.
}

// An itemQueue runs the items of one service in the order of its sequencer, as backend
// servers have capacity.
type itemQueue struct {
	keeper    *Keeper
	service   string
	sequencer *sequencer.Sequencer

	mu          sync.Mutex
	dispatching bool // dispatchLoop is running.
	running     map[*balancer.Placement]*task

	// The policy and the time of the last recheck. Only dispatchLoop uses them.
	checkedTable *routefinder.Table
	checkedAt    time.Time
}

func (s *queueSet) init(k *Keeper) {
	s.keeper = k
	s.queues = map[string]*itemQueue{}
}

// enqueue queues an item, or dead-letters it if it has expired or its route was
// removed.
func (s *queueSet) enqueue(t *task) {
	k := s.keeper
	if t.isStopped() || k.isLeaving() || k.runContext().Err() != nil {
		return
	}
	route, ok := k.currentRoute(t.job.manifest)
	switch {
	case !ok:
		k.cfg.Clock.AfterFunc(itemRetryDelay, func() { s.enqueue(t) }) // No policy is known yet.
		return
	case route == nil || k.hasExpired(t.job, route):
		k.log(t.job.manifest.Job).WithField("item", t.item.ID).Warn("item dead-lettered: it expired or its batch route was removed")
		k.recordResult(t, StateDeadLettered, "")
		return
	}
	crashes, open := t.judgeLosses(k.cfg.Placer.JudgeLoss)
	if crashes+open > maxOpenLosses && open > 0 {
		k.cfg.Clock.AfterFunc(verdictInterval, func() { s.enqueue(t) })
		return
	}
	if wait := t.runAllowedAt(crashes).Sub(k.now()); wait > 0 {
		k.log(t.job.manifest.Job).WithFields(logrus.Fields{"item": t.item.ID, "crashes": crashes, "delay-ms": wait.Milliseconds()}).Info("item delayed: backend servers crashed while they ran it")
		k.cfg.Clock.AfterFunc(wait, func() { s.enqueue(t) })
		return
	}
	s.forService(k.chooseService(route)).push(t)
}

// chooseService chooses a service of a route by weight, unless that one has no servers
// and another one has.
func (k *Keeper) chooseService(route *routefinder.Route) string {
	chosen := route.ChooseService()
	if k.hasServers(chosen) {
		return chosen
	}
	for _, target := range route.Targets {
		if target.Weight > 0 && k.hasServers(target.Service) {
			return target.Service
		}
	}
	return chosen
}

func (k *Keeper) hasServers(service string) bool { return len(k.cfg.Placer.Versions(service)) > 0 }

// mustLeave reports whether an item must not wait any longer in the queue of a service:
// it has expired, its route was removed or leads elsewhere, or the service has no
// servers while another one of the route has.
func (k *Keeper) mustLeave(t *task, service string) bool {
	route, known := k.currentRoute(t.job.manifest)
	switch {
	case !known:
		return false
	case route == nil || k.hasExpired(t.job, route) || !route.LeadsTo(service):
		return true
	}
	if k.hasServers(service) {
		return false
	}
	other := k.chooseService(route)
	return other != service && k.hasServers(other)
}

func (s *queueSet) forService(service string) *itemQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service]
	if q == nil {
		q = &itemQueue{keeper: s.keeper, service: service, sequencer: sequencer.New(s.keeper.cfg.Clock), running: map[*balancer.Placement]*task{}}
		s.queues[service] = q
	}
	return q
}

// currentRoute returns the route of a job in the current policy, or nil if it was
// removed. known is false before the first policy, and as long as this instance has a
// policy from before the job was accepted.
func (k *Keeper) currentRoute(m Manifest) (route *routefinder.Route, known bool) {
	table := k.cfg.Policies.Table()
	if table == nil {
		return nil, false
	}
	route, ok := table.RouteByName(m.Route)
	if !ok || route.Kind != routefinder.KindBatch {
		return nil, table.Policy.Version >= m.Guarantees.PolicyVersion
	}
	return route, true
}

// currentGuarantees returns the guarantees of a job that is accepted now.
func (k *Keeper) currentGuarantees(m Manifest) Guarantees {
	route, known := k.currentRoute(m)
	if !known || route == nil {
		return Guarantees{}
	}
	return Guarantees{PolicyVersion: k.cfg.Policies.Table().Policy.Version, MaxWait: route.MaxWait, MaxAttempts: route.MaxAttempts}
}

// hasExpired reports whether the items of a job may be given up. The time of submission
// of a job that was taken over is by the clock of another process.
func (k *Keeper) hasExpired(j *job, route *routefinder.Route) bool {
	expiresAt := j.manifest.SubmittedAt.Add(max(route.MaxWait, j.manifest.Guarantees.MaxWait))
	if j.takenOver {
		expiresAt = expiresAt.Add(maxClockError)
	}
	return !k.now().Before(expiresAt)
}

// dueAt returns when the results of a job are due, if its route exists.
func (k *Keeper) dueAt(m Manifest) (at time.Time, ok bool) {
	route, known := k.currentRoute(m)
	if !known || route == nil {
		return time.Time{}, false
	}
	return m.SubmittedAt.Add(route.Due), true
}

func (q *itemQueue) push(t *task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequencer.Push(q.keeper.sequencerItem(t))
	if !q.dispatching {
		q.dispatching = true
		q.keeper.running.Go(q.dispatchLoop)
	}
}

// sequencerItem describes a task to the sequencer.
func (k *Keeper) sequencerItem(t *task) sequencer.Item {
	due, _ := k.dueAt(t.job.manifest)
	return sequencer.Item{Due: due, Submitted: t.job.manifest.SubmittedAt, Events: t.progress().Events, Value: t}
}

// pop removes the next item that is not stopped. It reports false if none waits.
func (q *itemQueue) pop() (item sequencer.Item, ok bool) {
	for {
		item, ok = q.sequencer.Pop()
		if !ok || !taskOf(item).isStopped() && !q.keeper.isLeaving() {
			return item, ok
		}
	}
}

// endIfEmpty ends dispatchLoop if no item waits.
func (q *itemQueue) endIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatching = q.sequencer.Len() > 0
	return !q.dispatching
}

func taskOf(item sequencer.Item) *task { return item.Value.(*task) }

// dispatchLoop places items until the queue is empty. After each wait for capacity it
// looks at the order again, since an item that could have been in time may not be any
// more.
func (q *itemQueue) dispatchLoop() {
	k := q.keeper
	ctx := k.runContext()
	for ctx.Err() == nil {
		capacityFreed := k.cfg.Placer.WaitCapacity(q.service)
		q.recheck()
		if q.placeNext(ctx) {
			continue
		}
		if q.endIfEmpty() {
			return
		}
		waiter.Pause(ctx, k.cfg.Clock, capacityPollInterval, capacityFreed)
	}
	q.clear()
}

// recheck queues again the items that must leave this queue, at each change of the
// policy and every recheckInterval.
func (q *itemQueue) recheck() {
	k := q.keeper
	table, now := k.cfg.Policies.Table(), k.now()
	if table == q.checkedTable && now.Sub(q.checkedAt) < recheckInterval {
		return
	}
	q.checkedTable, q.checkedAt = table, now
	leaving := q.sequencer.Remove(func(item sequencer.Item) bool { return k.mustLeave(taskOf(item), q.service) })
	for _, item := range leaving {
		k.queues.enqueue(taskOf(item))
	}
	if len(leaving) > 0 {
		k.cfg.Logger.WithFields(logrus.Fields{"service": q.service, "items": len(leaving)}).Info("items left the queue of a service: they expired, or their routes lead elsewhere")
	}
}

// placeNext places the next item for which there is capacity. Items that have to go on
// at a version whose servers are full do not hold up the others.
func (q *itemQueue) placeNext(ctx context.Context) bool {
	var passed []sequencer.Item
	defer func() {
		for _, item := range passed {
			q.sequencer.Push(item)
		}
	}()
	versions := q.keeper.cfg.Placer.Versions(q.service)
	full := map[string]bool{} // Versions without capacity.
	for len(passed) < maxPassedItems {
		item, ok := q.pop()
		if !ok {
			return false
		}
		version := taskOf(item).boundVersion()
		if version != nil && !slices.Contains(versions, *version) {
			version = nil // The item begins again.
		}
		placement, err := q.acquire(item, version, full)
		if errors.Is(err, balancer.ErrFull) {
			placement, err = q.replace(item, version)
		}
		if err == nil {
			q.addRunning(placement, taskOf(item))
			q.keeper.running.Go(func() { q.runPlaced(ctx, taskOf(item), placement) })
			return true
		}
		passed = append(passed, item)
		if version == nil || len(versions) == 1 {
			return false
		}
	}
	return false
}

// acquire chooses a server for an item, one of the version if it is not nil. An item
// begins again at another version if its own stays without capacity that others have.
func (q *itemQueue) acquire(item sequencer.Item, version *string, full map[string]bool) (placement *balancer.Placement, err error) {
	k := q.keeper
	query := balancer.Query{
		Service: q.service, Class: balancer.Batch, Urgent: q.urgent(item), Expected: q.sequencer.Expected(item), Version: version,
		Work: taskOf(item).job.manifest.Route,
	}
	if version == nil {
		return k.cfg.Placer.Acquire(query)
	}
	err = balancer.ErrFull
	if !full[*version] {
		placement, err = k.cfg.Placer.Acquire(query)
		full[*version] = err != nil
	}
	if err == nil {
		return q.preferOther(item, query, placement), nil
	}
	if taskOf(item).blocked(k.now()) >= versionPatience {
		query.Version = nil
		return k.cfg.Placer.Acquire(query)
	}
	return nil, err
}

// clear empties the queue when the keeper is stopped.
func (q *itemQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequencer.Clear()
	q.dispatching = false
}

// urgent reports whether an item may use the slots for urgent items.
func (q *itemQueue) urgent(item sequencer.Item) bool {
	return isUrgent(q.sequencer, item, q.keeper.now())
}

// isUrgent reports whether the result of an item can be in time and is due within
// urgentWindow.
func isUrgent(s *sequencer.Sequencer, item sequencer.Item, now time.Time) bool {
	if item.Due.IsZero() || !s.InTime(item) {
		return false
	}
	return item.Due.Sub(now) < urgentWindow
}

func (q *itemQueue) runPlaced(ctx context.Context, t *task, placement *balancer.Placement) {
	k := q.keeper
	defer q.removeRunning(placement)
	route, known := k.currentRoute(t.job.manifest)
	if !known || route == nil || !route.LeadsTo(q.service) {
		placement.Release(balancer.OutcomeCancelled)
		k.queues.enqueue(t)
		return
	}
	if len(placement.Holders) == 0 {
		t.unblock()
	}
	k.discardDoubtfulText(t)
	if dropped := t.bind(placement.Backend.Version); dropped > 0 {
		k.log(t.job.manifest.Job).WithFields(logrus.Fields{
			"item": t.item.ID, "dropped-events": dropped, "server-version": placement.Backend.Version,
		}).Info("item begins again at another version")
	}
	started, before := k.now(), t.progress().Events
	o := k.run(ctx, t, route, q.service, placement)
	if total := t.progress().Events; o.state == StateCompleted {
		q.sequencer.RecordRun(sequencer.Run{Events: total - before, Total: total, Start: t.startTime(started), Duration: k.now().Sub(started)})
	}
	k.handleOutcome(t, placement, o)
}
