// Package storer holds clients of the platform's key-value service, which
// offers compare-and-swap, leases and watches.
package storer

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of the key-value service.
var (
	// ErrConflict means that a write found another version than it expected
	// and had no effect.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = merry.Sentinel("lease expired")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = merry.Sentinel("key not found")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrUnknownEffect means that the answer was lost: a write may have taken
	// effect or may still do so. The caller has to read back.
	ErrUnknownEffect = merry.Sentinel("answer of the platform lost")
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// An Entry is a key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version int64 // Grows over the whole store with each write; never zero for a present key.
	LeaseID int64 // Zero when the key is not bound to a lease.
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
	ID            string
	Role          InstanceRole
	State         InstanceState
	FailureDomain string
	LinkAddress   string // UDP address of an entry's links; empty for backend servers.
	HTTPAddress   string
	Disk          bool // The instance keeps bulk data.
}
