package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/apportioner"
	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
)

// otherCellsID identifies the load of all other cells at the balancer.
const otherCellsID = "rest of the fleet"

// A Summary aggregates the reports of several instances.
type Summary struct {
	Instances int                   `cbor:"instances"` // Number of instances with a report within peerTimeout.
	Loads     []balancer.ServerLoad `cbor:"loads"`
	Usages    []apportioner.Usage   `cbor:"usages"`
	// Owners are the owners of jobs that have recently changed. Earlier builds report none.
	Owners []JobOwner `cbor:"owners,omitempty"`
}

// A JobOwner is the instance that owns a job.
type JobOwner struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Owner string
}

func ownersOf(owner string, jobs []string) (owners []JobOwner) {
	for _, job := range jobs {
		owners = append(owners, JobOwner{Job: job, Owner: owner})
	}
	return owners
}

// summarize adds up the last reports of peers and the instance's own summary.
// Requests admitted by silent peers still count, so that sums never decrease. Levels
// are left out because they are older than the sums.
func (g *Gossiper) summarize(ids []string, own Summary) Summary {
	now := g.cfg.Clock.Now()
	loads := map[string]balancer.Load{}
	usages := map[string]apportioner.Usage{}
	s := Summary{}
	add := func(r Summary, active bool) {
		for _, u := range r.Usages {
			sum := usages[u.Workspace]
			sum.Workspace = u.Workspace
			sum.Admitted += u.Admitted
			if active {
				sum.Demand += u.Demand
			}
			usages[u.Workspace] = sum
		}
		if !active {
			return
		}
		s.Instances += r.Instances
		s.Owners = append(s.Owners, r.Owners...)
		for _, l := range r.Loads {
			sum := loads[l.Server]
			sum.Online += l.Load.Online
			sum.Batch += l.Load.Batch
			loads[l.Server] = sum
		}
	}
	g.mu.Lock()
	for _, id := range ids {
		if p := g.peers[id]; p != nil && p.summary.Instances > 0 {
			add(p.summary, now.Sub(p.summaryAt) < peerTimeout)
		}
	}
	g.mu.Unlock()
	add(own, true)
	for server, load := range loads {
		s.Loads = append(s.Loads, balancer.ServerLoad{Server: server, Load: load})
	}
	slices.SortFunc(s.Loads, func(a, b balancer.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	for _, u := range usages {
		s.Usages = append(s.Usages, u)
	}
	return s
}

// updateSummary stores what a report says about the peer or, if it aggregates a cell,
// about the cell. Usages that are missing in the report have not changed.
func (p *peer) updateSummary(id string, r Report) {
	next := Summary{Instances: 1, Loads: r.Loads, Usages: r.Usages, Owners: ownersOf(id, r.Jobs)}
	if r.Cell != nil {
		next = *r.Cell
	}
	next.Usages = mergeUsages(next.Usages, p.summary.Usages)
	p.summary = next
}

func compareUsages(a, b apportioner.Usage) int { return cmp.Compare(a.Workspace, b.Workspace) }

// mergeUsages returns usages and those known ones whose workspaces they lack, without
// demand, sorted by workspace. The known ones are sorted. The result shares no memory with
// usages, which may be in a report that is being encoded.
func mergeUsages(usages, known []apportioner.Usage) []apportioner.Usage {
	usages = slices.SortedStableFunc(slices.Values(usages), compareUsages)
	merged := make([]apportioner.Usage, 0, max(len(usages), len(known)))
	for _, k := range known {
		for len(usages) > 0 && usages[0].Workspace < k.Workspace {
			merged = append(merged, usages[0])
			usages = usages[1:]
		}
		if len(usages) == 0 || usages[0].Workspace != k.Workspace {
			k.Demand = 0
			merged = append(merged, k)
		}
	}
	return append(merged, usages...)
}

// addAggregates adds what an aggregator reports: its own cell to other aggregators,
// and all other cells to the members of its own cell that are no aggregators.
func (g *Gossiper) addAggregates(r *Report, peer string) {
	cell := g.Cell()
	switch {
	case slices.Contains(cell.OtherAggregators, peer):
		g.mu.Lock()
		g.self.updateSummary(g.cfg.Self.ID, *r)
		own, declined := g.self.summary, g.declined(peer)
		g.mu.Unlock()
		if declined {
			r.Loads, r.Usages = nil, nil
			return
		}
		r.Cell = g.ownCellSummary(cell, own)
		r.Loads, r.Usages = nil, nil // They are in the aggregate, which all builds use instead.
	case len(cell.OtherAggregators) > 0 && !slices.Contains(cell.Aggregators, peer):
		g.mu.Lock()
		declined := g.declined(peer)
		g.mu.Unlock()
		if declined {
			return
		}
		r.OtherCells = g.otherCellsSummary(cell)
	}
}

// An aggregate is a summary that is sent to several peers. It is replaced, never changed.
type aggregate struct {
	madeAt  time.Time // Zero if there is none.
	summary *Summary
}

// ownCellSummary returns the aggregate of the own cell.
func (g *Gossiper) ownCellSummary(cell enroller.Cell, own Summary) *Summary {
	return g.recentSummary(&g.ownCell, func() Summary { return g.summarize(cell.Members, own) })
}

// otherCellsSummary returns the aggregate of all other cells.
func (g *Gossiper) otherCellsSummary(cell enroller.Cell) *Summary {
	return g.recentSummary(&g.otherCells, func() Summary {
		return g.summarize(g.activeAggregators(cell.OtherAggregators), Summary{})
	})
}

// recentSummary returns an aggregate. It replaces one that is older than aggregateAge.
func (g *Gossiper) recentSummary(a *aggregate, summarize func() Summary) *Summary {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	recent := *a
	g.mu.Unlock()
	if !recent.madeAt.IsZero() && now.Sub(recent.madeAt) < aggregateAge {
		return recent.summary
	}
	s := summarize()
	g.mu.Lock()
	defer g.mu.Unlock()
	*a = aggregate{madeAt: now, summary: &s}
	return &s
}

// declined reports whether a peer wants no aggregate. The caller holds g.mu.
func (g *Gossiper) declined(peer string) bool {
	p := g.peers[peer]
	return p != nil && p.declines
}

// recordDeclines records whether the sender of a report wants an aggregate in the answer.
func (g *Gossiper) recordDeclines(sender string, r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[sender]; p != nil && (p.incarnation != r.Incarnation || r.Sequence > p.sequence) {
		p.declines = r.Declines
	}
}

// spread returns aggregators in the order in which this instance prefers those of one cell,
// which differs between instances, so that the aggregators of a cell share the work.
func (g *Gossiper) spread(aggregators []string) []string {
	hash := func(id string) uint64 { return xxhash.Sum64String(g.cfg.Self.ID + "\x00" + id) }
	return slices.SortedFunc(slices.Values(aggregators), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
}

// declinesFrom reports whether the aggregates of a peer are needless, because another
// aggregator of the same cell comes before it and has sent its own within declineTime.
func (g *Gossiper) declinesFrom(id string) bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[id]
	if p == nil {
		return false
	}
	served := func(aggregators []string, serves func(other *peer) bool) bool {
		for _, before := range aggregators[:max(slices.Index(aggregators, id), 0)] {
			if other := g.peers[before]; other != nil && serves(other) {
				return true
			}
		}
		return false
	}
	if len(g.cell.OtherAggregators) == 0 {
		return served(g.cell.Aggregators, func(other *peer) bool { return now.Sub(other.otherCellsAt) < declineTime })
	}
	return p.cell != "" && served(g.cell.OtherAggregators, func(other *peer) bool {
		return other.cell == p.cell && other.summary.Instances > 0 && now.Sub(other.summaryAt) < declineTime
	})
}

// shareSummary replaces the summaries of the other aggregators of a peer's cell that this
// instance declines by that of the peer. Should the peer leave, the sums of its cell must
// not fall back to what another aggregator sent long ago. The caller holds g.mu.
func (g *Gossiper) shareSummary(p *peer) {
	for _, id := range g.cell.OtherAggregators {
		other := g.peers[id]
		if other != nil && other != p && other.cell == p.cell && p.summaryAt.Sub(other.summaryAt) > declineTime {
			other.summary = p.summary
		}
	}
}

// activeAggregators returns one aggregator of each other cell, so that no cell counts
// twice: the first one heard within peerTimeout, or else the first one ever heard.
func (g *Gossiper) activeAggregators(aggregators []string) []string {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	active, known := map[string]string{}, map[string]string{} // IDs by cell.
	for _, id := range aggregators {
		p := g.peers[id]
		if p == nil || p.summary.Instances == 0 {
			continue
		}
		if known[p.cell] == "" {
			known[p.cell] = id
		}
		if active[p.cell] == "" && now.Sub(p.summaryAt) < peerTimeout {
			active[p.cell] = id
		}
	}
	maps.Copy(known, active)
	return slices.Collect(maps.Values(known))
}

// applyOtherCells applies the aggregate of all other cells, which an aggregator
// computes itself and other instances receive from one.
func (g *Gossiper) applyOtherCells(s Summary) {
	g.mu.Lock()
	g.otherCellsAt = g.cfg.Clock.Now()
	g.mu.Unlock()
	g.cfg.Balancer.SetPeerLoads(otherCellsID, s.Loads)
	g.cfg.Quotas.ApplyAggregateReport(s.Instances, s.Usages)
	for _, o := range s.Owners {
		g.cfg.JobOwners.RecordOwner(o.Owner, []string{o.Job})
	}
}

// acceptsAggregatesFrom reports whether the peer is the aggregator whose aggregates
// this instance uses: the first one of its cell heard within peerTimeout. An
// aggregator uses no other aggregator of its cell.
func (g *Gossiper) acceptsAggregatesFrom(id string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.cell.OtherAggregators) > 0 {
		return false
	}
	for _, aggregator := range g.cell.Aggregators {
		if aggregator == id {
			return true
		}
		if p := g.peers[aggregator]; p != nil && now.Sub(p.lastReportAt) < peerTimeout {
			return false
		}
	}
	return false
}
