package balancer

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

const (
	// leaverRetention is how long a server that says that it is shutting down gets no
	// work, should it stay in the list.
	leaverRetention = 10 * time.Minute
	// leaverReportTime is how long it is reported to peers.
	leaverReportTime = 30 * time.Second
)

// RecordLeaving records servers that say that they are shutting down. They get no new
// work, whatever the list says, until they have started again.
func (b *Balancer) RecordLeaving(servers ...throttler.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	for _, s := range servers {
		if _, known := b.leavers[s]; known {
			continue
		}
		b.leavers[s] = now
		b.cfg.Logger.WithField("backend-server", s.ID).Info("backend server says that it leaves")
		for _, p := range b.pools {
			p.markLeaving(s)
		}
	}
}

func (p *pool) markLeaving(server throttler.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server.ID]; s != nil && s.StartedAt == server.StartedAt {
		s.Leaving = true
		p.index.eligible.set(s.position, false)
		p.notifyQueue()
	}
}

// Leavers returns the servers that said within leaverReportTime that they are shutting
// down, for the report to peers.
func (b *Balancer) Leavers() (servers []throttler.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	for s, at := range b.leavers {
		switch age := now.Sub(at); {
		case age > leaverRetention:
			delete(b.leavers, s)
		case age < leaverReportTime:
			servers = append(servers, s)
		}
	}
	return servers
}
