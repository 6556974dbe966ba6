// Package sequencer decides in which order the batch items of a service run. It answers
// the load of more batch work than fits between the online requests: in due order
// alone, each item would start when it is nearly late, and nearly all would come late.
//
// Items whose runs were cut short go first, then the others, each in due order. An item
// that cannot be in time any more runs when no other one waits, the one with the least
// left to do first, until it expires. While items become late before they ever ran, there
// is more work than capacity: then an item that may or may not be in time gives way to one
// that is safely in time, and among such items the one with the most time left goes first.
package sequencer

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

const (
	// runSlack is the part of the expected duration of a run by which it may be longer
	// or shorter, since runs are preempted and servers and items differ.
	runSlack = 0.15
	// startSlack is the time for a slot to become free and for a run that is cut short to
	// go on elsewhere.
	startSlack = 2500 * time.Millisecond
	// waveTime is how long an item may have to wait for a wave of online requests to pass.
	waveTime = 4 * time.Second
	// readGrace is how late a result may be written to be read in time.
	readGrace = 300 * time.Millisecond
	// paceWeight is the weight of the latest run in the pace, an exponential moving
	// average.
	paceWeight = 0.1
)

// An Item is a batch item that waits to run.
type Item struct {
	Due       time.Time // When its result is late; zero if it is never late.
	Submitted time.Time
	Events    int // Events received in earlier runs.
	Value     any // For the caller.
}

// A Run is a run that completed an item.
type Run struct {
	Events   int           // Events of this run.
	Total    int           // Events of the item, those of earlier runs included.
	Duration time.Duration // From the placement to the last event.
	Start    time.Duration // From the placement to the first event; zero if unknown.
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// A Sequencer is the queue of the items of one service.
type Sequencer struct {
	clock Clock

	mu       sync.Mutex
	begun    dueHeap  // Items with events that could be in time when they were last looked at.
	timely   dueHeap  // Items without events that could be in time when they were last looked at.
	doubtful lastHeap // Items that may be in time, and gave way while there was too much work.
	late     restHeap // Items that cannot be in time.
	neverRan int      // Items of late without events.
	pace     pace
}

// A pace is what the completed runs tell about the next ones.
type pace struct {
	events   float64       // Events of an item.
	start    time.Duration // Time until the first event of a run, which each run takes again.
	perEvent time.Duration // Zero before the first completed run.
}

// New returns an empty queue.
func New(clock Clock) *Sequencer { return &Sequencer{clock: clock} }

// Push adds an item.
func (s *Sequencer) Push(item Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(item)
}

func (s *Sequencer) push(item Item) {
	if item.Events > 0 {
		heap.Push(&s.begun, item)
		return
	}
	heap.Push(&s.timely, item)
}

// Pop removes the item that runs next. It reports false if none waits.
func (s *Sequencer) Pop() (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.neverRan == 0 {
		for s.doubtful.Len() > 0 {
			heap.Push(&s.timely, heap.Pop(&s.doubtful))
		}
	}
	for len(s.begun) > 0 {
		item := heap.Pop(&s.begun).(Item)
		if s.outlook(item, now) != lost {
			return item, true
		}
		s.pushLate(item)
	}
	for len(s.timely) > 0 {
		item := heap.Pop(&s.timely).(Item)
		switch outlook := s.outlook(item, now); {
		case outlook == lost:
			s.pushLate(item)
		case outlook == open && s.neverRan > 0:
			heap.Push(&s.doubtful, item)
		default:
			return item, true
		}
	}
	for s.doubtful.Len() > 0 {
		item := heap.Pop(&s.doubtful).(Item)
		if s.outlook(item, now) != lost {
			return item, true
		}
		s.pushLate(item)
	}
	if s.late.Len() == 0 {
		return Item{}, false
	}
	item := heap.Pop(&s.late).(Item)
	if item.Events == 0 {
		s.neverRan--
	}
	return item, true
}

func (s *Sequencer) pushLate(item Item) {
	heap.Push(&s.late, item)
	if item.Events == 0 {
		s.neverRan++
	}
}

// Len returns the number of items that wait.
func (s *Sequencer) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.begun) + len(s.timely) + s.doubtful.Len() + s.late.Len()
}

// Remove removes the waiting items that match and returns them.
func (s *Sequencer) Remove(match func(Item) bool) (removed []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []Item
	for _, item := range slices.Concat(s.begun, s.timely, s.doubtful.dueHeap, s.late.dueHeap) {
		if match(item) {
			removed = append(removed, item)
		} else {
			kept = append(kept, item)
		}
	}
	if len(removed) > 0 {
		s.begun, s.timely, s.doubtful, s.late, s.neverRan = nil, nil, lastHeap{}, restHeap{}, 0
		for _, item := range kept {
			s.push(item) // Pop sorts them again.
		}
	}
	return removed
}

// Clear removes all items.
func (s *Sequencer) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.timely, s.doubtful, s.late, s.neverRan = nil, nil, lastHeap{}, restHeap{}, 0
}

// InTime reports whether an item may be in time if it starts now.
func (s *Sequencer) InTime(item Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlook(item, s.clock.Now()) != lost
}

// Expected returns how long an item is expected to run; zero before the first completed
// run, and for an item that would not be in time if it waited for waveTime.
func (s *Sequencer) Expected(item Item) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.outlook(item, now) != lost && s.outlook(item, now.Add(waveTime)) != safe {
		return 0
	}
	return s.pace.expectedRun(item.Events)
}

// An outlook says whether an item that starts now will be in time.
type outlook int

const (
	safe outlook = iota
	open
	lost
)

func (s *Sequencer) outlook(item Item, now time.Time) outlook {
	if item.Due.IsZero() {
		return safe
	}
	run := s.pace.expectedRun(item.Events)
	slack := time.Duration(runSlack * float64(run))
	switch left := item.Due.Sub(now); {
	case left <= 0, left+readGrace <= run-slack:
		return lost
	case left < run+slack+startSlack:
		return open
	}
	return safe
}

// expectedRun returns the time that an item runs after the given number of events; zero
// before the first completed run.
func (p pace) expectedRun(events int) time.Duration {
	return p.start + p.expectedRest(events)
}

// RecordRun records a run that completed an item.
func (s *Sequencer) RecordRun(r Run) {
	if r.Events == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	perEvent := (r.Duration - r.Start) / time.Duration(r.Events)
	if s.pace.perEvent == 0 {
		s.pace = pace{events: float64(r.Total), start: r.Start, perEvent: perEvent}
		return
	}
	s.pace.start += time.Duration(paceWeight * float64(r.Start-s.pace.start))
	s.pace.events += paceWeight * (float64(r.Total) - s.pace.events)
	s.pace.perEvent += time.Duration(paceWeight * float64(perEvent-s.pace.perEvent))
}

// A dueHeap orders items by due time, and those of the same due time by submission.
type dueHeap []Item

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if h[i].Due.Equal(h[j].Due) {
		return h[i].Submitted.Before(h[j].Submitted)
	}
	return h[i].Due.Before(h[j].Due)
}

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(Item)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// A restHeap orders items by what is left to do, and those with as much left by
// submission.
type restHeap struct{ dueHeap }

// Less implements heap.Interface.
func (h restHeap) Less(i, j int) bool {
	a, b := h.dueHeap[i], h.dueHeap[j]
	if a.Events != b.Events {
		return a.Events > b.Events
	}
	return a.Submitted.Before(b.Submitted)
}

// A lastHeap orders items by due time, the last one first.
type lastHeap struct{ dueHeap }

// Less implements heap.Interface.
func (h lastHeap) Less(i, j int) bool { return h.dueHeap.Less(j, i) }
