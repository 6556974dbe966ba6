package balancer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const (
	// probeRound is the time between two looks for servers to probe.
	probeRound = 100 * time.Millisecond
	// domainSuspicion is the number of unreachable servers of one failure domain
	// from which on its other servers are probed before they are used again.
	domainSuspicion = 2
)

// A Probe tries to reach a server. Nil means that it was reached.
type Probe interface {
	Probe(ctx context.Context, b Backend) error
}

// Start probes unreachable servers until the context ends, so that no request
// has to find out that they are back.
func (b *Balancer) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		for ctx.Err() == nil {
			for _, s := range b.dueProbes() {
				group.Go(func() { b.probe(ctx, s) })
			}
			b.pause(ctx)
		}
		ended <- nil
	})
	return ended
}

func (b *Balancer) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.cfg.Clock.After(probeRound):
	}
}

// A dueProbe is a server whose time has come.
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
		due = p.appendDue(due, now)
	}
	return due
}

func (p *pool) appendDue(due []dueProbe, now time.Time) []dueProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.order {
		if s.health.unreachable && !s.health.probing && !now.Before(s.health.probeAt) {
			s.health.probing = true
			due = append(due, dueProbe{pool: p, server: s, backend: s.Backend})
		}
	}
	return due
}

func (b *Balancer) probe(ctx context.Context, d dueProbe) {
	err := b.cfg.Probe.Probe(ctx, d.backend)
	if ctx.Err() != nil {
		return
	}
	d.pool.mu.Lock()
	d.server.health.probed(err == nil, b.cfg.Clock.Now())
	d.pool.signalRoom()
	d.pool.mu.Unlock()
	if err == nil {
		b.cfg.Logger.WithFields(logrus.Fields{"backend-server": d.backend.ID, "failure-domain": d.backend.FailureDomain}).Info("backend server reached again")
	}
}

// suspectDomain has all servers of a failure domain probed once several of them
// are unreachable: the way there is cut, and each request that finds out about
// another server of it would be late. The lock is held.
func (p *pool) suspectDomain(domain string, now time.Time) (suspected int) {
	unreachable := 0
	for _, s := range p.order {
		if s.FailureDomain == domain && s.health.unreachable {
			unreachable++
		}
	}
	if unreachable != domainSuspicion {
		return 0
	}
	for _, s := range p.order {
		if s.FailureDomain == domain && !s.health.unreachable {
			s.health.unreachable = true
			s.health.probeAt = now
			suspected++
		}
	}
	return suspected
}
