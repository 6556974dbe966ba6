// Package registrar holds the objects of the running fleet: instances,
// failure domains, links, contracts, workspaces and backend servers.
package registrar

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A FailureDomain is a part of a region that can be cut off from the others.
type FailureDomain struct {
	Name   string
	Region string
}

// An Instance is an entry instance as this process knows it.
type Instance struct {
	ID            string
	FailureDomain string
	LinkAddress   string // UDP address of its links.
	HTTPAddress   string
	Disk          bool      // It keeps bulk data under a data folder.
	Leaving       bool      // It takes no new work.
	Revision      int64     // The configuration revision that it confirmed last.
	LastSeen      time.Time // Monotonic time of the last heartbeat; zero when none came.
}

// A Link is this process's connection to another instance.
type Link struct {
	Remote       string    // Instance ID of the far end.
	LastProgress time.Time // Monotonic time at which the far end last answered.
	Failures     int       // Failed exchanges since LastProgress.
}

// A Contract lends an amount of something countable for a bounded time.
type Contract struct {
	Subject   string // What is lent, such as "workspace/ljepilo" or "engine/lm-desk-3".
	Lender    string // Instance ID.
	Borrower  string // Instance ID.
	Epoch     int64  // Fencing number of the lender's lease.
	Amount    int    // Tokens or permits, never negative.
	ExpiresAt time.Time
}

// A Class separates online requests from batch items.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// A Workspace is a declared workspace with its position in the fleet.
type Workspace struct {
	declarer.Workspace
	RateShard int // Index of the lender that holds its pool.
}

// A BackendServer is a declared backend server with its load as this process
// sees it.
type BackendServer struct {
	declarer.BackendServer
	Healthy      bool      // The last probe or request reached it.
	Leaving      bool      // The list, a probe or the configuration takes it out.
	OnlineLocal  int       // Online requests in flight from this process.
	BatchLocal   int       // Batch items in flight from this process.
	OnlinePeers  int       // Online requests in flight from other entries, by heartbeat.
	BatchPeers   int       // Batch items in flight from other entries, by heartbeat.
	FailedAt     time.Time // Monotonic time of the last connection failure.
	ReportedLoad int       // The engine's own report, which lags.
}

// Load is the number of requests in flight from all entries that are known.
func (s BackendServer) Load() int {
	return s.OnlineLocal + s.BatchLocal + s.OnlinePeers + s.BatchPeers
}
