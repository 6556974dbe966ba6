// Package gossiper exchanges reports between instances: what each one admitted and
// which load it puts on backend servers. It also fetches copies of store contents
// from peers that have newer ones.
package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/admitter"
	"github.com/quetzalhitch/quetzalhitch/internal/apportioner"
	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// minInterval is the time between two exchanges with a peer in a small fleet.
	minInterval = 150 * time.Millisecond
	// maxInterval allows two exchanges before a silent peer counts as cut off.
	maxInterval = 320 * time.Millisecond
	// peersPerInterval is the number of peers up to which the interval is minInterval.
	// Beyond it, the interval grows with the number of peers.
	peersPerInterval = 8
	// minCellInterval and peersPerCellInterval take their place in a fleet of cells: the
	// load of another cell comes in three hops, and instances that know it late overload
	// the servers that were last known to be free.
	minCellInterval      = 120 * time.Millisecond
	peersPerCellInterval = 12
	// minReportInterval is the minimum time between two extra exchanges with a peer
	// that are made by ReportTo.
	minReportInterval = 25 * time.Millisecond
	exchangeTimeout   = 400 * time.Millisecond
	// fallbackCallDelay is the silence after which an instance calls a peer that should
	// call it, and the time between two such calls. The peer may not know about this
	// instance.
	fallbackCallDelay = time.Second
	// peerTimeout is the silence after which a peer no longer counts as following the
	// store for others. It is three exchanges.
	peerTimeout = time.Second
	// aggregateAge is the age up to which an aggregate is sent to several peers. An
	// aggregator of 22 cells has some 58 peers and an exchange every 6 ms. The load of
	// another cell becomes that much older twice.
	aggregateAge = 20 * time.Millisecond
	// declineTime is how long an aggregate from one aggregator makes those of others
	// needless. It allows one lost exchange, and is less than peerTimeout by one, so that
	// another aggregate arrives before the last one counts as too old.
	declineTime = 660 * time.Millisecond
	// loadLifetime is how long the load in a peer's last report counts.
	loadLifetime = 2 * time.Second
)

// A Report is the state that an instance sends to its peers.
type Report struct {
	Incarnation string `cbor:"incarnation"` // Incarnation of the instance.
	// Sequence grows with each report of an incarnation. A network cut can delay a
	// report for seconds; one with a lower sequence than the last is out of date.
	Sequence uint64 `cbor:"number"`

	Loads    []balancer.ServerLoad `cbor:"loads"`
	Usages   []apportioner.Usage   `cbor:"usages"`
	Versions map[string]int64      `cbor:"versions"` // Versions of the copies, by source name.
	Changes  map[string]int64      `cbor:"changes"`  // Version of the last change in each copy, by source name.
	Jobs     []string              `cbor:"jobs"`     // IDs of jobs that the instance has recently taken ownership of.
	// Waiting are the tokens of the batch items of the instance's jobs that have no
	// result, on routes that limit them; never nil.
	Waiting []admitter.Waiting `cbor:"waiting"`
	// Suspects are the parts of prompts that may crash servers, as the instance knows.
	Suspects []retrier.PartReport `cbor:"suspects,omitempty"`
	// Limits are the limits that backend servers state, as the instance knows.
	Limits []throttler.Report `cbor:"limits,omitempty"`
	// Leavers are the backend servers that say that they are shutting down, as the
	// instance knows.
	Leavers []throttler.Server `cbor:"leavers,omitempty"`
	// Reaches says for each service whether the instance reaches its servers.
	Reaches []balancer.ServiceReach `cbor:"reaches,omitempty"`
	// Connected reports whether the instance reads its copies from the store itself.
	Connected bool `cbor:"connected"`

	// Cell aggregates the sender's cell; only set between aggregators of two cells.
	Cell *Summary `cbor:"cell,omitempty"`
	// CellName is the name of the instance's cell; empty in a small fleet.
	CellName string `cbor:"cell-name,omitempty"`
	// OtherCells aggregates all other cells; only set by an aggregator for its own
	// cell.
	OtherCells *Summary `cbor:"rest,omitempty"`
	// Declines means that the sender uses the aggregates of another aggregator than the
	// receiver, which may leave out its own. Earlier builds send them nevertheless.
	Declines bool `cbor:"declines,omitempty"`
}

// Links are the links to the peers. *linker.Linker implements it.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// A Source keeps a local copy of the store's keys below one prefix.
type Source interface {
	Snapshot() follower.Snapshot
	OfferSnapshot(c follower.Snapshot) bool
	Version() int64
	ChangedAt() int64
	Connected() bool
	// ObservePeerVersion records the version of the last change that a peer knows of.
	ObservePeerVersion(changedAt int64)
}

// JobOwners tracks which instance owns which job.
type JobOwners interface {
	// NewlyOwnedJobs returns the IDs of the jobs that this instance has recently
	// taken ownership of.
	NewlyOwnedJobs() []string
	// RecordOwner records the owner of jobs.
	RecordOwner(owner string, jobs []string)
	// WaitingTokens returns the tokens that wait in the jobs of this instance.
	WaitingTokens() []admitter.Waiting
	// RecordWaiting records the tokens that wait in the jobs of an instance.
	RecordWaiting(owner string, waiting []admitter.Waiting)
}

// Suspects tracks the parts of prompts that may crash servers. *retrier.Parts
// implements it.
type Suspects interface {
	Report() []retrier.PartReport
	ApplyReports(reports []retrier.PartReport)
}

// Limits tracks the limits that backend servers state. *throttler.Throttler implements
// it.
type Limits interface {
	Report() []throttler.Report
	ApplyReports(peer, incarnation string, reports []throttler.Report)
}

// PeerReaches tracks which services the peers reach. *tunneler.Tunneler implements it.
type PeerReaches interface {
	ApplyReaches(peer string, reaches []balancer.ServiceReach)
}

// Config holds the dependencies of a gossiper.
type Config struct {
	Self      enroller.Member
	Links     Links
	Balancer  *balancer.Balancer
	Quotas    *apportioner.Apportioner
	Sources   map[string]Source // By name.
	OnReport  func(id string)   // Called for each accepted report of a peer.
	JobOwners JobOwners
	Suspects  Suspects
	Limits    Limits
	Reaches   PeerReaches
	Clock     storer.Clock
	Logger    logrus.FieldLogger
}

// A Gossiper exchanges reports with the peers.
type Gossiper struct {
	cfg Config

	mu           sync.Mutex
	cell         enroller.Cell
	peers        map[string]*peer      // By instance ID.
	self         peer                  // Own reports, for the aggregate of the cell.
	ownCell      aggregate             // Of the own cell; only at an aggregator.
	otherCells   aggregate             // Of all other cells; only at an aggregator.
	otherCellsAt time.Time             // Time of the last aggregate of the other cells; zero if their load is not counted.
	fetches      map[string]fetches    // Fetches of copies under way, by name of the source.
	sequence     uint64                // Sequence of the last own report.
	rounds       [peerGroups]time.Time // When the next exchanges with each group of peers are due.
	baseCtx      context.Context       // Context of all exchanges; nil before Start.
	group        conc.WaitGroup
}

// A peer is an instance that reports are exchanged with.
type peer struct {
	group        peerGroup
	lastReportAt time.Time
	loadCounted  bool // The balancer counts its load.
	reachable    bool // The last exchange succeeded.

	connected bool             // The peer reaches the store.
	changes   map[string]int64 // Version of the last change in each of its copies.

	reportedAt time.Time // Time of the last exchange made by ReportTo.

	calledAt time.Time // Time of the last fallback call.

	incarnation string // Incarnation in its last report.
	sequence    uint64 // Sequence of its last report.

	summary   Summary   // From its last reports; covers its cell if it is another cell's aggregator.
	summaryAt time.Time // When summary was last updated.
	cell      string    // Name of its cell.
	// otherCellsAt is when it last sent an aggregate of the other cells.
	otherCellsAt time.Time
	declines     bool // It wants no aggregate, as its last report says.
}

// New returns a gossiper and registers its message handlers. It must be called before
// the links start.
func New(cfg Config) *Gossiper {
	g := &Gossiper{cfg: cfg, peers: map[string]*peer{}, fetches: map[string]fetches{}}
	cfg.Links.Handle(linker.KindReport, linker.HandlerFunc(g.handleReport))
	cfg.Links.Handle(linker.KindCopy, linker.HandlerFunc(g.handleCopy))
	return g
}

// SetPeers sets the other instances of the fleet. Reports are exchanged with the
// instances of the same cell and, if this instance is an aggregator, with the
// aggregators of other cells.
func (g *Gossiper) SetPeers(members []enroller.Member) {
	cell := g.cfg.Self.Cell(members)
	cell.Aggregators, cell.OtherAggregators = g.spread(cell.Aggregators), g.spread(cell.OtherAggregators)
	ids := slices.Concat(cell.Members, cell.OtherAggregators)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cell = cell
	g.ownCell, g.otherCells = aggregate{}, aggregate{}
	peers := make(map[string]*peer, len(ids))
	for _, id := range ids {
		peers[id] = g.peers[id]
		if peers[id] == nil {
			peers[id] = &peer{}
		}
		peers[id].group = cellMembers
		delete(g.peers, id)
	}
	for _, id := range cell.OtherAggregators {
		peers[id].group = otherAggregators
	}
	for id, p := range g.peers {
		if p.loadCounted {
			g.cfg.Balancer.ForgetPeer(id)
		}
	}
	g.peers = peers
}

// Start exchanges reports until the context ends.
func (g *Gossiper) Start(ctx context.Context) <-chan error {
	g.mu.Lock()
	g.baseCtx = ctx
	g.mu.Unlock()
	ended := make(chan error, 1)
	var loop conc.WaitGroup
	loop.Go(func() {
		defer close(ended)
		for ctx.Err() == nil {
			interval := g.round(ctx)
			waiter.Pause(ctx, g.cfg.Clock, interval, nil)
		}
		g.group.Wait()
		ended <- nil
	})
	return ended
}

// A peerGroup is a group of peers with an interval of its own.
type peerGroup int

const (
	cellMembers peerGroup = iota
	otherAggregators
	peerGroups // Number of groups.
)

// claimRounds returns the groups of peers with which exchanges are due, and the time until
// the next ones. The caller holds g.mu.
func (g *Gossiper) claimRounds(now time.Time) (due [peerGroups]bool, next time.Duration) {
	interval := exchangeInterval
	if g.cell.Name != "" {
		interval = cellInterval
	}
	sizes := [peerGroups]int{cellMembers: len(g.cell.Members), otherAggregators: len(g.cell.OtherAggregators)}
	if sizes == [peerGroups]int{} {
		return due, minInterval
	}
	next = maxInterval
	for group, n := range sizes {
		if n == 0 {
			continue
		}
		if !now.Before(g.rounds[group]) {
			due[group] = true
			g.rounds[group] = now.Add(interval(n))
		}
		next = min(next, g.rounds[group].Sub(now))
	}
	return due, next
}

// exchangeInterval returns the time between two exchanges with each of a number of peers in
// a fleet of one cell.
func exchangeInterval(peers int) time.Duration {
	return min(max(minInterval, minInterval*time.Duration(peers)/peersPerInterval), maxInterval)
}

// cellInterval returns it for the members of a cell, and for the aggregators of the other
// cells.
func cellInterval(peers int) time.Duration {
	return min(max(minCellInterval, minInterval*time.Duration(peers)/peersPerCellInterval), maxInterval)
}

// round starts the exchanges that are due with the peers that this instance calls, and
// returns the time until the next round. Of two instances, the one with the lower ID calls
// the other; the other one calls only after it has not been called for
// fallbackCallDelay.
func (g *Gossiper) round(ctx context.Context) time.Duration {
	now := g.cfg.Clock.Now()
	var calls []string
	var silent []string
	g.mu.Lock()
	due, next := g.claimRounds(now)
	for id, p := range g.peers {
		if due[p.group] && g.cfg.Self.ID < id || p.claimFallbackCall(now) {
			calls = append(calls, id)
		}
		if p.loadCounted && now.Sub(p.lastReportAt) > loadLifetime {
			p.loadCounted = false
			silent = append(silent, id)
		}
	}
	if !g.otherCellsAt.IsZero() && now.Sub(g.otherCellsAt) > loadLifetime {
		g.otherCellsAt = time.Time{}
		silent = append(silent, otherCellsID)
	}
	g.mu.Unlock()
	for _, id := range silent {
		g.cfg.Balancer.ForgetPeer(id)
		g.cfg.Logger.WithField("peer", id).Warn("no report from peer; its load is no longer counted")
	}
	if cell := g.Cell(); len(cell.OtherAggregators) > 0 {
		g.applyOtherCells(*g.otherCellsSummary(cell))
	}
	if len(calls) > 0 {
		report := g.report()
		for _, id := range calls {
			g.group.Go(func() { g.exchange(ctx, id, g.reportFor(report, id)) })
		}
	}
	return next
}

// Cell returns the cell of this instance.
func (g *Gossiper) Cell() enroller.Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cell
}

// reportFor adds the aggregates for one peer to a report.
func (g *Gossiper) reportFor(r Report, peer string) Report {
	g.addAggregates(&r, peer)
	r.Declines = g.declinesFrom(peer)
	return r
}

// claimFallbackCall reports whether a fallback call to the peer is due, and records
// it as made.
func (p *peer) claimFallbackCall(now time.Time) bool {
	if now.Sub(p.lastReportAt) < fallbackCallDelay || now.Sub(p.calledAt) < fallbackCallDelay {
		return false
	}
	p.calledAt = now
	return true
}

func (g *Gossiper) report() Report {
	g.mu.Lock()
	g.sequence++
	sequence := g.sequence
	cellName := g.cell.Name
	g.mu.Unlock()
	r := Report{Incarnation: g.cfg.Self.Incarnation, CellName: cellName, Sequence: sequence, Loads: g.cfg.Balancer.LocalLoads(), Usages: g.cfg.Quotas.Report(), Versions: map[string]int64{}, Changes: map[string]int64{}, Jobs: g.cfg.JobOwners.NewlyOwnedJobs(), Waiting: g.cfg.JobOwners.WaitingTokens(), Suspects: g.cfg.Suspects.Report(), Limits: g.cfg.Limits.Report(), Leavers: g.cfg.Balancer.Leavers(), Reaches: g.cfg.Balancer.ServiceReaches()}
	r.Connected = true
	for name, source := range g.cfg.Sources {
		r.Versions[name] = source.Version()
		r.Changes[name] = source.ChangedAt()
		r.Connected = r.Connected && source.Connected()
	}
	return r
}

func (g *Gossiper) exchange(ctx context.Context, id string, ownReport Report) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var peerReport Report
	if err := g.cfg.Links.Call(ctx, id, linker.KindReport, ownReport, &peerReport); err != nil {
		g.exchangeFailed(ctx, id, err)
		return
	}
	g.applyReport(id, peerReport)
}

// exchangeFailed marks a peer as unreachable. It logs only the first failed exchange.
func (g *Gossiper) exchangeFailed(ctx context.Context, id string, err error) {
	g.mu.Lock()
	p := g.peers[id]
	lost := p != nil && p.reachable
	if lost {
		p.reachable = false
	}
	g.mu.Unlock()
	if lost && ctx.Err() == nil {
		g.cfg.Logger.WithError(err).WithField("peer", id).Warn("peer lost")
	}
}

// applyReport applies a peer's report. The report of an unknown instance only serves
// to detect that local copies are out of date, and that it admits requests too.
func (g *Gossiper) applyReport(id string, r Report) {
	for name, source := range g.cfg.Sources {
		source.ObservePeerVersion(r.Changes[name])
	}
	g.mu.Lock()
	p := g.peers[id]
	if p == nil {
		g.mu.Unlock()
		g.cfg.Quotas.RecordUnknown(id)
		return
	}
	if p.incarnation == r.Incarnation && r.Sequence <= p.sequence {
		g.mu.Unlock()
		return
	}
	p.incarnation, p.sequence = r.Incarnation, r.Sequence
	recovered := !p.reachable
	p.lastReportAt, p.loadCounted, p.reachable = g.cfg.Clock.Now(), true, true
	p.connected, p.changes = r.Connected, r.Changes
	p.cell = r.CellName
	p.declines = r.Declines
	// An aggregator of another cell leaves out its aggregate if this instance declines it.
	declined := r.Cell == nil && slices.Contains(g.cell.OtherAggregators, id)
	if !declined {
		p.updateSummary(id, r)
		p.summaryAt = p.lastReportAt
	}
	if r.Cell != nil {
		g.shareSummary(p)
	}
	if r.OtherCells != nil {
		p.otherCellsAt = p.lastReportAt
	}
	g.mu.Unlock()
	g.cfg.OnReport(id)
	if recovered {
		g.cfg.Logger.WithField("peer", id).Info("peer heard")
	}
	if r.Cell == nil && !declined {
		g.cfg.Balancer.SetPeerLoads(id, r.Loads)
		g.cfg.Quotas.ApplyReport(id, r.Usages)
	}
	if r.OtherCells != nil && g.acceptsAggregatesFrom(id, g.cfg.Clock.Now()) {
		g.applyOtherCells(*r.OtherCells)
	}
	g.cfg.JobOwners.RecordOwner(id, r.Jobs)
	g.cfg.Suspects.ApplyReports(r.Suspects)
	g.cfg.Limits.ApplyReports(id, r.Incarnation, r.Limits)
	g.cfg.Balancer.RecordLeaving(r.Leavers...)
	g.cfg.Reaches.ApplyReaches(id, r.Reaches)
	if r.Waiting != nil { // Earlier builds report none.
		g.cfg.JobOwners.RecordWaiting(id, r.Waiting)
	}
	g.fetchNewer(id, r.Versions)
}

// ReportTo exchanges reports with a peer outside the regular rounds, unless it did so
// within minReportInterval.
func (g *Gossiper) ReportTo(id string) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	p := g.peers[id]
	due := p != nil && p.reachable && now.Sub(p.reportedAt) >= minReportInterval && g.baseCtx != nil && g.baseCtx.Err() == nil
	if due {
		p.reportedAt = now
	}
	ctx := g.baseCtx
	g.mu.Unlock()
	if due {
		g.group.Go(func() { g.exchange(ctx, id, g.reportFor(g.report(), id)) })
	}
}

// StorePeers returns the IDs of the reachable peers that reach the store, the one with
// the most recent report first.
func (g *Gossiper) StorePeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id, p := range g.peers {
		if p.reachable && p.connected {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return g.peers[b].lastReportAt.Compare(g.peers[a].lastReportAt) })
	return ids
}

// AnyReachesStore reports whether one of the given peers reaches the store and has
// sent a report within peerTimeout.
func (g *Gossiper) AnyReachesStore(ids []string) bool {
	return g.anyConnected(ids, func(*peer) bool { return true })
}

// AnyProvides reports whether one of the given peers has the copy with a name, beside what
// AnyReachesStore demands. Earlier builds lack some copies.
func (g *Gossiper) AnyProvides(ids []string, source string) bool {
	return g.anyConnected(ids, func(p *peer) bool {
		_, ok := p.changes[source]
		return ok
	})
}

// anyConnected reports whether one of the given peers reaches the store, has sent a report
// within peerTimeout, and meets a condition, which is called under g.mu.
func (g *Gossiper) anyConnected(ids []string, meets func(p *peer) bool) bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool {
		p := g.peers[id]
		return p != nil && p.connected && now.Sub(p.lastReportAt) < peerTimeout && meets(p)
	})
}

// Isolated reports whether there are peers and none has sent a report within
// peerTimeout.
func (g *Gossiper) Isolated() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if now.Sub(p.lastReportAt) < peerTimeout {
			return false
		}
	}
	return len(g.peers) > 0
}

// InStep reports whether the copy with a name has all changes that peers knew of within
// peerTimeout, and a peer has reported since then. Time in which this machine was
// suspended counts, by the time of day.
func (g *Gossiper) InStep(name string) bool {
	now, changedAt := g.cfg.Clock.Now(), g.cfg.Sources[name].ChangedAt()
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := false
	for _, p := range g.peers {
		if now.Sub(p.lastReportAt) >= peerTimeout || now.Round(0).Sub(p.lastReportAt.Round(0)).Abs() >= peerTimeout {
			continue
		}
		if p.changes[name] > changedAt {
			return false
		}
		heard = true
	}
	return heard
}

func (g *Gossiper) handleReport(_ context.Context, sender string, payload []byte) ([]byte, error) {
	var r Report
	if err := linker.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	g.recordDeclines(sender, r)
	ownReport := g.reportFor(g.report(), sender) // Made before applyReport, so that it does not include the sender's data.
	g.applyReport(sender, r)
	return linker.Marshal(ownReport)
}
