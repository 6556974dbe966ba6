package jobkeeper

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	jobID     = "j1"
	workspace = "w1"
)

// A switchboard is the links between keepers of one test.
type switchboard struct {
	mu       sync.Mutex
	handlers map[string]linker.Handler
	cut      map[string]bool
}

func (b *switchboard) isolate(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[id] = true
}

// A port is one keeper's end of the switchboard.
type port struct {
	board *switchboard
	id    string
}

func (p port) Handle(_ linker.Kind, h linker.Handler) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.handlers[p.id] = h
}

func (p port) Call(ctx context.Context, peer string, _ linker.Kind, request, response any) error {
	p.board.mu.Lock()
	h, cut := p.board.handlers[peer], p.board.cut[peer] || p.board.cut[p.id]
	p.board.mu.Unlock()
	if h == nil || cut {
		return linker.ErrUnreachable
	}
	payload, err := linker.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := h.Handle(ctx, p.id, payload)
	if err != nil {
		return err
	}
	return linker.Unmarshal(answer, response)
}

// engines run items: each has three events.
type engines struct {
	mu       sync.Mutex
	hold     chan struct{} // Items wait for it; nil for none.
	verdicts map[string]*forwarder.Answer
	cuts     map[string]int // Runs of an item that are cut after their first event.
	stall    chan struct{}  // Streams wait for it after their first event; nil for none.
	runs     map[string]int
	resumes  []string // Event IDs after which runs went on.
}

func (e *engines) Send(ctx context.Context, a forwarder.Attempt) (*forwarder.Answer, error) {
	e.mu.Lock()
	hold := e.hold
	e.runs[a.Request.ID]++
	if a.LastEventID != "" {
		e.resumes = append(e.resumes, a.LastEventID)
	}
	answer := e.verdicts[a.Request.ID]
	cut := e.cuts[a.Request.ID] > 0
	e.cuts[a.Request.ID]--
	stall := e.stall
	e.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, &sender.Failure{Cause: sender.CauseCancelled, Dispatched: true, Err: ctx.Err()}
		}
	}
	if answer != nil {
		return answer, nil
	}
	next := 1
	if a.LastEventID != "" {
		n, err := strconv.Atoi(a.LastEventID)
		if err != nil {
			return nil, err
		}
		next = n + 1
	}
	return &forwarder.Answer{Verdict: forwarder.VerdictAnswered, Status: 200, Stream: &itemStream{ctx: ctx, next: next, cut: cut, stall: stall}}, nil
}

func (e *engines) runsOfFirst() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs["i1"]
}

type itemStream struct {
	ctx   context.Context
	next  int
	cut   bool
	stall chan struct{}
}

func (s *itemStream) Next() (forwarder.Event, error) {
	if s.next > 3 {
		return forwarder.Event{}, io.EOF
	}
	if s.cut && s.next > 1 {
		return forwarder.Event{}, &sender.Failure{Cause: sender.CauseLost, Dispatched: true, Err: io.ErrUnexpectedEOF}
	}
	if s.stall != nil && s.next > 1 {
		select {
		case <-s.stall:
		case <-s.ctx.Done():
			return forwarder.Event{}, &sender.Failure{Cause: sender.CauseCancelled, Dispatched: true, Err: s.ctx.Err()}
		}
	}
	id := strconv.Itoa(s.next)
	s.next++
	return forwarder.Event{ID: id, Raw: []byte("id: " + id + "\ndata: t" + id + "\n\n")}, nil
}

func (s *itemStream) Close() {}

// A term is the standing of one keeper.
type term struct {
	mu   sync.Mutex
	n    int
	held bool
}

func (t *term) Term() (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n, t.held
}

func (t *term) set(n int, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n, t.held = n, held
}

type rig struct {
	store   *storeemulator.Store
	board   *switchboard
	engines *engines
	terms   map[string]*term
	members map[string]enroller.Member
}

func newRig() *rig {
	return &rig{
		store: storeemulator.New(clockwork.NewRealClock()),
		board: &switchboard{handlers: map[string]linker.Handler{}, cut: map[string]bool{}},
		engines: &engines{
			verdicts: map[string]*forwarder.Answer{}, cuts: map[string]int{}, runs: map[string]int{},
		},
		terms:   map[string]*term{},
		members: map[string]enroller.Member{},
	}
}

// keeper starts a keeper with three servers and enrolls it.
func (r *rig) keeper(t *testing.T, id string) *Keeper {
	t.Helper()
	clock := clockwork.NewRealClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	placer := balancer.New(balancer.Config{Clock: clock, Logger: logger})
	var backends []balancer.Backend
	for _, server := range []string{"a", "b", "c"} {
		backends = append(backends, balancer.Backend{ID: server, Service: "s", Address: server, Slots: 8})
	}
	placer.Install(backends)
	policies := &steerer.Steerer{}
	policies.Install(steerer.Policy{Version: 1, Routes: []steerer.Route{{
		Name: "r", Kind: steerer.KindBatch, MaxAttempts: 2, Targets: []steerer.Target{{Service: "s", Weight: 1}},
		Due: time.Minute, MaxWait: time.Minute,
	}}})
	self := enroller.Member{ID: id, Incarnation: id + "-1"}
	r.terms[id] = &term{n: 1, held: true}
	k, err := New(Config{
		Self: self, Prefix: "batch/", EndPrefix: "end/", MembersPrefix: "member/", Store: r.store, Links: port{r.board, id},
		Policies: policies, Terms: r.terms[id], Placer: placer, Engines: r.engines, Retention: time.Hour, Clock: clock, Logger: logger,
		Meter: noop.Meter{},
	})
	assert.NilError(t, err)
	r.enroll(t, self)
	ctx, cancel := context.WithCancel(context.Background())
	ended := k.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return k
}

func (r *rig) enroll(t *testing.T, m enroller.Member) {
	t.Helper()
	value, err := cbor.Marshal(m)
	assert.NilError(t, err)
	_, err = r.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: "member/" + m.ID, Value: value}}})
	assert.NilError(t, err)
	r.members[m.ID] = m
}

// vanishFirst removes the entry of k1 and tells others.
func (r *rig) vanishFirst(t *testing.T, others ...*Keeper) {
	t.Helper()
	const id = "k1"
	_, err := r.store.Commit(t.Context(), storer.Transaction{Remove: []string{"member/" + id}})
	assert.NilError(t, err)
	for _, k := range others {
		k.SetMembers(enroller.Membership{Peers: []enroller.Member{r.members[id]}})
		k.SetMembers(enroller.Membership{})
	}
}

func manifest(items ...string) Manifest {
	m := Manifest{Job: jobID, Workspace: workspace, Route: "r", Host: "h", SubmittedAt: time.Now()}
	for _, id := range items {
		m.Items = append(m.Items, Item{ID: id, Target: "/x", Body: []byte("body of " + id)})
	}
	return m
}

func submit(t *testing.T, k *Keeper, m Manifest) {
	t.Helper()
	refusal := k.Submit(t.Context(), m)
	assert.Assert(t, refusal == nil, "refused: %v", refusal)
}

func read(t *testing.T, k *Keeper) View {
	t.Helper()
	v, refusal := k.Read(t.Context(), workspace, jobID, 0, 0)
	assert.Assert(t, refusal == nil, "refused: %v", refusal)
	return v
}

func awaitResults(t *testing.T, k *Keeper, n int) View {
	t.Helper()
	var v View
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		v, _ = k.Read(t.Context(), workspace, jobID, 0, 0)
		if len(v.Results) < n {
			return poll.Continue("%d results instead of %d", len(v.Results), n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return v
}

// awaitEvents waits until the open items of a job have had a number of events.
func awaitEvents(t *testing.T, j *job, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		j.mu.Lock()
		defer j.mu.Unlock()
		if _, events := j.progress(); events != n {
			return poll.Continue("%d events instead of %d", events, n)
		}
		return poll.Success()
	})
}

// awaitOwned waits until a keeper owns the job, or does not any more.
func awaitOwned(t *testing.T, k *Keeper, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, owned := k.owned(jobID); owned != want {
			return poll.Continue("owned: %t", owned)
		}
		return poll.Success()
	})
}

func assertResults(t *testing.T, v View, state State, text string) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range v.Results {
		assert.Assert(t, !seen[r.Item], "item %s is listed twice", r.Item)
		seen[r.Item] = true
		assert.Equal(t, r.State, state)
		assert.Equal(t, r.Text, text)
	}
}

const wholeText = "t1\nt2\nt3"
