// Package placer brings engines to the models that are declared for them. One
// instance at a time gives orders: the holder of the placement lease.
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
	stepInterval = 2 * time.Second
	// DefaultOrderTimeout bounds an order, which an engine answers when the
	// model is loaded.
	DefaultOrderTimeout = 10 * time.Second
	safetyMargin        = 2 * time.Second
	updatesPerModel     = 1
	resignTimeout       = time.Second
	// maxBurstLoads is the number of weight loads that may go out
	// together after a quiet time.
	maxBurstLoads = 2
)

// A Clock tells the time and makes tickers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
}

// An Engine is reached for observations and orders.
type Engine interface {
	Observe(ctx context.Context, server declarer.BackendServer) (Observation, error)
	Give(ctx context.Context, o Order) error
}

// A Configuration gives the declaration that is in force.
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
	WeightLoadPeriod time.Duration // Least time between loads from the weight store over the fleet, in the long run.
}

// A Placer gives orders while it holds the placement lease.
type Placer struct {
	cfg       Config
	limits    Limits
	candidacy candidacy
	budget    weightBudget
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
		candidacy: candidacy{instance: cfg.Instance, store: cfg.Store, clock: cfg.Clock},
		budget:    weightBudget{period: cfg.WeightLoadPeriod},
	}
}

// Start places models until ctx ends, hands the lease back and reports its
// end.
func (p *Placer) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		p.run(ctx)
		done <- nil
	}()
	return done
}

func (p *Placer) run(ctx context.Context) {
	ticker := p.cfg.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		p.step(ctx)
		select {
		case <-ctx.Done():
			p.resign(ctx)
			return
		case <-ticker.Chan():
		}
	}
}

func (p *Placer) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	p.candidacy.resign(ctx)
}

func (p *Placer) step(ctx context.Context) {
	declaration, ok := p.cfg.Configuration.Declaration()
	if !ok || len(engines(declaration)) == 0 {
		return
	}
	held, err := p.candidacy.hold(ctx)
	if err != nil {
		p.cfg.Log.WithError(err).Warn("placement lease not confirmed")
	}
	if !held {
		p.budget.reset()
		return
	}

	observations := p.observe(ctx, declaration)
	now := p.cfg.Clock.Now()
	decisions := Plan(State{
		Now:          now,
		Tenure:       p.candidacy.tenure,
		Declaration:  declaration,
		Observations: observations,
		WeightLoads:  p.budget.available(now),
	}, p.limits)
	p.carryOut(ctx, decisions)
}

func engines(d declarer.Declaration) (servers []declarer.BackendServer) {
	for _, s := range d.BackendServers {
		if s.Kind == declarer.Engine {
			servers = append(servers, s)
		}
	}
	return servers
}

// observe asks all engines; one that does not answer gets no orders.
func (p *Placer) observe(ctx context.Context, d declarer.Declaration) []Observation {
	servers := engines(d)
	answers := make([]*Observation, len(servers))
	ctx, cancel := context.WithTimeout(ctx, stepInterval)
	defer cancel()

	var wg conc.WaitGroup
	for i, server := range servers {
		wg.Go(func() {
			o, err := p.cfg.Engine.Observe(ctx, server)
			if err != nil {
				p.cfg.Log.WithError(err).WithField("backend-server", server.Name).Debug("engine did not say what it serves")
				return
			}
			answers[i] = &o
		})
	}
	wg.Wait()

	var observations []Observation
	for _, o := range answers {
		if o != nil {
			observations = append(observations, *o)
		}
	}
	return observations
}

// carryOut gives the orders side by side. Each has to end before the lease
// does.
func (p *Placer) carryOut(ctx context.Context, decisions []Decision) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.OrderTimeout)
	defer cancel()

	var wg conc.WaitGroup
	for _, d := range decisions {
		p.logDecision(d)
		if d.Held {
			continue
		}
		if d.Order.Kind == OrderLoad {
			p.budget.spend()
		}
		wg.Go(func() { p.give(ctx, d.Order) })
	}
	wg.Wait()
}

func (p *Placer) give(ctx context.Context, o Order) {
	if err := p.cfg.Engine.Give(ctx, o); err != nil {
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
		"held":           d.Held,
		"model":          d.Order.Model.Name,
		"model-version":  d.Order.Model.Version,
		"order":          d.Order.Kind,
		"reason":         d.Reason,
	}).Info("placement decision")
}

// A weightBudget keeps the loads inside the weight store's rate. It starts
// empty with each tenure, so that a change of holder does not add a burst.
type weightBudget struct {
	period time.Duration // Zero means no limit.
	loads  float64       // Available loads; at most maxBurstLoads.
	at     time.Time     // When loads was computed; zero at the start of a tenure.
}

func (b *weightBudget) reset() {
	b.loads = 0
	b.at = time.Time{}
}

func (b *weightBudget) available(now time.Time) int {
	if b.period == 0 {
		return 1 << 30
	}
	if !b.at.IsZero() {
		b.loads = min(b.loads+float64(now.Sub(b.at))/float64(b.period), maxBurstLoads)
	}
	b.at = now
	return int(b.loads)
}

func (b *weightBudget) spend() {
	b.loads--
}
