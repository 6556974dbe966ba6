package balancer

import (
	"cmp"
	"slices"
)

// A peerReport is the report of load that was last applied to a pool.
type peerReport struct {
	loads    []ServerLoad // Sorted by server, each server once.
	installs int          // pool.installs at the time.
}

func compareLoads(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) }

// sortedLoads returns loads sorted by server. Of several entries of one server, the last
// one counts. Reports of this build are in this order already.
func sortedLoads(loads []ServerLoad) []ServerLoad {
	inOrder := true
	for i := 1; i < len(loads) && inOrder; i++ {
		inOrder = loads[i-1].Server < loads[i].Server
	}
	if inOrder {
		return loads
	}
	sorted := slices.Clone(loads)
	slices.SortStableFunc(sorted, compareLoads)
	last := 0
	for _, l := range sorted[1:] {
		if l.Server != sorted[last].Server {
			last++
		}
		sorted[last] = l
	}
	return sorted[:last+1]
}

// setPeerLoads applies a sorted report of a peer. It compares the report with the peer's
// last one and looks up only the servers whose load differs, except after a change of the
// list, when servers may have started without load.
func (p *pool) setPeerLoads(peer string, loads []ServerLoad) {
	var preempted []*Placement
	p.mu.Lock()
	last := p.reports[peer]
	changed, freed := false, false
	apply := func(id string, l Load) {
		s := p.servers[id]
		if s == nil || s.peers[peer] == l {
			return
		}
		online := s.onlineLoad()
		s.setPeerLoad(peer, l)
		p.indexLoad(s)
		changed = true
		freed = freed || s.onlineLoad() < online
	}
	next := loads
	for old := last.loads; len(old) > 0 || len(next) > 0; {
		switch {
		case len(next) == 0 || len(old) > 0 && old[0].Server < next[0].Server:
			apply(old[0].Server, Load{})
			old = old[1:]
			continue
		case len(old) == 0 || next[0].Server < old[0].Server:
			apply(next[0].Server, next[0].Load)
		default:
			if next[0].Load != old[0].Load || last.installs != p.installs {
				apply(next[0].Server, next[0].Load)
			}
			old = old[1:]
		}
		next = next[1:]
	}
	if len(loads) == 0 {
		delete(p.reports, peer)
	} else {
		p.reports[peer] = peerReport{loads: loads, installs: p.installs}
	}
	preempted = p.preemptShares(peer)
	p.signalLoads(changed, freed)
	p.mu.Unlock()
	for _, placement := range preempted {
		placement.signalPreemption()
	}
}

// preemptShares selects this instance's share of the batch work to preempt on the servers
// that a peer has reported load on.
func (p *pool) preemptShares(peer string) (preempted []*Placement) {
	for s := range p.withBatch {
		if len(s.batch) == 0 || p.servers[s.ID] != s {
			delete(p.withBatch, s)
			continue
		}
		if _, loaded := s.peers[peer]; loaded {
			preempted = append(preempted, s.preemptShare()...)
		}
	}
	return preempted
}

// signalLoads signals capacity after a report: to batch work if any load has changed, and
// to queued requests if that of online requests has become less on a server. Nothing else
// in a report gives a queued request a slot.
func (p *pool) signalLoads(changed, freed bool) {
	if freed {
		p.notifyQueue()
	}
	if changed {
		p.signalBatch()
	}
}

// setPeerLoad replaces the load that a peer puts on the server. A load of zero removes
// the peer.
func (s *server) setPeerLoad(peer string, l Load) {
	known := s.peers[peer]
	s.peerSum.Online += l.Online - known.Online
	s.peerSum.Batch += l.Batch - known.Batch
	if l == (Load{}) {
		delete(s.peers, peer)
		return
	}
	s.peers[peer] = l
}

// load returns the requests of all instances on the server, as known here.
func (s *server) load() int { return s.local.total() + s.peerSum.total() }

// onlineLoad returns the online requests of all instances on the server.
func (s *server) onlineLoad() int { return s.local.Online + s.peerSum.Online }
