package balancer

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const (
	// probeInterval is the time between two checks for servers to probe.
	probeInterval = 100 * time.Millisecond
	// domainProbeThreshold is the number of unreachable servers of one failure
	// domain at which its other servers are probed before they are used again.
	domainProbeThreshold = 2
)

// ErrRefused is returned by a Probe when the machine of the server is in reach and
// refuses the connection.
var ErrRefused = merry.Sentinel("the backend server refuses connections")

// A Probe checks whether a server is reachable. A nil error means that it is.
type Probe interface {
	Probe(ctx context.Context, b Backend) error
}

// Start probes servers that are unreachable or dropped a request until the context
// ends, so that no request is spent on testing whether they have recovered.
func (b *Balancer) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		for ctx.Err() == nil {
			for _, s := range b.dueProbes() {
				group.Go(func() { b.probe(ctx, s) })
			}
			b.waitProbeInterval(ctx)
		}
		ended <- nil
	})
	return ended
}

func (b *Balancer) waitProbeInterval(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.cfg.Clock.After(probeInterval):
	case <-b.probesDue:
	}
}

// wakeProber starts the probes that are due without waiting for the next check.
func (b *Balancer) wakeProber() {
	select {
	case b.probesDue <- struct{}{}:
	default:
	}
}

// A dueProbe is a server that is due for a probe.
type dueProbe struct {
	pool    *pool
	server  *server
	backend Backend
}

func (b *Balancer) dueProbes() (due []dueProbe) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	now := b.cfg.Clock.Now()
	for _, p := range b.pools {
		due = p.appendDueProbes(due, now, b.cfg.Peers)
	}
	return due
}

// appendDueProbes appends the servers that are due, those that have waited longest first
// and only a few of them at a time: fewer while peers serve the callers of an instance
// that is cut off, and may be many. Any server may show that the cut has ended.
func (p *pool) appendDueProbes(due []dueProbe, now time.Time, peers Peers) []dueProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.order) == 0 {
		return due
	}
	limit := maxProbesPerInterval
	if p.reach.cutOff && peers != nil && peers.TakesWork(p.order[0].Service) {
		if now.Before(p.reach.nextProbes) {
			return due
		}
		p.reach.nextProbes = now.Add(probeRetryDelay)
		limit = cutOffProbes
	}
	var waiting []*server
	for _, s := range p.order {
		if s.health.probeDue(now, p.reach.cutOff) {
			waiting = append(waiting, s)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *server) int { return a.health.nextProbeAt.Compare(b.health.nextProbeAt) })
	for _, s := range waiting[:min(len(waiting), limit)] {
		s.health.probing, s.health.sample = true, false
		due = append(due, dueProbe{pool: p, server: s, backend: s.Backend})
	}
	return due
}

func (b *Balancer) probe(ctx context.Context, d dueProbe) {
	startedAt := b.cfg.Clock.Now()
	err := b.cfg.Probe.Probe(ctx, d.backend)
	if ctx.Err() != nil {
		return
	}
	d.pool.mu.Lock()
	wasUnreachable := d.server.health.unreachable
	now := b.cfg.Clock.Now()
	if err == nil {
		d.pool.recordConnected(d.backend.Service, now, b.cfg)
		b.cfg.recordReach(d.server, true)
	} else {
		d.pool.recordUnreachable(d.server, now, b.cfg)
	}
	crashed := d.server.recordProbe(err, startedAt, now)
	d.pool.signalCapacity()
	d.pool.mu.Unlock()
	logger := b.cfg.Logger.WithFields(logrus.Fields{"backend-server": d.backend.ID, "failure-domain": d.backend.FailureDomain})
	switch {
	case crashed:
		logger.Info("backend server has crashed")
	case err == nil && wasUnreachable:
		logger.Info("backend server is reachable again")
	}
}

// scheduleDomainProbes marks all servers of a failure domain for a probe once
// domainProbeThreshold of them are unreachable: the domain is probably partitioned,
// and each request sent to another of its servers would be late. The caller holds
// p.mu.
func (p *pool) scheduleDomainProbes(domain string, now time.Time) (marked int) {
	unreachable := 0
	for _, s := range p.order {
		if s.FailureDomain == domain && s.health.unreachable {
			unreachable++
		}
	}
	if unreachable != domainProbeThreshold {
		return 0
	}
	for _, s := range p.order {
		if s.FailureDomain == domain && !s.health.unreachable {
			s.health.unreachable, s.health.presumed = true, true
			s.health.nextProbeAt = now
			s.health.signalChange()
			marked++
		}
	}
	return marked
}
