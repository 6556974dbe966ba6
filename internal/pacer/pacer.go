// Package pacer limits the requests to backend servers that have just started or
// recovered. A cold server of a service that states what a cold server can take gets no
// more than that from all instances together (limit.go). Any other server that comes back
// gets a share that grows with its responses (ramp.go). Each instance decides by itself:
// a few instances, chosen by hash, send to such a server, and no message is exchanged.
package pacer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/ranker"
	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

const (
	// shardCount is the number of shards of the server table.
	shardCount = 16
	// never is the wait of an instance that sends a server nothing.
	never = time.Duration(math.MaxInt64)
	// memberRetention is how long an instance that has left the list of members keeps its
	// rank. It may only be cut off from the store, and still send requests.
	memberRetention = time.Minute
	// settleTime is the time after an instance first knows the members in which it sends
	// cold servers nothing. The others learn of it meanwhile, and the requests of its
	// previous incarnation have left every one-second window.
	settleTime = 5 * time.Second
	// minMembers is the number of instances, this one included, below which an instance
	// counts as one that knows no members.
	minMembers = 2
	// unreachableRetention is how long a server counts as unreachable after the last failed
	// connection. It is probed every few hundred milliseconds, or every nine seconds while
	// this instance is cut off from the servers.
	unreachableRetention = 30 * time.Second
	// removedRetention is how long the requests to a server that has left the list are
	// remembered, should it return.
	removedRetention = time.Minute
)

// A Service states how the servers of a service warm up.
type Service struct {
	Name   string
	Warmup time.Duration // How long a server is cold after its start.
	Rate   float64       // Requests per second that a cold server can take; zero if not specified.
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Evacuations knows when failure domains were evacuated.
type Evacuations interface {
	// EndedAt returns when the last evacuation of a failure domain ended, if one has. It
	// must not call the pacer.
	EndedAt(domain string) (at time.Time, ended bool)
}

// Config holds the settings and dependencies of a pacer.
type Config struct {
	Instance string // ID of this instance.
	// ColdOver and ColdSlack give the requests that a cold server may get in any second:
	// the stated rate times ColdOver, and ColdSlack more. Without ColdOver there is no
	// limit.
	ColdOver, ColdSlack float64
	Ramps               bool        // Servers without a stated rate that come back are ramped up.
	Evacuations         Evacuations // Nil if no failure domain is ever evacuated.
	Clock               Clock
	Logger              logrus.FieldLogger
}

// A Pacer knows which servers are cold or in a ramp.
type Pacer struct {
	cfg    Config
	shards [shardCount]shard
	view   atomic.Pointer[view]
	active atomic.Bool // Some server may be limited.

	mu       sync.Mutex // Guards the fields below and the replacement of view.
	departed map[string]time.Time
	traffic  map[string]*atomic.Bool // Services of which a server has got a request from here.
	listed   bool                    // Install has been called.

	limited  atomic.Int64 // Servers that are cold or in a ramp, as far as noticed.
	heldBack atomic.Int64
}

// A view is what an instance knows of the other instances and of the services. It is
// replaced, never changed.
type view struct {
	version   int
	members   []string  // This instance included; empty until they are known.
	settledAt time.Time // When this instance may send to cold servers; only with minMembers members.
	expiresAt time.Time // When the first departed member is forgotten; zero if there is none.
	services  map[string]limits
}

type shard struct {
	mu      sync.Mutex
	servers map[string]*server
}

// A server is a backend server. Its fields are guarded by the lock of its shard.
type server struct {
	start     throttler.Server
	address   string
	service   string
	domain    string
	slots     int
	revision  int64
	removedAt time.Time // Zero while it is listed.
	traffic   *atomic.Bool

	entryUntil time.Time // End of the warm-up that its entry states.
	startedAt  time.Time // When it was found to have started during traffic; zero if it was not.
	reachedAt  time.Time // When it was last found reachable after it had not been; zero if never.
	// unreachableAt is when no connection to it could last be opened; zero if one was
	// opened since.
	unreachableAt time.Time
	avoided       bool        // This instance avoids it for its failures or its silence.
	recent        []time.Time // Times of the latest requests of this instance, oldest first.
	coldSince     time.Time   // When it was last noticed to have become cold.
	cold          bool        // As last noticed.
	period        *period     // The present limitation; nil if there is none.
	ramp          *ramp       // Nil if the server is in no ramp.

	rank, members int // Place of this instance in the ranking for the server; computed for rankVersion.
	rankVersion   int
}

// A period is the time for which a server is limited, for the log.
type period struct {
	cause              string
	beganAt            time.Time
	requests, failures int
}

// New returns a pacer that knows of no server, service or instance.
func New(cfg Config) *Pacer {
	p := &Pacer{cfg: cfg, departed: map[string]time.Time{}, traffic: map[string]*atomic.Bool{}}
	for i := range p.shards {
		p.shards[i].servers = map[string]*server{}
	}
	p.view.Store(&view{})
	p.active.Store(cfg.Ramps)
	return p
}

func (p *Pacer) shard(id string) *shard { return &p.shards[xxhash.Sum64String(id)%shardCount] }

// replaceView replaces the view by a changed copy. The caller holds p.mu.
func (p *Pacer) replaceView(change func(v *view)) {
	v := *p.view.Load()
	v.version++
	change(&v)
	p.view.Store(&v)
}

// SetServices sets how the servers of the services warm up.
func (p *Pacer) SetServices(services []Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byName := make(map[string]limits, len(services))
	limited := false
	for _, s := range services {
		l := p.limitsOf(s)
		byName[s.Name] = l
		limited = limited || l.strict
	}
	p.replaceView(func(v *view) { v.services = byName })
	p.active.Store(p.cfg.Ramps || limited)
}

// SetMembers sets the IDs of the other instances. Those that are no longer among them
// keep their rank for memberRetention.
func (p *Pacer) SetMembers(peers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	for _, id := range p.view.Load().members {
		if _, known := p.departed[id]; !known && id != p.cfg.Instance {
			p.departed[id] = now
		}
	}
	for _, id := range peers {
		delete(p.departed, id)
	}
	p.setMembers(peers, now)
}

// setMembers installs the present members and the departed ones that are retained. The
// caller holds p.mu.
func (p *Pacer) setMembers(present []string, now time.Time) {
	members := append(slices.Clone(present), p.cfg.Instance)
	var expiresAt time.Time
	for id, at := range p.departed {
		expiry := at.Add(memberRetention)
		if !now.Before(expiry) {
			delete(p.departed, id)
			continue
		}
		members = append(members, id)
		if expiresAt.IsZero() || expiry.Before(expiresAt) {
			expiresAt = expiry
		}
	}
	p.replaceView(func(v *view) {
		if len(v.members) < minMembers && len(members) >= minMembers {
			v.settledAt = now.Add(settleTime)
		}
		v.members, v.expiresAt = members, expiresAt
	})
}

// currentView returns the view without departed members whose retention has ended.
func (p *Pacer) currentView(now time.Time) *view {
	v := p.view.Load()
	if v.expiresAt.IsZero() || now.Before(v.expiresAt) {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v = p.view.Load()
	var present []string
	for _, id := range v.members {
		if _, departed := p.departed[id]; !departed && id != p.cfg.Instance {
			present = append(present, id)
		}
	}
	p.setMembers(present, now)
	return p.view.Load()
}

// Install replaces the list of servers. It must be called before the balancer may choose
// from the list, so that no server is chosen before its entry is known here.
func (p *Pacer) Install(backends []balancer.Backend) {
	traffic, first := p.trafficOf(backends)
	now := p.cfg.Clock.Now()
	listed := make(map[string]bool, len(backends))
	for i, b := range backends {
		listed[b.ID] = true
		p.install(b, traffic[i], first, now)
	}
	for i := range p.shards {
		p.removeUnlisted(&p.shards[i], listed, now)
	}
}

// trafficOf returns for each backend whether its service has had traffic, and whether
// this is the first list.
func (p *Pacer) trafficOf(backends []balancer.Backend) (traffic []*atomic.Bool, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, p.listed = !p.listed, true
	for _, b := range backends {
		if p.traffic[b.Service] == nil {
			p.traffic[b.Service] = &atomic.Bool{}
		}
		traffic = append(traffic, p.traffic[b.Service])
	}
	return traffic, first
}

func (p *Pacer) install(b balancer.Backend, traffic *atomic.Bool, first bool, now time.Time) {
	sh := p.shard(b.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[b.ID]
	known := s != nil
	if !known {
		s = &server{rankVersion: -1}
		sh.servers[b.ID] = s
	}
	// An entry that vanishes and returns with its start time belongs to the same start. All
	// entries may vanish in an outage of the store.
	returned := known && !s.removedAt.IsZero()
	started := !known || s.start != b.Start() || s.address != b.Address || returned && b.StartedAt == 0
	changed := !known || s.revision != b.Revision
	s.start, s.address, s.service, s.domain, s.slots, s.traffic = b.Start(), b.Address, b.Service, b.FailureDomain, b.Slots, traffic
	s.revision, s.removedAt = b.Revision, time.Time{}
	if changed {
		s.entryUntil = now.Add(b.Warmup)
	}
	if returned && !s.unreachableAt.IsZero() {
		s.reachedAt = now
	}
	if started || returned {
		s.unreachableAt = time.Time{} // The balancer begins to probe it anew.
	}
	if started && !first && traffic.Load() {
		s.startedAt = now
		p.beginRamp(s, causeStart, now)
	}
	p.observe(s, now)
}

// removeUnlisted marks the servers that have left the list, and forgets them later.
func (p *Pacer) removeUnlisted(sh *shard, listed map[string]bool, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, s := range sh.servers {
		switch {
		case listed[id]:
		case s.removedAt.IsZero():
			s.removedAt = now
			s.ramp = nil
			p.observe(s, now)
		case now.Sub(s.removedAt) >= removedRetention:
			p.endPeriod(s, now)
			delete(sh.servers, id)
		}
	}
}

// RecordUnreachable records that no connection to a server can be opened. Until it is
// reachable, and for its warm-up from then on, it counts as cold.
func (p *Pacer) RecordUnreachable(start throttler.Server) {
	p.update(start, func(s *server, now time.Time) {
		if s.start == start {
			s.unreachableAt = now
		}
	})
}

// RecordReachable records that a connection to a server was opened.
func (p *Pacer) RecordReachable(start throttler.Server) {
	p.update(start, func(s *server, now time.Time) {
		if s.unreachableAt.IsZero() {
			return
		}
		s.unreachableAt, s.reachedAt = time.Time{}, now
		p.beginRamp(s, causeReachable, now)
	})
}

// ForgetUnreachable takes RecordUnreachable back: the way from this instance to the
// servers had failed, and a peer has reached them meanwhile.
func (p *Pacer) ForgetUnreachable(start throttler.Server) {
	p.update(start, func(s *server, _ time.Time) { s.unreachableAt = time.Time{} })
}

// RecordResponse records how a request of this instance ended: with a response in time,
// or with a late one, a refusal or a failure. A server that is avoided from then on
// begins a ramp with its next response in time.
func (p *Pacer) RecordResponse(start throttler.Server, inTime, avoided bool) {
	p.update(start, func(s *server, now time.Time) {
		if s.period != nil && !inTime {
			s.period.failures++
		}
		if s.ramp != nil {
			s.ramp.record(inTime, s.rampParticipants(), now)
		}
		switch {
		case !inTime:
			s.avoided = s.avoided || avoided
		case s.avoided:
			s.avoided = false
			p.beginRamp(s, causeRecovered, now)
		}
	})
}

// update changes the state of a server, if it is known.
func (p *Pacer) update(start throttler.Server, change func(s *server, now time.Time)) {
	if !p.active.Load() {
		return
	}
	sh := p.shard(start.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[start.ID]
	if s == nil {
		return
	}
	now := p.cfg.Clock.Now()
	change(s, now)
	p.observe(s, now)
}

// rank computes the place of this instance in the ranking for a server. The caller holds
// the lock of the shard.
func (p *Pacer) rank(s *server, v *view) {
	if s.rankVersion == v.version {
		return
	}
	s.rankVersion, s.members = v.version, len(v.members)
	s.rank = slices.Index(ranker.Highest(s.start.ID, v.members, len(v.members)), p.cfg.Instance)
}

// Wait returns the time until a server takes another request from this instance, and
// whether the server is cold or in a ramp. Work that can wait leaves room for other work.
// A request through a peer may take long to arrive, so a cold server gets none; that this
// instance cannot reach the server says nothing then.
func (p *Pacer) Wait(start throttler.Server, canWait, throughPeer bool) (wait time.Duration, limited bool) {
	if !p.active.Load() {
		return 0, false
	}
	sh := p.shard(start.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[start.ID]
	if s == nil {
		return 0, false
	}
	now := p.cfg.Clock.Now()
	l, cause := p.observe(s, now)
	if s.period == nil {
		return 0, false
	}
	wait = p.waitOf(s, l, cause, canWait, throughPeer, now)
	if wait > 0 {
		p.heldBack.Add(1)
	}
	return wait, true
}

// waitOf returns the time until a server that is being limited takes another request. The
// caller holds the lock of the shard.
func (p *Pacer) waitOf(s *server, l limits, cause string, canWait, throughPeer bool, now time.Time) time.Duration {
	switch {
	case throughPeer && cause == causeUnreachable:
		return 0
	case throughPeer && cause != "":
		return never
	case cause != "":
		v := p.currentView(now)
		p.rank(s, v)
		return s.coldWait(l, v, canWait, now)
	}
	return s.rampWait(canWait, now)
}

// MaySend reports whether a request that was placed at a time may be sent now. If the
// server is cold, it must have been placed by this instance, lately and while the server
// was known to be cold: the placements of peers are counted at the peers, whose requests
// may arrive much later.
func (p *Pacer) MaySend(start throttler.Server, placedAt time.Time) bool {
	if !p.active.Load() {
		return true
	}
	sh := p.shard(start.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[start.ID]
	if s == nil {
		return true
	}
	now := p.cfg.Clock.Now()
	_, cause := p.observe(s, now)
	return cause == "" || !placedAt.Before(s.coldSince) && now.Sub(placedAt) <= maxSendDelay
}

// Rate returns the requests per second that are this instance's part of a server's limit;
// zero if the server has no limit or others use it.
func (p *Pacer) Rate(start throttler.Server) float64 {
	if !p.active.Load() {
		return 0
	}
	sh := p.shard(start.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[start.ID]
	if s == nil {
		return 0
	}
	now := p.cfg.Clock.Now()
	switch l, cause := p.observe(s, now); {
	case cause != "":
		v := p.currentView(now)
		p.rank(s, v)
		return float64(s.coldShare(l, v, now)) / takeWindow.Seconds()
	case s.ramp != nil:
		return s.rampRate()
	}
	return 0
}

// Take counts a request that is sent to a server. Requests to servers that are not cold
// count as well, since a server may become cold at any moment.
func (p *Pacer) Take(start throttler.Server) {
	p.update(start, func(s *server, now time.Time) {
		s.traffic.Store(true)
		if l := p.view.Load().services[s.service]; l.strict {
			s.recordTake(l, now)
		}
		if s.period != nil {
			s.period.requests++
		}
		if s.ramp != nil {
			s.ramp.level--
		}
	})
}

// observe notices that a server has become limited or is limited no more. It returns the
// limits of its service, and the cause for which it has a strict limit, if it has. The
// caller holds the lock of the shard.
func (p *Pacer) observe(s *server, now time.Time) (l limits, cause string) {
	l = p.view.Load().services[s.service]
	if l.strict && s.removedAt.IsZero() {
		cause = s.coldCause(l, p.cfg.Evacuations, now)
	}
	if cold := cause != ""; cold != s.cold {
		s.cold, s.coldSince = cold, now
	}
	if s.ramp != nil {
		p.rank(s, p.currentView(now))
		if s.ramp.ended(s.rank, s.members, now) {
			s.ramp = nil
		}
	}
	switch limited := cause != "" || s.ramp != nil; {
	case !limited:
		p.endPeriod(s, now)
	case s.period == nil:
		s.period = &period{cause: cause, beganAt: now}
		if cause == "" {
			s.period.cause = s.ramp.cause
		}
		p.limited.Add(1)
		p.log(s).WithField("cause", s.period.cause).Info("backend server is limited after a start or recovery")
	}
	return l, cause
}

func (p *Pacer) endPeriod(s *server, now time.Time) {
	if s.period == nil {
		return
	}
	p.log(s).WithFields(logrus.Fields{
		"cause": s.period.cause, "limited-ms": now.Sub(s.period.beganAt).Milliseconds(), "requests": s.period.requests, "failures": s.period.failures,
	}).Info("backend server has its full share again")
	s.period = nil
	p.limited.Add(-1)
}

func (p *Pacer) log(s *server) *logrus.Entry {
	return p.cfg.Logger.WithFields(logrus.Fields{"backend-server": s.start.ID, "failure-domain": s.domain})
}
