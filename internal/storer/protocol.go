package storer

import (
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Paths of the platform's HTTP API. A key is one escaped path element.
const (
	PathInstances = "/v1/instances"
	PathKeys      = "/v1/keys"
	PathLeases    = "/v1/leases"
	PathWatch     = "/v1/watch"
)

// Query parameters of the platform's HTTP API.
const (
	ParamAfterVersion    = "after-version"
	ParamExpectedVersion = "expected-version"
	ParamPrefix          = "prefix"
	ParamTimeout         = "timeout" // A Go duration, after which the service answers 204.
)

// ClientHeader names the calling instance.
const ClientHeader = "X-Client-Id"

// A PutBody is the body of PUT /v1/keys/<key>.
type PutBody struct {
	Value           []byte `json:"value"`
	ExpectedVersion int64  `json:"expected-version"`
	LeaseID         int64  `json:"lease-id,omitempty"`
}

// A ListBody answers GET /v1/keys?prefix=.
type ListBody struct {
	Entries []Entry `json:"entries"`
}

// A LeaseBody is the body of POST /v1/leases, without an ID, and the answer to
// grants and renewals.
type LeaseBody struct {
	ID        int64 `json:"id,omitempty"`
	TTLMillis int64 `json:"ttl-ms"`
}

// An InstancesBody answers GET /v1/instances.
type InstancesBody struct {
	Instances []ListedInstance `json:"instances"`
}

// An ErrorBody describes a failed call.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Current *Entry `json:"present,omitempty"` // Current entry after a version conflict; omitted when the key does not exist.
}

// An errorMapping maps a typed error to its code and HTTP status.
type errorMapping struct {
	err    error
	code   string
	status int
}

var errorMappings = []errorMapping{
	{err: ErrConflict, code: "version-conflict", status: http.StatusConflict},
	{err: ErrLeaseExpired, code: "lease-expired", status: http.StatusGone},
	{err: ErrNotFound, code: "not-found", status: http.StatusNotFound},
	{err: ErrValueTooLarge, code: "value-too-large", status: http.StatusRequestEntityTooLarge},
	{err: ErrRefused, code: "refused", status: http.StatusBadRequest},
}

// EncodeError returns the HTTP status and body for an error of the store.
func EncodeError(err error) (status int, body ErrorBody) {
	body = ErrorBody{Code: "internal", Message: err.Error()}
	status = http.StatusInternalServerError
	for _, mapping := range errorMappings {
		if errors.Is(err, mapping.err) {
			body.Code = mapping.code
			status = mapping.status
			break
		}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		body.Current = conflict.Current
	}
	return status, body
}

// decodeError returns the typed error for an error answer, or nil when the
// service does not give such an answer.
func decodeError(status int, body ErrorBody, key string) error {
	for _, mapping := range errorMappings {
		if body.Code != mapping.code || status != mapping.status {
			continue
		}
		if errors.Is(mapping.err, ErrConflict) {
			return &ConflictError{Key: key, Current: body.Current}
		}
		return merry.Append(mapping.err, body.Message)
	}
	return nil
}

func newLeaseBody(id int64, ttl time.Duration) LeaseBody {
	return LeaseBody{ID: id, TTLMillis: ttl.Milliseconds()}
}

// NewLeaseBody returns the wire form of a lease.
func NewLeaseBody(lease Lease) LeaseBody {
	return newLeaseBody(lease.ID, lease.TTL)
}

// TTL returns the duration of the lease.
func (b LeaseBody) TTL() time.Duration {
	return time.Duration(b.TTLMillis) * time.Millisecond
}
