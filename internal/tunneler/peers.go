package tunneler

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
)

const (
	// reportTimeout is the age from which the report of a peer no longer counts. It is
	// three exchanges of reports.
	reportTimeout = time.Second
	// otherDomainCost is the cost of a peer in another failure domain, in requests under
	// way: its answers cross domains.
	otherDomainCost = 3
	// avoidTime is how long a peer that did not take a request is avoided.
	avoidTime = 500 * time.Millisecond
	// maxInFlight limits the requests under way through one peer. It leaves streams of
	// the link to other messages.
	maxInFlight = 384
)

// peers are the other instances, with what they report about the servers they reach.
type peers struct {
	mu     sync.Mutex
	domain string // Failure domain of this instance.
	known  map[string]*peer
}

// A peer is another instance.
type peer struct {
	id         string
	domain     string
	reportedAt time.Time            // Time of the last report; zero if none has come, as from other cells.
	cutOff     map[string]bool      // Services that it cannot connect to, by its last report.
	reachedAt  map[string]time.Time // When it last reached a server, by service.
	avoidUntil time.Time
	inFlight   int
}

func newPeers(domain string) *peers {
	return &peers{domain: domain, known: map[string]*peer{}}
}

func (p *peers) set(members []enroller.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Leaving {
			continue
		}
		known[m.ID] = p.known[m.ID]
		if known[m.ID] == nil {
			known[m.ID] = &peer{id: m.ID, reachedAt: map[string]time.Time{}}
		}
		known[m.ID].domain = m.FailureDomain
	}
	p.known = known
}

func (p *peers) applyReaches(id string, reaches []balancer.Reach, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[id]
	if k == nil {
		return
	}
	k.reportedAt = now
	k.cutOff = map[string]bool{}
	for _, r := range reaches {
		k.cutOff[r.Service] = r.CutOff
		if r.AgeMs >= 0 {
			k.reachedAt[r.Service] = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		}
	}
}

// recordAnswer records that a server has answered through a peer.
func (p *peers) recordAnswer(id, service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.known[id]; k != nil {
		k.reachedAt[service] = now
	}
}

// reachedSince reports whether a peer has reached a server of the service since t.
func (p *peers) reachedSince(service string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.known {
		if k.reachedAt[service].After(t) {
			return true
		}
	}
	return false
}

// takesWork reports whether a peer may pass work on.
func (p *peers) takesWork(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.known {
		if k.reports(now) && !k.cutOff[service] && k.isFree(now) || p.isUnknown(k) && k.isFree(now) {
			return true
		}
	}
	return false
}

func (k *peer) reports(now time.Time) bool {
	return !k.reportedAt.IsZero() && now.Sub(k.reportedAt) < reportTimeout
}

func (k *peer) isFree(now time.Time) bool {
	return !now.Before(k.avoidUntil) && k.inFlight < maxInFlight
}

// isUnknown reports whether a peer sends no reports to this instance, but may reach the
// servers: it belongs to another failure domain.
func (p *peers) isUnknown(k *peer) bool { return k.reportedAt.IsZero() && k.domain != p.domain }

// take chooses a peer that has not been tried and counts a request on it. Peers that
// report that they are not cut off come first. It returns "" if there is none.
func (p *peers) take(service string, tried []string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *peer
	bestCost := 0.0
	for _, reporting := range []bool{true, false} {
		for _, k := range p.known {
			if slices.Contains(tried, k.id) || !k.isFree(now) {
				continue
			}
			if reporting && (!k.reports(now) || k.cutOff[service]) || !reporting && !p.isUnknown(k) {
				continue
			}
			cost := float64(k.inFlight) + rand.Float64()
			if k.domain != p.domain {
				cost += otherDomainCost
			}
			if best == nil || cost < bestCost {
				best, bestCost = k, cost
			}
		}
		if best != nil {
			best.inFlight++
			return best.id
		}
	}
	return ""
}

// release ends a request that take has counted.
func (p *peers) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.known[id]; k != nil && k.inFlight > 0 {
		k.inFlight--
	}
}

func (p *peers) avoid(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.known[id]; k != nil {
		k.avoidUntil = now.Add(avoidTime)
	}
}
