package balancer

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// cutOffServers is the number of servers to which connections fail one after the
	// other, while none is opened, from which on the instance counts as cut off from a
	// service. Two are enough if the service has no more, and one never is.
	cutOffServers, minCutOffServers = 3, 2
	// cutOffProbes is the number of servers that are probed every probeRetryDelay while
	// the instance is cut off from their service and peers take its work, so that many
	// instances do not probe every server.
	cutOffProbes = 3
	// maxProbesPerInterval limits the probes of one service in each probeInterval.
	maxProbesPerInterval = 16
)

// A ServiceReach says whether an instance reaches the servers of a service.
type ServiceReach struct {
	_       struct{} `cbor:",toarray"`
	Service string
	CutOff  bool  // No connection to a server can be opened.
	AgeMs   int64 // Time since a server was last reached; negative if none ever was.
}

// Peers knows which peers reach the servers of a service. *tunneler.Tunneler implements
// it.
type Peers interface {
	// TakesWork reports whether a peer may pass work to the servers of a service on.
	TakesWork(service string) bool
	// ReachedSince reports whether a peer has reached a server of a service since t.
	ReachedSince(service string, t time.Time) bool
	// ShareWait returns the time until one of the holders may make an attempt at a server in
	// its part of the server's limit; zero if one may have room now.
	ShareWait(service, server string, holders []string) time.Duration
}

// A reachState is the state of a pool that tells a cut between this instance and the servers
// from trouble of single servers.
type reachState struct {
	reachedAt time.Time // When a server last answered, or a connection to one was opened; zero if never.
	// failed are the servers that became unreachable since a connection was last opened.
	failed      map[string]bool
	firstFailed time.Time // When the first of failed became unreachable.
	cutOff      bool
	nextProbes  time.Time // When the next servers are probed while cutOff and peers take work.
}

// RecordDial records an attempt to connect to the server at an address, other than a
// probe, for work of this instance or of a peer.
func (b *Balancer) RecordDial(address string, err error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	now := b.cfg.Clock.Now()
	for _, p := range b.pools {
		p.recordDial(address, err, now, b.cfg)
	}
	if err != nil {
		b.wakeProber()
	}
}

func (p *pool) recordDial(address string, err error, now time.Time, cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.order, func(s *server) bool { return s.Address == address })
	switch {
	case i < 0:
	case err != nil:
		p.recordFailedDial(p.order[i], now, cfg)
		p.notifyQueue()
	default:
		p.recordConnected(p.order[i].Service, now, cfg)
		cfg.recordReach(p.order[i], true)
		p.notifyQueue()
	}
}

// recordFailedDial records that work found a server unreachable, unless that is known.
// The caller holds p.mu.
func (p *pool) recordFailedDial(s *server, now time.Time, cfg Config) {
	if s.health.unreachable && !s.health.presumed {
		return
	}
	p.recordUnreachable(s, now, cfg)
	marked := p.scheduleDomainProbes(s.FailureDomain, now)
	cfg.Logger.WithFields(logrus.Fields{
		"backend-server": s.ID, "failure-domain": s.FailureDomain, "outcome": OutcomeUnreachable, "suspected": true, "probed-with-it": marked,
	}).Info("belief about a backend server changed")
}

// recordConnected records that a connection to a server was opened. The caller holds
// p.mu.
func (p *pool) recordConnected(service string, now time.Time, cfg Config) {
	p.reach.reachedAt = now
	clear(p.reach.failed)
	if !p.reach.cutOff {
		return
	}
	if p.onlyCutOffHere(service, cfg.Peers) {
		p.forgetCrashes(p.reach.firstFailed.Add(-crashNotice))
		p.forgetUnreachable(cfg)
	}
	p.reach.cutOff = false
	cfg.Logger.WithFields(logrus.Fields{"service": service, "cut-off-ms": now.Sub(p.reach.firstFailed).Milliseconds()}).
		Info("backend servers of the service are in reach again")
}

// recordUnreachable records that no connection to a server could be opened. After the
// first failure a few other servers are due for a probe. The caller holds p.mu.
func (p *pool) recordUnreachable(s *server, now time.Time, cfg Config) {
	cfg.recordReach(s, false)
	known := s.health.unreachable && !s.health.presumed
	s.health.unreachable, s.health.presumed, s.health.sample = true, false, false
	s.health.nextProbeAt = now.Add(probeRetryDelay)
	s.health.signalChange()
	if known || p.reach.cutOff {
		return // It says nothing about the other servers.
	}
	if len(p.reach.failed) == 0 {
		p.reach.failed = map[string]bool{}
		p.reach.firstFailed = now
		p.scheduleSample(s)
	}
	p.reach.failed[s.ID] = true
	if len(p.reach.failed) < cutOffServers && (len(p.order) < minCutOffServers || p.anyReachable()) {
		return
	}
	p.reach.cutOff = true
	p.reach.nextProbes = now.Add(probeRetryDelay)
	cfg.Logger.WithFields(logrus.Fields{
		"service": s.Service, "failed": len(p.reach.failed), "after-ms": now.Sub(p.reach.firstFailed).Milliseconds(),
		"peer-takes-work": cfg.Peers != nil && cfg.Peers.TakesWork(s.Service),
	}).Warn("cut off from the backend servers of the service")
}

// anyReachable reports whether a server was not found unreachable.
func (p *pool) anyReachable() bool {
	return slices.ContainsFunc(p.order, func(s *server) bool { return !s.Leaving && (!s.health.unreachable || s.health.presumed) })
}

// scheduleSample marks up to cutOffServers-1 other servers for a probe, of other failure
// domains if possible.
func (p *pool) scheduleSample(failed *server) {
	left := cutOffServers - 1
	for _, sameDomain := range []bool{false, true} {
		for _, s := range p.order {
			if left == 0 {
				return
			}
			if s != failed && !s.health.unreachable && (s.FailureDomain == failed.FailureDomain) == sameDomain {
				s.health.sample = true
				left--
			}
		}
	}
}

// forgetCrashes forgets crashes that probes have found since a time, because what failed
// was the way to the servers.
func (p *pool) forgetCrashes(since time.Time) {
	for _, s := range p.order {
		s.refusedAt = time.Time{}
		if !s.crashedAt.Before(since) {
			s.crashedAt = time.Time{}
		}
	}
}

// CutOff reports whether no connection to a server of the service can be opened from
// here.
func (b *Balancer) CutOff(service string) bool {
	p := b.pool(service)
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cutOff
}

// ServiceReaches returns for each service with servers whether this instance reaches them.
func (b *Balancer) ServiceReaches() (reaches []ServiceReach) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	now := b.cfg.Clock.Now()
	for service, p := range b.pools {
		p.mu.Lock()
		if len(p.order) > 0 {
			r := ServiceReach{Service: service, CutOff: p.reach.cutOff, AgeMs: -1}
			if !p.reach.reachedAt.IsZero() {
				r.AgeMs = now.Sub(p.reach.reachedAt).Milliseconds()
			}
			reaches = append(reaches, r)
		}
		p.mu.Unlock()
	}
	return reaches
}

// CutOffFromAll reports whether the instance is cut off from all services that have
// servers.
func (b *Balancer) CutOffFromAll() bool {
	reaches := b.ServiceReaches()
	for _, r := range reaches {
		if !r.CutOff {
			return false
		}
	}
	return len(reaches) > 0
}

// onlyCutOffHere reports whether the instance is cut off and a peer reaches the servers,
// so that what fails here says nothing about them. The caller holds p.mu.
func (p *pool) onlyCutOffHere(service string, peers Peers) bool {
	return p.reach.cutOff && peers != nil && peers.ReachedSince(service, p.reach.firstFailed)
}
