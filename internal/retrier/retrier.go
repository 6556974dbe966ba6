// Package retrier decides what happens after a failed attempt, and keeps the
// requests that are suspected of crashing backend servers.
package retrier

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// maxAttempts bounds the attempts of one request. Two failed servers are
// plausible at once; more means that the request or the pool is at fault.
const maxAttempts = 3

// A Phase says how far an attempt came.
type Phase int

// The phases of an attempt.
const (
	BeforeDispatch Phase = iota // No byte of the request was written to a backend server.
	Dispatched                  // Bytes were written, and none of the answer has reached the caller.
	FirstByteSent               // A part of the answer has reached the caller.
)

// A Reason explains a decision.
type Reason string

// The reasons of decisions.
const (
	ReasonAttempts      Reason = "attempts-used-up"
	ReasonBudget        Reason = "retry-budget-used-up"
	ReasonDeadline      Reason = "deadline"
	ReasonFirstByte     Reason = "first-byte-sent"
	ReasonNotDispatched Reason = "not-dispatched"
	ReasonNotIdempotent Reason = "not-idempotent"
	ReasonRetry         Reason = "retry"
)

// An Attempt describes a failed attempt of a request.
type Attempt struct {
	Route      string
	Idempotent bool
	Phase      Phase
	HandedOver bool          // An earlier attempt was dispatched.
	Ended      bool          // The end of the answer was seen, but the answer cannot be used.
	Number     int           // The first attempt is 1.
	Remaining  time.Duration // Until the deadline of the request.
}

// A Decision says whether there is another attempt, and the outcome if not.
type Decision struct {
	Retry   bool
	Reason  Reason
	Outcome refuser.Outcome
}

type clock interface {
	Now() time.Time
}

// A Config holds what a retrier needs.
type Config struct {
	Clock     clock
	Announcer Announcer // Nil when nobody else is to be told.
}

// A Retrier decides about retries.
type Retrier struct {
	cfg      Config
	budgets  budgets
	suspects suspects
}

// New returns a retrier without history.
func New(cfg Config) *Retrier {
	r := &Retrier{cfg: cfg}
	r.budgets.init()
	r.suspects.init()
	return r
}

// CountRequest adds to the retry budget of a route. It is called once for each
// request that is admitted.
func (r *Retrier) CountRequest(route string) {
	r.budgets.deposit(route)
}

// Decide says what follows a failed attempt. A retry after dispatch is taken
// from the budget of the route.
func (r *Retrier) Decide(a Attempt) Decision {
	d := Decision{Outcome: outcomeOf(a)}
	d.Reason = r.obstacle(a)
	if d.Reason == "" {
		d.Retry = true
		d.Reason = ReasonRetry
	}
	return d
}

// obstacle is the reason against another attempt, or empty. An attempt that
// was not dispatched is made again even if the request is not idempotent and
// costs no budget, because no server has work from it.
func (r *Retrier) obstacle(a Attempt) Reason {
	switch {
	case a.Phase == FirstByteSent:
		return ReasonFirstByte
	case a.Phase != BeforeDispatch && !a.Idempotent:
		return ReasonNotIdempotent
	case a.Number >= maxAttempts:
		return ReasonAttempts
	case a.Remaining <= 0:
		return ReasonDeadline
	case a.Phase == BeforeDispatch:
		return ""
	case !r.budgets.withdraw(a.Route):
		return ReasonBudget
	default:
		return ""
	}
}

func outcomeOf(a Attempt) refuser.Outcome {
	switch {
	case a.Ended:
		return refuser.Ran
	case a.Phase == BeforeDispatch && !a.HandedOver:
		return refuser.NotRun
	default:
		return refuser.Unknown
	}
}
