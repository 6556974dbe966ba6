package scheduler

import (
	"container/heap"
	"sync"
	"time"
)

// paceMemory is the weight of the newest chunk in the running mean of the time
// per item.
const paceMemory = 0.2

// A lane holds the jobs that share room.
type lane struct {
	accounts *accounts
	order    Order

	mu     sync.Mutex
	jobs   map[Key]*entry
	queues map[string]*queue // By workspace; a queue stays when it is empty.
	ready  []*queue          // The queues that hold a ready job.
	parked timeHeap          // By the time at which they come back.
	pace   time.Duration     // Time per item at this entry.
}

// A queue holds the ready jobs of one workspace, by the position that the order
// gives them.
type queue struct {
	workspace string
	account   *account
	jobs      timeHeap
	position  int // In lane.ready; -1 when the queue holds no ready job.
}

// An entry is a job in a queue or among the parked ones.
type entry struct {
	job    Job
	at     time.Time // Position when ready, time of return when parked.
	index  int       // In its heap.
	parked bool
}

func newLane(a *accounts, o Order) *lane {
	return &lane{
		accounts: a,
		order:    o,
		jobs:     make(map[Key]*entry),
		queues:   make(map[string]*queue),
		pace:     DefaultItemTime,
	}
}

func (l *lane) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs)
}

func (l *lane) add(j Job, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.jobs[j.Key]; ok {
		e.job.Due = j.Due
		l.refresh(e)
		return
	}
	e := &entry{job: j}
	l.jobs[j.Key] = e
	l.enqueue(e, now)
}

func (l *lane) remove(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.jobs[k]
	if !ok {
		return
	}
	delete(l.jobs, k)
	l.dequeue(e)
}

func (l *lane) park(k Key, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.jobs[k]
	if !ok {
		return
	}
	l.dequeue(e)
	e.parked = true
	e.at = until
	heap.Push(&l.parked, e)
}

func (l *lane) setRemaining(k Key, items int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.jobs[k]; ok {
		e.job.Remaining = items
		l.refresh(e)
	}
}

func (l *lane) observePace(perItem time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace += time.Duration(paceMemory * float64(perItem-l.pace))
}

func (l *lane) nextWake() (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.parked) == 0 {
		return time.Time{}, false
	}
	return l.parked[0].at, true
}

// next chooses a job. The cost is linear in the workspaces with ready jobs and
// logarithmic in the jobs.
func (l *lane) next(now time.Time, chunkItems int) (d Decision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unpark(now)
	q, reason := l.choose(now)
	if q == nil {
		return Decision{}, false
	}
	e := q.jobs[0]
	d = Decision{Job: e.job, Reason: reason}
	e.job.Remaining = max(0, e.job.Remaining-chunkItems)
	l.refresh(e)
	return d, true
}

// choose returns the queue whose first job comes next, or nil. The caller holds
// mu.
func (l *lane) choose(now time.Time) (chosen *queue, reason Reason) {
	if len(l.ready) == 0 {
		return nil, ""
	}
	candidates := make([]Candidate, len(l.ready))
	for i, q := range l.ready {
		candidates[i] = Candidate{Job: q.jobs[0].job, Position: q.jobs[0].at, Served: q.account.served(now)}
	}
	i, reason := l.order.Choose(now, candidates)
	return l.ready[i], reason
}

// unpark brings back the jobs whose time has come. The caller holds mu.
func (l *lane) unpark(now time.Time) {
	for len(l.parked) > 0 && !l.parked[0].at.After(now) {
		e, _ := heap.Pop(&l.parked).(*entry)
		e.parked = false
		l.enqueue(e, now)
	}
}

// enqueue puts an entry into the queue of its workspace. A workspace that had
// no ready job starts level with the least served one: it neither pays for its
// absence nor collects credit by it. The caller holds mu.
func (l *lane) enqueue(e *entry, now time.Time) {
	q, ok := l.queues[e.job.Workspace]
	if !ok {
		q = &queue{workspace: e.job.Workspace, account: l.accounts.get(e.job.Workspace), position: -1}
		l.queues[q.workspace] = q
	}
	if q.position < 0 {
		l.raise(q, now)
		q.position = len(l.ready)
		l.ready = append(l.ready, q)
	}
	e.at = l.order.Position(e.job, l.pace)
	heap.Push(&q.jobs, e)
}

func (l *lane) raise(q *queue, now time.Time) {
	if len(l.ready) == 0 {
		return
	}
	floor := l.ready[0].account.served(now)
	for _, other := range l.ready[1:] {
		floor = min(floor, other.account.served(now))
	}
	q.account.raise(now, floor)
}

// dequeue takes an entry out of its heap. The caller holds mu.
func (l *lane) dequeue(e *entry) {
	if e.parked {
		heap.Remove(&l.parked, e.index)
		e.parked = false
		return
	}
	q := l.queues[e.job.Workspace]
	heap.Remove(&q.jobs, e.index)
	if len(q.jobs) > 0 {
		return
	}
	last := l.ready[len(l.ready)-1]
	l.ready[q.position] = last
	last.position = q.position
	l.ready = l.ready[:len(l.ready)-1]
	q.position = -1
}

// refresh puts a ready entry into its place after a change. The caller holds
// mu.
func (l *lane) refresh(e *entry) {
	if e.parked {
		return
	}
	e.at = l.order.Position(e.job, l.pace)
	heap.Fix(&l.queues[e.job.Workspace].jobs, e.index)
}

// A timeHeap is a heap of entries by their time.
type timeHeap []*entry

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) {
	e, _ := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
