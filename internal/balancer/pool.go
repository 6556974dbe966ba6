package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// domainPenalty is the load, in parts of a server's slots, that a server of
	// another failure domain has to have less before it is preferred: traffic
	// between domains costs, and a request there is cut with them.
	domainPenalty = 0.15
	// awayPenalty is the load that a server that is not home has to have less
	// before it is preferred. Its load is known late.
	awayPenalty = 0.4
	// queuePenalty is the cost of a server whose slots are taken: a request waits
	// there, which is worse than any way.
	queuePenalty = 0.6
	// awayLooks is the number of servers that are not home that one choice looks
	// at, from a random one on. Instances that all looked at all servers would
	// meet on the few that were last reported with little load.
	awayLooks = 3
	// awayNoise spreads the choices among servers that are not home.
	awayNoise = 0.2
	// awayBatchLoad is the part of its slots up to which a server that is not home
	// takes batch work.
	awayBatchLoad = 0.4
	// urgentReserve and urgentAwayLoad hold in place of batchReserve and
	// awayBatchLoad for batch work that is due soon.
	urgentReserve  = 1
	urgentAwayLoad = 0.7
	// batchReserve is the number of slots of a server that batch work leaves
	// free, so that an online request finds a place without a wait.
	batchReserve = 2
	// initialDuration is the assumed time of a request before one was seen.
	initialDuration = 500 * time.Millisecond
	// durationWeight is the weight of the newest request in the mean duration.
	durationWeight = 0.05
)

// A server is a backend server with what this instance knows of it. Its fields
// are guarded by the lock of its pool.
type server struct {
	Backend
	home   bool // This instance uses it before others.
	local  Load
	peers  map[string]Load // By instance ID.
	health health
	batch  []*Placement // Batch work of this instance that may stay, oldest first.
	// vacating is the batch work of this instance that was displaced and has not
	// left yet. It is part of local.
	vacating int
}

func (s *server) load() int {
	n := s.local.total()
	for _, l := range s.peers {
		n += l.total()
	}
	return n
}

func (s *server) onlineLoad() int {
	n := s.local.Online
	for _, l := range s.peers {
		n += l.Online
	}
	return n
}

// A pool is the servers of one service.
type pool struct {
	mu       sync.Mutex
	servers  map[string]*server
	order    []*server // Sorted by ID.
	duration time.Duration
	room     chan struct{} // Closed when work ends; nil while nobody waits.
}

func newPool() *pool {
	return &pool{servers: map[string]*server{}, duration: initialDuration}
}

func (p *pool) install(backends []Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*server, len(backends))
	p.order = p.order[:0]
	for _, declared := range backends {
		s := p.servers[declared.ID]
		if s == nil || s.StartedAt != declared.StartedAt || s.Address != declared.Address {
			s = &server{peers: map[string]Load{}}
		}
		s.Backend = declared
		s.Slots = max(s.Slots, 1)
		kept[declared.ID] = s
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	p.servers = kept
	p.signalRoom()
}

// assignHome divides the servers of the failure domain among its instances, in
// the order of their IDs. Where there are fewer servers than instances, several
// instances share one.
func (p *pool) assignHome(domain string, position Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var local []*server
	for _, s := range p.order {
		s.home = false
		if s.FailureDomain == domain && !s.Leaving {
			local = append(local, s)
		}
	}
	for i, s := range local {
		if len(local) >= position.Count {
			s.home = i*position.Count/len(local) == position.Index
		} else {
			s.home = position.Index*len(local)/position.Count == i
		}
	}
}

func (p *pool) acquire(q Query, cfg Config) (*Placement, error) {
	p.mu.Lock()
	now := cfg.Clock.Now()
	s := p.best(q, cfg.FailureDomain, now)
	if s == nil {
		defer p.mu.Unlock()
		return nil, ErrNoServer
	}
	if q.Class == Batch && !s.takesBatch(q.Urgent) || q.Class == Online && p.expectedWait(s) > q.MaxWait {
		defer p.mu.Unlock()
		return nil, ErrFull
	}
	placement := &Placement{Backend: s.Backend, Load: s.load(), class: q.Class, pool: p, server: s, cfg: cfg, startedAt: now}
	s.health.begin(now)
	var displaced *Placement
	crowding := ""
	if q.Class == Batch {
		s.local.Batch++
		placement.displaced = make(chan struct{})
		s.batch = append(s.batch, placement)
	} else {
		s.local.Online++
		displaced = s.displace()
		if displaced == nil {
			crowding = s.crowdingPeer()
		}
	}
	p.mu.Unlock()
	displaced.displace()
	if crowding != "" && cfg.Crowded != nil {
		cfg.Crowded(crowding)
	}
	return placement, nil
}

// crowdingPeer is the instance with the most batch work on a server that has more
// work than slots.
func (s *server) crowdingPeer() string {
	if s.load()-s.vacating <= s.Slots {
		return ""
	}
	peer, most := "", 0
	for id, l := range s.peers {
		if l.Batch > most {
			peer, most = id, l.Batch
		}
	}
	return peer
}

// displace chooses the batch work that has to leave because the server has
// more work than slots. The newest goes first: it loses the least.
func (s *server) displace() *Placement {
	if len(s.batch) == 0 || s.load()-s.vacating <= s.Slots {
		return nil
	}
	last := s.batch[len(s.batch)-1]
	s.batch = s.batch[:len(s.batch)-1]
	s.vacating++
	last.vacating = true
	return last
}

// displaceShare chooses this instance's part of the batch work that has to leave
// after the reports of peers. The others see the same load and displace theirs.
// Without online work nothing has to leave: it only waits at the server.
func (s *server) displaceShare() (displaced []*Placement) {
	load := s.load() - s.vacating
	excess := min(load-s.Slots, s.onlineLoad())
	batch := load - s.onlineLoad()
	if excess <= 0 || batch <= 0 {
		return nil
	}
	share := (excess*len(s.batch) + batch/2) / batch
	for range min(share, len(s.batch)) {
		displaced = append(displaced, s.displace())
	}
	return displaced
}

// best is the server with the least load among those that are not known to
// fail, or among all that take requests where there is no other.
func (p *pool) best(q Query, domain string, now time.Time) *server {
	if s := p.bestOf(q, domain, now, false); s != nil {
		return s
	}
	if q.Class == Batch {
		return nil
	}
	return p.bestOf(q, domain, now, true)
}

func (p *pool) bestOf(q Query, domain string, now time.Time, suspects bool) *server {
	if len(p.order) == 0 {
		return nil
	}
	var best *server
	bestCost := 0.0
	away := 0
	start := rand.IntN(len(p.order))
	for i := range p.order {
		s := p.order[(start+i)%len(p.order)]
		if s.Leaving || s.health.misdirected || slices.Contains(q.Exclude, s.ID) || s.health.suspected(now) != suspects {
			continue
		}
		if !s.home {
			if away++; away > awayLooks {
				continue
			}
		}
		cost := s.cost(domain)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// cost is the load of a server for its slots, with penalties for servers that
// are not home. The lowest is chosen.
func (s *server) cost(domain string) float64 {
	load := s.load()
	cost := float64(load) / float64(s.Slots)
	if load >= s.Slots {
		cost += queuePenalty
	}
	if s.home {
		return cost
	}
	cost += awayPenalty + awayNoise*rand.Float64()
	if s.FailureDomain != domain {
		cost += domainPenalty
	}
	return cost
}

// takesBatch reports whether the server has room for batch work.
func (s *server) takesBatch(urgent bool) bool {
	reserve, awayLoad := batchReserve, awayBatchLoad
	if urgent {
		reserve, awayLoad = urgentReserve, urgentAwayLoad
	}
	if s.home {
		return s.load() < s.Slots-reserve
	}
	return float64(s.load()) < awayLoad*float64(s.Slots)
}

// expectedWait is the time until the server has a place for one more online
// request. Batch work of this instance does not count: it makes room.
func (p *pool) expectedWait(s *server) time.Duration {
	over := s.load() - len(s.batch) - s.Slots + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * p.duration / time.Duration(s.Slots)
}

func (p *pool) waitRoom() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.room == nil {
		p.room = make(chan struct{})
	}
	return p.room
}

func (p *pool) signalRoom() {
	if p.room != nil {
		close(p.room)
		p.room = nil
	}
}

func (p *pool) appendLoads(loads []ServerLoad) []ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.order {
		if s.local.total() > 0 {
			loads = append(loads, ServerLoad{Server: s.ID, Load: s.local})
		}
	}
	return loads
}

func (p *pool) setPeerLoads(instance string, loads map[string]Load) {
	var displaced []*Placement
	p.mu.Lock()
	for _, s := range p.order {
		l, ok := loads[s.ID]
		if !ok {
			delete(s.peers, instance)
			continue
		}
		s.peers[instance] = l
		displaced = append(displaced, s.displaceShare()...)
	}
	p.signalRoom()
	p.mu.Unlock()
	for _, placement := range displaced {
		placement.displace()
	}
}
