package queuer

import (
	"errors"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
)

const (
	// leadWeight is the weight of the latest response in the mean lead of a route.
	leadWeight = 0.05
	// leadSlack is the part of the mean lead that a request certainly needs: one that
	// has less time left can no longer be served.
	leadSlack = 0.5
	// minRetryAfter, maxRetryAfter and unknownRetryAfter bound the Retry-After of a
	// refused request, and replace it while the service rate is not known.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
	unknownRetryAfter = 300 * time.Millisecond
)

// A Cause is why the queue refuses a request.
type Cause string

// The causes of refusals.
const (
	CauseFull      Cause = "full"      // The queue is full, and everything in it goes before the request.
	CauseDisplaced Cause = "displaced" // The queue is full, and a later request goes before this one.
	CauseNoTime    Cause = "no-time"   // It cannot be dispatched before its deadline.
	CauseDeadline  Cause = "deadline"  // It has waited until it could no longer be served.
	CauseStopped   Cause = "stopped"   // The queue has ended.
)

// A RefusedError means that the request has been refused and was not dispatched.
type RefusedError struct {
	Cause      Cause
	RetryAfter time.Duration // Time after which the queue expects to have room; zero if there is no such time.
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the request queue refuses the request: " + string(e.Cause)
}

// A Placer places queued requests on servers. *balancer.Balancer implements it.
type Placer interface {
	Acquire(q balancer.Query) (*balancer.Placement, error)
	EndOnlineWaiting(service string)
}

// A Ticket is the state of a request that is kept between its attempts. The exported
// fields do not change.
type Ticket struct {
	Priority  int
	Workspace string
	Route     string
	ArrivedAt time.Time
	Goal      time.Duration // Zero if there is none.
	Deadline  time.Time
	Size      int // Bytes of the request.

	// Waited is the time that it has waited in the queue, over all attempts. The owner
	// may read it between two calls.
	Waited time.Duration
	// Position is the number of requests that went before it when it first had to wait.
	Position int

	entry        Entry
	query        balancer.Query
	queuedAt     time.Time
	dispatchedAt time.Time // Zero if the server had no free slot or the response has begun.
	result       chan result
}

// A result ends the wait of a request.
type result struct {
	placement *balancer.Placement
	err       error
}

// A decision is the result of one request.
type decision struct {
	ticket *Ticket
	result
}

// Limits bound a line.
type Limits struct {
	Length int
	Bytes  int
}

// A line decides in which order the requests for one service are dispatched, and which
// are refused. It has neither locks nor goroutines.
type line struct {
	service string
	placer  Placer
	limits  Limits
	order   Order
	rate    serviceRate
	leads   map[string]time.Duration // Mean time from the dispatch to the first byte, by route.
	tickets map[*Entry]*Ticket       // Of the entries in the order.
	busy    bool                     // The placer holds back batch work for requests that wait.
}

func newLine(service string, placer Placer, limits Limits) *line {
	return &line{service: service, placer: placer, limits: limits, leads: map[string]time.Duration{}, tickets: map[*Entry]*Ticket{}}
}

// giveUpAt returns when a request can no longer be served.
func (l *line) giveUpAt(t *Ticket) time.Time {
	return t.Deadline.Add(-time.Duration(leadSlack * float64(l.leads[t.Route])))
}

// add puts a request into the order, which the next dispatch serves. urgent means that
// a part of its response has been passed on, so that the next one is due within its goal
// from now.
func (l *line) add(t *Ticket, urgent bool, now time.Time) {
	t.queuedAt = now
	t.entry.Priority, t.entry.Workspace, t.entry.Size = t.Priority, t.Workspace, t.Size
	if t.Goal > 0 {
		due := t.ArrivedAt
		if urgent {
			due = now
		}
		t.entry.BeginBy = due.Add(t.Goal - l.leads[t.Route])
	}
	l.order.Expire(now)
	l.order.Push(&t.entry, now)
	l.tickets[&t.entry] = t
}

// bound refuses what the line has no room for after a request was added, and the request
// itself if it cannot be dispatched in time. It is called after a dispatch that has left
// the request in the line.
func (l *line) bound(t *Ticket, now time.Time) (decisions []decision) {
	ahead := l.order.Ahead(&t.entry)
	if t.Waited == 0 {
		t.Position = ahead
	}
	if wait := l.rate.waitFor(ahead + 1); wait > l.giveUpAt(t).Sub(now) {
		return l.end(decisions, t, result{err: l.refusal(CauseNoTime, ahead+1)}, now)
	}
	var displaced []*Ticket
	for l.order.Len() > l.limits.Length || l.order.Bytes() > l.limits.Bytes && l.order.Len() > 1 {
		last := l.tickets[l.order.Last()]
		l.order.Remove(&last.entry)
		if last != t {
			displaced = append(displaced, last)
			continue
		}
		for _, other := range displaced {
			l.order.Push(&other.entry, now)
		}
		return l.end(decisions, t, result{err: l.refusal(CauseFull, ahead+1)}, now)
	}
	l.rate.update(now, true, 0)
	for _, other := range displaced {
		decisions = l.end(decisions, other, result{err: l.refusal(CauseDisplaced, l.order.Len()+1)}, now)
	}
	return decisions
}

// refusal returns the refusal of a request that would be the nth to be dispatched.
func (l *line) refusal(cause Cause, n int) *RefusedError {
	wait := l.rate.waitFor(n)
	if wait == 0 {
		wait = unknownRetryAfter
	}
	return &RefusedError{Cause: cause, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// dispatch places waiting requests until no server has a free slot. busy means that no
// request at all can be placed before a change of capacity; recheck is the time after which
// such a change may come without an event, or zero.
func (l *line) dispatch(now time.Time) (decisions []decision, busy bool, recheck time.Duration) {
	l.order.Expire(now)
	var aside []*Ticket
	for l.order.Len() > 0 {
		t := l.tickets[l.order.First()]
		placement, err := l.placer.Acquire(t.query)
		var full *balancer.BusyError
		switch {
		case !errors.As(err, &full):
			decisions = l.place(decisions, t, placement, err, now)
			continue
		case full.Recheck > 0 && (recheck == 0 || full.Recheck < recheck):
			recheck = full.Recheck
		}
		l.busy = true
		if t.query.Version == nil && len(t.query.Exclude) == 0 {
			busy = true // No other request may use a server that this one may not.
			break
		}
		l.order.Remove(&t.entry)
		aside = append(aside, t)
	}
	for _, t := range aside {
		l.order.Push(&t.entry, now)
	}
	return decisions, busy, recheck
}

// place ends the wait of a request with what the placer returned.
func (l *line) place(decisions []decision, t *Ticket, placement *balancer.Placement, err error, now time.Time) []decision {
	dispatched := 0
	if err != nil {
		l.order.Remove(&t.entry)
	} else {
		l.order.Take(&t.entry)
		t.dispatchedAt = time.Time{}
		if placement.Load < placement.Backend.Slots {
			t.dispatchedAt = now
		}
		if now.After(t.queuedAt) {
			dispatched = 1
		}
	}
	l.rate.update(now, l.order.Len() > 0, dispatched)
	return l.end(decisions, t, result{placement: placement, err: err}, now)
}

// end removes a request with its result.
func (l *line) end(decisions []decision, t *Ticket, r result, now time.Time) []decision {
	l.order.Remove(&t.entry)
	delete(l.tickets, &t.entry)
	t.Waited += now.Sub(t.queuedAt)
	l.rate.update(now, l.order.Len() > 0, 0)
	return append(decisions, decision{ticket: t, result: r})
}

// settle lets batch work be placed again if no request waits. It is called at the end of
// each operation.
func (l *line) settle() {
	if l.busy && l.order.Len() == 0 {
		l.busy = false
		l.placer.EndOnlineWaiting(l.service)
	}
}

// recordResponse records that the first byte of a response has arrived. Only servers with
// a free slot show how long a request takes from its dispatch.
func (l *line) recordResponse(t *Ticket, now time.Time) {
	if t.dispatchedAt.IsZero() {
		return
	}
	lead := now.Sub(t.dispatchedAt)
	if mean, known := l.leads[t.Route]; known {
		lead = mean + time.Duration(leadWeight*float64(lead-mean))
	}
	l.leads[t.Route] = lead
	t.dispatchedAt = time.Time{}
}
