package queuer

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// An Entry is a waiting request as the order sees it. The exported fields do not change
// while it is in an Order.
type Entry struct {
	Priority  int // 0 is the most urgent.
	Workspace string
	BeginBy   time.Time // When the request must begin in order to be on time; zero if it has no goal.
	Size      int       // Bytes that it holds while it waits.

	seq   uint64 // Order of the first arrivals, from 1; zero before the first Push.
	late  bool   // BeginBy has passed.
	flow  *flow  // Nil while the entry is in no Order.
	index int    // In flow.entries.
	// onTimeIndex is the index in Order.onTime; -1 if the entry is not in it.
	onTimeIndex int
	taken       bool // It has been dispatched before, and its flow has been charged.
	takenLate   bool // Its value of late at that time.
	onTurn      bool // It went before more urgent entries at that time.
	start       float64
}

// before is the order within a flow.
func (e *Entry) before(other *Entry) bool {
	switch {
	case e.BeginBy.Equal(other.BeginBy):
		return e.seq < other.seq
	case e.BeginBy.IsZero():
		return false
	case other.BeginBy.IsZero():
		return true
	}
	return e.BeginBy.Before(other.BeginBy)
}

// A flow holds the waiting entries of one workspace in one level.
type flow struct {
	level   *level
	key     flowKey
	tag     float64 // Virtual time at which its next entry is due.
	entries entryHeap
	index   int // In level.backlog; -1 if it has no entries.
}

// A flowKey identifies a flow. An entry that is dispatched again has a flow of its own,
// because its workspace has already been charged for it.
type flowKey struct {
	workspace string
	returned  uint64 // seq of the entry; zero for the flow of a workspace.
}

// lastTag returns the virtual time at which the last entry is due.
func (f *flow) lastTag() float64 { return f.tag + float64(len(f.entries)-1) }

// A level holds the entries of one priority whose goal can, or can no longer, be met.
type level struct {
	levelTurn
	vtime   float64 // Virtual time: the tag of the flow that was served last.
	flows   map[flowKey]*flow
	backlog flowHeap // The flows with entries.
}

// stackLevels is the number of levels up to which a decision allocates nothing.
const stackLevels = 16

// An Order is the order in which waiting requests are served: those whose goal can still
// be met, then the others; by priority, except for the turns of lower priorities; by
// start-time fair queueing between workspaces; and within a workspace by BeginBy. It has
// no lock.
type Order struct {
	levels    []*level  // Sorted, best first.
	onTime    entryHeap // All entries that are not late and have a goal, by BeginBy.
	sinceTurn int       // See turns.since.
	seq       uint64
	count     int
	bytes     int
}

// Len returns the number of entries.
func (o *Order) Len() int { return o.count }

// Bytes returns the sum of the entries' sizes.
func (o *Order) Bytes() int { return o.bytes }

// Push adds an entry. One that was in the order before keeps its position.
func (o *Order) Push(e *Entry, now time.Time) {
	if e.seq == 0 {
		o.seq++
		e.seq = o.seq
	}
	e.late = !e.BeginBy.IsZero() && e.BeginBy.Before(now)
	e.onTimeIndex = -1
	if !e.late && !e.BeginBy.IsZero() {
		heap.Push(onTimeHeap{&o.onTime}, e)
	}
	o.insert(e)
	o.returnTurn(e)
	o.count++
	o.bytes += e.Size
}

func (o *Order) insert(e *Entry) {
	l := o.level(e.late, e.Priority)
	key, tag := flowKey{workspace: e.Workspace}, l.vtime
	if e.taken {
		key.returned = e.seq
		if e.takenLate == e.late {
			tag = e.start
		}
	}
	f := l.flows[key]
	if f == nil {
		f = &flow{level: l, key: key, tag: tag, index: -1}
		l.flows[key] = f
	}
	if len(f.entries) == 0 && !e.taken {
		f.tag = max(f.tag, l.vtime)
	}
	e.flow = f
	heap.Push(&f.entries, e)
	l.count++
	if f.index < 0 {
		heap.Push(&l.backlog, f)
	} else {
		heap.Fix(&l.backlog, f.index) // The first entry decides between equal tags.
	}
}

// level returns the level of a priority, and adds it if it is not there yet.
func (o *Order) level(late bool, priority int) *level {
	i, found := slices.BinarySearchFunc(o.levels, levelTurn{late: late, priority: priority}, func(l *level, want levelTurn) int {
		switch {
		case l.late != want.late && l.late:
			return 1
		case l.late != want.late:
			return -1
		}
		return l.priority - want.priority
	})
	if !found {
		o.levels = slices.Insert(o.levels, i, &level{levelTurn: levelTurn{late: late, priority: priority}, flows: map[flowKey]*flow{}})
	}
	return o.levels[i]
}

// Expire moves the entries whose goal can no longer be met behind the others.
func (o *Order) Expire(now time.Time) {
	for len(o.onTime) > 0 && o.onTime[0].BeginBy.Before(now) {
		e := o.onTime[0]
		heap.Pop(onTimeHeap{&o.onTime})
		o.detach(e)
		e.late = true
		o.insert(e)
	}
}

// First returns the entry that is served next, or nil.
func (o *Order) First() *Entry {
	t := o.turns(make([]levelTurn, 0, stackLevels))
	index, _ := t.next()
	if index < 0 {
		return nil
	}
	return o.levels[index].backlog[0].entries[0]
}

// Take removes an entry that is dispatched, and charges its workspace.
func (o *Order) Take(e *Entry) {
	f := e.flow
	o.countTurn(e)
	e.start, e.taken, e.takenLate = f.tag, true, e.late
	f.level.vtime = max(f.level.vtime, f.tag)
	f.tag++
	o.Remove(e)
}

// Remove removes an entry that is not dispatched. It has no effect on one that is not in
// the order.
func (o *Order) Remove(e *Entry) {
	if e.flow == nil {
		return
	}
	if e.onTimeIndex >= 0 {
		heap.Remove(onTimeHeap{&o.onTime}, e.onTimeIndex)
	}
	o.detach(e)
	o.count--
	o.bytes -= e.Size
}

// detach removes an entry from its flow.
func (o *Order) detach(e *Entry) {
	f, l := e.flow, e.flow.level
	heap.Remove(&f.entries, e.index)
	e.flow = nil
	l.count--
	switch {
	case len(f.entries) > 0:
		heap.Fix(&l.backlog, f.index)
	default:
		heap.Remove(&l.backlog, f.index)
		if f.key.returned != 0 || f.tag <= l.vtime {
			delete(l.flows, f.key)
		}
	}
	if l.count == 0 {
		l.end()
	}
}

// end ends a busy period: what workspaces got in it no longer counts.
func (l *level) end() {
	for _, f := range l.flows {
		l.vtime = max(l.vtime, f.tag)
	}
	clear(l.flows)
}

// Last returns the entry that is served last if no other one arrives, or nil. Its cost
// grows with the number of entries.
func (o *Order) Last() *Entry {
	t := o.turns(make([]levelTurn, 0, stackLevels))
	last := -1
	for index, reserved := t.next(); index >= 0; index, reserved = t.next() {
		t.take(index, reserved, t.inRow(index, reserved))
		last = index
	}
	if last < 0 {
		return nil
	}
	return o.levels[last].last()
}

// last returns the entry that is served last in the level, which has some.
func (l *level) last() (last *Entry) {
	tag := math.Inf(-1)
	for _, f := range l.backlog {
		if f.lastTag() < tag {
			continue
		}
		e := f.entries[0]
		for _, other := range f.entries[1:] {
			if e.before(other) {
				e = other
			}
		}
		if f.lastTag() > tag || last.before(e) {
			last, tag = e, f.lastTag()
		}
	}
	return last
}

// Ahead returns the number of entries that are served before an entry if no other one
// arrives. Its cost grows with the number of entries.
func (o *Order) Ahead(e *Entry) (n int) {
	inLevel := e.flow.level.ahead(e)
	t := o.turns(make([]levelTurn, 0, stackLevels))
	for {
		index, reserved := t.next()
		served := t.inRow(index, reserved)
		if o.levels[index] == e.flow.level {
			if inLevel < served {
				return n + inLevel
			}
			inLevel -= served
		}
		t.take(index, reserved, served)
		n += served
	}
}

// ahead returns the number of entries of the level that are served before one of them.
func (l *level) ahead(e *Entry) (n int) {
	due := e.flow.tag + float64(e.flow.countBefore(e))
	for _, f := range l.backlog {
		switch {
		case f == e.flow:
			n += f.countBefore(e)
		case f.tag <= due:
			earlier := min(len(f.entries), int(math.Ceil(due-f.tag)))
			n += earlier
			// The next one is due at the same time if the tags differ by a whole number.
			if f.tag+float64(earlier) == due && f.countBefore(e) > earlier {
				n++
			}
		}
	}
	return n
}

// countBefore returns the number of entries of the flow that would be served before an
// entry if it were in the flow.
func (f *flow) countBefore(e *Entry) (n int) {
	for _, other := range f.entries {
		if other.before(e) {
			n++
		}
	}
	return n
}

// A PriorityLength is the number of waiting requests of a priority.
type PriorityLength struct {
	Priority int
	Length   int
}

// Lengths returns the number of entries of each priority that has had any.
func (o *Order) Lengths() (lengths []PriorityLength) {
	for _, l := range o.levels {
		i := slices.IndexFunc(lengths, func(p PriorityLength) bool { return p.Priority == l.priority })
		if i < 0 {
			lengths = append(lengths, PriorityLength{Priority: l.priority})
			i = len(lengths) - 1
		}
		lengths[i].Length += l.count
	}
	return lengths
}

// An entryHeap is the heap of the entries of a flow.
type entryHeap []*Entry

// Len implements heap.Interface.
func (h entryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// An onTimeHeap is the heap of all entries with a goal that can be met.
type onTimeHeap struct{ entries *entryHeap }

// Len implements heap.Interface.
func (h onTimeHeap) Len() int { return len(*h.entries) }

// Less implements heap.Interface.
func (h onTimeHeap) Less(i, j int) bool { return (*h.entries)[i].before((*h.entries)[j]) }

// Swap implements heap.Interface.
func (h onTimeHeap) Swap(i, j int) {
	s := *h.entries
	s[i], s[j] = s[j], s[i]
	s[i].onTimeIndex, s[j].onTimeIndex = i, j
}

// Push implements heap.Interface.
func (h onTimeHeap) Push(x any) {
	e := x.(*Entry)
	e.onTimeIndex = len(*h.entries)
	*h.entries = append(*h.entries, e)
}

// Pop implements heap.Interface.
func (h onTimeHeap) Pop() any {
	old := *h.entries
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h.entries = old[:len(old)-1]
	e.onTimeIndex = -1
	return e
}

// A flowHeap is the heap of the flows of a level.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return len(h[i].entries) > 0 && len(h[j].entries) > 0 && h[i].entries[0].before(h[j].entries[0])
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
