package forwarder

import (
	"errors"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/queuer"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// NewQuery returns the query for the server of the first attempt of a request.
func NewQuery(route *routefinder.Route, service string) balancer.Query {
	return balancer.Query{
		Service: service,
		Class:   balancer.Online,
		MaxWait: max(maxQueueWaitGoals*route.Goal, minQueueWait),
		Work:    route.Name,
	}
}

// ExplainPlacement returns with which code, message and Retry-After a request is refused
// for which the queue or the balancer returns an error.
func ExplainPlacement(err error) (code refuser.Code, message string, retryAfter time.Duration) {
	var refused *queuer.RefusedError
	var limited *balancer.LimitedError
	switch {
	case errors.As(err, &refused):
		code, message = explainQueue(refused.Cause)
		return code, message, refused.RetryAfter
	case errors.As(err, &limited):
		return refuser.NoBackendServer, "the limits of the backend servers leave no room", limited.RetryAfter
	case errors.Is(err, balancer.ErrFull):
		return refuser.NoBackendServer, "the backend servers have more work than they finish in time", retryAfterFull
	case errors.Is(err, balancer.ErrEvacuated):
		return refuser.NoBackendServer, "the failure domains of the backend servers are evacuated", retryAfterEvacuated
	}
	return refuser.NoBackendServer, "no backend server takes requests", retryAfterNoServer
}

func explainQueue(cause queuer.Cause) (code refuser.Code, message string) {
	switch cause {
	case queuer.CauseDeadline:
		return refuser.DeadlineExceeded, "no backend server had a free slot before the deadline"
	case queuer.CauseStopped:
		return refuser.Draining, "the instance is leaving"
	case queuer.CauseNoTime:
		return refuser.NoBackendServer, "the requests that go first leave no time before the deadline"
	default:
		return refuser.NoBackendServer, "too many requests that go first wait for the backend servers"
	}
}

// refusePlacement returns the refusal of a request that gets no server.
func (r *run) refusePlacement(err error) *refuser.Refusal { return r.refuse(ExplainPlacement(err)) }
