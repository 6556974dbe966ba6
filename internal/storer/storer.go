// Package storer holds clients of the platform's key-value service, which
// offers compare-and-swap, leases and watches.
package storer

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// Errors of the key-value service.
var (
	// ErrConflict means that a write found another version than it expected
	// and had no effect. A ConflictError carries the present entry.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrHistoryLost means that the changes after a version are not kept any
	// more; the keys have to be listed anew.
	ErrHistoryLost = merry.Sentinel("history lost")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = merry.Sentinel("lease expired")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = merry.Sentinel("key not found")
	// ErrRefused means that the service rejected the call as malformed. The
	// call had no effect and would be rejected again.
	ErrRefused = merry.Sentinel("call refused by the platform")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrUnknownEffect means that the answer was lost: a write may have taken
	// effect or may still do so. The caller has to read back.
	ErrUnknownEffect = merry.Sentinel("answer of the platform lost")
	// ErrValueTooLarge means that a value exceeds MaxValueBytes. The write had
	// no effect.
	ErrValueTooLarge = merry.Sentinel("value too large")
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// A Clock tells the time and starts timers. clockwork.Clock satisfies it.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// An Entry is a key with its value and version.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`            // Grows over the whole store with each write; never zero for a present key.
	LeaseID int64  `json:"lease-id,omitempty"` // Zero when the key is not bound to a lease.
}

// A ConflictError is a write that found another version than it expected. It
// matches ErrConflict.
type ConflictError struct {
	Key     string
	Present *Entry // Nil when the key is absent.
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Present == nil {
		return fmt.Sprintf("version conflict: key %q is absent", e.Key)
	}
	return fmt.Sprintf("version conflict: key %q has version %d", e.Key, e.Present.Version)
}

// Unwrap makes the error match ErrConflict.
func (e *ConflictError) Unwrap() error {
	return ErrConflict
}

// A PutRequest is a conditional write.
type PutRequest struct {
	Key             string
	Value           []byte
	ExpectedVersion int64 // Zero means that the key must be absent.
	LeaseID         int64 // When the lease ends the key is deleted; zero binds to no lease.
}

// A Lease is a time-bounded right granted by the service.
type Lease struct {
	ID        int64         // Grows over the whole store.
	TTL       time.Duration // Counted by the service from its last renewal.
	ExpiresAt time.Time     // Monotonic, counted from before the request was sent.
}

// Live reports whether the holder may still rely on the lease.
func (l Lease) Live(now time.Time) bool {
	return now.Before(l.ExpiresAt)
}

// An InstanceState is the platform's view of an instance.
type InstanceState string

// The states of a listed instance.
const (
	InstanceLeaving InstanceState = "leaving"
	InstanceLive    InstanceState = "live"
)

// An InstanceRole says what runs on a listed instance.
type InstanceRole string

// The roles of a listed instance.
const (
	RoleBackendServer InstanceRole = "backend-server"
	RoleEntry         InstanceRole = "entry"
)

// A ListedInstance is a row of the platform's list, which lags behind.
type ListedInstance struct {
	ID            string        `json:"id"`
	Role          InstanceRole  `json:"role"`
	State         InstanceState `json:"state"`
	FailureDomain string        `json:"failure-domain"`
	LinkAddress   string        `json:"link-address,omitempty"` // UDP address of an entry's links; empty for backend servers.
	HTTPAddress   string        `json:"http-address,omitempty"`
	Disk          bool          `json:"disk,omitempty"` // The instance keeps bulk data.
}
