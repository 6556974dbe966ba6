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
	// DefaultRequestTimeout is the timeout of each request of the load.
	DefaultRequestTimeout = 30 * time.Second
	// maxInFlight limits the requests that wait for a response. Once it is
	// reached, the load tool no longer sends the load of the scenario.
	maxInFlight = 8192
)

// A Clock provides the time and timers. clockwork.Clock implements it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// A FaultInjector starts and ends the faults of a scenario.
type FaultInjector interface {
	Begin(ctx context.Context, f Fault) error
	End(ctx context.Context, f Fault) error
}

// Config defines a run and the fleet that it loads.
type Config struct {
	Description    Description
	Baseline       configurer.Baseline // Baseline that the entries were started with; empty means none.
	Batch          bool                // Whether to submit batch work.
	Entries        EntryLister
	Keys           map[string]string // By workspace.
	FaultInjector  FaultInjector     // Nil when the scenario has no faults.
	Clock          Clock
	RequestTimeout time.Duration // Of each request.
}

// A Runner sends the load of one run and measures its outcomes.
type Runner struct {
	cfg     Config
	client  *client
	tallies map[string]*tally // By workspace; each has its own lock.
	sendLag latencyHistogram  // From the intended start to sending.
	slots   chan struct{}     // Holds one value for each request in flight.

	mu     sync.Mutex // Guards sendLag and unsent.
	unsent int        // Requests dropped for lack of a slot.
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
	if len(cfg.Description.Scenario.Faults) > 0 && cfg.FaultInjector == nil {
		return nil, merry.New("the scenario has faults, but the configuration has no fault injector")
	}
	r = &Runner{
		cfg:     cfg,
		client:  newClient(cfg),
		tallies: make(map[string]*tally),
		sendLag: newLatencyHistogram(),
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

// Run submits the batch work, sends the load, injects the faults and returns the
// measurements. It ends after the scenario's duration and the timeout of the
// last request.
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
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, w := range r.cfg.Description.Deployment.Workspaces {
		tasks.Go(func(ctx context.Context) error { return r.sendAll(ctx, start, newSchedule(scenario, w)) })
	}
	for _, f := range scenario.Faults {
		tasks.Go(func(ctx context.Context) error { return r.inject(ctx, start, f) })
	}
	if r.cfg.Batch {
		tasks.Go(func(ctx context.Context) (err error) {
			progress, err = r.measureBatch(ctx, start, work)
			return err
		})
	}
	if err = tasks.Wait(); err != nil {
		return Result{}, err
	}
	return r.finish(ctx, work, progress)
}

// finish cancels the remaining batch work and reads its results.
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

// sendAll sends the requests of one workspace at their intended times and waits
// for their outcomes.
func (r *Runner) sendAll(ctx context.Context, start time.Time, s *schedule) error {
	var inFlight conc.WaitGroup
	defer inFlight.Wait()
	for {
		req, ok := s.next()
		if !ok {
			return nil
		}
		intended := start.Add(req.At)
		if err := r.waitUntil(ctx, intended); err != nil {
			return err
		}
		if !r.acquireSlot(req, intended) {
			continue
		}
		inFlight.Go(func() {
			defer func() { <-r.slots }()
			r.tallies[req.Workspace].record(req, r.client.send(ctx, req, intended), r.cfg.RequestTimeout)
		})
	}
}

// acquireSlot reserves a slot and records the send lag of a measured request.
// Without a free slot it counts the request as unsent and returns false.
func (r *Runner) acquireSlot(req request, intended time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.slots <- struct{}{}:
	default:
		r.unsent++
		return false
	}
	if req.Measured {
		r.sendLag.record(r.cfg.Clock.Now().Sub(intended))
	}
	return true
}

// inject starts a fault at its time and ends it after its duration.
func (r *Runner) inject(ctx context.Context, start time.Time, f Fault) (err error) {
	begin := start.Add(time.Duration(r.cfg.Description.Scenario.WarmUp + f.At))
	if err = r.waitUntil(ctx, begin); err != nil {
		return err
	}
	if err = r.cfg.FaultInjector.Begin(ctx, f); err != nil {
		return err
	}
	if err = r.waitUntil(ctx, begin.Add(time.Duration(f.Duration))); err != nil {
		return err
	}
	return r.cfg.FaultInjector.End(ctx, f)
}

// batchProgress is the progress of batch work during the measurement.
type batchProgress struct {
	items     int           // Completed during the measurement, in whole chunks.
	counts    batchCounts   // From the entries' counters.
	period    time.Duration // Between the two readings.
	exhausted bool          // The backlog ran out during the measurement.
	results   batchResults  // Of the whole run.
}

// measureBatch reads the progress at the start and at the end of the
// measurement.
func (r *Runner) measureBatch(ctx context.Context, start time.Time, work *backlog) (p batchProgress, err error) {
	scenario := r.cfg.Description.Scenario
	if err = r.waitUntil(ctx, start.Add(time.Duration(scenario.WarmUp))); err != nil {
		return p, err
	}
	before := work.completedItems(ctx)
	counted := r.client.readBatchCounts(ctx)
	begin := r.cfg.Clock.Now()
	if err = r.waitUntil(ctx, start.Add(scenario.end())); err != nil {
		return p, err
	}
	after := work.completedItems(ctx)
	p.items = after - before
	p.counts = r.client.readBatchCounts(ctx).since(counted)
	p.period = r.cfg.Clock.Now().Sub(begin)
	p.exhausted = after >= work.items()
	return p, nil
}

// items returns the number of submitted items.
func (b *backlog) items() (n int) {
	for _, j := range b.jobs {
		n += j.Items
	}
	return n
}

// waitUntil waits until t.
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
