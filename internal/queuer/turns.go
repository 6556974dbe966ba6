package queuer

const (
	// turnInterval bounds the turns of lower priorities: of so many requests that are
	// dispatched while others wait, at most one goes before a more urgent one, and a
	// priority gets one if as many more urgent requests have gone before it. One in 16
	// costs the most urgent priority at most 6 % of an instance's dispatches.
	turnInterval = 16
	// lateTurnInterval replaces turnInterval for requests whose goal can no longer be met,
	// which are worth little.
	lateTurnInterval = 64
)

// A levelTurn is what decides on the turns of a level.
type levelTurn struct {
	late     bool
	priority int
	count    int // Entries.
	// passed is the number of requests of more urgent priorities that were dispatched
	// while others waited, since the level was last served.
	passed int
}

func (l *levelTurn) interval() int {
	if l.late {
		return lateTurnInterval
	}
	return turnInterval
}

// due reports whether so many more urgent requests have gone first that the level gets
// the next turn.
func (l *levelTurn) due() bool { return l.count > 0 && l.passed >= l.interval()-1 }

// turns decide which level is served next: the first one with entries, but at most one
// time in turnInterval another one that has been passed over for long enough, so that a
// lower priority gets something while the demand of a higher one exceeds the capacity.
type turns struct {
	levels []levelTurn // In the order of Order.levels.
	since  int         // Requests dispatched since the last turn of a lower priority.
}

// next returns the index of the level that is served next, or -1. reserved means that it
// goes before a more urgent one.
func (t *turns) next() (index int, reserved bool) {
	index = -1
	for i := range t.levels {
		l := &t.levels[i]
		switch {
		case l.count == 0:
		case index < 0:
			index = i
			if t.since < turnInterval-1 {
				return index, false
			}
		case l.due() && (!reserved || l.passed > t.levels[index].passed):
			index, reserved = i, true
		}
	}
	return index, reserved
}

// inRow returns how many requests of a level that next has returned are certainly served
// one after the other if no other ones arrive. It is at least 1.
func (t *turns) inRow(index int, reserved bool) (n int) {
	served := t.levels[index]
	switch {
	case reserved:
		return 1
	case t.since < turnInterval-1:
		return min(served.count, turnInterval-1-t.since)
	}
	n = served.count
	for i := range t.levels {
		if l := &t.levels[i]; l.count > 0 && l.priority > served.priority {
			n = min(n, l.interval()-1-l.passed)
		}
	}
	return max(n, 1)
}

// take counts requests of a level that are dispatched one after the other.
func (t *turns) take(index int, reserved bool, n int) {
	served := &t.levels[index]
	for i := range t.levels {
		if t.levels[i].priority > served.priority {
			t.levels[i].passed += n
		}
	}
	served.count -= n
	served.passed = 0
	t.since += n
	if reserved {
		t.since = 0
	}
}

// turns returns a copy of the state in the order of the levels. buffer may be nil.
func (o *Order) turns(buffer []levelTurn) turns {
	for _, l := range o.levels {
		buffer = append(buffer, l.levelTurn)
	}
	return turns{levels: buffer, since: o.sinceTurn}
}

// countTurn counts the entry that is dispatched, if others wait.
func (o *Order) countTurn(e *Entry) {
	e.onTurn = false
	if o.count <= 1 {
		return
	}
	t := o.turns(make([]levelTurn, 0, stackLevels))
	index, reserved := t.next()
	if o.levels[index] != e.flow.level {
		return // It is not the first entry.
	}
	t.take(index, reserved, 1)
	e.onTurn = reserved
	o.sinceTurn = t.since
	for i, l := range o.levels {
		l.passed = t.levels[i].passed
	}
}

// returnTurn gives a request that returns from a server its turn back.
func (o *Order) returnTurn(e *Entry) {
	if l := e.flow.level; e.onTurn {
		l.passed, o.sinceTurn = max(l.passed, l.interval()-1), turnInterval-1
	}
}
