// Package storer provides clients of the platform's key-value service, which
// supports compare-and-swap, leases and watches.
package storer

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// Errors of the key-value service.
var (
	// ErrConflict means that a write had no effect because the key did not have
	// the expected version. A ConflictError carries the current entry.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrHistoryLost means that the changes after a version are no longer
	// available; the keys must be listed again.
	ErrHistoryLost = merry.Sentinel("history lost")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = merry.Sentinel("lease expired")
	// ErrNoAnswer is the cause of an ErrUnavailable or ErrUnknownEffect of a call that
	// got no answer: other answers of the service may have been lost too.
	ErrNoAnswer = merry.Sentinel("no answer from the platform")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = merry.Sentinel("key not found")
	// ErrRefused means that the service rejected the call as malformed. The
	// call had no effect and would be rejected again.
	ErrRefused = merry.Sentinel("call refused by the platform")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrUnknownEffect means that no answer to a write arrived: it may have taken
	// effect or may still do so. The caller must read the key back.
	ErrUnknownEffect = merry.Sentinel("no answer from the platform; the write may have taken effect")
	// ErrValueTooLarge means that a value exceeds MaxValueBytes. It matches ErrRefused.
	ErrValueTooLarge = merry.Wrap(ErrRefused, merry.WithMessage("value too large"))
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Limits of the transactional store of the users' platform.
const (
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 200
	// MaxTransactionEntries is the maximum number of preconditions, writes and removals of
	// one transaction together.
	MaxTransactionEntries = 32
	// MinLeaseTTL and MaxLeaseTTL limit the TTL of a lease.
	MinLeaseTTL = time.Second
	MaxLeaseTTL = 10 * time.Minute
)

// A Clock tells the time and starts timers. clockwork.Clock implements it.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// An Entry is a key with its value and version.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`            // Increases with each write to the store; never zero for an existing key.
	LeaseID int64  `json:"lease-id,omitempty"` // Zero when the key is not bound to a lease.
}

// A ConflictError reports that a key did not have the version that a write
// expected. It matches ErrConflict.
type ConflictError struct {
	Key     string
	Current *Entry // Nil when the key does not exist.
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("version conflict: key %q is absent", e.Key)
	}
	return fmt.Sprintf("version conflict: key %q has version %d", e.Key, e.Current.Version)
}

// Unwrap makes the error match ErrConflict.
func (e *ConflictError) Unwrap() error {
	return ErrConflict
}

// A PutRequest is a conditional write.
type PutRequest struct {
	Key             string
	Value           []byte
	ExpectedVersion int64 // Zero means that the key must not exist.
	LeaseID         int64 // The key is deleted when the lease ends; zero means no lease.
}

// A Lease is a time-bounded right granted by the service.
type Lease struct {
	ID        int64         // Increases with each lease of the store.
	TTL       time.Duration // Counted by the service from the last renewal.
	ExpiresAt time.Time     // Monotonic; counted from before the request was sent.
}

// Live reports whether the lease is still valid for its holder.
func (l Lease) Live(now time.Time) bool {
	return now.Before(l.ExpiresAt)
}

// An InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of a listed instance.
const (
	InstanceLeaving InstanceState = "leaving"
	InstanceLive    InstanceState = "live"
)

// An InstanceRole tells what runs on a listed instance.
type InstanceRole string

// The roles of a listed instance.
const (
	RoleBackendServer InstanceRole = "backend-server"
	RoleEntry         InstanceRole = "entry"
)

// A ListedInstance is a row of the platform's list of instances, which lags
// behind.
type ListedInstance struct {
	ID            string        `json:"id"`
	Role          InstanceRole  `json:"role"`
	State         InstanceState `json:"state"`
	FailureDomain string        `json:"failure-domain"`
	LinkAddress   string        `json:"link-address,omitempty"` // UDP address of an entry's link listener; empty for backend servers.
	HTTPAddress   string        `json:"http-address,omitempty"`
	Disk          bool          `json:"disk,omitempty"` // The instance stores bulk data.
}
