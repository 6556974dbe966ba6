package registrar

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// fleetShardCount is the number of shards of each table of the fleet. It exceeds
// the cores of an instance, to keep lock contention low.
const fleetShardCount = 16

type clock interface {
	Now() time.Time
}

// A Fleet holds the backend servers, their pools and the routes of the installed
// configuration.
type Fleet struct {
	clock     clock
	installMu sync.Mutex // Serialises Install.
	routes    atomic.Pointer[RouteTable]
	servers   [fleetShardCount]serverShard
	pools     [fleetShardCount]poolShard
	peers     [fleetShardCount]peerShard
}

type serverShard struct {
	mu      sync.RWMutex
	servers map[string]*Server
}

type poolShard struct {
	mu    sync.RWMutex
	pools map[string]*Pool
}

type peerShard struct {
	mu      sync.Mutex
	reports map[string]peerReport // By instance ID.
}

// A peerReport is the last load report of one instance, with the servers whose
// load includes it.
type peerReport struct {
	loads   []appliedLoad
	expires time.Time
}

type appliedLoad struct {
	server *Server
	online int
	batch  int
}

// NewFleet returns an empty fleet.
func NewFleet(clock clock) *Fleet {
	f := &Fleet{clock: clock}
	f.routes.Store(&RouteTable{})
	for i := range fleetShardCount {
		f.servers[i].servers = map[string]*Server{}
		f.pools[i].pools = map[string]*Pool{}
		f.peers[i].reports = map[string]peerReport{}
	}
	return f
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % fleetShardCount)
}

// Server returns a declared backend server.
func (f *Fleet) Server(name string) (*Server, bool) {
	shard := &f.servers[shardOf(name)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	s, ok := shard.servers[name]
	return s, ok
}

// Servers returns all declared backend servers, sorted by name.
func (f *Fleet) Servers() []*Server {
	var all []*Server
	for i := range f.servers {
		all = f.servers[i].appendTo(all)
	}
	slices.SortFunc(all, compareNames)
	return all
}

func (s *serverShard) appendTo(all []*Server) []*Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, server := range s.servers {
		all = append(all, server)
	}
	return all
}

// Pool returns the pool with a name such as "model/lm-desk".
func (f *Fleet) Pool(name string) (*Pool, bool) {
	shard := &f.pools[shardOf(name)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	p, ok := shard.pools[name]
	return p, ok
}

// Routes returns the route table of the installed configuration.
func (f *Fleet) Routes() *RouteTable {
	return f.routes.Load()
}

// Install replaces the configuration with a declaration. A server that keeps its
// name and address keeps its load and state.
func (f *Fleet) Install(d declarer.Declaration) {
	f.installMu.Lock()
	defer f.installMu.Unlock()

	servers := f.installServers(d.BackendServers)
	builder := newPoolBuilder(d.FailureDomains)
	for _, s := range servers {
		builder.addServer(s)
	}
	f.installPools(builder.build())
	f.routes.Store(&RouteTable{routes: slices.Clone(d.Routes)})
}

func (f *Fleet) installServers(declared []declarer.BackendServer) []*Server {
	servers := make([]*Server, 0, len(declared))
	names := make(map[string]bool, len(declared))
	for _, b := range declared {
		names[b.Name] = true
		servers = append(servers, f.installServer(b))
	}
	for i := range f.servers {
		f.servers[i].retain(names)
	}
	return servers
}

func (f *Fleet) installServer(declared declarer.BackendServer) *Server {
	shard := &f.servers[shardOf(declared.Name)]
	shard.mu.Lock()
	defer shard.mu.Unlock()

	if s, ok := shard.servers[declared.Name]; ok {
		if s.Snapshot().Address == declared.Address {
			s.declare(declared)
			return s
		}
		s.SetLeaving(LeavingByDeclaration, true)
	}
	s := newServer(declared, f.clock)
	shard.servers[declared.Name] = s
	return s
}

func (s *serverShard) retain(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, server := range s.servers {
		if !names[name] {
			server.SetLeaving(LeavingByDeclaration, true)
			delete(s.servers, name)
		}
	}
}

func (f *Fleet) installPools(pools []*Pool) {
	names := make(map[string]bool, len(pools))
	for _, p := range pools {
		names[p.Name] = true
		f.pools[shardOf(p.Name)].set(p)
	}
	for i := range f.pools {
		f.pools[i].retain(names)
	}
}

func (s *poolShard) set(p *Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[p.Name] = p
}

func (s *poolShard) retain(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.pools {
		if !names[name] {
			delete(s.pools, name)
		}
	}
}

// SetPeerLoads replaces the previous report of an instance. The report counts
// until it expires or is replaced.
func (f *Fleet) SetPeerLoads(instance string, loads []PeerLoad, expires time.Time) {
	f.ExpirePeerLoads()
	report := peerReport{expires: expires}
	for _, load := range loads {
		if s, ok := f.Server(load.Server); ok {
			report.loads = append(report.loads, appliedLoad{server: s, online: load.Online, batch: load.Batch})
		}
	}
	f.peers[shardOf(instance)].replace(instance, report)
}

func (s *peerShard) replace(instance string, report peerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[instance].apply(-1)
	report.apply(1)
	s.reports[instance] = report
}

func (r peerReport) apply(sign int) {
	for _, l := range r.loads {
		l.server.addPeers(sign*l.online, sign*l.batch)
	}
}

// ExpirePeerLoads removes the expired reports. SetPeerLoads and LocalLoads call
// it, so that it runs with each heartbeat sent or received.
func (f *Fleet) ExpirePeerLoads() {
	now := f.clock.Now()
	for i := range f.peers {
		f.peers[i].expire(now)
	}
}

func (s *peerShard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for instance, report := range s.reports {
		if now.Before(report.expires) {
			continue
		}
		report.apply(-1)
		delete(s.reports, instance)
	}
}

// LocalLoads returns the requests that this entry has in flight, for its
// heartbeats. Servers without load are omitted.
func (f *Fleet) LocalLoads() []PeerLoad {
	f.ExpirePeerLoads()
	var loads []PeerLoad
	for i := range f.servers {
		loads = f.servers[i].appendLoads(loads)
	}
	slices.SortFunc(loads, func(a, b PeerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

func (s *serverShard) appendLoads(loads []PeerLoad) []PeerLoad {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, server := range s.servers {
		state := server.Snapshot()
		if state.OnlineLocal+state.BatchLocal > 0 {
			loads = append(loads, PeerLoad{Server: name, Online: state.OnlineLocal, Batch: state.BatchLocal})
		}
	}
	return loads
}
