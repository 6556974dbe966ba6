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
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	jobID     = "j1"
	workspace = "w1"
)

// A fakeNetwork connects the keepers of one test.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]linker.Handler
	cut      map[string]bool
}

func (n *fakeNetwork) isolate(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = true
}

// fakeLinks connects one keeper to the fakeNetwork.
type fakeLinks struct {
	network *fakeNetwork
	id      string
}

func (l fakeLinks) Handle(_ linker.Kind, h linker.Handler) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.network.handlers[l.id] = h
}

func (l fakeLinks) Call(ctx context.Context, peer string, _ linker.Kind, request, response any) error {
	l.network.mu.Lock()
	h, cut := l.network.handlers[peer], l.network.cut[peer] || l.network.cut[l.id]
	l.network.mu.Unlock()
	if h == nil || cut {
		return linker.ErrUnreachable
	}
	payload, err := linker.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := h.Handle(ctx, l.id, payload)
	if err != nil {
		return err
	}
	return linker.Unmarshal(answer, response)
}

// fakeClient runs items. The response to each item has three events.
type fakeClient struct {
	mu      sync.Mutex
	hold    chan struct{} // If not nil, items wait until it is closed.
	answers map[string]*forwarder.Answer
	queued  []*forwarder.Answer // Answers to the first runs of any item.
	resets  map[string]int      // By item: number of runs that lose the connection before the first event.
	cuts    map[string]int      // By item: number of runs that lose the connection after the first event.
	garbled map[string]int      // By item: number of runs whose second event has a byte that is not UTF-8.
	stall   chan struct{}       // If not nil, streams wait after their first event until it is closed.
	runs    map[string]int
	resumes []string // Event IDs after which runs were resumed.
	// startedAt is when the runs of the item i1 began.
	startedAt []time.Time
	// holdersFull means that no holder of a limit has room.
	holdersFull    bool
	throughHolders int // Attempts that were to go through a holder.
}

func (c *fakeClient) Send(ctx context.Context, a forwarder.Attempt) (*forwarder.Answer, error) {
	c.mu.Lock()
	hold := c.hold
	c.runs[a.Request.ID]++
	if a.Request.ID == "i1" {
		c.startedAt = append(c.startedAt, time.Now())
	}
	if a.LastEventID != "" {
		c.resumes = append(c.resumes, a.LastEventID)
	}
	noRoom := len(a.Holders) > 0 && c.holdersFull
	if len(a.Holders) > 0 {
		c.throughHolders++
	}
	answer := c.answers[a.Request.ID]
	if len(c.queued) > 0 {
		answer, c.queued = c.queued[0], c.queued[1:]
	}
	reset := c.resets[a.Request.ID] > 0
	c.resets[a.Request.ID]--
	cut := c.cuts[a.Request.ID] > 0
	c.cuts[a.Request.ID]--
	garbled := c.garbled[a.Request.ID] > 0
	c.garbled[a.Request.ID]--
	stall := c.stall
	c.mu.Unlock()
	if noRoom {
		return nil, &sender.Failure{Cause: sender.CausePeer, Err: &balancer.LimitedError{RetryAfter: time.Second}}
	}
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, &sender.Failure{Cause: sender.CauseCancelled, Dispatched: true, Err: ctx.Err()}
		}
	}
	if reset {
		return nil, &sender.Failure{Cause: sender.CauseConnectionLost, Dispatched: true, Err: io.ErrUnexpectedEOF}
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
	return &forwarder.Answer{Outcome: forwarder.AnswerSucceeded, Status: 200, Stream: &itemStream{ctx: ctx, next: next, cut: cut, garbled: garbled, stall: stall, version: a.Backend.Version}}, nil
}

func (c *fakeClient) runsOfFirstItem() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs["i1"]
}

type itemStream struct {
	ctx   context.Context
	next  int
	cut   bool
	stall chan struct{}
	// garbled streams have a byte in their second event that is not UTF-8.
	garbled bool
	// version is that of the server; what it writes ends with it.
	version string
}

func (s *itemStream) Next() (forwarder.Event, error) {
	if s.next > 3 {
		return forwarder.Event{}, io.EOF
	}
	if s.cut && s.next > 1 {
		return forwarder.Event{}, &sender.Failure{Cause: sender.CauseConnectionLost, Dispatched: true, Err: io.ErrUnexpectedEOF}
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
	if s.garbled && id == "2" {
		return forwarder.Event{ID: id, Raw: []byte("id: 2\ndata: t\xff\n\n")}, nil
	}
	return forwarder.Event{ID: id, Raw: []byte("id: " + id + "\ndata: t" + id + s.version + "\n\n")}, nil
}

func (s *itemStream) Close() {}

// A fakeTerm is the enrollment term of one keeper.
type fakeTerm struct {
	mu   sync.Mutex
	n    int
	held bool
}

func (t *fakeTerm) Term() (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n, t.held
}

func (t *fakeTerm) set(n int, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n, t.held = n, held
}

// A judgedPlacer decides what became of servers after losses.
type judgedPlacer struct {
	*balancer.Balancer
	cluster *testCluster
}

// Acquire has work of heldVersion go through a holder, and other work elsewhere.
func (p judgedPlacer) Acquire(q balancer.Query) (*balancer.Placement, error) {
	p.cluster.client.mu.Lock()
	held := p.cluster.heldVersion
	p.cluster.client.mu.Unlock()
	if held != "" && q.Version == nil {
		q.Exclude = []string{"a"}
	}
	placement, err := p.Balancer.Acquire(q)
	if err == nil && held != "" && q.Version != nil && *q.Version == held {
		placement.ThroughPeer, placement.Holders = true, []string{"h"}
	}
	return placement, err
}

func (p judgedPlacer) JudgeLoss(string, time.Time) balancer.LossVerdict {
	p.cluster.client.mu.Lock()
	defer p.cluster.client.mu.Unlock()
	return p.cluster.verdict
}

type testCluster struct {
	retention     time.Duration         // Of the keepers that are started next; an hour if it is zero.
	verdict       balancer.LossVerdict  // On all losses; guarded by client.mu.
	waitingTokens int64                 // Limit of the route when a keeper starts.
	versions      [3]string             // Of the three servers when a keeper starts.
	heldVersion   string                // That of server a, if its limit is held by another instance; guarded by client.mu.
	placers       []*balancer.Balancer  // Of all keepers.
	policies      []*routefinder.Finder // Of all keepers.
	store         *storeemulator.Store
	network       *fakeNetwork
	client        *fakeClient
	terms         map[string]*fakeTerm
	members       map[string]enroller.Member
}

func (c *testCluster) setHeldVersion(version string) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.heldVersion = version
}

func newTestCluster() *testCluster {
	return &testCluster{
		store:   storeemulator.New(clockwork.NewRealClock()),
		network: &fakeNetwork{handlers: map[string]linker.Handler{}, cut: map[string]bool{}},
		client: &fakeClient{
			answers: map[string]*forwarder.Answer{}, resets: map[string]int{}, cuts: map[string]int{}, garbled: map[string]int{}, runs: map[string]int{},
		},
		terms:   map[string]*fakeTerm{},
		members: map[string]enroller.Member{},
	}
}

// startKeeper starts a keeper with three backend servers and enrolls it.
func (c *testCluster) startKeeper(t *testing.T, id string) *Keeper {
	t.Helper()
	clock := clockwork.NewRealClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	placer := balancer.New(balancer.Config{Clock: clock, Logger: logger})
	placer.Install(backendsOf(c.versions))
	c.placers = append(c.placers, placer)
	policies := &routefinder.Finder{}
	policies.Install(routefinder.Policy{Version: 1, Routes: []routefinder.Route{{
		Name: "r", Kind: routefinder.KindBatch, MaxAttempts: 2, Targets: []routefinder.Target{{Service: "s", Weight: 1}},
		Due: time.Minute, MaxWait: time.Minute, WaitingTokens: c.waitingTokens,
	}}})
	c.policies = append(c.policies, policies)
	retention := c.retention
	if retention == 0 {
		retention = time.Hour
	}
	self := enroller.Member{ID: id, Incarnation: id + "-1"}
	c.terms[id] = &fakeTerm{n: 1, held: true}
	k, err := New(Config{
		Self: self, Prefix: "batch/", EndPrefix: "end/", MembersPrefix: "member/", Store: c.store, Links: fakeLinks{c.network, id},
		Policies: policies, Terms: c.terms[id], Placer: judgedPlacer{placer, c}, BackendClient: c.client, Retention: retention, Clock: clock, Logger: logger,
		Meter: noop.Meter{},
	})
	assert.NilError(t, err)
	c.enroll(t, self)
	ctx, cancel := context.WithCancel(context.Background())
	ended := k.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return k
}

// backendsOf returns the servers a, b and c with their versions.
func backendsOf(versions [3]string) (backends []balancer.Backend) {
	for n, version := range versions {
		id := string(rune('a' + n))
		backends = append(backends, balancer.Backend{ID: id, Service: "s", Address: id, Slots: 8, Version: version})
	}
	return backends
}

func (c *testCluster) enroll(t *testing.T, m enroller.Member) {
	t.Helper()
	value, err := cbor.Marshal(m)
	assert.NilError(t, err)
	_, err = c.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: "member/" + m.ID, Value: value}}})
	assert.NilError(t, err)
	c.members[m.ID] = m
}

// removeFirstMember removes the member key of k1 and updates the membership of the
// other keepers.
func (c *testCluster) removeFirstMember(t *testing.T, others ...*Keeper) {
	t.Helper()
	const id = "k1"
	_, err := c.store.Commit(t.Context(), storer.Transaction{Remove: []string{"member/" + id}})
	assert.NilError(t, err)
	for _, k := range others {
		k.SetMembers(enroller.Membership{Peers: []enroller.Member{c.members[id]}})
		k.SetMembers(enroller.Membership{})
	}
}

// itemTokens are the tokens of each item.
const itemTokens = 10

func manifest(items ...string) Manifest {
	m := Manifest{Job: jobID, Workspace: workspace, Route: "r", Host: "h", SubmittedAt: time.Now()}
	for _, id := range items {
		m.Items = append(m.Items, Item{ID: id, Target: "/x", Body: []byte("body of " + id), Tokens: itemTokens})
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

// awaitRuns waits until the item i1 has run n times.
func (c *testCluster) awaitRuns(t *testing.T, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runs := c.client.runsOfFirstItem(); runs < n {
			return poll.Continue("%d runs instead of %d", runs, n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// awaitFirstEvent waits until the unfinished items of a job have received one event.
func awaitFirstEvent(t *testing.T, j *job) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		j.mu.Lock()
		defer j.mu.Unlock()
		if events := j.checkpoint().events; events != 1 {
			return poll.Continue("%d events instead of 1", events)
		}
		return poll.Success()
	})
}

// awaitOwned waits until a keeper owns the job, or no longer owns it.
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

const fullText = "t1\nt2\nt3"

// A beforeCommit calls a function before each transaction.
type beforeCommit struct {
	Store
	do func()
}

func (s beforeCommit) Commit(ctx context.Context, t storer.Transaction) (int64, error) {
	s.do()
	return s.Store.Commit(ctx, t)
}

// awaitOwnedByOne waits until one of several keepers owns the job.
func awaitOwnedByOne(t *testing.T, keepers ...*Keeper) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, k := range keepers {
			if _, owned := k.owned(jobID); owned {
				return poll.Success()
			}
		}
		return poll.Continue("none owns the job")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
