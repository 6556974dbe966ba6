// Package balancer assigns online requests and batch items to backend servers. It
// tracks the load of each server as far as this instance knows it, chooses the
// server of a request, and preempts batch work where online requests need its
// slot.
package balancer

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/appraiser"
	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// Errors of Acquire.
var (
	// ErrNoServer means that the service has no server that takes requests.
	ErrNoServer = merry.Sentinel("no backend server is available")
	// ErrFull means that the chosen server has no capacity: for an online request,
	// its expected wait is too long; for batch work, the free slots are reserved.
	ErrFull = merry.Sentinel("all backend servers are full")
)

// A Class separates online requests from batch items.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// A Backend is a backend server as configured in the server list.
type Backend struct {
	ID            string
	Service       string
	Address       string // Host and port.
	FailureDomain string
	Slots         int   // Requests that it runs concurrently; at least 1.
	Leaving       bool  // It takes no new requests.
	StartedAt     int64 // Start time in Unix milliseconds; a change means a restart under the same ID.
	// Warmup is how much longer the server is cold, counted from when its entry was written.
	Warmup   time.Duration
	Revision int64 // Of its entry; a change means that the entry was written again.
	// Version is the version of its software. What two versions write does not fit
	// together.
	Version string
}

// Start identifies the start of the server.
func (b Backend) Start() throttler.Server {
	return throttler.Server{ID: b.ID, StartedAt: b.StartedAt}
}

// A Load counts requests in flight on a server.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Online int
	Batch  int
}

func (l Load) total() int { return l.Online + l.Batch }

// A ServerLoad is the load that one instance puts on a server.
type ServerLoad struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Load   Load
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// A Config holds the settings and dependencies of a balancer.
type Config struct {
	Clock         Clock
	FailureDomain string
	Probe         Probe
	Throttle      Throttle             // Nil if servers state no limits.
	Pacer         Pacer                // Nil if servers that come back get their full share at once.
	Peers         Peers                // Nil if no peer passes work on.
	Evacuations   Evacuations          // Nil if no failure domain is ever evacuated.
	Appraiser     *appraiser.Appraiser // Nil if all servers count as equally fast.
	// OnBatchContention is called when an online request is placed on a server
	// without a free slot that runs batch work of a peer, so that the peer can be
	// told at once. It may be nil.
	OnBatchContention func(peer string)
	// OnCapacity is called when a service may have new capacity, or fewer servers, for
	// queued requests. It must return at once and must not call the balancer. It may be
	// nil.
	OnCapacity func(service string)
	Logger     logrus.FieldLogger
}

// A Balancer holds the servers of all services, one shard for each service.
type Balancer struct {
	cfg Config

	mu       sync.RWMutex // Guards the fields below; each pool has its own lock.
	pools    map[string]*pool
	position Position
	leavers  map[throttler.Server]time.Time // When servers first said that they are shutting down.

	probesDue chan struct{} // Wakes the prober.
}

// A Position is the index of an instance among those of its failure domain.
type Position struct {
	Index int // From 0.
	Count int // At least 1.
}

// New returns a balancer without servers.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, pools: map[string]*pool{}, position: Position{Count: 1}, leavers: map[throttler.Server]time.Time{}, probesDue: make(chan struct{}, 1)}
}

// Install replaces the list of servers. Servers that remain keep their load.
func (b *Balancer) Install(backends []Backend) {
	byService := map[string][]Backend{}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range backends {
		if _, leaving := b.leavers[s.Start()]; leaving {
			s.Leaving = true
		}
		byService[s.Service] = append(byService[s.Service], s)
	}
	for service := range byService {
		if b.pools[service] == nil {
			b.pools[service] = newPool(b.cfg.Appraiser.Service(service))
			b.pools[service].notifyOf(service, b.cfg.OnCapacity)
		}
	}
	now := b.cfg.Clock.Now()
	for service, p := range b.pools {
		p.install(byService[service], now, b.cfg)
		p.assignPreferred(b.cfg, b.position)
	}
}

// SetPosition determines which servers of the failure domain this instance prefers.
// The instances of a domain divide its servers among themselves, so that the load
// of most servers is known without delay to the one instance that uses them. Those of
// an evacuated domain divide the servers of the other domains.
func (b *Balancer) SetPosition(position Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.position = position
	for _, p := range b.pools {
		p.assignPreferred(b.cfg, position)
	}
}

func (b *Balancer) pool(service string) *pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pools[service]
}

// A Query describes the work that needs a server.
type Query struct {
	Service string
	Class   Class
	Exclude []string      // IDs of servers that have already been tried.
	MaxWait time.Duration // Longest acceptable expected wait for a slot; beyond it, Acquire returns ErrFull.
	Urgent  bool          // Batch work that is due soon.
	// Expected is how long batch work is expected to run; zero if that is unknown, or if the
	// work would not be in time after a wave of online requests.
	Expected time.Duration
	Version  *string // The only version of servers to choose; nil for any.
	Work     string  // Kind of work, whose durations are comparable: the name of the route.
	// Queued means that the online request waits in a queue of this instance while no
	// server has a free slot. Acquire then returns a *BusyError in place of ErrFull.
	Queued    bool
	Allowance int // Requests beyond its slots that a preferred server gets; only if Queued.

	throughPeer bool // A peer has to pass the work on.
}

// Acquire chooses a server and counts the work on it. The error wraps
// ErrNoServer, ErrEvacuated or ErrFull, or is a *LimitedError. The caller releases the placement.
func (b *Balancer) Acquire(q Query) (*Placement, error) {
	p := b.pool(q.Service)
	if p == nil {
		return nil, ErrNoServer
	}
	placement, err := p.acquire(q, b.cfg)
	if err == nil {
		placement.wakeProber = b.wakeProber
	}
	return placement, err
}

// Versions returns the versions of the servers of a service that take work.
func (b *Balancer) Versions(service string) []string {
	p := b.pool(service)
	if p == nil {
		return nil
	}
	return p.versions()
}

// WaitCapacity returns a channel that is closed when the service may have new
// capacity, so that batch work can retry Acquire.
func (b *Balancer) WaitCapacity(service string) <-chan struct{} {
	p := b.pool(service)
	if p == nil {
		return nil
	}
	return p.waitCapacity()
}

// LocalLoads returns the load that this instance puts on each server, sorted by server.
func (b *Balancer) LocalLoads() []ServerLoad {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var loads []ServerLoad
	for _, p := range b.pools {
		loads = p.appendLoads(loads)
	}
	return sortedLoads(loads)
}

// SetPeerLoads replaces the loads that another instance reported. It keeps the slice.
func (b *Balancer) SetPeerLoads(instance string, loads []ServerLoad) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	loads = sortedLoads(loads)
	for _, p := range b.pools {
		p.setPeerLoads(instance, loads)
	}
}

// ForgetPeer removes the loads of an instance that has left.
func (b *Balancer) ForgetPeer(instance string) {
	b.SetPeerLoads(instance, nil)
}
