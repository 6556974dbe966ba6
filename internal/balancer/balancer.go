// Package balancer places work on backend servers. It keeps the load of each
// server, as far as this instance knows it, chooses the server of a request
// and takes batch work back where online requests need its place.
package balancer

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// Errors of a choice.
var (
	// ErrNoServer means that the service has no server that takes requests.
	ErrNoServer = merry.Sentinel("no backend server is available")
	// ErrFull means that every server has as much work as it finishes in time.
	ErrFull = merry.Sentinel("all backend servers are full")
)

// A Class separates online requests from batch items.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// A Backend is a backend server as the list of servers names it.
type Backend struct {
	ID            string
	Service       string
	Address       string // Host and port.
	FailureDomain string
	Slots         int   // Requests that it works on at once; at least 1.
	Leaving       bool  // It takes no new requests.
	StartedAt     int64 // Unix milliseconds of its start; tells a restart under the same ID.
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

// A Config places a balancer in the fleet.
type Config struct {
	Clock         Clock
	FailureDomain string
	Probe         Probe
	// Crowded is called when an online request meets batch work of a peer on a
	// server without a free slot, so that the peer hears of it at once. Nil calls
	// nobody.
	Crowded func(peer string)
	Logger  logrus.FieldLogger
}

// A Balancer holds the servers of all services, one shard for each service.
type Balancer struct {
	cfg Config

	mu       sync.RWMutex // Guards the fields below; each pool has its own lock.
	pools    map[string]*pool
	position Position
}

// A Position is the place of an instance among those of its failure domain.
type Position struct {
	Index int // From 0.
	Count int // At least 1.
}

// New returns a balancer without servers.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, pools: map[string]*pool{}, position: Position{Count: 1}}
}

// Install takes over the whole list of servers. The load of kept servers stays.
func (b *Balancer) Install(backends []Backend) {
	byService := map[string][]Backend{}
	for _, s := range backends {
		byService[s.Service] = append(byService[s.Service], s)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range byService {
		if b.pools[service] == nil {
			b.pools[service] = newPool()
		}
	}
	for service, p := range b.pools {
		p.install(byService[service])
		p.assignHome(b.cfg.FailureDomain, b.position)
	}
}

// SetPosition says which servers of the failure domain are home to this instance.
// The instances of a domain divide its servers, so that the load of most servers
// is known at once to the one instance that uses them.
func (b *Balancer) SetPosition(position Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.position = position
	for _, p := range b.pools {
		p.assignHome(b.cfg.FailureDomain, position)
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
	Exclude []string      // IDs of servers that were tried already.
	MaxWait time.Duration // Longest expected wait for a place; beyond it the fleet counts as full.
	Urgent  bool          // Batch work that is due soon.
}

// Acquire chooses a server and counts the work on it. The error wraps
// ErrNoServer or ErrFull. The caller releases the placement.
func (b *Balancer) Acquire(q Query) (*Placement, error) {
	p := b.pool(q.Service)
	if p == nil {
		return nil, ErrNoServer
	}
	return p.acquire(q, b.cfg)
}

// WaitRoom returns a channel that is closed when work of the service ends, so
// that batch work can ask again.
func (b *Balancer) WaitRoom(service string) <-chan struct{} {
	p := b.pool(service)
	if p == nil {
		return nil
	}
	return p.waitRoom()
}

// LocalLoads is the load that this instance puts on each server.
func (b *Balancer) LocalLoads() []ServerLoad {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var loads []ServerLoad
	for _, p := range b.pools {
		loads = p.appendLoads(loads)
	}
	return loads
}

// SetPeerLoads replaces the load that another instance reported.
func (b *Balancer) SetPeerLoads(instance string, loads []ServerLoad) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	byServer := make(map[string]Load, len(loads))
	for _, l := range loads {
		byServer[l.Server] = l.Load
	}
	for _, p := range b.pools {
		p.setPeerLoads(instance, byServer)
	}
}

// ForgetPeer drops the load of an instance that is gone.
func (b *Balancer) ForgetPeer(instance string) {
	b.SetPeerLoads(instance, nil)
}
