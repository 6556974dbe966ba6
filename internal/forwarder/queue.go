package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/queuer"
)

const (
	// maxQueuedRefusedAttempts replaces maxRefusedAttempts for requests that wait in the
	// queue: a refusal by a full server means that its load was underestimated, and the
	// request keeps its position until its deadline.
	maxQueuedRefusedAttempts = 12
	// minLoggedWait is the wait in the queue from which on the line of a request states
	// it.
	minLoggedWait = 100 * time.Millisecond
)

func newTicket(q *Request) *queuer.Ticket {
	return &queuer.Ticket{
		Priority: q.Priority, Workspace: q.Workspace, Route: q.Route.Name,
		ArrivedAt: q.ArrivedAt, Goal: q.Route.Goal, Deadline: q.Deadline, Size: len(q.Body),
	}
}

// acquire selects a server, after a wait in the queue if there is one.
func (r *run) acquire(query balancer.Query) (*balancer.Placement, error) {
	if r.f.cfg.Queue == nil {
		return r.f.cfg.Placer.Acquire(query)
	}
	return r.f.cfg.Queue.Acquire(r.ctx, r.ticket, query, r.events > 0)
}

func (r *run) maxRefusedAttempts() int {
	if r.f.cfg.Queue == nil {
		return maxRefusedAttempts
	}
	return maxQueuedRefusedAttempts
}

// recordFirstByte tells the queue how long the server took. A resumed stream says nothing
// about that.
func (r *run) recordFirstByte() {
	if r.f.cfg.Queue != nil && r.q.LastEventID == "" {
		r.f.cfg.Queue.RecordResponse(r.ticket)
	}
}

// addQueueFields adds the wait in the queue to the line of the request.
func (r *run) addQueueFields(fields logrus.Fields) {
	if r.ticket.Waited > minLoggedWait {
		fields["queued-ms"] = r.ticket.Waited.Milliseconds()
		fields["queue-position"] = r.ticket.Position
	}
}
