package scheduler

import (
	"container/heap"
	"sync"
	"time"
)

// itemTimeWeight is the weight of the newest chunk in the moving average of
// the time per item.
const itemTimeWeight = 0.2

// A lane holds the jobs that share backend capacity.
type lane struct {
	accounts *accounts
	policy   Policy

	mu       sync.Mutex
	jobs     map[Key]*queuedJob
	queues   map[string]*queue // By workspace; empty queues are kept.
	ready    []*queue          // Queues with at least one ready job.
	delayed  timeHeap          // Ordered by the time at which they become ready.
	itemTime time.Duration     // Average time per item at this entry.
}

// A queue holds the ready jobs of one workspace, ordered by the sort time that
// the policy gives them.
type queue struct {
	workspace  string
	account    *account
	jobs       timeHeap
	readyIndex int // Index in lane.ready; -1 when the queue has no ready job.
}

// A queuedJob is a ready job in a queue, or a delayed job.
type queuedJob struct {
	job     Job
	at      time.Time // Sort time of a ready job; end of the delay of a delayed one.
	index   int       // Index in its heap.
	delayed bool
}

func newLane(a *accounts, p Policy) *lane {
	return &lane{
		accounts: a,
		policy:   p,
		jobs:     make(map[Key]*queuedJob),
		queues:   make(map[string]*queue),
		itemTime: DefaultItemTime,
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
	if qj, ok := l.jobs[j.Key]; ok {
		qj.job.Due = j.Due
		l.reorder(qj)
		return
	}
	qj := &queuedJob{job: j}
	l.jobs[j.Key] = qj
	l.enqueue(qj, now)
}

func (l *lane) remove(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	qj, ok := l.jobs[k]
	if !ok {
		return
	}
	delete(l.jobs, k)
	l.dequeue(qj)
}

func (l *lane) delay(k Key, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	qj, ok := l.jobs[k]
	if !ok {
		return
	}
	l.dequeue(qj)
	qj.delayed = true
	qj.at = until
	heap.Push(&l.delayed, qj)
}

func (l *lane) setRemaining(k Key, items int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if qj, ok := l.jobs[k]; ok {
		qj.job.Remaining = items
		l.reorder(qj)
	}
}

func (l *lane) observeItemTime(perItem time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.itemTime += time.Duration(itemTimeWeight * float64(perItem-l.itemTime))
}

func (l *lane) nextWake() (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.delayed) == 0 {
		return time.Time{}, false
	}
	return l.delayed[0].at, true
}

// next chooses a job. The cost is linear in the number of workspaces with ready
// jobs and logarithmic in the number of jobs.
func (l *lane) next(now time.Time, chunkItems int) (d Decision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requeueDelayed(now)
	q, reason := l.choose(now)
	if q == nil {
		return Decision{}, false
	}
	qj := q.jobs[0]
	d = Decision{Job: qj.job, Reason: reason}
	qj.job.Remaining = max(0, qj.job.Remaining-chunkItems)
	l.reorder(qj)
	return d, true
}

// choose returns the queue whose first job runs next, or nil. The caller holds
// mu.
func (l *lane) choose(now time.Time) (chosen *queue, reason Reason) {
	if len(l.ready) == 0 {
		return nil, ""
	}
	candidates := make([]Candidate, len(l.ready))
	for i, q := range l.ready {
		candidates[i] = Candidate{Job: q.jobs[0].job, SortTime: q.jobs[0].at, Usage: q.account.usage(now)}
	}
	i, reason := l.policy.Choose(now, candidates)
	return l.ready[i], reason
}

// requeueDelayed moves the jobs whose delay is over back to their queues. The
// caller holds mu.
func (l *lane) requeueDelayed(now time.Time) {
	for len(l.delayed) > 0 && !l.delayed[0].at.After(now) {
		qj, _ := heap.Pop(&l.delayed).(*queuedJob)
		qj.delayed = false
		l.enqueue(qj, now)
	}
}

// enqueue adds a job to the queue of its workspace. The usage of a workspace
// without ready jobs is first raised to that of the least served one, so that
// it gains no credit while it is idle. The caller holds mu.
func (l *lane) enqueue(qj *queuedJob, now time.Time) {
	q, ok := l.queues[qj.job.Workspace]
	if !ok {
		q = &queue{workspace: qj.job.Workspace, account: l.accounts.get(qj.job.Workspace), readyIndex: -1}
		l.queues[q.workspace] = q
	}
	if q.readyIndex < 0 {
		l.raiseToLeastServed(q, now)
		q.readyIndex = len(l.ready)
		l.ready = append(l.ready, q)
	}
	qj.at = l.policy.SortTime(qj.job, l.itemTime)
	heap.Push(&q.jobs, qj)
}

func (l *lane) raiseToLeastServed(q *queue, now time.Time) {
	if len(l.ready) == 0 {
		return
	}
	floor := l.ready[0].account.usage(now)
	for _, other := range l.ready[1:] {
		floor = min(floor, other.account.usage(now))
	}
	q.account.raiseTo(now, floor)
}

// dequeue removes a job from its heap. The caller holds mu.
func (l *lane) dequeue(qj *queuedJob) {
	if qj.delayed {
		heap.Remove(&l.delayed, qj.index)
		qj.delayed = false
		return
	}
	q := l.queues[qj.job.Workspace]
	heap.Remove(&q.jobs, qj.index)
	if len(q.jobs) > 0 {
		return
	}
	last := l.ready[len(l.ready)-1]
	l.ready[q.readyIndex] = last
	last.readyIndex = q.readyIndex
	l.ready = l.ready[:len(l.ready)-1]
	q.readyIndex = -1
}

// reorder restores the heap order after a change to a ready job. The caller
// holds mu.
func (l *lane) reorder(qj *queuedJob) {
	if qj.delayed {
		return
	}
	qj.at = l.policy.SortTime(qj.job, l.itemTime)
	heap.Fix(&l.queues[qj.job.Workspace].jobs, qj.index)
}

// A timeHeap is a min-heap of jobs ordered by at.
type timeHeap []*queuedJob

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) {
	qj, _ := x.(*queuedJob)
	qj.index = len(*h)
	*h = append(*h, qj)
}

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	qj := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return qj
}
