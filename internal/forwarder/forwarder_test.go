package forwarder

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// scriptedEngines answer attempts in the order of the script.
type scriptedEngines struct {
	script   []func(a Attempt) (*Answer, error)
	attempts []Attempt
}

func (e *scriptedEngines) Send(_ context.Context, a Attempt) (*Answer, error) {
	e.attempts = append(e.attempts, a)
	step := e.script[min(len(e.attempts), len(e.script))-1]
	return step(a)
}

func verdict(v Verdict, status int) func(Attempt) (*Answer, error) {
	return func(Attempt) (*Answer, error) { return &Answer{Verdict: v, Status: status}, nil }
}

func failure(cause sender.Cause, dispatched bool) func(Attempt) (*Answer, error) {
	return func(Attempt) (*Answer, error) {
		return nil, &sender.Failure{Cause: cause, Dispatched: dispatched, Err: io.ErrUnexpectedEOF}
	}
}

// events gives events, and then an error.
func events(end error, ids ...string) func(Attempt) (*Answer, error) {
	return func(Attempt) (*Answer, error) {
		return &Answer{Verdict: VerdictAnswered, Status: 200, Stream: &scriptedStream{ids: ids, end: end}}, nil
	}
}

type scriptedStream struct {
	ids []string
	end error
}

func (s *scriptedStream) Next() (Event, error) {
	if len(s.ids) == 0 {
		return Event{}, s.end
	}
	id := s.ids[0]
	s.ids = s.ids[1:]
	return Event{ID: id, Raw: []byte(id)}, nil
}

func (s *scriptedStream) Close() {}

var errCut = &sender.Failure{Cause: sender.CauseConnectionLost, Dispatched: true, Err: io.ErrUnexpectedEOF}

type rig struct {
	engines *scriptedEngines
	f       *Forwarder
	clock   *clockwork.FakeClock
}

func newRig(script ...func(Attempt) (*Answer, error)) *rig {
	clock := clockwork.NewFakeClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	placer := balancer.New(balancer.Config{Clock: clock, FailureDomain: "d1", Logger: logger})
	var backends []balancer.Backend
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		backends = append(backends, balancer.Backend{ID: id, Service: "s", Address: id, Slots: 4})
	}
	placer.Install(backends)
	engines := &scriptedEngines{script: script}
	f, err := New(Config{
		Clock: clock, Engines: engines, Placer: placer, Logger: logger, Suspects: retrier.New(retrier.Config{Clock: clock}),
		Meter: noop.Meter{},
	})
	if err != nil {
		panic(err)
	}
	return &rig{engines: engines, clock: clock, f: f}
}

func (r *rig) forward(route steerer.Route) (*Delivery, *refuser.Refusal) {
	return r.f.Forward(context.Background(), &Request{
		ID: "q", Route: &route, Service: "s", Method: "POST", Target: "/x",
		Arrived: r.clock.Now(), Deadline: r.clock.Now().Add(5 * time.Second),
	})
}

var (
	once       = steerer.Route{Kind: steerer.KindNonIdempotent, MaxAttempts: 3}
	repeatable = steerer.Route{Kind: steerer.KindIdempotent, MaxAttempts: 2}
	stream     = steerer.Route{Kind: steerer.KindStream, MaxAttempts: 3}
	resumable  = steerer.Route{Kind: steerer.KindStream, MaxAttempts: 3, Resumable: true}
)

func assertRefusal(t *testing.T, r *rig, route steerer.Route, outcome refuser.Outcome, attempts int) {
	t.Helper()
	_, refusal := r.forward(route)
	assert.Assert(t, refusal != nil, "the request was not refused")
	assert.Equal(t, refusal.Outcome, outcome)
	assert.Equal(t, len(r.engines.attempts), attempts)
}

func assertStatus(t *testing.T, r *rig, route steerer.Route, status, attempts int) {
	t.Helper()
	d, refusal := r.forward(route)
	assert.Assert(t, refusal == nil, "refused: %v", refusal)
	assert.Equal(t, d.Status, status)
	assert.Equal(t, len(r.engines.attempts), attempts)
}

// TestAttempts guards against requests that run more often than they may, and
// against promises that are not true.
func TestAttempts(t *testing.T) {
	lost := failure(sender.CauseConnectionLost, true)
	unreachable := failure(sender.CauseDial, false)
	answered := verdict(VerdictAnswered, 200)
	t.Run("answered", func(t *testing.T) { assertStatus(t, newRig(answered), once, 200, 1) })
	t.Run("a request that may run once is not sent again after a loss", func(t *testing.T) {
		assertRefusal(t, newRig(lost, answered), once, refuser.Unknown, 1)
	})
	t.Run("it is sent again where no server had it", func(t *testing.T) {
		assertStatus(t, newRig(unreachable, verdict(VerdictNotRun, 503), answered), once, 200, 3)
	})
	t.Run("it is sent again where another server has the address", func(t *testing.T) {
		assertStatus(t, newRig(verdict(VerdictMisdirected, 421), answered), once, 200, 2)
	})
	t.Run("not run where every server refuses", func(t *testing.T) {
		assertRefusal(t, newRig(verdict(VerdictNotRun, 503)), once, refuser.NotRun, maxRefusedTries)
	})
	t.Run("a repeatable request runs at most as often as its route says", func(t *testing.T) {
		assertRefusal(t, newRig(lost), repeatable, refuser.Unknown, 2)
	})
	t.Run("a server's failure is handed over where nothing is left to try", func(t *testing.T) {
		assertStatus(t, newRig(verdict(VerdictFailed, 500)), repeatable, 500, 2)
	})
	t.Run("a server's failure is final where the request may run once", func(t *testing.T) {
		assertStatus(t, newRig(verdict(VerdictFailed, 500), answered), once, 500, 1)
	})
	t.Run("a rejection is handed over", func(t *testing.T) {
		assertStatus(t, newRig(verdict(VerdictRejected, 422)), repeatable, 422, 1)
	})
}

func assertEvents(t *testing.T, r *rig, route steerer.Route, want string, whole bool) {
	t.Helper()
	d, refusal := r.forward(route)
	assert.Assert(t, refusal == nil, "refused: %v", refusal)
	defer d.Close()
	var got []byte
	for {
		event, err := d.Next()
		if err != nil {
			assert.Equal(t, errors.Is(err, io.EOF), whole, "%v", err)
			break
		}
		got = append(got, event...)
	}
	assert.Equal(t, string(got), want)
}

// TestStreams guards against events that are missing, come twice, or are joined
// with those of another run.
func TestStreams(t *testing.T) {
	t.Run("whole", func(t *testing.T) { assertEvents(t, newRig(events(io.EOF, "1", "2")), stream, "12", true) })
	t.Run("a cut stream ends without its end", func(t *testing.T) {
		assertEvents(t, newRig(events(errCut, "1"), events(io.EOF, "1", "2")), stream, "1", false)
	})
	t.Run("a resumable stream goes on after its last event", func(t *testing.T) {
		r := newRig(events(errCut, "1", "2"), events(io.EOF, "3"))
		assertEvents(t, r, resumable, "123", true)
		assert.Equal(t, r.engines.attempts[1].After, "2")
	})
	t.Run("it is cut where no attempt is left", func(t *testing.T) {
		r := newRig(events(errCut, "1"), events(errCut, "2"), events(errCut, "3"), events(io.EOF, "4"))
		assertEvents(t, r, resumable, "123", false)
	})
}

// TestDeadline guards against answers that are held after nobody waits.
func TestDeadline(t *testing.T) {
	r := newRig(verdict(VerdictAnswered, 200))
	route := once
	_, refusal := r.f.Forward(context.Background(), &Request{ID: "q", Route: &route, Service: "s", Arrived: r.clock.Now(), Deadline: r.clock.Now()})
	assert.Equal(t, refusal.Code, refuser.DeadlineExceeded)
	assert.Equal(t, refusal.Outcome, refuser.NotRun)
	assert.Equal(t, len(r.engines.attempts), 0)
}
