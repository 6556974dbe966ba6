// Package gossiper exchanges with the peers what each instance admitted and
// which load it puts on backend servers, and fetches copies of the store from
// peers that have newer ones.
package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/apportioner"
	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// minInterval is the time between two exchanges with a peer.
	minInterval = 150 * time.Millisecond
	// maxInterval leaves two exchanges within the silence after which a peer
	// counts as cut off.
	maxInterval = 320 * time.Millisecond
	// peersPerInterval is the number of peers up to which the period is minInterval;
	// with more, it grows with them.
	peersPerInterval = 8
	// minReportInterval is the least time between two exchanges out of turn with a peer.
	minReportInterval = 25 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// copyTimeout bounds the transfer of a copy.
	copyTimeout = 2 * time.Second
	// fallbackCallDelay is the silence after which an instance calls a peer that should
	// call it, and the time between two such calls: the peer may not know of it.
	fallbackCallDelay = time.Second
	// peerTimeout is the silence after which a peer does not follow the store
	// for others any more. It is three exchanges.
	peerTimeout = time.Second
	// loadLifetime is how long a peer's load counts without a new report.
	loadLifetime = 2 * time.Second
)

// A Report is what an instance tells its peers.
type Report struct {
	Incarnation string `cbor:"incarnation"` // Of the instance.
	// Number grows with each report of an incarnation. A cut can hold a report up
	// for seconds; one with a lower number than the last is out of date.
	Sequence uint64 `cbor:"number"`

	Loads    []balancer.ServerLoad `cbor:"loads"`
	Usages   []apportioner.Usage   `cbor:"usages"`
	Versions map[string]int64      `cbor:"versions"` // Of the copies of the store, by name.
	Changes  map[string]int64      `cbor:"changes"`  // Of the last change in each copy, by name.
	Jobs     []string              `cbor:"jobs"`     // IDs of jobs that the instance owns since lately.
	// Connected says that the copies come from the store itself.
	Connected bool `cbor:"connected"`

	// Cell is what the cell of a speaker tells together, for other cells.
	Cell *Summary `cbor:"cell,omitempty"`
	// CellName is the cell of the instance; empty in a small fleet.
	CellName string `cbor:"cell-name,omitempty"`
	// Rest is what all other cells tell together, for the speaker's cell.
	OtherCells *Summary `cbor:"rest,omitempty"`
}

// A copyRequest asks for a copy by name.
type copyRequest struct {
	Name string `cbor:"name"`
}

// Links are the links to the peers. *linker.Linker satisfies it.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// A Source keeps a copy of a part of the store.
type Source interface {
	Copy() follower.Copy
	Offer(c follower.Copy) bool
	Version() int64
	ChangedAt() int64
	Connected() bool
	// Observe takes over up to which version a peer knows of changes.
	Observe(changedAt int64)
}

// JobOwners knows the owners of jobs.
type JobOwners interface {
	NewJobs() []string
	LearnOwner(owner string, jobs []string)
}

// A Config holds what a gossiper needs.
type Config struct {
	Self      enroller.Member
	Links     Links
	Balancer  *balancer.Balancer
	Quotas    *apportioner.Apportioner
	Sources   map[string]Source // By name.
	OnReport  func(id string)   // Called when a peer is heard.
	JobOwners JobOwners
	Clock     storer.Clock
	Logger    logrus.FieldLogger
}

// A Gossiper exchanges reports.
type Gossiper struct {
	cfg Config

	mu           sync.Mutex
	cell         enroller.Cell
	peers        map[string]*peer // By instance ID.
	self         peer             // What this instance told, for the sum of its cell.
	otherCellsAt time.Time        // When the rest of a large fleet was heard of last; zero when its load is not counted.
	fetching     map[string]bool  // Names of copies that are being fetched.
	sequence     uint64           // Of the last report.
	baseCtx      context.Context  // Of all exchanges; nil before Start.
	group        conc.WaitGroup
}

// A peer is an instance that reports are exchanged with.
type peer struct {
	heardAt     time.Time
	loadCounted bool // Its load is counted.
	reachable   bool // The last exchange succeeded.

	connected bool // It reaches the store.

	reportedAt time.Time // When it was told out of turn.

	calledAt time.Time // When it was called though it should have called.

	incarnation string // Of its last report.
	sequence    uint64 // Of its last report.

	summary Summary // The sum of its last reports, of its cell where it speaks for one.
	cell    string  // Name of its cell.
}

// New registers the handlers of a gossiper. It is called before the links start.
func New(cfg Config) *Gossiper {
	g := &Gossiper{cfg: cfg, peers: map[string]*peer{}, fetching: map[string]bool{}}
	cfg.Links.Handle(linker.KindReport, linker.HandlerFunc(g.handleReport))
	cfg.Links.Handle(linker.KindCopy, linker.HandlerFunc(g.handleCopy))
	return g
}

// SetPeers says which other instances there are. Reports are exchanged with those
// of the own cell, and by speakers with those of other cells.
func (g *Gossiper) SetPeers(members []enroller.Member) {
	cell := g.cfg.Self.Cell(members)
	ids := slices.Concat(cell.Members, cell.OtherAggregators)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cell = cell
	peers := make(map[string]*peer, len(ids))
	for _, id := range ids {
		peers[id] = g.peers[id]
		if peers[id] == nil {
			peers[id] = &peer{}
		}
		delete(g.peers, id)
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

// round begins an exchange with each peer that this instance calls: of two
// instances, the one with the lower ID calls the other, which calls only where it
// has not been called for long.
func (g *Gossiper) round(ctx context.Context) time.Duration {
	now := g.cfg.Clock.Now()
	var calls []string
	var silent []string
	g.mu.Lock()
	n := len(g.peers)
	for id, p := range g.peers {
		if g.cfg.Self.ID < id || p.claimFallbackCall(now) {
			calls = append(calls, id)
		}
		if p.loadCounted && now.Sub(p.heardAt) > loadLifetime {
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
		g.cfg.Logger.WithField("peer", id).Warn("peer is silent, its load is not counted any more")
	}
	if cell := g.Cell(); len(cell.OtherAggregators) > 0 {
		g.applyOtherCells(g.summarize(g.activeAggregators(cell.OtherAggregators), Summary{}))
	}
	if len(calls) > 0 {
		report := g.report()
		for _, id := range calls {
			g.group.Go(func() { g.exchange(ctx, id, g.reportFor(report, id)) })
		}
	}
	return min(max(minInterval, minInterval*time.Duration(n)/peersPerInterval), maxInterval)
}

// Cell is the cell of this instance.
func (g *Gossiper) Cell() enroller.Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cell
}

// addressed is a report for one peer.
func (g *Gossiper) reportFor(r Report, peer string) Report {
	g.addAggregates(&r, peer)
	return r
}

// missing reports whether a peer has not called for long, and notes that it is
// called.
func (p *peer) claimFallbackCall(now time.Time) bool {
	if now.Sub(p.heardAt) < fallbackCallDelay || now.Sub(p.calledAt) < fallbackCallDelay {
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
	r := Report{Incarnation: g.cfg.Self.Incarnation, CellName: cellName, Sequence: sequence, Loads: g.cfg.Balancer.LocalLoads(), Usages: g.cfg.Quotas.Report(), Versions: map[string]int64{}, Changes: map[string]int64{}, Jobs: g.cfg.JobOwners.NewJobs()}
	r.Connected = true
	for name, source := range g.cfg.Sources {
		r.Versions[name] = source.Version()
		r.Changes[name] = source.ChangedAt()
		r.Connected = r.Connected && source.Connected()
	}
	return r
}

func (g *Gossiper) exchange(ctx context.Context, id string, own Report) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var theirs Report
	if err := g.cfg.Links.Call(ctx, id, linker.KindReport, own, &theirs); err != nil {
		g.exchangeFailed(ctx, id, err)
		return
	}
	g.applyReport(id, theirs)
}

// failed logs the loss of a peer once.
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

// learn takes over a report. That of an instance that is not known yet tells at
// least that the copies here may be old.
func (g *Gossiper) applyReport(id string, r Report) {
	for name, source := range g.cfg.Sources {
		source.Observe(r.Changes[name])
	}
	g.mu.Lock()
	p := g.peers[id]
	if p == nil || p.incarnation == r.Incarnation && r.Sequence <= p.sequence {
		g.mu.Unlock()
		return
	}
	p.incarnation, p.sequence = r.Incarnation, r.Sequence
	recovered := !p.reachable
	p.heardAt, p.loadCounted, p.reachable = g.cfg.Clock.Now(), true, true
	p.connected = r.Connected
	p.cell = r.CellName
	p.updateSummary(r)
	g.mu.Unlock()
	g.cfg.OnReport(id)
	if recovered {
		g.cfg.Logger.WithField("peer", id).Info("peer heard")
	}
	if r.Cell == nil {
		g.cfg.Balancer.SetPeerLoads(id, r.Loads)
		g.cfg.Quotas.Learn(id, r.Usages)
	}
	if r.OtherCells != nil && g.acceptsAggregatesFrom(id, g.cfg.Clock.Now()) {
		g.applyOtherCells(*r.OtherCells)
	}
	g.cfg.JobOwners.LearnOwner(id, r.Jobs)
	g.fetchNewer(id, r.Versions)
}

// Tell exchanges reports with a peer out of turn, unless that was done just now.
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

// StorePeers are the peers that reach the store and were heard lately, the one
// heard last first.
func (g *Gossiper) StorePeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id, p := range g.peers {
		if p.reachable && p.connected {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return g.peers[b].heardAt.Compare(g.peers[a].heardAt) })
	return ids
}

// Follows reports whether one of the peers reaches the store and was heard
// lately.
func (g *Gossiper) AnyReachesStore(ids []string) bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool {
		p := g.peers[id]
		return p != nil && p.connected && now.Sub(p.heardAt) < peerTimeout
	})
}

// fetchNewer asks a peer for the copies that are newer than those here, where
// the store itself cannot be reached.
func (g *Gossiper) fetchNewer(id string, versions map[string]int64) {
	for name, source := range g.cfg.Sources {
		if source.Connected() || versions[name] <= source.Version() || !g.beginFetch(name) {
			continue
		}
		g.group.Go(func() { g.fetch(id, name, source) })
	}
}

func (g *Gossiper) beginFetch(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching[name] {
		return false
	}
	g.fetching[name] = true
	return true
}

func (g *Gossiper) fetch(id, name string, source Source) {
	defer func() {
		g.mu.Lock()
		delete(g.fetching, name)
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	var c follower.Copy
	if err := g.cfg.Links.Call(ctx, id, linker.KindCopy, copyRequest{Name: name}, &c); err != nil {
		g.cfg.Logger.WithError(err).WithFields(logrus.Fields{"peer": id, "copy": name}).Warn("copy not fetched")
		return
	}
	source.Offer(c)
}

func (g *Gossiper) handleReport(_ context.Context, sender string, payload []byte) ([]byte, error) {
	var r Report
	if err := linker.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	own := g.reportFor(g.report(), sender) // Before learning, so that nothing of theirs is in it.
	g.applyReport(sender, r)
	return linker.Marshal(own)
}

func (g *Gossiper) handleCopy(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var q copyRequest
	if err := linker.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	source, ok := g.cfg.Sources[q.Name]
	if !ok {
		return nil, merry.Errorf("no copy is called %q", q.Name)
	}
	return linker.Marshal(source.Copy())
}
