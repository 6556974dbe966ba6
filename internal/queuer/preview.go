package queuer

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
)

// A Preview is what Acquire would do with a request.
type Preview struct {
	Waiting  int           // Requests that wait for the service.
	Position int           // Requests that go first; zero if it does not wait.
	Waits    bool          // The request has to wait.
	Wait     time.Duration // Expected time in the queue; zero if it is not known.
	Err      error         // A *RefusedError if it would be refused at once.
}

// Query returns a query as Acquire passes it to the balancer.
func (q *Queue) Query(query balancer.Query) balancer.Query {
	query.Queued, query.Allowance = true, q.cfg.Allowance
	return query
}

// Preview returns what Acquire would do with a request now, given whether the balancer has
// a server with a free slot for it. The request does not enter the queue, and no state
// changes.
func (q *Queue) Preview(t Ticket, service string, free bool) (p Preview) {
	q.mu.RLock()
	s := q.shards[service]
	q.mu.RUnlock()
	l := newLine(service, nil, q.cfg.Limits)
	if s != nil {
		s.mu.Lock()
		l = s.line.clone()
		s.mu.Unlock()
	}
	now := q.cfg.Clock.Now()
	p.Waiting = l.order.Len()
	l.add(&t, false, now)
	if free && l.order.First() == &t.entry {
		return p
	}
	p.Waits = true
	if q.stopped.Load() {
		p.Err = &RefusedError{Cause: CauseStopped}
		return p
	}
	for _, d := range l.bound(&t, now) {
		if d.ticket == &t {
			p.Err = d.err
		}
	}
	p.Position, p.Wait = t.Position, l.rate.waitFor(t.Position+1)
	return p
}

// clone returns a copy that shares nothing that changes. It places nothing.
func (l *line) clone() *line {
	c := newLine(l.service, nil, l.limits)
	c.rate = l.rate
	for route, lead := range l.leads {
		c.leads[route] = lead
	}
	c.order = l.order.clone(func(e *Entry) *Entry {
		t := &Ticket{result: make(chan result, 1), queuedAt: l.tickets[e].queuedAt}
		t.entry = *e
		c.tickets[&t.entry] = t
		return &t.entry
	})
	return c
}

// clone returns a copy with copies of the entries, which copyEntry makes.
func (o *Order) clone(copyEntry func(e *Entry) *Entry) Order {
	c := Order{onTime: make(entryHeap, len(o.onTime)), sinceTurn: o.sinceTurn, seq: o.seq, count: o.count, bytes: o.bytes}
	for _, l := range o.levels {
		cl := &level{levelTurn: l.levelTurn, vtime: l.vtime, flows: make(map[flowKey]*flow, len(l.flows)), backlog: make(flowHeap, len(l.backlog))}
		for key, f := range l.flows {
			cf := &flow{level: cl, key: key, tag: f.tag, index: f.index, entries: make(entryHeap, len(f.entries))}
			for i, e := range f.entries {
				ce := copyEntry(e)
				ce.flow = cf
				cf.entries[i] = ce
				if ce.onTimeIndex >= 0 {
					c.onTime[ce.onTimeIndex] = ce
				}
			}
			cl.flows[key] = cf
			if cf.index >= 0 {
				cl.backlog[cf.index] = cf
			}
		}
		c.levels = append(c.levels, cl)
	}
	return c
}
