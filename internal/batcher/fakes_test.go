package batcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A platform is a key-value service in memory.
type memoryPlatform struct {
	mu         sync.Mutex
	entries    map[string]storer.Entry
	leases     map[int64]time.Time
	version    int64
	writes     int
	reads      int
	leaseCalls int
}

// expire drops the keys of lapsed leases. The caller holds mu.
func (p *memoryPlatform) expire() {
	lapsed := false
	for id, end := range p.leases {
		if time.Now().After(end) {
			delete(p.leases, id)
			lapsed = true
		}
	}
	if lapsed {
		p.dropUnleased()
	}
}

func (p *memoryPlatform) dropUnleased() {
	for key, entry := range p.entries {
		if _, live := p.leases[entry.LeaseID]; entry.LeaseID != 0 && !live {
			delete(p.entries, key)
		}
	}
}

// A instanceStore is the platform as one instance reaches it.
type instanceStore struct {
	*memoryPlatform
	faults sync.Mutex
	down   bool
	missed int                                     // Calls that were made while down.
	paused chan struct{}                           // Calls wait until it is closed.
	lose   func(storer.PutRequest) (lost, do bool) // Loses the answer of a write that is made or not.
}

func (h *instanceStore) set(f func(h *instanceStore)) {
	h.faults.Lock()
	defer h.faults.Unlock()
	f(h)
}

// call counts a call and applies the faults.
func (h *instanceStore) call(counter *int) error {
	h.faults.Lock()
	down, paused := h.down, h.paused
	if down {
		h.missed++
	}
	h.faults.Unlock()
	if paused != nil {
		<-paused
	}
	if down {
		return storer.ErrUnavailable
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	*counter++
	h.expire()
	return nil
}

func (h *instanceStore) Get(_ context.Context, key string) (storer.Entry, error) {
	if err := h.call(&h.reads); err != nil {
		return storer.Entry{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry, ok := h.entries[key]; ok {
		return entry, nil
	}
	return storer.Entry{}, storer.ErrNotFound
}

func (h *instanceStore) List(_ context.Context, prefix string) (entries []storer.Entry, err error) {
	if err := h.call(&h.reads); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, entry := range h.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (h *instanceStore) Put(_ context.Context, r storer.PutRequest) (storer.Entry, error) {
	if err := h.call(&h.writes); err != nil {
		return storer.Entry{}, err
	}
	h.faults.Lock()
	lose := h.lose
	h.faults.Unlock()
	if lose != nil {
		if lost, do := lose(r); lost {
			if do {
				_, _ = h.write(r)
			}
			return storer.Entry{}, storer.ErrUnknownEffect
		}
	}
	return h.write(r)
}

func (h *instanceStore) write(r storer.PutRequest) (storer.Entry, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries[r.Key].Version != r.ExpectedVersion {
		return storer.Entry{}, storer.ErrConflict
	}
	if _, live := h.leases[r.LeaseID]; r.LeaseID != 0 && !live {
		return storer.Entry{}, storer.ErrLeaseExpired
	}
	h.version++
	entry := storer.Entry{Key: r.Key, Value: bytes.Clone(r.Value), Version: h.version, LeaseID: r.LeaseID}
	h.entries[r.Key] = entry
	return entry, nil
}

func (h *instanceStore) Delete(_ context.Context, key string, expected int64) error {
	if err := h.call(&h.writes); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.entries[key]
	switch {
	case !ok:
		return storer.ErrNotFound
	case entry.Version != expected:
		return storer.ErrConflict
	}
	delete(h.entries, key)
	return nil
}

func (h *instanceStore) GrantLease(_ context.Context, ttl time.Duration) (storer.Lease, error) {
	begun := time.Now()
	if err := h.call(&h.leaseCalls); err != nil {
		return storer.Lease{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	h.leases[h.version] = time.Now().Add(ttl)
	return storer.Lease{ID: h.version, TTL: ttl, ExpiresAt: begun.Add(ttl)}, nil
}

func (h *instanceStore) RenewLease(_ context.Context, lease storer.Lease) (storer.Lease, error) {
	begun := time.Now()
	if err := h.call(&h.leaseCalls); err != nil {
		return storer.Lease{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, live := h.leases[lease.ID]; !live {
		return storer.Lease{}, storer.ErrLeaseExpired
	}
	h.leases[lease.ID] = time.Now().Add(lease.TTL)
	lease.ExpiresAt = begun.Add(lease.TTL)
	return lease, nil
}

func (h *instanceStore) RevokeLease(_ context.Context, id int64) error {
	if err := h.call(&h.leaseCalls); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.leases, id)
	h.dropUnleased()
	return nil
}

// A memoryArchive keeps objects in memory.
type memoryArchive struct {
	mu      sync.Mutex
	objects map[string][]byte
	ready   error
	stored  func(name string) // Called after an object was stored; may be nil.
}

func (a *memoryArchive) Ready() error { return a.ready }

func (a *memoryArchive) Put(_ context.Context, name string, data []byte) ([]string, error) {
	a.mu.Lock()
	a.objects[name] = bytes.Clone(data)
	stored := a.stored
	a.mu.Unlock()
	if stored != nil {
		stored(name)
	}
	return []string{"entry-1", "entry-2"}, nil
}

func (a *memoryArchive) Get(_ context.Context, name string, _ []string) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if data, ok := a.objects[name]; ok {
		return data, nil
	}
	return nil, errors.New("object not found")
}

// A runnerFunc is a Runner.
type runnerFunc func(ctx context.Context, item Item) (ItemResult, error)

func (f runnerFunc) RunItem(ctx context.Context, item Item) (ItemResult, error) { return f(ctx, item) }

// answer is a Runner that does every item.
func succeed(_ context.Context, item Item) (ItemResult, error) {
	return ItemResult{StatusCode: 200, Body: []byte(`{"for":"` + item.CustomID + `"}`), Tokens: 7}, nil
}

// A tally counts the runs of each item.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) wrap(r runnerFunc) runnerFunc {
	return func(ctx context.Context, item Item) (ItemResult, error) {
		c.mu.Lock()
		if c.runs == nil {
			c.runs = make(map[string]int)
		}
		c.runs[item.CustomID]++
		c.mu.Unlock()
		return r(ctx, item)
	}
}

func (c *runCounter) of(customID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[customID]
}

func (c *runCounter) total() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.runs {
		n += runs
	}
	return n
}

// batchable accepts every route but /services/order.
type fakeRoutes struct{}

func (fakeRoutes) CheckRoute(item Item) (string, *refuser.Refusal) {
	if item.URL == "/services/order" {
		return "", &refuser.Refusal{Code: refuser.RouteNotBatchable, Message: "route order", Outcome: refuser.NotRun, Status: 400}
	}
	return "model/lm-desk", nil
}

// A fleet is a platform, an archive and the instances that share them.
type testCluster struct {
	t        *testing.T
	recheck  time.Duration
	platform *memoryPlatform
	archive  *memoryArchive
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t:        t,
		recheck:  50 * time.Millisecond,
		platform: &memoryPlatform{entries: make(map[string]storer.Entry), leases: make(map[int64]time.Time)},
		archive:  &memoryArchive{objects: make(map[string][]byte)},
	}
}

// A member is an instance of a fleet.
type testInstance struct {
	*Batcher
	store *instanceStore
	stop  context.CancelFunc
}

// join adds an instance that is started unless runner is nil.
func (f *testCluster) addInstance(name string, runner runnerFunc) *testInstance {
	m := &testInstance{store: &instanceStore{memoryPlatform: f.platform}, stop: func() {}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m.Batcher = New(Config{
		Instance: name, Store: m.store, Archive: f.archive, Runner: runner, Routes: fakeRoutes{},
		Clock: clockwork.NewRealClock(), Logger: logger,
		LeaseTTL: 300 * time.Millisecond, PollPeriod: 50 * time.Millisecond, CancelPeriod: 20 * time.Millisecond,
		TakeoverGrace: 100 * time.Millisecond, RecheckPeriod: f.recheck, RetryDelay: time.Millisecond,
		StallTimeout: 500 * time.Millisecond, MaxInFlight: 1000,
		ResolveTimeout: 500 * time.Millisecond, ReleaseTimeout: 200 * time.Millisecond,
	})
	if runner == nil {
		return m
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	done := m.Start(ctx)
	f.t.Cleanup(func() {
		m.store.set(func(h *instanceStore) { h.down = true })
		cancel()
		assert.NilError(f.t, <-done)
	})
	return m
}

var testJob = scheduler.Key{Workspace: "ljepilo", Job: "confirmations"}

// lines returns an upload of n items.
func uploadLines(n int) string {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, `{"custom_id":"item-%d","url":"/v1/chat/completions","body":{"model":"lm-desk","n":%d}}`+"\n", i, i)
	}
	return out.String()
}

func submission(upload string) Submission {
	return Submission{
		Workspace: testJob.Workspace, Job: testJob.Job, Key: "secret-key", DueIn: time.Hour,
		Upload: strings.NewReader(upload),
	}
}

func (m *testInstance) submit(t *testing.T, items int) Manifest {
	t.Helper()
	manifest, err := m.Submit(t.Context(), submission(uploadLines(items)))
	assert.NilError(t, err)
	return manifest
}

// assertEnds waits until the job is folded in a state.
func (m *testInstance) assertEnds(t *testing.T, state State) (manifest Manifest) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		manifest, err = m.Status(t.Context(), testJob.Workspace, testJob.Job)
		if err != nil {
			return poll.Error(err)
		}
		if !manifest.Folded {
			return poll.Continue("job has %+v", manifest.Counts)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, manifest.State, state)
	return manifest
}

// assertResults checks that there is one result for each item, in order, and
// returns them.
func (m *testInstance) assertResults(t *testing.T, items int) (results []ResultLine) {
	t.Helper()
	results = m.readResults(t)
	assert.Equal(t, len(results), items)
	for i, line := range results {
		assert.Equal(t, line.CustomID, fmt.Sprintf("item-%d", i))
	}
	return results
}

func (m *testInstance) readResults(t *testing.T) (results []ResultLine) {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, m.Results(t.Context(), testJob.Workspace, testJob.Job, &out))
	decoder := json.NewDecoder(&out)
	for decoder.More() {
		var line ResultLine
		assert.NilError(t, decoder.Decode(&line))
		results = append(results, line)
	}
	return results
}

// assertNoKeys waits until no key has the prefix.
func (f *testCluster) assertNoKeys(prefixes ...string) {
	f.t.Helper()
	h := &instanceStore{memoryPlatform: f.platform}
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, prefix := range prefixes {
			if entries, _ := h.List(f.t.Context(), prefix); len(entries) > 0 {
				return poll.Continue("%d keys under %s", len(entries), prefix)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// assertRefused checks the code and outcome of a refusal.
func assertRefused(t *testing.T, err error, code refuser.Code, outcome refuser.Outcome) {
	t.Helper()
	var refusal *refuser.Refusal
	assert.Assert(t, errors.As(err, &refusal), "not a refusal: %v", err)
	assert.Equal(t, refusal.Code, code, refusal.Message)
	assert.Equal(t, refusal.Outcome, outcome)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}
