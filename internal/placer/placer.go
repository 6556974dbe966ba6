// Package placer reconciles the models loaded on engines with the declared ones.
// One instance at a time sends orders to engines: the holder of the placement
// lease.
package placer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	reconcileInterval = 2 * time.Second
	// DefaultOrderTimeout bounds an order. An engine answers when the model is
	// loaded.
	DefaultOrderTimeout = 10 * time.Second
	safetyMargin        = 2 * time.Second
	updatesPerModel     = 1
	releaseTimeout      = time.Second
	// maxBurstLoads bounds the weight loads that may start at once after an idle
	// period.
	maxBurstLoads = 2
)

// A Clock provides the current time and tickers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
}

// An Engine reads the state of engines and executes orders on them.
type Engine interface {
	Observe(ctx context.Context, server declarer.BackendServer) (Observation, error)
	Execute(ctx context.Context, o Order) error
}

// A Configuration returns the declaration in force.
type Configuration interface {
	Declaration() (d declarer.Declaration, ok bool)
}

// A Config configures a Placer.
type Config struct {
	Instance         string
	Store            Store
	Engine           Engine
	Configuration    Configuration
	Clock            Clock
	Log              logrus.FieldLogger
	OrderTimeout     time.Duration // Zero means DefaultOrderTimeout.
	WeightLoadPeriod time.Duration // Minimum average interval between loads from the weight store in the whole fleet; zero means no limit.
}

// A Placer sends orders while it holds the placement lease.
type Placer struct {
	cfg         Config
	limits      Limits
	elector     elector
	loadLimiter loadLimiter
}

// New returns a Placer.
func New(cfg Config) *Placer {
	if cfg.OrderTimeout == 0 {
		cfg.OrderTimeout = DefaultOrderTimeout
	}
	return &Placer{
		cfg: cfg,
		limits: Limits{
			OrderTimeout:    cfg.OrderTimeout,
			SafetyMargin:    safetyMargin,
			UpdatesPerModel: updatesPerModel,
		},
		elector:     elector{instance: cfg.Instance, store: cfg.Store, clock: cfg.Clock},
		loadLimiter: loadLimiter{period: cfg.WeightLoadPeriod},
	}
}

// Start reconciles until ctx ends and then releases the lease. The channel
// receives one result.
func (p *Placer) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		p.run(ctx)
		done <- nil
	}()
	return done
}

func (p *Placer) run(ctx context.Context) {
	ticker := p.cfg.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		p.reconcile(ctx)
		select {
		case <-ctx.Done():
			p.releaseLease(ctx)
			return
		case <-ticker.Chan():
		}
	}
}

func (p *Placer) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	p.elector.release(ctx)
}

func (p *Placer) reconcile(ctx context.Context) {
	declaration, ok := p.cfg.Configuration.Declaration()
	if !ok || len(engines(declaration)) == 0 {
		return
	}
	held, err := p.elector.acquireOrRenew(ctx)
	if err != nil {
		p.cfg.Log.WithError(err).Warn("failed to acquire or renew the placement lease")
	}
	if !held {
		p.loadLimiter.reset()
		return
	}

	observations := p.observe(ctx, declaration)
	now := p.cfg.Clock.Now()
	decisions := Plan(State{
		Now:          now,
		LeaseTerm:    p.elector.term,
		Declaration:  declaration,
		Observations: observations,
		WeightLoads:  p.loadLimiter.available(now),
	}, p.limits)
	p.executeAll(ctx, decisions)
}

func engines(d declarer.Declaration) (servers []declarer.BackendServer) {
	for _, s := range d.BackendServers {
		if s.Kind == declarer.Engine {
			servers = append(servers, s)
		}
	}
	return servers
}

// observe reads the models of all engines. An engine that does not answer gets
// no orders.
func (p *Placer) observe(ctx context.Context, d declarer.Declaration) []Observation {
	servers := engines(d)
	results := make([]*Observation, len(servers))
	ctx, cancel := context.WithTimeout(ctx, reconcileInterval)
	defer cancel()

	var wg conc.WaitGroup
	for i, server := range servers {
		wg.Go(func() {
			o, err := p.cfg.Engine.Observe(ctx, server)
			if err != nil {
				p.cfg.Log.WithError(err).WithField("backend-server", server.Name).Debug("failed to read the models of an engine")
				return
			}
			results[i] = &o
		})
	}
	wg.Wait()

	var observations []Observation
	for _, o := range results {
		if o != nil {
			observations = append(observations, *o)
		}
	}
	return observations
}

// executeAll executes the orders concurrently. Each has to end before the lease
// does.
func (p *Placer) executeAll(ctx context.Context, decisions []Decision) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.OrderTimeout)
	defer cancel()

	var wg conc.WaitGroup
	for _, d := range decisions {
		p.logDecision(d)
		if d.Deferred {
			continue
		}
		if d.Order.Kind == OrderLoad {
			p.loadLimiter.take()
		}
		wg.Go(func() { p.execute(ctx, d.Order) })
	}
	wg.Wait()
}

func (p *Placer) execute(ctx context.Context, o Order) {
	if err := p.cfg.Engine.Execute(ctx, o); err != nil {
		p.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"backend-server": o.Server.Name,
			"model":          o.Model.Name,
			"order":          o.Kind,
		}).Warn("order failed")
	}
}

func (p *Placer) logDecision(d Decision) {
	p.cfg.Log.WithFields(logrus.Fields{
		"backend-server": d.Order.Server.Name,
		"fencing-number": d.Order.FencingNumber,
		"held":           d.Deferred,
		"model":          d.Order.Model.Name,
		"model-version":  d.Order.Model.Version,
		"order":          d.Order.Kind,
		"reason":         d.Reason,
	}).Info("placement decision")
}

// A loadLimiter is a token bucket for loads from the weight store. It starts
// empty with each lease term, so that a change of holder does not add a burst.
type loadLimiter struct {
	period    time.Duration // Zero means no limit.
	tokens    float64       // At most maxBurstLoads.
	updatedAt time.Time     // When tokens was computed; zero at the start of a lease term.
}

func (l *loadLimiter) reset() {
	l.tokens = 0
	l.updatedAt = time.Time{}
}

func (l *loadLimiter) available(now time.Time) int {
	if l.period == 0 {
		return 1 << 30
	}
	if !l.updatedAt.IsZero() {
		l.tokens = min(l.tokens+float64(now.Sub(l.updatedAt))/float64(l.period), maxBurstLoads)
	}
	l.updatedAt = now
	return int(l.tokens)
}

func (l *loadLimiter) take() {
	l.tokens--
}
