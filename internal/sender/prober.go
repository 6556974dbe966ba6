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
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

const (
	defaultProbeInterval = time.Second
	// defaultProbesPerRound keeps the probe traffic of an entry with 600 servers
	// within its budget of 9 KB/s for control traffic: a probe and its answer
	// are about 300 bytes.
	defaultProbesPerRound = 20
	// probeTimeout is longer than the pauses of a loaded engine and shorter than
	// the time that callers wait.
	probeTimeout = time.Second
	probeShards  = 16
	// timeoutsToUnhealthy is the number of consecutive probe timeouts after which
	// a server is unhealthy. A single one may be a lost packet. A refused
	// connection makes the server unhealthy at once.
	timeoutsToUnhealthy = 2
)

// A Condition is the result of a probe.
type Condition string

// The conditions of a server.
const (
	ConditionDead    Condition = "dead"    // The server refuses or closes new connections.
	ConditionFailing Condition = "failing" // The server answers with an error status, or not with HTTP.
	ConditionLeaving Condition = "leaving"
	ConditionReady   Condition = "ready"
	ConditionTimeout Condition = "silent" // The server did not answer a new connection in time.
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

// A ProberConfig holds the dependencies and settings of a prober.
type ProberConfig struct {
	Fleet            fleet
	Sender           transport
	Clock            clock
	Interval         time.Duration
	ProbesPerRound   int
	ReadinessTimeout time.Duration
}

// A Prober probes the health of backend servers: all of them in rounds, and a
// single one after a failure.
type Prober struct {
	cfg    ProberConfig
	shards [probeShards]probeShard
}

type probeShard struct {
	mu     sync.Mutex
	states map[string]*probeState // By server name.
}

// A probeState is the probe history of one server.
type probeState struct {
	token       chan struct{} // Has one element while no probe of the server runs.
	mu          sync.Mutex
	lastStarted time.Time // Start time of the last completed probe.
	condition   Condition
	timeouts    int // Consecutive probe timeouts.
}

// NewProber returns a prober. Start runs its rounds.
func NewProber(cfg ProberConfig) *Prober {
	cfg.Interval = durationOr(cfg.Interval, defaultProbeInterval)
	cfg.ProbesPerRound = intOr(cfg.ProbesPerRound, defaultProbesPerRound)
	cfg.ReadinessTimeout = durationOr(cfg.ReadinessTimeout, probeTimeout)
	p := &Prober{cfg: cfg}
	for i := range p.shards {
		p.shards[i].states = map[string]*probeState{}
	}
	return p
}

// Start probes in rounds until ctx ends.
func (p *Prober) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- panics.Try(func() { p.run(ctx) }).AsError()
	}()
	return done
}

func (p *Prober) run(ctx context.Context) {
	for {
		p.round(ctx)
		select {
		case <-p.cfg.Clock.After(p.cfg.Interval):
		case <-ctx.Done():
			return
		}
	}
}

// round probes up to ProbesPerRound servers.
func (p *Prober) round(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(p.cfg.ProbesPerRound)
	for _, s := range p.nextServers() {
		workers.Go(func() { p.Confirm(ctx, s, p.cfg.Clock.Now()) })
	}
	workers.Wait()
}

// nextServers returns the servers of the next round: unhealthy ones first, then
// those with the oldest probe.
func (p *Prober) nextServers() []*registrar.Server {
	servers := p.cfg.Fleet.Servers()
	p.dropUndeclared(servers)
	lastProbes := make(map[*registrar.Server]time.Time, len(servers))
	unhealthy := make(map[*registrar.Server]bool, len(servers))
	for _, s := range servers {
		lastProbes[s] = p.stateOf(s).lastProbe()
		unhealthy[s] = !s.Snapshot().Healthy
	}
	slices.SortStableFunc(servers, func(a, b *registrar.Server) int {
		if unhealthy[a] != unhealthy[b] {
			return cmp.Compare(boolToInt(unhealthy[b]), boolToInt(unhealthy[a]))
		}
		return lastProbes[a].Compare(lastProbes[b])
	})
	return servers[:min(len(servers), p.cfg.ProbesPerRound)]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Confirm probes a server on a new connection and records its condition. If a
// probe that started after since has completed, its result is returned instead,
// so that concurrent callers share a probe.
func (p *Prober) Confirm(ctx context.Context, s *registrar.Server, since time.Time) Condition {
	pr := p.stateOf(s)
	select {
	case <-pr.token:
	case <-ctx.Done():
		return ConditionTimeout
	}
	defer func() { pr.token <- struct{}{} }()
	if condition, ok := pr.conditionSince(since); ok {
		return condition
	}
	started := p.cfg.Clock.Now()
	condition := p.sendProbe(ctx, s)
	if ctx.Err() == nil {
		pr.record(s, started, condition)
	}
	return condition
}

func (p *Prober) stateOf(s *registrar.Server) *probeState {
	shard := &p.shards[xxhash.Sum64String(s.Name())%probeShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	pr, ok := shard.states[s.Name()]
	if !ok {
		pr = &probeState{token: make(chan struct{}, 1)}
		pr.token <- struct{}{}
		shard.states[s.Name()] = pr
	}
	return pr
}

// dropUndeclared drops the state of servers that are no longer declared.
func (p *Prober) dropUndeclared(servers []*registrar.Server) {
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
	for name := range s.states {
		if !names[name] {
			delete(s.states, name)
		}
	}
}

func (pr *probeState) lastProbe() time.Time {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.lastStarted
}

func (pr *probeState) conditionSince(since time.Time) (Condition, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.condition, pr.condition != "" && !pr.lastStarted.Before(since)
}

func (pr *probeState) record(s *registrar.Server, started time.Time, condition Condition) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lastStarted = started
	pr.condition = condition
	if condition != ConditionTimeout {
		pr.timeouts = 0
	}
	switch condition {
	case ConditionReady, ConditionLeaving:
		s.SetLeaving(registrar.LeavingByProbe, condition == ConditionLeaving)
		s.SetHealthy(true)
	case ConditionTimeout:
		pr.timeouts++
		if pr.timeouts >= timeoutsToUnhealthy {
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

func (p *Prober) sendProbe(ctx context.Context, s *registrar.Server) Condition {
	answer, err := p.cfg.Sender.Send(ctx, Request{
		Address:          s.Snapshot().Address,
		Class:            TrafficService,
		NewConnection:    true,
		Method:           http.MethodGet,
		Path:             "/health",
		FirstByteTimeout: p.cfg.ReadinessTimeout,
		ProgressTimeout:  p.cfg.ReadinessTimeout,
	})
	if err != nil {
		return conditionOf(err)
	}
	defer answer.Close()
	var report healthReport
	_ = json.Unmarshal(answer.Body, &report) // The body is optional; a status of 200 alone means ready.
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
		return ConditionTimeout
	case errors.As(err, &failure) && (failure.Cause == CauseDial || failure.Cause == CauseConnectionLost):
		return ConditionDead
	case errors.As(err, &failure) && failure.Cause == CauseMalformed:
		return ConditionFailing
	default:
		return ConditionTimeout
	}
}
