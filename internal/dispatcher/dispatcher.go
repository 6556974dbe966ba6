// Package dispatcher runs online requests and batch items on backend servers,
// and preempts batch items when online requests need their capacity.
package dispatcher

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

var (
	// ErrPreempted means that a batch item was cancelled, mostly for online
	// requests. It may run again and the try does not count.
	ErrPreempted = merry.Sentinel("batch item preempted")
	// ErrNoCapacity means that no engine has free capacity for a batch item. The
	// item was not dispatched.
	ErrNoCapacity = merry.Sentinel("no engine has free capacity for the batch item")
	// ErrServerCrashed means that the engine crashed while it ran a batch item. The
	// item is still owed.
	ErrServerCrashed = merry.Sentinel("the engine crashed while it ran the batch item")
	// ErrCallerGone is the cause with which a front end cancels the context of
	// a request whose caller has closed its connection.
	ErrCallerGone = merry.Sentinel("caller closed its connection")
)

type clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

type transport interface {
	Send(ctx context.Context, r sender.Request) (*sender.Answer, error)
}

type prober interface {
	Confirm(ctx context.Context, s *registrar.Server, since time.Time) sender.Condition
}

// A chooser selects the backend server of a request. It returns the errors of
// router.Router.Choose.
type chooser interface {
	Choose(pool *registrar.Pool, q router.Query) (router.Decision, error)
}

// A Preemptor cancels running batch items to free capacity for online requests.
type Preemptor interface {
	// Preempt cancels items until n are cancelled, counting those that are
	// still ending. It returns how many it cancelled and how many are missing.
	Preempt(server string, n int) (ended, missing int)
	// PreemptAtLeastOne does the same as Preempt, but always cancels one more
	// item if there is one.
	PreemptAtLeastOne(server string, n int) (ended int)
}

type admitter interface {
	Admit(ctx context.Context, workspace string) Admission
}

// An Admission says whether a workspace may run one more request now.
type Admission struct {
	Admitted   bool
	Reason     string
	RetryAfter time.Duration
}

type permitSource interface {
	AcquirePermit(server string) (Permit, bool)
}

// A Permit allows one batch item to run on one engine until it expires. The
// expiry may be extended while it is held.
type Permit interface {
	Release()
	ExpiresAt() time.Time
}

// A Config holds the dependencies of a dispatcher.
type Config struct {
	Fleet    *registrar.Fleet
	Router   chooser
	Retrier  *retrier.Retrier
	Parts    partTracker
	Trials   retrier.Trials
	Sender   transport
	Prober   prober
	Admitter admitter
	Intents  intentStore  // Nil if idempotency keys are not supported.
	Permits  permitSource // Nil if no batch items run.
	Clock    clock
	Logger   logrus.FieldLogger
	Meter    metric.Meter
	// Preemptor defaults to one that cancels the newest items of this entry.
	Preemptor Preemptor
	// OnPreemptionNeeded is called when online requests need more capacity of an
	// engine than the batch items of this entry free. It must not block.
	OnPreemptionNeeded func(server string)
	// OnCapacityFreed is called when an online request ends on a full server,
	// so that peers learn of the capacity before the next heartbeat. It must
	// not block, and may be nil.
	OnCapacityFreed func()
}

// A partTracker records which parts of prompts backend servers crashed on.
// *retrier.Parts implements it.
type partTracker interface {
	retrier.PartStates
	RecordAnswer(parts []retrier.PartDigest)
	RecordLoss(parts []retrier.PartDigest, server, request string)
}

// A Dispatcher runs requests and batch items on backend servers.
type Dispatcher struct {
	cfg         Config
	instruments *instruments
	tracker     batchTracker
	isolation   isolationLimits
	background  conc.WaitGroup // Runs probes for which no request waits.
}

// New returns a dispatcher. It fails if the meter cannot create an instrument.
func New(cfg Config) (d *Dispatcher, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "dispatcher")
		}
	}()
	d = &Dispatcher{cfg: cfg}
	d.tracker.init()
	if d.cfg.Preemptor == nil {
		d.cfg.Preemptor = &d.tracker
	}
	d.isolation.init()
	d.instruments, err = newInstruments(cfg.Meter)
	return d, err
}

// Wait waits for background probes. It must be called when no request runs.
func (d *Dispatcher) Wait() {
	d.background.Wait()
}

// PreemptForPeer cancels batch items of this entry on an engine that a peer
// needs for online requests: as many as the known load exceeds the capacity, and
// at least one, because the known load does not include the peer's request yet.
func (d *Dispatcher) PreemptForPeer(server string) {
	s, ok := d.cfg.Fleet.Server(server)
	if !ok {
		return
	}
	preempted := d.cfg.Preemptor.PreemptAtLeastOne(server, s.Load().BatchExcess())
	d.instruments.countPreemptions(preempted)
}

// PreemptExcess cancels batch items of this entry on an engine whose load,
// including the reported load of peers, exceeds its capacity. This happens when
// several entries accept online requests for it between two load reports.
func (d *Dispatcher) PreemptExcess(server string) {
	s, ok := d.cfg.Fleet.Server(server)
	if !ok {
		return
	}
	if excess := s.Load().BatchExcess(); excess > 0 {
		preempted, _ := d.cfg.Preemptor.Preempt(server, excess)
		d.instruments.countPreemptions(preempted)
	}
}

// endOnline removes an online request from the load of a server.
func (d *Dispatcher) endOnline(s *registrar.Server) {
	load := s.End(registrar.Online)
	if load.Total()+1 >= load.Capacity && d.cfg.OnCapacityFreed != nil {
		d.cfg.OnCapacityFreed()
	}
}

// preemptForOnline cancels batch items on a server whose load exceeds its
// capacity. If this entry runs too few of them, it asks the peers to preempt.
func (d *Dispatcher) preemptForOnline(s *registrar.Server) {
	excess := s.Load().BatchExcess()
	if excess == 0 {
		return
	}
	preempted, missing := d.cfg.Preemptor.Preempt(s.Name(), excess)
	d.instruments.countPreemptions(preempted)
	if missing > 0 && d.cfg.OnPreemptionNeeded != nil {
		d.cfg.OnPreemptionNeeded(s.Name())
	}
}
