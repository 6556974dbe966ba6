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
	// usedUntil is when its parts of the limits of servers have room again, by server.
	usedUntil map[string]time.Time
}

func newPeers(domain string) *peers {
	return &peers{domain: domain, known: map[string]*peer{}}
}

func (ps *peers) set(members []enroller.Member) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	known := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Leaving {
			continue
		}
		known[m.ID] = ps.known[m.ID]
		if known[m.ID] == nil {
			known[m.ID] = &peer{id: m.ID, reachedAt: map[string]time.Time{}, usedUntil: map[string]time.Time{}}
		}
		known[m.ID].domain = m.FailureDomain
	}
	ps.known = known
}

func (ps *peers) applyReaches(id string, reaches []balancer.ServiceReach, now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.known[id]
	if p == nil {
		return
	}
	p.reportedAt = now
	p.cutOff = map[string]bool{}
	for _, r := range reaches {
		p.cutOff[r.Service] = r.CutOff
		if r.AgeMs >= 0 {
			p.reachedAt[r.Service] = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		}
	}
}

// recordAnswer records that a server has answered through a peer.
func (ps *peers) recordAnswer(id, service string, now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.known[id]; p != nil {
		p.reachedAt[service] = now
	}
}

// reachedSince reports whether a peer has reached a server of the service since t.
func (ps *peers) reachedSince(service string, t time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.known {
		if p.reachedAt[service].After(t) {
			return true
		}
	}
	return false
}

// takesWork reports whether a peer may pass work on.
func (ps *peers) takesWork(service string, now time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.known {
		if p.reports(now) && !p.cutOff[service] && p.isFree(now) || ps.isUnknown(p) && p.isFree(now) {
			return true
		}
	}
	return false
}

func (p *peer) reports(now time.Time) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < reportTimeout
}

func (p *peer) isFree(now time.Time) bool {
	return !now.Before(p.avoidUntil) && p.inFlight < maxInFlight
}

// isUnknown reports whether a peer sends no reports to this instance, but may reach the
// servers: it belongs to another failure domain.
func (ps *peers) isUnknown(p *peer) bool { return p.reportedAt.IsZero() && p.domain != ps.domain }

// take chooses a peer that has not been tried and counts a request on it. Peers that
// report that they are not cut off come first. It returns "" if there is none.
func (ps *peers) take(service string, tried []string, now time.Time) string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var best *peer
	bestCost := 0.0
	for _, reporting := range []bool{true, false} {
		for _, p := range ps.known {
			if slices.Contains(tried, p.id) || !p.isFree(now) {
				continue
			}
			if reporting && (!p.reports(now) || p.cutOff[service]) || !reporting && !ps.isUnknown(p) {
				continue
			}
			cost := float64(p.inFlight) + rand.Float64()
			if p.domain != ps.domain {
				cost += otherDomainCost
			}
			if best == nil || cost < bestCost {
				best, bestCost = p, cost
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
func (ps *peers) release(id string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.known[id]; p != nil && p.inFlight > 0 {
		p.inFlight--
	}
}

func (ps *peers) avoid(id string, now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.known[id]; p != nil {
		p.avoidUntil = now.Add(avoidTime)
	}
}
