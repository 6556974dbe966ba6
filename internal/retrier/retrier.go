// Package retrier decides whether a failed attempt is retried, and tracks the
// requests that are suspected of crashing backend servers.
package retrier

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// maxAttempts bounds the attempts of one request. Two servers may fail at the
// same time; more failures point to the request or the whole pool.
const maxAttempts = 3

// A Phase is the progress of an attempt.
type Phase int

// The phases of an attempt.
const (
	BeforeDispatch Phase = iota // No byte of the request was written to a backend server.
	Dispatched                  // Bytes were written, and no part of the answer was sent to the caller.
	FirstByteSent               // A part of the answer was sent to the caller.
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
	Route                string
	Idempotent           bool
	Phase                Phase
	PreviouslyDispatched bool          // An earlier attempt was dispatched.
	Completed            bool          // The answer was read to its end, but cannot be used.
	Number               int           // The first attempt is 1.
	Remaining            time.Duration // Until the deadline of the request.
}

// A Decision says whether the request is retried. Outcome applies if it is not.
type Decision struct {
	Retry   bool
	Reason  Reason
	Outcome refuser.Outcome
}

type clock interface {
	Now() time.Time
}

// A Config holds the dependencies of a retrier.
type Config struct {
	Clock     clock
	Announcer Announcer  // May be nil.
	Judge     CrashJudge // If nil, each lost server counts as crashed.
}

// A Retrier decides about retries and tracks suspects.
type Retrier struct {
	cfg      Config
	budgets  budgets
	suspects suspects
}

// New returns a retrier with full retry budgets and no suspects.
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

// Decide returns whether to retry after a failed attempt. A retry after dispatch
// is charged to the budget of the route.
func (r *Retrier) Decide(a Attempt) Decision {
	d := Decision{Outcome: outcomeOf(a)}
	d.Reason = r.reasonNotToRetry(a)
	if d.Reason == "" {
		d.Retry = true
		d.Reason = ReasonRetry
	}
	return d
}

// reasonNotToRetry returns the reason against another attempt, or "". An attempt
// that was not dispatched is retried even if the request is not idempotent, and
// is not charged to the budget, because it put no load on a server.
func (r *Retrier) reasonNotToRetry(a Attempt) Reason {
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
	case a.Completed:
		return refuser.Ran
	case a.Phase == BeforeDispatch && !a.PreviouslyDispatched:
		return refuser.NotRun
	default:
		return refuser.Unknown
	}
}
