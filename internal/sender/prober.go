package sender

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

const (
	defaultProbeInterval = time.Second
	// defaultProbesPerInterval keeps the probes of a node at 600 servers within
	// its 9 KB/s for control: a probe and its answer are about 300 bytes.
	defaultProbesPerInterval = 20
	// probeTimeout is the silence after which a probe fails. It is longer than
	// a pause of a loaded engine and shorter than callers wait.
	probeTimeout = time.Second
	probeShards  = 16
	// silencesToCondemn is the number of silent probes in a row after which a
	// server is failed. One may be a lost packet; a refused connection condemns
	// at once.
	silencesToCondemn = 2
)

// A Condition is what a probe found.
type Condition string

// The conditions of a server.
const (
	ConditionDead    Condition = "dead"    // It refuses or closes new connections.
	ConditionFailing Condition = "failing" // It answers that it cannot serve.
	ConditionLeaving Condition = "leaving"
	ConditionReady   Condition = "ready"
	ConditionSilent  Condition = "silent" // A new connection got no answer in time.
)

type clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

type fleet interface {
	Servers() []*registrar.Server
}

type transport interface {
	Send(ctx context.Context, r Request) (*Answer, error)
}

// A ProberConfig holds what a prober needs.
type ProberConfig struct {
	Fleet            fleet
	Sender           transport
	Clock            clock
	Interval         time.Duration
	ProbesPerRound   int
	ReadinessTimeout time.Duration
}

// A Prober asks backend servers for their state: all of them in turn, and a
// single one after a failure.
type Prober struct {
	cfg    ProberConfig
	shards [probeShards]probeShard
}

type probeShard struct {
	mu     sync.Mutex
	probes map[string]*probe // By server name.
}

// A probe is the history of one server.
type probe struct {
	turn     chan struct{} // Holds one token while nobody probes the server.
	mu       sync.Mutex
	last     time.Time // Start of the last probe that ended.
	found    Condition
	silences int // Silent probes in a row.
}

// NewProber returns a prober that does not run yet.
func NewProber(cfg ProberConfig) *Prober {
	cfg.Interval = orDuration(cfg.Interval, defaultProbeInterval)
	cfg.ProbesPerRound = orInt(cfg.ProbesPerRound, defaultProbesPerInterval)
	cfg.ReadinessTimeout = orDuration(cfg.ReadinessTimeout, probeTimeout)
	p := &Prober{cfg: cfg}
	for i := range p.shards {
		p.shards[i].probes = map[string]*probe{}
	}
	return p
}

// Start probes in rounds until ctx ends.
func (p *Prober) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- p.run(ctx)
	}()
	return done
}

func (p *Prober) run(ctx context.Context) error {
	for {
		p.round(ctx)
		select {
		case <-p.cfg.Clock.After(p.cfg.Interval):
		case <-ctx.Done():
			return nil
		}
	}
}

// round probes as many servers as a round has probes for.
func (p *Prober) round(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(p.cfg.ProbesPerRound)
	for _, s := range p.due() {
		workers.Go(func() { p.Confirm(ctx, s, p.cfg.Clock.Now()) })
	}
	workers.Wait()
}

// due are the servers of the next round: the failed ones first, then those
// whose last probe is oldest.
func (p *Prober) due() []*registrar.Server {
	servers := p.cfg.Fleet.Servers()
	p.forget(servers)
	ages := make(map[*registrar.Server]time.Time, len(servers))
	failed := make(map[*registrar.Server]bool, len(servers))
	for _, s := range servers {
		ages[s] = p.probe(s).lastTime()
		failed[s] = !s.Snapshot().Healthy
	}
	slices.SortStableFunc(servers, func(a, b *registrar.Server) int {
		if failed[a] != failed[b] {
			return cmp.Compare(boolToInt(failed[b]), boolToInt(failed[a]))
		}
		return ages[a].Compare(ages[b])
	})
	return servers[:min(len(servers), p.cfg.ProbesPerRound)]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Confirm probes a server on a new connection, unless a probe that began after
// since has just ended, and records what it found. Callers that ask about the
// same server at once share a probe.
func (p *Prober) Confirm(ctx context.Context, s *registrar.Server, since time.Time) Condition {
	pr := p.probe(s)
	select {
	case <-pr.turn:
	case <-ctx.Done():
		return ConditionSilent
	}
	defer func() { pr.turn <- struct{}{} }()
	if found, ok := pr.foundSince(since); ok {
		return found
	}
	started := p.cfg.Clock.Now()
	found := p.ask(ctx, s)
	if ctx.Err() == nil {
		pr.record(s, started, found)
	}
	return found
}

func (p *Prober) probe(s *registrar.Server) *probe {
	shard := &p.shards[xxhash.Sum64String(s.Name())%probeShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	pr, ok := shard.probes[s.Name()]
	if !ok {
		pr = &probe{turn: make(chan struct{}, 1)}
		pr.turn <- struct{}{}
		shard.probes[s.Name()] = pr
	}
	return pr
}

// forget drops the history of servers that are no longer declared.
func (p *Prober) forget(servers []*registrar.Server) {
	names := make(map[string]bool, len(servers))
	for _, s := range servers {
		names[s.Name()] = true
	}
	for i := range p.shards {
		p.shards[i].retain(names)
	}
}

func (s *probeShard) retain(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.probes {
		if !names[name] {
			delete(s.probes, name)
		}
	}
}

func (pr *probe) lastTime() time.Time {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.last
}

func (pr *probe) foundSince(since time.Time) (Condition, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.found, pr.found != "" && !pr.last.Before(since)
}

func (pr *probe) record(s *registrar.Server, started time.Time, found Condition) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.last = started
	pr.found = found
	if found != ConditionSilent {
		pr.silences = 0
	}
	switch found {
	case ConditionReady, ConditionLeaving:
		s.SetLeaving(registrar.LeavingByProbe, found == ConditionLeaving)
		s.SetHealthy(true)
	case ConditionSilent:
		pr.silences++
		if pr.silences >= silencesToCondemn {
			s.SetHealthy(false)
		}
	default:
		s.SetHealthy(false)
	}
}

// healthReport is the answer to GET /health.
type healthReport struct {
	State string `json:"state"`
}

func (p *Prober) ask(ctx context.Context, s *registrar.Server) Condition {
	answer, err := p.cfg.Sender.Send(ctx, Request{
		Address:   s.Snapshot().Address,
		Lane:      LaneService,
		Fresh:     true,
		Method:    http.MethodGet,
		Path:      "/health",
		FirstByte: p.cfg.ReadinessTimeout,
		Progress:  p.cfg.ReadinessTimeout,
	})
	if err != nil {
		return conditionOf(err)
	}
	defer answer.Close()
	var report healthReport
	_ = json.Unmarshal(answer.Body, &report) // Servers without a report are ready by their status.
	switch {
	case answer.Status != http.StatusOK:
		return ConditionFailing
	case report.State == string(ConditionLeaving):
		return ConditionLeaving
	default:
		return ConditionReady
	}
}

func conditionOf(err error) Condition {
	var failure *Failure
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return ConditionSilent
	case errors.As(err, &failure) && (failure.Cause == CauseDial || failure.Cause == CauseLost):
		return ConditionDead
	case errors.As(err, &failure) && failure.Cause == CauseMalformed:
		return ConditionFailing
	default:
		return ConditionSilent
	}
}
