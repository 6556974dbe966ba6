package intaker

import (
	"errors"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const testMemoryMB = 6 // A budget of 1 MiB.

// A testGate is a gate on a fake clock, with the accounts that were cut.
type testGate struct {
	*Gate
	clock *clockwork.FakeClock
	cuts  map[string]bool
}

func newTestGate(conns int) *testGate {
	clock := clockwork.NewFakeClock()
	return &testGate{
		Gate:  &Gate{Budget: NewBudget(testMemoryMB, clock, logrus.New()), MaxConns: conns},
		clock: clock, cuts: map[string]bool{},
	}
}

// open opens an account and lets time pass, so that accounts differ in their progress.
func (g *testGate) open(t *testing.T, name string) *Account {
	t.Helper()
	g.clock.Advance(time.Second)
	a, err := g.Open(func() { g.cuts[name] = true })
	assert.NilError(t, err)
	return a
}

func (g *testGate) take(t *testing.T, a *Account, n int64) {
	t.Helper()
	g.clock.Advance(time.Second)
	a.Begin()
	assert.NilError(t, a.Take(n))
}

// Guards against a budget that is exceeded, or that takes from requests that run or make
// progress.
func TestBudget(t *testing.T) {
	t.Run("the one without progress for longest loses its share", func(t *testing.T) {
		g := newTestGate(10)
		slow, fast, next := g.open(t, "slow"), g.open(t, "fast"), g.open(t, "next")
		g.take(t, slow, 300<<10)
		g.take(t, fast, 200<<10)
		g.take(t, fast, 200<<10)
		g.take(t, next, 300<<10)
		assert.DeepEqual(t, g.cuts, map[string]bool{"slow": true})
		used, evictions := g.Budget.Usage()
		assert.Equal(t, used, int64(700<<10))
		assert.Equal(t, evictions, int64(1))
		assert.ErrorIs(t, slow.Take(1), ErrOverloaded)
		assert.ErrorIs(t, slow.Complete(1), ErrOverloaded, "an evicted request must not run")
		slow.Close()
		used, _ = g.Budget.Usage()
		assert.Equal(t, used, int64(700<<10), "a share is returned once")
	})
	t.Run("requests that run keep their share", func(t *testing.T) {
		g := newTestGate(10)
		runs, next := g.open(t, "runs"), g.open(t, "next")
		g.take(t, runs, 700<<10)
		assert.NilError(t, runs.Complete(700<<10))
		next.Begin()
		assert.ErrorIs(t, next.Take(300<<10), ErrOverloaded)
		assert.Equal(t, len(g.cuts), 0)
		runs.Idle()
		assert.NilError(t, g.open(t, "last").Take(300<<10))
	})
	t.Run("large requests leave room for small ones", func(t *testing.T) {
		g := newTestGate(10)
		large, small := g.open(t, "large"), g.open(t, "small")
		g.take(t, large, 768<<10)
		assert.NilError(t, large.Complete(768<<10))
		g.take(t, small, smallBytes)
	})
	t.Run("a request that is larger than the budget is refused", func(t *testing.T) {
		g := newTestGate(10)
		large := g.open(t, "large")
		g.take(t, large, 700<<10)
		assert.ErrorIs(t, large.Take(400<<10), ErrOverloaded)
		used, _ := g.Budget.Usage()
		assert.Equal(t, used, int64(0))
	})
}

// Guards against answers that are not read and fill the memory, or keep out all others.
func TestHoldAnswer(t *testing.T) {
	const large, small = 150 << 10, 10 << 10 // Of 256 KB, of which 192 KB are for large ones.
	g := newTestGate(10)
	first, second := g.open(t, "first"), g.open(t, "second")
	assert.NilError(t, first.HoldAnswer(large))
	assert.ErrorIs(t, second.HoldAnswer(large), ErrOverloaded)
	assert.NilError(t, second.HoldAnswer(small))
	assert.NilError(t, second.HoldAnswer(small)) // To the next request of the connection.
	assert.Equal(t, g.Budget.answers, int64(large+small))
	first.Idle()
	assert.Equal(t, g.Budget.answers, int64(small))
	second.Close()
	assert.Equal(t, g.Budget.answers, int64(0))
	assert.NilError(t, first.HoldAnswer(10*large), "a single answer finds room")
	first.Close()
	first.Close()
	assert.Equal(t, g.Budget.answers, int64(0))
}

// Guards against connections beyond the descriptors, and against callers that are kept
// out by connections that send nothing.
func TestGate(t *testing.T) {
	t.Run("the first to go was never served", func(t *testing.T) {
		g := newTestGate(3)
		served, old := g.open(t, "served"), g.open(t, "old")
		served.Begin()
		assert.NilError(t, served.Complete(0))
		served.Idle()
		g.open(t, "young")
		g.open(t, "new")
		assert.DeepEqual(t, g.cuts, map[string]bool{"old": true})
		old.Close()
		assert.Equal(t, g.Gate.open, 3)
	})
	t.Run("connections whose requests run stay", func(t *testing.T) {
		g := newTestGate(1)
		runs := g.open(t, "runs")
		assert.NilError(t, runs.Complete(0))
		_, err := g.Open(func() {})
		assert.ErrorIs(t, err, ErrOverloaded)
		runs.Close()
		g.open(t, "next")
	})
}

// Guards against a request that runs after its eviction, and against shares that are lost
// or returned twice, when connections compete.
func TestCompetingConnections(t *testing.T) {
	budget := NewBudget(testMemoryMB, clockwork.NewRealClock(), logrus.New())
	gate := &Gate{Budget: budget, MaxConns: 20}
	var connections conc.WaitGroup
	for range 40 {
		connections.Go(func() {
			for range 200 {
				var cut atomic.Bool
				a, err := gate.Open(func() { cut.Store(true) })
				if err != nil {
					continue
				}
				a.Begin()
				for range 8 {
					err = errors.Join(err, a.Take(smallBytes))
				}
				if a.Complete(8*smallBytes) == nil {
					runtime.Gosched()
					assert.Check(t, err == nil && !cut.Load(), "an evicted request runs")
					a.Idle()
				}
				a.Close()
			}
		})
	}
	connections.Wait()
	used, _ := budget.Usage()
	assert.Equal(t, used, int64(0))
	assert.Equal(t, gate.open, 0)
	assert.Equal(t, len(budget.accounts), 0)
}

// BenchmarkEviction measures a piece that is taken from another connection, beside a
// thousand that have stalled.
func BenchmarkEviction(b *testing.B) {
	gate := &Gate{Budget: NewBudget(testMemoryMB, clockwork.NewRealClock(), logrus.New()), MaxConns: 2000}
	for range 1000 {
		a, _ := gate.Open(func() {})
		a.Begin()
		_ = a.Take(1)
	}
	for b.Loop() {
		a, _ := gate.Open(func() {})
		a.Begin()
		_ = a.Take(smallBytes)
	}
}

// BenchmarkRequest measures an ordinary request.
func BenchmarkRequest(b *testing.B) {
	gate := &Gate{Budget: NewBudget(0, clockwork.NewRealClock(), logrus.New()), MaxConns: 2000}
	a, _ := gate.Open(func() {})
	b.ReportAllocs()
	for b.Loop() {
		a.Begin()
		_ = a.Take(10_000)
		_ = a.Complete(10_000)
		a.Idle()
	}
}
