package recorder

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A fakeStore is a compare-and-swap store with injected faults.
type fakeStore struct {
	mu             sync.Mutex
	entries        map[string]storer.Entry
	version        int64
	writes         int
	loseAnswers    int           // Number of writes that take effect and lose their answer.
	down           bool          // Calls fail without effect.
	blockPuts      chan struct{} // If set, writes block until it is closed.
	blockedRecords int           // Records in the blocked writes.
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storer.Entry{}, storer.ErrUnavailable
	}
	entry, ok := s.entries[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return entry, nil
}

func (s *fakeStore) Put(_ context.Context, r storer.PutRequest) (storer.Entry, error) {
	if s.blockPuts != nil {
		s.addBlocked(r.Value)
		<-s.blockPuts
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storer.Entry{}, storer.ErrUnavailable
	}
	if s.entries[r.Key].Version != r.ExpectedVersion {
		return storer.Entry{}, storer.ErrConflict
	}
	s.version++
	s.writes++
	s.entries[r.Key] = storer.Entry{Key: r.Key, Value: r.Value, Version: s.version}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return storer.Entry{}, storer.ErrUnknownEffect
	}
	return s.entries[r.Key], nil
}

func (s *fakeStore) addBlocked(value []byte) {
	var records map[string]json.RawMessage
	_ = json.Unmarshal(value, &records) // The value is always a JSON object; see encode.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blockedRecords += len(records)
}

func (s *fakeStore) blockedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedRecords
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]storer.Entry{}}
}

func startRecorder(t *testing.T, instance string, store Store, clock Clock) *Recorder {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := New(instance, 1, store, clock)
	done := r.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return r
}

func assertDecision(t *testing.T, r *Recorder, i Intent, want DecisionKind) Decision {
	t.Helper()
	d, err := r.Begin(context.Background(), i)
	assert.NilError(t, err)
	assert.Equal(t, d.Kind, want)
	return d
}

// Guards against a request that runs twice when its caller resends it through
// another entry.
func TestResend(t *testing.T) {
	store := newFakeStore()
	clock := clockwork.NewFakeClock()
	first := startRecorder(t, "entry-1", store, clock)
	second := startRecorder(t, "entry-2", store, clock)
	order := Intent{Workspace: "packing", Key: "order-1", ContentDigest: "a"}

	assertDecision(t, first, order, Fresh)

	t.Run("while it runs", func(t *testing.T) {
		assertDecision(t, second, order, InDoubt)
	})
	t.Run("with other content", func(t *testing.T) {
		assertDecision(t, second, Intent{Workspace: "packing", Key: "order-1", ContentDigest: "b"}, Conflict)
	})
	t.Run("from another workspace", func(t *testing.T) {
		assertDecision(t, second, Intent{Workspace: "cellar", Key: "order-1", ContentDigest: "a"}, Fresh)
	})
	t.Run("after it finished", func(t *testing.T) {
		assert.NilError(t, first.Finish(context.Background(), order, Answer{Status: 201, Body: []byte("booked")}))
		d := assertDecision(t, second, order, Replay)
		assert.Equal(t, string(d.Answer.Body), "booked")
	})
	t.Run("before the end of the retention", func(t *testing.T) {
		clock.Advance(retention - time.Minute)
		assertDecision(t, second, order, Replay)
	})
	t.Run("after the retention", func(t *testing.T) {
		clock.Advance(2 * time.Minute)
		assertDecision(t, second, order, Fresh)
	})
}

// Guards against a request that is refused, or run twice, because the answer
// of the platform to the intent's write was lost.
func TestLostAnswer(t *testing.T) {
	store := newFakeStore()
	r := startRecorder(t, "entry-1", store, clockwork.NewFakeClock())

	store.loseAnswers = 1
	order := Intent{Workspace: "packing", Key: "order-1", ContentDigest: "a"}
	assertDecision(t, r, order, Fresh)
	assert.Equal(t, store.writes, 1)
	assertDecision(t, r, order, InDoubt)
}

// Guards against a dispatch without a durable intent.
func TestPlatformDown(t *testing.T) {
	store := newFakeStore()
	r := startRecorder(t, "entry-1", store, clockwork.NewFakeClock())

	store.down = true
	_, err := r.Begin(context.Background(), Intent{Workspace: "packing", Key: "order-1"})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
}

// Guards against resends that stay in doubt although the request was never
// dispatched.
func TestCancel(t *testing.T) {
	r := startRecorder(t, "entry-1", newFakeStore(), clockwork.NewFakeClock())
	order := Intent{Workspace: "packing", Key: "order-1", ContentDigest: "a"}

	assertDecision(t, r, order, Fresh)
	assert.NilError(t, r.Cancel(context.Background(), order))
	assertDecision(t, r, order, Fresh)
}

// Guards against platform writes that grow with the request rate.
func TestGroupedWrites(t *testing.T) {
	const requests = 40 * numBuckets
	store := newFakeStore()
	store.blockPuts = make(chan struct{})
	unblock := sync.OnceFunc(func() { close(store.blockPuts) })
	r := startRecorder(t, "entry-1", store, clockwork.NewFakeClock())
	t.Cleanup(unblock) // Runs before the recorder is stopped, which waits for its writes.

	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			d, err := r.Begin(context.Background(), Intent{Workspace: "packing", Key: fmt.Sprint(n)})
			assert.Check(t, err)
			assert.Check(t, d.Kind == Fresh)
		})
	}
	// The store blocks the first write of each bucket; all other operations must
	// become pending.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := pendingOperations(r) + store.blockedCount(); n < requests {
			return poll.Continue("%d operations pending or blocked", n)
		}
		return poll.Success()
	})
	unblock()
	wg.Wait()
	assert.Check(t, store.writes <= 3*numBuckets, "%d writes", store.writes)
}

func pendingOperations(r *Recorder) (n int) {
	for i := range r.buckets {
		b := &r.buckets[i]
		b.mu.Lock()
		n += len(b.pending)
		b.mu.Unlock()
	}
	return n
}

// Guards against a bucket that outgrows a platform value: the oldest bodies must
// be dropped first, and their answers marked as omitted.
func TestFullBucket(t *testing.T) {
	records := map[string]*record{}
	for n := range 64 {
		records[fmt.Sprint(n)] = &record{
			State:  Done,
			Begun:  time.Unix(int64(n), 0),
			Answer: &Answer{Body: make([]byte, MaxAnswerBytes)},
		}
	}

	value, err := encode(records)
	assert.NilError(t, err)
	assert.Check(t, len(value) <= maxBucketBytes)
	assert.Check(t, records["0"].Answer.Omitted)
	assert.Check(t, !records["63"].Answer.Omitted)
}
