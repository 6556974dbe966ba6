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

// A memoryPlatform is an in-memory key-value service.
type memoryPlatform struct {
	mu         sync.Mutex
	entries    map[string]storer.Entry
	leases     map[int64]time.Time
	version    int64
	writes     int
	reads      int
	leaseCalls int
}

// expireLeases deletes expired leases and their keys. The caller holds mu.
func (p *memoryPlatform) expireLeases() {
	expired := false
	for id, end := range p.leases {
		if time.Now().After(end) {
			delete(p.leases, id)
			expired = true
		}
	}
	if expired {
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

// An instanceStore is one instance's connection to the platform, with faults.
type instanceStore struct {
	*memoryPlatform
	faults       sync.Mutex
	down         bool
	failedCalls  int                                     // Calls made while down.
	paused       chan struct{}                           // If not nil, calls block until it is closed.
	loseResponse func(storer.PutRequest) (lost, do bool) // Whether to lose the response of a write, and whether to do the write.
	refuse       string                                  // Prefix of keys whose writes are refused; empty for none.
	refused      int                                     // Writes that were refused.
}

func (s *instanceStore) set(f func(h *instanceStore)) {
	s.faults.Lock()
	defer s.faults.Unlock()
	f(s)
}

// call counts a call and injects the faults.
func (s *instanceStore) call(counter *int) error {
	s.faults.Lock()
	down, paused := s.down, s.paused
	if down {
		s.failedCalls++
	}
	s.faults.Unlock()
	if paused != nil {
		<-paused
	}
	if down {
		return storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	s.expireLeases()
	return nil
}

func (s *instanceStore) Get(_ context.Context, key string) (storer.Entry, error) {
	if err := s.call(&s.reads); err != nil {
		return storer.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.entries[key]; ok {
		return entry, nil
	}
	return storer.Entry{}, storer.ErrNotFound
}

func (s *instanceStore) List(_ context.Context, prefix string) (entries []storer.Entry, err error) {
	if err := s.call(&s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (s *instanceStore) Put(_ context.Context, r storer.PutRequest) (storer.Entry, error) {
	if err := s.call(&s.writes); err != nil {
		return storer.Entry{}, err
	}
	s.faults.Lock()
	lose := s.loseResponse
	refused := s.refuse != "" && strings.HasPrefix(r.Key, s.refuse)
	if refused {
		s.refused++
	}
	s.faults.Unlock()
	if refused {
		return storer.Entry{}, storer.ErrRefused
	}
	if lose != nil {
		if lost, do := lose(r); lost {
			if do {
				_, _ = s.write(r)
			}
			return storer.Entry{}, storer.ErrUnknownEffect
		}
	}
	return s.write(r)
}

func (s *instanceStore) write(r storer.PutRequest) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[r.Key].Version != r.ExpectedVersion {
		return storer.Entry{}, storer.ErrConflict
	}
	if _, live := s.leases[r.LeaseID]; r.LeaseID != 0 && !live {
		return storer.Entry{}, storer.ErrLeaseExpired
	}
	s.version++
	entry := storer.Entry{Key: r.Key, Value: bytes.Clone(r.Value), Version: s.version, LeaseID: r.LeaseID}
	s.entries[r.Key] = entry
	return entry, nil
}

func (s *instanceStore) Delete(_ context.Context, key string, expected int64) error {
	if err := s.call(&s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	switch {
	case !ok:
		return storer.ErrNotFound
	case entry.Version != expected:
		return storer.ErrConflict
	}
	delete(s.entries, key)
	return nil
}

func (s *instanceStore) GrantLease(_ context.Context, ttl time.Duration) (storer.Lease, error) {
	begun := time.Now()
	if err := s.call(&s.leaseCalls); err != nil {
		return storer.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.leases[s.version] = time.Now().Add(ttl)
	return storer.Lease{ID: s.version, TTL: ttl, ExpiresAt: begun.Add(ttl)}, nil
}

func (s *instanceStore) RenewLease(_ context.Context, lease storer.Lease) (storer.Lease, error) {
	begun := time.Now()
	if err := s.call(&s.leaseCalls); err != nil {
		return storer.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, live := s.leases[lease.ID]; !live {
		return storer.Lease{}, storer.ErrLeaseExpired
	}
	s.leases[lease.ID] = time.Now().Add(lease.TTL)
	lease.ExpiresAt = begun.Add(lease.TTL)
	return lease, nil
}

func (s *instanceStore) RevokeLease(_ context.Context, id int64) error {
	if err := s.call(&s.leaseCalls); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.dropUnleased()
	return nil
}

// A memoryArchive is an in-memory Archive.
type memoryArchive struct {
	mu      sync.Mutex
	objects map[string][]byte
	ready   error
	stored  func(name string) // Called after an object is stored; may be nil.
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

// A runnerFunc implements Runner.
type runnerFunc func(ctx context.Context, item Item) (ItemResult, error)

func (f runnerFunc) RunItem(ctx context.Context, item Item) (ItemResult, error) { return f(ctx, item) }

// succeed is a runnerFunc that completes every item.
func succeed(_ context.Context, item Item) (ItemResult, error) {
	return ItemResult{StatusCode: 200, Body: []byte(`{"for":"` + item.CustomID + `"}`), Tokens: 7}, nil
}

// A runCounter counts the runs of each item.
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

// fakeRoutes accepts every route except /services/order.
type fakeRoutes struct{}

func (fakeRoutes) CheckRoute(item Item) (string, *refuser.Refusal) {
	if item.URL == "/services/order" {
		return "", &refuser.Refusal{Code: refuser.RouteNotBatchable, Message: "route order", Outcome: refuser.NotRun, Status: 400}
	}
	return "model/lm-desk", nil
}

// A testCluster is a platform and an archive that instances share.
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

// A testInstance is an instance of a testCluster.
type testInstance struct {
	*Batcher
	store *instanceStore
	stop  context.CancelFunc
}

// addInstance adds an instance and starts it unless runner is nil.
func (c *testCluster) addInstance(name string, runner runnerFunc) *testInstance {
	inst := &testInstance{store: &instanceStore{memoryPlatform: c.platform}, stop: func() {}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	inst.Batcher = New(Config{
		Instance: name, Store: inst.store, Archive: c.archive, Runner: runner, Routes: fakeRoutes{},
		Clock: clockwork.NewRealClock(), Logger: logger,
		LeaseTTL: 300 * time.Millisecond, PollPeriod: 50 * time.Millisecond, CancelPeriod: 20 * time.Millisecond,
		TakeoverGrace: 100 * time.Millisecond, RecheckPeriod: c.recheck, RetryDelay: time.Millisecond,
		StallTimeout: 500 * time.Millisecond, MaxInFlight: 1000,
		ResolveTimeout: 500 * time.Millisecond, ReleaseTimeout: 200 * time.Millisecond,
	})
	if runner == nil {
		return inst
	}
	ctx, cancel := context.WithCancel(context.Background())
	inst.stop = cancel
	done := inst.Start(ctx)
	c.t.Cleanup(func() {
		inst.store.set(func(h *instanceStore) { h.down = true })
		cancel()
		assert.NilError(c.t, <-done)
	})
	return inst
}

var testJob = scheduler.Key{Workspace: "ljepilo", Job: "confirmations"}

// uploadLines returns an upload of n items.
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

func (inst *testInstance) submit(t *testing.T, items int) Manifest {
	t.Helper()
	manifest, err := inst.Submit(t.Context(), submission(uploadLines(items)))
	assert.NilError(t, err)
	return manifest
}

// assertEnds waits until the job is folded and checks its state.
func (inst *testInstance) assertEnds(t *testing.T, state State) (manifest Manifest) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		manifest, err = inst.Status(t.Context(), testJob.Workspace, testJob.Job)
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
func (inst *testInstance) assertResults(t *testing.T, items int) (results []ResultLine) {
	t.Helper()
	results = inst.readResults(t)
	assert.Equal(t, len(results), items)
	for i, line := range results {
		assert.Equal(t, line.CustomID, fmt.Sprintf("item-%d", i))
	}
	return results
}

func (inst *testInstance) readResults(t *testing.T) (results []ResultLine) {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, inst.Results(t.Context(), testJob.Workspace, testJob.Job, &out))
	decoder := json.NewDecoder(&out)
	for decoder.More() {
		var line ResultLine
		assert.NilError(t, decoder.Decode(&line))
		results = append(results, line)
	}
	return results
}

// assertNoKeys waits until no key has the prefix.
func (c *testCluster) assertNoKeys(prefixes ...string) {
	c.t.Helper()
	h := &instanceStore{memoryPlatform: c.platform}
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, prefix := range prefixes {
			if entries, _ := h.List(c.t.Context(), prefix); len(entries) > 0 {
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
