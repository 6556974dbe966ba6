// Package refuser defines the refusals that callers receive.
package refuser

import (
	"fmt"
	"time"
)

// An Outcome says whether a refused request ran on a backend server.
type Outcome string

// The outcomes of a refused request.
const (
	NotRun  Outcome = "not-run" // The request was never handed to a backend server.
	Ran     Outcome = "ran"     // The request ran to its end.
	Unknown Outcome = "unknown" // The request was handed over and its end was not seen.
)

// A Code names the reason for a refusal. Codes are stable.
type Code string

// The codes of refusals.
const (
	AlreadyRan          Code = "already-ran"
	BadRequest          Code = "bad-request"
	BodyTooLarge        Code = "body-too-large"
	DeadlineExceeded    Code = "deadline-exceeded"
	Draining            Code = "draining"
	IdempotencyConflict Code = "idempotency-conflict"
	InDoubt             Code = "in-doubt"
	JobConflict         Code = "job-conflict"
	JobNotFound         Code = "job-not-found"
	KeyInBody           Code = "key-in-body"
	KeyMissing          Code = "key-missing"
	KeyUnknown          Code = "key-unknown"
	KeyWithdrawn        Code = "key-withdrawn"
	NoBackendServer     Code = "no-backend-server"
	NotConfigured       Code = "not-configured"
	OperatorKeyRequired Code = "operator-key-required"
	PlatformUnavailable Code = "platform-unavailable"
	RateExceeded        Code = "rate-exceeded"
	RequestQuarantined  Code = "request-quarantined"
	RouteNotBatchable   Code = "route-not-batchable"
	RouteNotFound       Code = "route-not-found"
	StorageUnavailable  Code = "storage-unavailable"
	UpstreamFailed      Code = "upstream-failed"
)

// A Refusal is an error answer to a caller.
type Refusal struct {
	Code       Code
	Message    string
	Outcome    Outcome
	Status     int           // HTTP status.
	RetryAfter time.Duration // Zero when a later attempt does not help.
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}
