// Package dispatcher carries one request from admission to the last byte of
// its answer, and lets batch items make way for online requests.
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
	// ErrYielded means that a batch item made way for online work. It may run
	// again and the try does not count.
	ErrYielded = merry.Sentinel("the batch item yielded to online work")
	// ErrNoRoom means that no engine has room for a batch item now. The item
	// was not dispatched.
	ErrNoRoom = merry.Sentinel("no engine has room for the batch item")
	// ErrCallerGone is the cause with which a front end cancels the context of
	// a request whose caller has closed its connection.
	ErrCallerGone = merry.Sentinel("the caller closed its connection")
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

// A chooser picks the backend server of a request. The errors are those of
// router.Router.
type chooser interface {
	Choose(pool *registrar.Pool, q router.Query) (router.Decision, error)
}

// A RoomMaker ends running batch items for online work.
type RoomMaker interface {
	// MakeRoom ends items so that, with those that end already, n end. It
	// returns how many it ended and how many are missing.
	MakeRoom(server string, n int) (ended, missing int)
	// MakeMoreRoom ends what MakeRoom would, and at least one item more than
	// end already.
	MakeMoreRoom(server string, n int) (ended int)
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

type permits interface {
	AcquirePermit(server string) (Permit, bool)
}

// A Permit allows one batch item on one engine for a time, which its holder
// may see extended.
type Permit interface {
	Release()
	ExpiresAt() time.Time
}

// A Config holds what a dispatcher needs.
type Config struct {
	Fleet    *registrar.Fleet
	Router   chooser
	Retrier  *retrier.Retrier
	Sender   transport
	Prober   prober
	Admitter admitter
	Intents  intents // Nil where idempotency keys are not served.
	Permits  permits // Nil where no batch items run.
	Clock    clock
	Logger   logrus.FieldLogger
	Meter    metric.Meter
	// RoomMaker is nil for the one that ends the newest items of this entry.
	RoomMaker RoomMaker
	// OnYield is called when online work needs more of an engine than the batch
	// items of this entry give free. It must return at once.
	OnYield func(server string)
	// OnRoom is called when an online request leaves a server that was full,
	// so that peers learn of the room before the next heartbeat. It must
	// return at once. Nil where nobody is to be told.
	OnRoom func()
}

// A Dispatcher runs requests and batch items on backend servers.
type Dispatcher struct {
	cfg         Config
	instruments *instruments
	displacer   displacer
	lanes       lanes
	background  conc.WaitGroup // Probes that no request waits for.
}

// New returns a dispatcher. The error is one of the meter.
func New(cfg Config) (d *Dispatcher, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "dispatcher")
		}
	}()
	d = &Dispatcher{cfg: cfg}
	d.displacer.init()
	if d.cfg.RoomMaker == nil {
		d.cfg.RoomMaker = &d.displacer
	}
	d.lanes.init()
	d.instruments, err = newInstruments(cfg.Meter)
	return d, err
}

// Wait returns when nothing runs in the background any more. It is called once
// no request runs.
func (d *Dispatcher) Wait() {
	d.background.Wait()
}

// Yield ends batch items of this entry on an engine because a peer needs it
// for online work: as many as the known load exceeds the capacity, and at
// least one, because the peer's request is not in the known load yet.
func (d *Dispatcher) Yield(server string) {
	s, ok := d.cfg.Fleet.Server(server)
	if !ok {
		return
	}
	yielded := d.cfg.RoomMaker.MakeMoreRoom(server, s.Load().BatchExcess())
	d.instruments.countYields(yielded)
}

// YieldExcess ends batch items of this entry on an engine whose load, with what
// peers now report, exceeds its capacity. Online requests that arrive at
// several entries between two reports find room each, and together none.
func (d *Dispatcher) YieldExcess(server string) {
	s, ok := d.cfg.Fleet.Server(server)
	if !ok {
		return
	}
	if excess := s.Load().BatchExcess(); excess > 0 {
		yielded, _ := d.cfg.RoomMaker.MakeRoom(server, excess)
		d.instruments.countYields(yielded)
	}
}

// endOnline takes an online request off a server.
func (d *Dispatcher) endOnline(s *registrar.Server) {
	load := s.End(registrar.Online)
	if load.Total()+1 >= load.Capacity && d.cfg.OnRoom != nil {
		d.cfg.OnRoom()
	}
}

// makeRoom ends batch items on a server whose load exceeds its capacity, and
// tells the peers if those of this entry are not enough.
func (d *Dispatcher) makeRoom(s *registrar.Server) {
	excess := s.Load().BatchExcess()
	if excess == 0 {
		return
	}
	yielded, missing := d.cfg.RoomMaker.MakeRoom(s.Name(), excess)
	d.instruments.countYields(yielded)
	if missing > 0 && d.cfg.OnYield != nil {
		d.cfg.OnYield(s.Name())
	}
}
