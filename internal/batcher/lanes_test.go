package batcher

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// A fakeBackend accepts up to capacity concurrent items and refuses the others.
type fakeBackend struct {
	capacity atomic.Int64
	inFlight atomic.Int64
	refused  atomic.Int64
	done     atomic.Int64
}

// run sends items through a lane until ctx ends.
func (b *fakeBackend) run(ctx context.Context, l *lane, items int) {
	var wg sync.WaitGroup
	for range items {
		wg.Go(func() {
			for l.await(ctx, l.enqueue()) == nil {
				l.release(b.item())
			}
		})
	}
	wg.Wait()
}

func (b *fakeBackend) item() outcome {
	defer b.inFlight.Add(-1)
	if b.inFlight.Add(1) > b.capacity.Load() {
		b.refused.Add(1)
		return outcomeRejected
	}
	time.Sleep(5 * time.Millisecond) // Simulated processing time.
	b.done.Add(1)
	return outcomeAccepted
}

// Guards against a lane that leaves capacity unused for more than a second, exceeds
// the limit of the instance, or sends many items that are refused.
func TestLaneAdaptsToCapacity(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newLaneSet(Config{Clock: clockwork.NewRealClock(), MaxInFlight: 48}, func() {})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.run(ctx) })
	var b fakeBackend
	wg.Go(func() { b.run(ctx, s.get("a"), 100) })

	// assertFills checks that idle capacity is used within a second.
	assertFills := func(t *testing.T, capacity int64) {
		t.Helper()
		b.capacity.Store(capacity)
		begun := time.Now()
		eventually(t, "the capacity is used", func() bool { return b.inFlight.Load() >= min(capacity, 48) })
		t.Logf("used %d slots after %s", min(capacity, 48), time.Since(begun))
		assert.Assert(t, time.Since(begun) < time.Second, "%s", time.Since(begun))
	}
	t.Run("grows", func(t *testing.T) { assertFills(t, 32) })
	t.Run("shrinks", func(t *testing.T) {
		b.capacity.Store(0)
		l := s.get("a")
		eventually(t, "the limit is one item", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.limit == 1 && l.inFlight == 0
		})
		begun, refused := time.Now(), b.refused.Load()
		eventually(t, "items are refused", func() bool { return b.refused.Load() > refused+5 })
		bound := int64(time.Since(begun)/minProbeDelay) + 2
		assert.Assert(t, b.refused.Load()-refused <= bound)
	})
	t.Run("grows again", func(t *testing.T) { assertFills(t, 8) })
	t.Run("stays within the limit of the instance", func(t *testing.T) {
		b.capacity.Store(1000)
		done := b.done.Load()
		eventually(t, "many items are done", func() bool {
			assert.Assert(t, b.inFlight.Load() <= 48)
			return b.done.Load() > done+2000
		})
	})
}

// Guards against an item that keeps its slot or its place in the queue after its
// context was cancelled.
func TestLaneDropsCancelledItems(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newLaneSet(Config{Clock: clockwork.NewRealClock(), MaxInFlight: 1}, func() {})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.run(ctx) })
	l := s.get("a")
	assert.NilError(t, l.await(ctx, l.enqueue()))
	cancelledCtx, cancelItems := context.WithCancel(ctx)
	cancelItems()
	for range 3 {
		assert.ErrorIs(t, l.await(cancelledCtx, l.enqueue()), context.Canceled)
	}
	l.release(outcomeAccepted)
	assert.NilError(t, l.await(ctx, l.enqueue()))
}
