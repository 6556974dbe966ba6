package measurer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
)

const (
	// DefaultRequestLimit bounds each request of the load.
	DefaultRequestLimit = 30 * time.Second
	// maxInFlight bounds the requests that wait for an answer. Reaching it
	// means that the load tool no longer sends what was asked for.
	maxInFlight = 8192
)

// A Clock tells the time and waits. clockwork.Clock satisfies it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// A Faulter injects the faults of a scenario.
type Faulter interface {
	Begin(ctx context.Context, f Fault) error
	End(ctx context.Context, f Fault) error
}

// Config says what to run against which fleet.
type Config struct {
	Description  Description
	Baseline     configurer.Baseline // The entries were started with it; empty means the system as it is.
	Batch        bool                // Submit the backlog of batch work.
	Entries      EntryLister
	Keys         map[string]string // By workspace.
	Faulter      Faulter           // Nil when the scenario has no faults.
	Clock        Clock
	RequestLimit time.Duration // Bounds each request.
}

// A Runner sends the load of one run.
type Runner struct {
	cfg     Config
	client  *client
	tallies map[string]*tally // By workspace; each has its own lock.
	lag     latency           // From the intended start to the sending.
	slots   chan struct{}     // Filled by requests in flight.

	mu     sync.Mutex // Guards lag and unsent.
	unsent int        // Requests that found no slot.
}

// NewRunner returns a runner for one run.
func NewRunner(cfg Config) (r *Runner, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "prepare the run")
		}
	}()

	if err := cfg.Description.Validate(); err != nil {
		return nil, err
	}
	if len(cfg.Description.Scenario.Faults) > 0 && cfg.Faulter == nil {
		return nil, merry.New("the scenario has faults, but nothing can inject them")
	}
	r = &Runner{
		cfg:     cfg,
		client:  newClient(cfg),
		tallies: make(map[string]*tally),
		lag:     newLatency(),
		slots:   make(chan struct{}, maxInFlight),
	}
	for _, w := range cfg.Description.Deployment.Workspaces {
		if cfg.Keys[w.Name] == "" {
			return nil, merry.Errorf("no key for workspace %s", w.Name)
		}
		r.tallies[w.Name] = newTally()
	}
	return r, nil
}

// Run submits the batch work, sends the load with its faults and returns what
// was measured. It ends by itself after the scenario's time and the limit of
// the last request.
func (r *Runner) Run(ctx context.Context) (result Result, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "run %s", r.cfg.Description.Scenario.Name)
		}
	}()
	defer r.client.close()

	scenario := r.cfg.Description.Scenario
	work := &backlog{client: r.client}
	if r.cfg.Batch {
		work = newBacklog(r.client, r.cfg.Description.Deployment, "run")
		if err = work.submit(ctx); err != nil {
			return Result{}, err
		}
	}

	start := r.cfg.Clock.Now()
	var progress batchProgress
	parts := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, w := range r.cfg.Description.Deployment.Workspaces {
		parts.Go(func(ctx context.Context) error { return r.sendAll(ctx, start, newSchedule(scenario, w)) })
	}
	for _, f := range scenario.Faults {
		parts.Go(func(ctx context.Context) error { return r.inject(ctx, start, f) })
	}
	if r.cfg.Batch {
		parts.Go(func(ctx context.Context) (err error) {
			progress, err = r.watchBatch(ctx, start, work)
			return err
		})
	}
	if err = parts.Wait(); err != nil {
		return Result{}, err
	}
	return r.finish(ctx, work, progress)
}

// finish reads the results of batch work and cancels what is left of it.
func (r *Runner) finish(ctx context.Context, work *backlog, progress batchProgress) (result Result, err error) {
	if r.cfg.Batch {
		if err = work.cancel(ctx); err != nil {
			return Result{}, err
		}
		if progress.results, err = work.results(ctx); err != nil {
			return Result{}, err
		}
	}
	return r.result(progress), nil
}

// sendAll sends the requests of one workspace at their times and waits for
// their ends.
func (r *Runner) sendAll(ctx context.Context, start time.Time, s *schedule) error {
	var inFlight conc.WaitGroup
	defer inFlight.Wait()
	for {
		q, ok := s.next()
		if !ok {
			return nil
		}
		intended := start.Add(q.At)
		if err := r.waitUntil(ctx, intended); err != nil {
			return err
		}
		if !r.takeSlot(q, intended) {
			continue
		}
		inFlight.Go(func() {
			defer func() { <-r.slots }()
			r.tallies[q.Workspace].record(q, r.client.send(ctx, q, intended), r.cfg.RequestLimit)
		})
	}
}

// takeSlot notes how late a request is sent, and whether it can be sent.
func (r *Runner) takeSlot(q request, intended time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.slots <- struct{}{}:
	default:
		r.unsent++
		return false
	}
	if q.Measured {
		r.lag.record(r.cfg.Clock.Now().Sub(intended))
	}
	return true
}

// inject begins a fault at its time and ends it.
func (r *Runner) inject(ctx context.Context, start time.Time, f Fault) (err error) {
	begin := start.Add(time.Duration(r.cfg.Description.Scenario.WarmUp + f.At))
	if err = r.waitUntil(ctx, begin); err != nil {
		return err
	}
	if err = r.cfg.Faulter.Begin(ctx, f); err != nil {
		return err
	}
	if err = r.waitUntil(ctx, begin.Add(time.Duration(f.Duration))); err != nil {
		return err
	}
	return r.cfg.Faulter.End(ctx, f)
}

// batchProgress is what batch work did during the measurement.
type batchProgress struct {
	items   int           // Whose chunk was completed during the measurement.
	counts  batchCounts   // Of the entries, during the measurement.
	period  time.Duration // Between the two counts.
	dry     bool          // The backlog did not outlast the measurement.
	results batchResults  // Of the whole run.
}

// watchBatch counts completed items at both ends of the measurement.
func (r *Runner) watchBatch(ctx context.Context, start time.Time, work *backlog) (p batchProgress, err error) {
	scenario := r.cfg.Description.Scenario
	if err = r.waitUntil(ctx, start.Add(time.Duration(scenario.WarmUp))); err != nil {
		return p, err
	}
	before := work.completed(ctx)
	counted := r.client.countBatch(ctx)
	begin := r.cfg.Clock.Now()
	if err = r.waitUntil(ctx, start.Add(scenario.end())); err != nil {
		return p, err
	}
	after := work.completed(ctx)
	p.items = after - before
	p.counts = r.client.countBatch(ctx).since(counted)
	p.period = r.cfg.Clock.Now().Sub(begin)
	p.dry = after >= work.items()
	return p, nil
}

// items is the number of submitted items.
func (b *backlog) items() (n int) {
	for _, j := range b.jobs {
		n += j.Items
	}
	return n
}

// waitUntil waits for a time.
func (r *Runner) waitUntil(ctx context.Context, t time.Time) error {
	wait := t.Sub(r.cfg.Clock.Now())
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-r.cfg.Clock.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
