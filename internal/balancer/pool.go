package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/appraiser"
)

const (
	// domainPenalty is added to the cost of a server of another failure domain, as
	// a fraction of its slots: traffic between domains is expensive, and fails when
	// they are partitioned.
	domainPenalty = 0.15
	// nonPreferredPenalty is added to the cost of a server that this instance does
	// not prefer, since its load is known only with a delay.
	nonPreferredPenalty = 0.7
	// queuePenalty is added to the cost of a server without a free slot: a request
	// queues there, which is worse than a longer network path.
	queuePenalty = 0.6
	// batchCostWeight is the weight of batch work in the cost of a server for an online
	// request. With its full weight, requests go to the servers without batch work
	// until these are full, while the others would give way.
	batchCostWeight = 0.5
	// preemptionPenalty is added to the cost of a server that has no free slot but
	// batch work that gives way: a free slot elsewhere saves a displaced run.
	preemptionPenalty = 0.15
	// nonPreferredSamples is the number of non-preferred servers that one choice
	// considers, from a random start. If all instances considered all servers, they
	// would converge on the few that were last reported with little load.
	nonPreferredSamples = 3
	// nonPreferredJitter is the range of the random cost that spreads choices among
	// non-preferred servers.
	nonPreferredJitter = 0.2
	// nonPreferredBatchLoad is the load, as a fraction of its slots, below which a
	// non-preferred server takes batch work.
	nonPreferredBatchLoad = 0.6
	// urgentBatchReserve and urgentNonPreferredBatchLoad replace batchReserve and
	// nonPreferredBatchLoad for batch work that is due soon.
	urgentBatchReserve          = 1
	urgentNonPreferredBatchLoad = 0.8
	// batchReserve is the number of slots of a server that batch work leaves free,
	// so that an online request finds one without waiting.
	batchReserve = 2
	// batchPause is how long no batch work is placed after an online request was refused
	// for want of room.
	batchPause = time.Second
	// initialDuration is the assumed duration of a request before the first one has
	// completed.
	initialDuration = 500 * time.Millisecond
	// durationWeight is the weight of the latest request in the mean duration, an
	// exponential moving average.
	durationWeight = 0.05
)

// A server is a backend server with its load and health as known to this instance.
// Its fields are guarded by the lock of its pool.
type server struct {
	Backend
	preferred bool // Assigned to this instance by assignPreferred.
	evacuated bool // No work is placed on it, because its failure domain is evacuated.
	helped    bool // Queued requests of this instance may fill it; see assignHelped.
	local     Load
	peers     map[string]Load // By instance ID; only with some load.
	peerSum   Load            // The sum of peers.
	health    health
	position  int // Index in pool.order; negative if the server has left the list.
	// installedAt is when this instance learned of this start of the server.
	installedAt time.Time
	// soundAt is the start of the latest work that the server has completed, or of the
	// latest probe that reached it.
	soundAt time.Time
	// refusedAt is the start of the first of the refused probes since a probe reached
	// the server; zero if the last one was not refused.
	refusedAt time.Time
	// crashedAt is refusedAt of the latest time that two probes in a row were refused;
	// zero if there was none.
	crashedAt time.Time
	batch     []*Placement // Batch work of this instance that is not preempted, oldest first.
	appraisal *appraiser.Server
	// preemptedRunning counts the batch work of this instance that was preempted and
	// has not been released yet. It is included in local.
	preemptedRunning int
}

// A pool holds the servers of one service.
type pool struct {
	mu            sync.Mutex
	servers       map[string]*server
	order         []*server                // Sorted by ID.
	durations     map[string]time.Duration // Mean duration of online requests by Query.Work; "" stands for all.
	speeds        *appraiser.Service
	capacityFreed chan struct{} // Closed when capacity may be free; nil while nobody waits.
	// onlineRefusedAt is when an online request was last refused for want of room.
	onlineRefusedAt time.Time
	nextReturnAt    time.Time // When the caller that was refused last for a limit is to return.
	reach           reachState
	queue           queueState
	index           index
	reports         map[string]peerReport // The latest reports of load, by instance ID; only with some load.
	installs        int                   // Counts the calls of install.
	withBatch       map[*server]bool      // The servers with batch work of this instance, and some that had some.
	demand          demand
}

func newPool(speeds *appraiser.Service) *pool {
	return &pool{servers: map[string]*server{}, durations: map[string]time.Duration{"": initialDuration}, speeds: speeds, reports: map[string]peerReport{}, withBatch: map[*server]bool{}}
}

func (p *pool) install(backends []Backend, now time.Time, cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*server, len(backends))
	for _, s := range p.order {
		s.position = -1
	}
	p.order = p.order[:0]
	for _, declared := range backends {
		s := p.servers[declared.ID]
		if s == nil || s.StartedAt != declared.StartedAt || s.Address != declared.Address {
			s = &server{peers: map[string]Load{}, installedAt: now, appraisal: p.speeds.NewServer(declared.ID)}
			s.health.changed = func() { p.indexHealth(s) }
		}
		s.Backend = declared
		s.Slots = max(s.Slots, 1)
		s.evacuated = cfg.isEvacuated(s.FailureDomain)
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
	p.installs++
	p.rebuildIndex()
	p.compareSpeeds()
	p.signalCapacity()
}

// assignPreferred divides the servers of the failure domain, in the order of their
// IDs, among its instances. If there are fewer servers than instances, several
// instances share a server. The instances of an evacuated domain divide the servers of
// the other domains in the same way.
func (p *pool) assignPreferred(cfg Config, position Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fromOthers := cfg.isEvacuated(cfg.FailureDomain)
	var local []*server
	for _, s := range p.order {
		s.preferred = false
		if (s.FailureDomain == cfg.FailureDomain || fromOthers) && !s.Leaving && !s.evacuated {
			local = append(local, s)
		}
	}
	for i, s := range local {
		if len(local) >= position.Count {
			s.preferred = i*position.Count/len(local) == position.Index
		} else {
			s.preferred = position.Index*len(local)/position.Count == i
		}
	}
	p.assignHelped(cfg.FailureDomain, position)
	p.rebuildIndex()
	p.notifyQueue()
}

func (p *pool) acquire(q Query, cfg Config) (*Placement, error) {
	p.mu.Lock()
	now := cfg.Clock.Now()
	p.sampleDemand(now, cfg)
	if q.Class == Batch && (p.queue.waiting || now.Sub(p.onlineRefusedAt) < batchPause) {
		defer p.mu.Unlock()
		return nil, ErrFull
	}
	throughPeer := p.reach.cutOff && cfg.Peers != nil && cfg.Peers.TakesWork(q.Service)
	q.throughPeer = throughPeer
	s, wait, busy := p.selectFor(q, cfg, now, throughPeer)
	if busy != nil {
		defer p.mu.Unlock()
		return nil, busy
	}
	var holders []string
	if s == nil && wait > 0 {
		s, holders, wait = p.selectThroughHolder(q, cfg, now, wait)
	}
	if s == nil {
		defer p.mu.Unlock()
		if wait > 0 {
			if q.Class == Online {
				p.onlineRefusedAt = now
			}
			return nil, &LimitedError{RetryAfter: p.returnDelay(q.Class, wait, now, cfg)}
		}
		return nil, p.absenceError(q, cfg)
	}
	if q.Class == Batch && (!s.hasBatchCapacity(q.Urgent) || !p.hasRoomBeside(s, q, now)) {
		defer p.mu.Unlock()
		return nil, ErrFull
	}
	if q.Class == Online && !q.Queued && p.expectedWait(s, q.Work, now) > q.MaxWait {
		defer p.mu.Unlock()
		p.onlineRefusedAt = now
		return nil, ErrFull
	}
	placement := &Placement{Backend: s.Backend, Load: s.load(), ThroughPeer: throughPeer || len(holders) > 0, Holders: holders, class: q.Class, work: q.Work, waits: s.onlineLoad() >= s.Slots, pool: p, server: s, cfg: cfg, startedAt: now}
	s.health.startAttempt(now)
	if cfg.Throttle != nil {
		cfg.Throttle.Take(s.Start())
	}
	cfg.takePace(s, q, holders)
	var preempted *Placement
	batchPeer := ""
	if q.Class == Batch {
		s.local.Batch++
		placement.preempted = make(chan struct{})
		s.batch = append(s.batch, placement)
		p.withBatch[s] = true
	} else {
		s.local.Online++
		preempted = s.preemptLeastDone()
		if preempted == nil {
			batchPeer = s.peerWithMostBatch()
		}
	}
	p.indexLoad(s)
	p.mu.Unlock()
	preempted.signalPreemption()
	if batchPeer != "" && cfg.OnBatchContention != nil {
		cfg.OnBatchContention(batchPeer)
	}
	return placement, nil
}

// peerWithMostBatch returns the peer with the most batch work on a server that has
// more work than slots, or "" if there is none.
func (s *server) peerWithMostBatch() string {
	if s.peerSum.Batch == 0 || s.load()-s.preemptedRunning <= s.Slots {
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

// preemptLeastDone selects the batch work of this instance to preempt if the server
// has more work than slots.
func (s *server) preemptLeastDone() *Placement {
	if len(s.batch) == 0 || s.load()-s.preemptedRunning <= s.Slots {
		return nil
	}
	i := s.leastDone()
	least := s.batch[i]
	s.batch = slices.Delete(s.batch, i, i+1)
	s.preemptedRunning++
	least.wasPreempted = true
	return least
}

// preemptShare selects this instance's share of the batch work to preempt after
// reports of peers. The peers see the same load and preempt their share. Without
// online requests nothing is preempted: excess batch work just queues at the
// server.
func (s *server) preemptShare() (preempted []*Placement) {
	load := s.load() - s.preemptedRunning
	excess := min(load-s.Slots, s.onlineLoad())
	batch := load - s.onlineLoad()
	if excess <= 0 || batch <= 0 {
		return nil
	}
	share := (excess*len(s.batch) + batch/2) / batch
	for range min(share, len(s.batch)) {
		preempted = append(preempted, s.preemptLeastDone())
	}
	return preempted
}

// selectServer returns the server with the lowest cost among those that are not
// suspected. If there is none, online requests fall back to suspected servers. If all
// servers have a limit that leaves no room, it returns the time until one has. For work
// that goes through a peer, it does not matter which servers are in reach from here.
func (p *pool) selectServer(q Query, cfg Config, now time.Time, throughPeer bool) (s *server, wait time.Duration) {
	usable := func(s *server) bool { return !s.health.suspected(now) }
	if throughPeer {
		usable = func(s *server) bool { return !now.Before(s.health.suspectedUntil) }
	}
	in := scope{reputation: trusted}
	if throughPeer {
		in.reputation = anyReputation
	}
	s, wait = p.lowestCost(q, cfg, now, in, usable)
	if s != nil || wait > 0 || q.Class == Batch {
		return s, wait
	}
	return p.lowestCost(q, cfg, now, scope{reputation: suspected}, func(s *server) bool { return !usable(s) })
}

func (p *pool) versions() (versions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]int{} // Positions of the first eligible servers.
	for version, servers := range p.index.versions {
		for s := range p.walk(0, func(word int) uint64 { return p.index.eligible[word] & servers[word] }) {
			if s.eligible(Query{}) {
				first[version] = s.position
				versions = append(versions, version)
				break
			}
		}
	}
	slices.SortFunc(versions, func(a, b string) int { return first[a] - first[b] })
	return versions
}

// eligible reports whether the server may get the work at all.
func (s *server) eligible(q Query) bool { return !s.evacuated && s.takes(q) }

// takes reports whether the server may get the work, leaving evacuations aside.
func (s *server) takes(q Query) bool {
	return !s.Leaving && !s.health.misdirected && !slices.Contains(q.Exclude, s.ID) && (q.Version == nil || s.Version == *q.Version)
}

// cost returns the load of a server relative to its slots and its speed, plus penalties.
// The server with the lowest cost is chosen. For an online request, batch work counts
// less, since it gives way.
func (s *server) cost(domain string, class Class, now time.Time) float64 {
	load, online := s.load(), s.onlineLoad()
	cost := float64(load) / float64(s.Slots)
	if class == Online {
		cost = (float64(online) + batchCostWeight*float64(load-online)) / float64(s.Slots)
	}
	switch {
	case class == Batch && load >= s.Slots, online >= s.Slots:
		cost = cost/s.speed(now) + queuePenalty
	case load >= s.Slots:
		cost += preemptionPenalty + s.preemptionLoss(now)
	default:
		cost = s.scaleFree(cost, now)
	}
	if s.preferred {
		return cost
	}
	cost += nonPreferredPenalty + nonPreferredJitter*rand.Float64()
	if s.FailureDomain != domain {
		cost += domainPenalty
	}
	return cost
}

// hasBatchCapacity reports whether the server has capacity for batch work.
func (s *server) hasBatchCapacity(urgent bool) bool {
	reserve, maxNonPreferred := batchReserve, nonPreferredBatchLoad
	if urgent {
		reserve, maxNonPreferred = urgentBatchReserve, urgentNonPreferredBatchLoad
	}
	if s.preferred {
		return s.load() < s.Slots-reserve
	}
	return float64(s.load()) < maxNonPreferred*float64(s.Slots)
}

// expectedWait estimates the time until the server has a slot for one more online
// request. Batch work of this instance does not count, since it is preempted.
func (p *pool) expectedWait(s *server, work string, now time.Time) time.Duration {
	excess := s.load() - len(s.batch) - s.Slots + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * float64(p.meanDuration(work)) / float64(s.Slots) / s.speed(now))
}

func (p *pool) waitCapacity() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.capacityFreed == nil {
		p.capacityFreed = make(chan struct{})
	}
	return p.capacityFreed
}

func (p *pool) signalCapacity() {
	p.notifyQueue()
	p.signalBatch()
}

func (p *pool) signalBatch() {
	if p.capacityFreed != nil {
		close(p.capacityFreed)
		p.capacityFreed = nil
	}
}

func (p *pool) appendLoads(loads []ServerLoad) []ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.walk(0, func(word int) uint64 { return p.index.used[word] }) {
		loads = append(loads, ServerLoad{Server: s.ID, Load: s.local})
	}
	return loads
}
