// Package registrar holds the state of the running fleet: instances, failure
// domains, links, contracts, workspaces and backend servers.
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
	Disk          bool      // It stores bulk data under a data folder.
	Leaving       bool      // It accepts no new work.
	Revision      int64     // The configuration revision that it confirmed last.
	LastSeen      time.Time // Monotonic time of the last heartbeat; zero before the first.
}

// A Link is this process's connection to another instance.
type Link struct {
	Remote       string    // Instance ID of the peer.
	LastProgress time.Time // Monotonic time at which the peer last answered.
	Failures     int       // Failed exchanges since LastProgress.
}

// A Contract lends rate tokens or batch permits until it expires.
type Contract struct {
	Subject   string // What is lent, such as "workspace/ljepilo" or "engine/lm-desk-3".
	Lender    string // Instance ID.
	Borrower  string // Instance ID.
	Epoch     int64  // Fencing number of the lender's lease.
	Amount    int    // Tokens or permits, never negative.
	ExpiresAt time.Time
}

// A Class distinguishes online requests from batch items.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// A Workspace is a declared workspace with its rate shard.
type Workspace struct {
	declarer.Workspace
	RateShard int // Index of the lender that holds its token pool.
}

// A BackendServer is a declared backend server with its load as this process
// sees it.
type BackendServer struct {
	declarer.BackendServer
	Healthy      bool      // The last probe or request reached it.
	Leaving      bool      // The instance list, a probe or the configuration reports it as leaving.
	OnlineLocal  int       // Online requests in flight from this process.
	BatchLocal   int       // Batch items in flight from this process.
	OnlinePeers  int       // Online requests in flight from other entries, from heartbeats.
	BatchPeers   int       // Batch items in flight from other entries, from heartbeats.
	PausedUntil  time.Time // Until then it gets no new requests, as it has asked for.
	FailedAt     time.Time // Monotonic time of the last connection failure.
	ReportedLoad int       // Load reported by the engine itself, which lags.
}

// Load returns the number of requests in flight from all known entries.
func (s BackendServer) Load() int {
	return s.OnlineLocal + s.BatchLocal + s.OnlinePeers + s.BatchPeers
}
