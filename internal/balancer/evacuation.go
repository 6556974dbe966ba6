package balancer

import "github.com/ansel1/merry/v2"

// ErrEvacuated means that the servers that could take the work belong to evacuated
// failure domains.
var ErrEvacuated = merry.Sentinel("the failure domains of the backend servers are evacuated")

// Evacuations knows which failure domains are evacuated. *evacuator.Evacuator implements
// it.
type Evacuations interface {
	// Evacuated reports whether no request may be sent to the servers of a domain.
	Evacuated(domain string) bool
	// RecordDenied counts work that was denied, by the path that it took.
	RecordDenied(path string)
}

// The paths of work that RecordDenied counts.
const (
	DeniedOnline  = "online"  // The placement of an online request.
	DeniedBatch   = "batch"   // A search for a server for a batch item; a waiting item is counted repeatedly.
	DeniedAttempt = "attempt" // An attempt whose domain was evacuated after the placement.
	DeniedPeer    = "peer"    // An attempt for a peer.
)

// A DomainLoad is the number of servers of a failure domain, and the work of this
// instance that runs there.
type DomainLoad struct {
	Servers int
	Running Load
}

// isEvacuated reports whether the balancer may place no work in a failure domain.
func (c Config) isEvacuated(domain string) bool {
	return c.Evacuations != nil && c.Evacuations.Evacuated(domain)
}

// EvacuationsChanged applies a change of the evacuations. After it has returned, no work
// is placed on the servers of evacuated domains.
func (b *Balancer) EvacuationsChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		p.markEvacuated(b.cfg)
		p.assignPreferred(b.cfg, b.position)
	}
}

func (p *pool) markEvacuated(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.order {
		s.evacuated = cfg.isEvacuated(s.FailureDomain)
	}
	p.rebuildIndex()
	p.signalCapacity()
}

// DomainLoad returns the servers of a failure domain and the work of this instance that
// runs there.
func (b *Balancer) DomainLoad(domain string) (l DomainLoad) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.order {
			if s.FailureDomain == domain {
				l.Servers++
				l.Running.Online += s.local.Online
				l.Running.Batch += s.local.Batch
			}
		}
		p.mu.Unlock()
	}
	return l
}

// FailureDomainOf returns the failure domain of a server, if it is listed.
func (b *Balancer) FailureDomainOf(service, server string) (domain string, listed bool) {
	p := b.pool(service)
	if p == nil {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return "", false
	}
	return s.FailureDomain, true
}

// absenceError returns why no server could be chosen. The caller holds p.mu.
func (p *pool) absenceError(q Query, cfg Config) error {
	for _, s := range p.order {
		if !s.evacuated || !s.takes(q) {
			continue
		}
		path := DeniedOnline
		if q.Class == Batch {
			path = DeniedBatch
		}
		cfg.Evacuations.RecordDenied(path)
		return ErrEvacuated
	}
	return ErrNoServer
}
