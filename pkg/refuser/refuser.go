// Package refuser defines the error responses that callers receive.
package refuser

import (
	"fmt"
	"time"
)

// An Outcome tells whether a refused request ran on a backend server.
type Outcome string

// The outcomes of a refused request.
const (
	NotRun  Outcome = "not-run" // No backend server executed the request.
	Ran     Outcome = "ran"     // The request was executed.
	Unknown Outcome = "unknown" // The request was sent to a backend server, and it is not known whether it was executed.
)

// A Code names the reason for a refusal. Codes are stable.
type Code string

// The codes of refusals.
const (
	AlreadyRan          Code = "already-ran"
	ApplyInDoubt        Code = "apply-in-doubt"
	ApplyRaced          Code = "apply-raced"
	BadRequest          Code = "bad-request"
	BodyTooLarge        Code = "body-too-large"
	CallerGone          Code = "caller-gone" // Counted, never sent.
	DeadlineExceeded    Code = "deadline-exceeded"
	DeclarationRefused  Code = "declaration-refused"
	Draining            Code = "draining"
	HeaderTooLarge      Code = "header-too-large"
	IdempotencyConflict Code = "idempotency-conflict"
	InDoubt             Code = "in-doubt"
	Internal            Code = "internal"
	JobConflict         Code = "job-conflict"
	JobNotFound         Code = "job-not-found"
	KeyInBody           Code = "key-in-body"
	KeyMissing          Code = "key-missing"
	KeyUnknown          Code = "key-unknown"
	KeyWithdrawn        Code = "key-withdrawn"
	MethodNotAllowed    Code = "method-not-allowed"
	NoBackendServer     Code = "no-backend-server"
	NotConfigured       Code = "not-configured"
	OperatorKeyRequired Code = "operator-key-required"
	Overloaded          Code = "overloaded" // The instance receives more requests than it can hold.
	PlatformUnavailable Code = "platform-unavailable"
	RateExceeded        Code = "rate-exceeded"
	RequestQuarantined  Code = "request-quarantined"
	RouteNotBatchable   Code = "route-not-batchable"
	RouteNotFound       Code = "route-not-found"
	StorageUnavailable  Code = "storage-unavailable"
	UpstreamFailed      Code = "upstream-failed"
	WaitingLimit        Code = "waiting-limit" // A batch job does not fit the limit on waiting tokens.
)

// A Refusal is an error response to a caller.
type Refusal struct {
	Code       Code
	Message    string
	Outcome    Outcome
	Status     int           // HTTP status.
	RetryAfter time.Duration // Zero if a retry does not help.
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}
