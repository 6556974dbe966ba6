// Package apportioner is a distributed rate limiter: it admits requests within the
// rate and burst of their workspace over all instances. Instances report their
// admissions to each other, and each decides without calling another one.
//
// Each instance keeps a token bucket per workspace from its own admissions and
// those that its peers report. After reports it grants itself a share of the
// remaining tokens in proportion to demand, so that all instances together use
// them once. An unreachable instance is assumed to use an equal share, to which it
// limits itself when it receives no reports, so that both sides of a network partition
// together stay within the rate.
package apportioner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shardCount is the number of shards of the bucket table.
	shardCount = 16
	// peerTimeout is the time without a report after which a peer counts as
	// unreachable. It covers four reports.
	peerTimeout = 700 * time.Millisecond
	// maxStartFraction is the largest fraction of the burst that a new instance
	// assumes to be left before it has received a report.
	maxStartFraction = 0.6
	// toleratedFraction and toleratedRequests are the excess over rate and burst in
	// toleranceWindow that the requirements allow: a fraction of both plus a number
	// of requests.
	toleratedFraction = 0.1
	toleratedRequests = 20
	toleranceWindow   = 5 * time.Second
	// startToleranceFraction is the fraction of the tolerated excess that all
	// instances together may use when they restart, since their earlier admissions
	// are lost. The rest is left for delayed reports.
	startToleranceFraction = 0.7
	// demandWindow is the time constant of the demand average. It is shorter than the
	// usual traffic bursts of a second or two.
	demandWindow = time.Second
	// reportRetention is how long a workspace without requests is still reported, to
	// make up for lost reports.
	reportRetention = 1500 * time.Millisecond
	// grantIntervalPerMember, multiplied by the number of instances and limited by
	// maxGrantInterval, is the time between two grants. With more instances, more
	// reports have to arrive before the remaining tokens are granted again.
	grantIntervalPerMember = 10 * time.Millisecond
	maxGrantInterval       = 300 * time.Millisecond
	// borrowThreshold is the fraction of the burst above which an instance without
	// granted tokens may borrow its equal share of that fraction, and at least one
	// token: with many instances and a small burst, none would have a whole token
	// otherwise.
	borrowThreshold = 0.5
	// maxDebtTime limits the debt from admissions over the contract that were
	// reported late: it is the time in which the rate pays off the debt.
	maxDebtTime = 3 * time.Second
	// unknownLifetime is how long an instance that is no known member counts as one after
	// its last report.
	unknownLifetime = 3 * time.Second
	// minShareFraction is the fraction of an equal share of the refill that an
	// instance keeps without demand, so that its first requests find a token.
	minShareFraction = 0.25
)

// A Contract is the rate limit of a workspace over all instances.
type Contract struct {
	Workspace string
	Rate      float64 // Requests per second; zero means unlimited.
	Burst     float64 // Requests.
}

// A Usage is the usage of a workspace that one instance reports.
type Usage struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Admitted  uint64  // Requests admitted since the instance started.
	Demand    float32 // Requests per second, admitted or not.
	Level     float32 // Estimated remaining tokens.
}

// A Decision says whether a request is admitted.
type Decision struct {
	Admitted   bool
	Level      float64       // Estimated remaining tokens, for the log.
	Share      float64       // Fraction of the refill that this instance may use.
	RetryAfter time.Duration // Expected time until a token is available.
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// An Apportioner holds the buckets of all workspaces.
type Apportioner struct {
	clock  Clock
	shards [shardCount]shard

	mu         sync.RWMutex
	members    int                  // Instances that admit requests, this one included; at least 1.
	peers      map[string]*peer     // By instance ID.
	startEmpty bool                 // New buckets start empty.
	unknown    map[string]time.Time // Last report of instances that report but are no known members, by ID.
	// aggregate represents the instances of a large fleet whose reports arrive
	// combined through another instance; aggregateSize is their number.
	aggregate     peer
	aggregateSize int
}

// A peer is another instance that admits requests.
type peer struct {
	lastReportAt time.Time // Zero before the first report.
	sessions     int       // Number of times that reports began, or resumed after peerTimeout.
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket // By workspace.
}

// New returns an apportioner without workspaces.
func New(clock Clock) *Apportioner {
	a := &Apportioner{clock: clock, members: 1, peers: map[string]*peer{}, unknown: map[string]time.Time{}}
	for i := range a.shards {
		a.shards[i].buckets = map[string]*bucket{}
	}
	return a
}

func (a *Apportioner) shard(workspace string) *shard {
	return &a.shards[xxhash.Sum64String(workspace)%shardCount]
}

// Install applies the contracts of a new policy. Existing buckets keep their level.
func (a *Apportioner) Install(contracts []Contract) {
	now := a.clock.Now()
	reach := a.reachability(now)
	known := make(map[string]bool, len(contracts))
	a.mu.RLock()
	empty := a.startEmpty
	a.mu.RUnlock()
	for _, c := range contracts {
		known[c.Workspace] = true
		s := a.shard(c.Workspace)
		s.mu.Lock()
		if b, ok := s.buckets[c.Workspace]; ok {
			b.setContract(c, reach, now)
		} else {
			s.buckets[c.Workspace] = newBucket(c, reach, now, empty)
		}
		s.mu.Unlock()
	}
	for i := range a.shards {
		a.shards[i].retain(known)
	}
}

func (s *shard) retain(known map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace := range s.buckets {
		if !known[workspace] {
			delete(s.buckets, workspace)
		}
	}
}

// RecordRestart records that the previous incarnation of this instance started the
// given time before this one. If that is less than toleranceWindow, the buckets
// start empty: both incarnations together may use the start tokens only once.
func (a *Apportioner) RecordRestart(after time.Duration) {
	if after >= toleranceWindow {
		return
	}
	a.mu.Lock()
	first := !a.startEmpty
	a.startEmpty = true
	a.mu.Unlock()
	if !first {
		return
	}
	for i := range a.shards {
		a.shards[i].emptyBuckets()
	}
}

func (s *shard) emptyBuckets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		b.level, b.granted = min(b.level, 0), 0
	}
}

// SetMembers sets the other instances that admit requests.
func (a *Apportioner) SetMembers(peers []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = len(peers) + 1
	kept := make(map[string]*peer, len(peers))
	for _, id := range peers {
		kept[id] = a.peers[id]
		if kept[id] == nil {
			kept[id] = &peer{}
		}
	}
	a.peers = kept
	for id := range kept {
		delete(a.unknown, id)
	}
}

// RecordUnknown records a report of an instance that is no known member. It admits
// requests too, so it counts as a member that is unreachable.
func (a *Apportioner) RecordUnknown(id string) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for known, at := range a.unknown {
		if now.Sub(at) >= unknownLifetime {
			delete(a.unknown, known)
		}
	}
	if _, member := a.peers[id]; !member {
		a.unknown[id] = now
	}
}

// A reachability describes which part of the fleet this instance can reach.
type reachability struct {
	total    int     // Instances that admit requests, this one included.
	fraction float64 // Fraction of every contract that this instance and its reachable peers may use.
}

func (a *Apportioner) reachability(now time.Time) reachability {
	a.mu.RLock()
	defer a.mu.RUnlock()
	reachable := 1
	for _, p := range a.peers {
		if p.sessions > 0 && now.Sub(p.lastReportAt) < peerTimeout {
			reachable++
		}
	}
	if a.aggregate.sessions > 0 && now.Sub(a.aggregate.lastReportAt) < peerTimeout {
		reachable = min(reachable+a.aggregateSize, a.members)
	}
	total := a.members
	for _, at := range a.unknown {
		if now.Sub(at) < unknownLifetime {
			total++
		}
	}
	return reachability{total: total, fraction: float64(reachable) / float64(total)}
}

// Admit decides whether to admit one request of a workspace. A workspace without a
// contract is not limited until a policy names it.
func (a *Apportioner) Admit(workspace string) Decision {
	now := a.clock.Now()
	reach := a.reachability(now)
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[workspace]
	if !ok || b.contract.Rate <= 0 {
		return Decision{Admitted: true}
	}
	return b.admit(reach, now)
}

// Report returns the usage of the workspaces that sent requests to this instance
// within reportRetention. The usage of other workspaces has not changed.
func (a *Apportioner) Report() []Usage {
	now := a.clock.Now()
	reach := a.reachability(now)
	var usages []Usage
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for workspace, b := range s.buckets {
			if b.contract.Rate > 0 && now.Sub(b.lastRequestAt) < reportRetention {
				b.advance(reach, now)
				usages = append(usages, Usage{Workspace: workspace, Admitted: b.admitted, Demand: float32(b.demand), Level: float32(b.level)})
			}
		}
		s.mu.Unlock()
	}
	return usages
}

// aggregateID identifies the instances whose reports arrive combined.
const aggregateID = ""

// ApplyAggregateReport applies the combined usage of several instances of a large
// fleet, as reported by one instance.
func (a *Apportioner) ApplyAggregateReport(instances int, usages []Usage) {
	now := a.clock.Now()
	a.mu.Lock()
	a.aggregateSize = instances
	newSession := a.aggregate.recordReport(now)
	sessions := a.aggregate.sessions
	a.mu.Unlock()
	a.applyReport(aggregateID, usages, sessions, newSession, now)
}

// ApplyReport applies the report of a peer. The usage of workspaces that it does
// not name has not changed.
func (a *Apportioner) ApplyReport(id string, usages []Usage) {
	now := a.clock.Now()
	sessions, newSession := a.recordReport(id, now)
	a.applyReport(id, usages, sessions, newSession, now)
}

func (a *Apportioner) applyReport(id string, usages []Usage, sessions int, newSession bool, now time.Time) {
	reach := a.reachability(now)
	for _, u := range usages {
		s := a.shard(u.Workspace)
		s.mu.Lock()
		if b, ok := s.buckets[u.Workspace]; ok {
			b.applyReport(id, u, sessions, newSession, reach, now)
		}
		s.mu.Unlock()
	}
	for i := range a.shards {
		a.shards[i].grant(reach, now)
	}
}

// recordReport records the time of a report. It returns the number of sessions of
// the peer, zero for an instance that is no member, and whether a session has just
// begun.
func (a *Apportioner) recordReport(id string, now time.Time) (sessions int, newSession bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, member := a.peers[id]
	if !member {
		return 0, false
	}
	newSession = p.recordReport(now)
	return p.sessions, newSession
}

func (p *peer) recordReport(now time.Time) (newSession bool) {
	newSession = p.sessions == 0 || now.Sub(p.lastReportAt) >= peerTimeout
	if newSession {
		p.sessions++
	}
	p.lastReportAt = now
	return newSession
}

// grant grants tokens to the workspaces that sent requests within reportRetention.
func (s *shard) grant(reach reachability, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		if now.Sub(b.lastRequestAt) < reportRetention {
			b.grant(reach, now)
		}
	}
}
