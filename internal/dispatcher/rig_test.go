package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A rig is a dispatcher with emulated backend servers and fake dependencies.
type rig struct {
	*Dispatcher
	fleet              *registrar.Fleet
	engines            []*engineemulator.Engine
	services           []*serviceemulator.Service
	admitter           fakeAdmitter
	intents            fakeIntents
	permits            fakePermits
	preemptionRequests chan string
}

type fakeAdmitter struct{ refused bool }

func (a *fakeAdmitter) Admit(context.Context, string) Admission {
	return Admission{Admitted: !a.refused, Reason: "rate", RetryAfter: time.Second}
}

type fakeIntents struct {
	mu     sync.Mutex
	result IntentResult
	ends   []IntentEnd
}

func (i *fakeIntents) Begin(context.Context, Intent) IntentResult { return i.result }

func (i *fakeIntents) Finish(_ context.Context, _ Intent, end IntentEnd) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ends = append(i.ends, end)
	return nil
}

func (i *fakeIntents) finished() []IntentEnd {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]IntentEnd(nil), i.ends...)
}

type fakePermits struct {
	mu      sync.Mutex
	refused bool
	expires time.Time
}

func (p *fakePermits) AcquirePermit(string) (Permit, bool) { return p, !p.refused }
func (p *fakePermits) Release()                            {}

func (p *fakePermits) ExpiresAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expires
}

func (p *fakePermits) set(expires time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expires = expires
}

func newRig(t *testing.T, engines, services int) *rig {
	t.Helper()
	r := &rig{preemptionRequests: make(chan string, 100)}
	r.permits.set(time.Now().Add(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := declarer.Declaration{FailureDomains: []declarer.FailureDomain{{Name: "a"}}}
	for i := range engines {
		e := engineemulator.New(engineemulator.Config{Address: "127.0.0.1:0", TokenTime: time.Millisecond})
		assert.NilError(t, e.Open())
		e.Start(ctx)
		r.engines = append(r.engines, e)
		d.BackendServers = append(d.BackendServers, declarer.BackendServer{
			Name: fmt.Sprintf("engine-%d", i), Kind: declarer.Engine, Address: e.Address(), FailureDomain: "a",
			Models: []string{"desk"}, Capacity: 4, BatchBound: 4,
		})
	}
	for i := range services {
		s := serviceemulator.New(serviceemulator.Config{Address: "127.0.0.1:0"})
		assert.NilError(t, s.Open())
		s.Start(ctx)
		r.services = append(r.services, s)
		d.BackendServers = append(d.BackendServers, declarer.BackendServer{
			Name: fmt.Sprintf("service-%d", i), Kind: declarer.Service, Address: s.Address(), FailureDomain: "a",
			Service: "labels", Capacity: 4,
		})
	}
	r.build(t, d)
	return r
}

func (r *rig) build(t *testing.T, d declarer.Declaration) {
	t.Helper()
	clock := clockwork.NewRealClock()
	r.fleet = registrar.NewFleet(clock)
	r.fleet.Install(d)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	send := sender.New(sender.Config{})
	var err error
	r.Dispatcher, err = New(Config{
		Fleet:              r.fleet,
		Router:             router.New(router.Config{FailureDomain: "a"}),
		Retrier:            retrier.New(retrier.Config{Clock: clock}),
		Parts:              retrier.NewParts(retrier.PartsConfig{Clock: clock, Judge: retrier.ConfirmedLosses{}, Logger: logger}),
		Sender:             send,
		Prober:             sender.NewProber(sender.ProberConfig{Fleet: r.fleet, Sender: send, Clock: clock}),
		Admitter:           &r.admitter,
		Intents:            &r.intents,
		Permits:            &r.permits,
		Clock:              clock,
		Logger:             logger,
		Meter:              noop.Meter{},
		OnPreemptionNeeded: func(server string) { r.preemptionRequests <- server },
	})
	assert.NilError(t, err)
	t.Cleanup(r.Wait)
}

// A recordingWriter records an answer. If failAt is set, it fails after that
// many events.
type recordingWriter struct {
	mu     sync.Mutex
	status int
	text   string
	events int
	ended  bool
	failAt int
	onNext func()
}

func (w *recordingWriter) Whole(h Head, body []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status, w.text, w.ended = h.Status, string(body), true
	return nil
}

func (w *recordingWriter) Begin(h Head) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status = h.Status
	return nil
}

func (w *recordingWriter) Event(event []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.text += string(event)
	w.events++
	if w.onNext != nil {
		w.onNext()
	}
	if w.failAt > 0 && w.events >= w.failAt {
		return errors.New("caller closed its connection")
	}
	return nil
}

func (w *recordingWriter) End() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return nil
}

func completion(prompt string, tokens int, stream bool) Request {
	return Request{
		ID: "r-1", Workspace: "ljepilo", Method: "POST", Path: "/v1/completions",
		Route:  declarer.Route{Name: "desk", Model: "desk", Idempotent: true, Batch: true, Deadline: declarer.Duration(10 * time.Second)},
		Body:   fmt.Appendf(nil, `{"model":"desk","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream),
		Header: []sender.Field{{Name: "Content-Type", Value: "application/json"}},
		Stream: stream,
	}
}

func call(method, path, body string, idempotent bool) Request {
	return Request{
		ID: "r-2", Workspace: "ljepilo", Method: method, Path: path, Body: []byte(body),
		Route: declarer.Route{Name: "labels", Service: "labels", Idempotent: idempotent, Deadline: declarer.Duration(2 * time.Second)},
	}
}

func item(prompt string, tokens int) Item {
	q := completion(prompt, tokens, false)
	return Item{ID: "i-1", Workspace: q.Workspace, Route: q.Route, Path: q.Path, Body: q.Body}
}

func assertAnswered(t *testing.T, r *rig, q Request, want string) {
	t.Helper()
	w := &recordingWriter{}
	refusal := r.Dispatch(context.Background(), q, w)
	assert.Assert(t, refusal == nil, "refusal %v", refusal)
	assert.Assert(t, w.ended && strings.Contains(w.text, want), "answer %q, want %q", w.text, want)
}

func assertRefused(t *testing.T, r *rig, q Request, code refuser.Code, outcome refuser.Outcome) {
	t.Helper()
	w := &recordingWriter{}
	refusal := r.Dispatch(context.Background(), q, w)
	assert.Assert(t, refusal != nil, "answer %q", w.text)
	assert.Equal(t, refusal.Code, code, "refusal %v", refusal)
	assert.Equal(t, refusal.Outcome, outcome, "refusal %v", refusal)
	assert.Assert(t, !w.ended)
}

func assertReceived(t *testing.T, r *rig, text string, want int) {
	t.Helper()
	n := 0
	for _, e := range r.engines {
		n += len(e.Journal().Containing(text))
	}
	for _, s := range r.services {
		n += len(s.Journal().Containing(text))
	}
	assert.Equal(t, n, want, "servers received %q", text)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithDelay(2*time.Millisecond))
}

func (r *rig) running() int {
	n := 0
	for _, e := range r.engines {
		n += e.Running()
	}
	return n
}

func peerBatch(n int) []registrar.PeerLoad {
	return []registrar.PeerLoad{{Server: "engine-0", Batch: n}}
}
