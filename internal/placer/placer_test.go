package placer

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A fakeEngine executes orders at once and records their fencing numbers.
type fakeEngine struct {
	mu             sync.Mutex
	served         map[string][]LoadedModel
	fencingNumbers []int64
}

func (e *fakeEngine) Observe(_ context.Context, server declarer.BackendServer) (Observation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Observation{Server: server.Name, Models: e.served[server.Name]}, nil
}

func (e *fakeEngine) Execute(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served[o.Server.Name] = []LoadedModel{o.Model}
	e.fencingNumbers = append(e.fencingNumbers, o.FencingNumber)
	return nil
}

type fixedConfiguration struct{ declaration declarer.Declaration }

func (c *fixedConfiguration) Declaration() (declarer.Declaration, bool) {
	return c.declaration, true
}

func newTestPlacer(instance string, store Store, clock Clock, engine Engine, c Configuration) *Placer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Instance: instance, Store: store, Engine: engine, Configuration: c, Clock: clock, Log: log})
}

// Guards against two instances that send orders at the same time, and against
// fencing numbers that decrease when the holder changes.
func TestLeaseHandover(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock)
	engine := &fakeEngine{served: map[string][]LoadedModel{}}
	c := &fixedConfiguration{declaration: testState().Declaration}
	first := newTestPlacer("entry-1", store, clock, engine, c)
	second := newTestPlacer("entry-2", store, clock, engine, c)

	first.reconcile(ctx)
	second.reconcile(ctx)
	assertHolder(t, first, true)
	assertHolder(t, second, false)
	assert.Equal(t, len(engine.fencingNumbers), 1, "only the server that checks fencing numbers gets an order at once")

	t.Run("a paused holder loses the lease", func(t *testing.T) {
		clock.Advance(leaseTTL + time.Second)
		second.reconcile(ctx)
		assertHolder(t, second, true)

		c.declaration.Models[0].Version = "3"
		first.reconcile(ctx)
		assertHolder(t, first, false)
		assert.Equal(t, len(engine.fencingNumbers), 1)
	})
	t.Run("the next holder waits before it orders a server that ignores fencing numbers", func(t *testing.T) {
		clock.Advance(renewInterval)
		second.reconcile(ctx)
		clock.Advance(renewInterval)
		second.reconcile(ctx)
		clock.Advance(renewInterval)
		second.reconcile(ctx)
		assert.Equal(t, engine.served["b"][0].Version, "3")
		assertNotDecreasing(t, engine.fencingNumbers)
	})
	t.Run("a released lease can be acquired at once", func(t *testing.T) {
		second.releaseLease(ctx)
		first.reconcile(ctx)
		assertHolder(t, first, true)
	})
}

func assertHolder(t *testing.T, p *Placer, want bool) {
	t.Helper()
	assert.Equal(t, p.elector.term.FencingNumber != 0, want)
}

func assertNotDecreasing(t *testing.T, numbers []int64) {
	t.Helper()
	for i := 1; i < len(numbers); i++ {
		assert.Check(t, numbers[i] >= numbers[i-1], "fencing numbers %v", numbers)
	}
}

// Guards against more loads than the weight store's rate allows, also across a
// change of holder.
func TestLoadLimiter(t *testing.T) {
	l := loadLimiter{period: time.Minute}
	start := time.Unix(1000, 0)

	assert.Equal(t, l.available(start), 0)
	assert.Equal(t, l.available(start.Add(time.Minute)), 1)
	l.take()
	assert.Equal(t, l.available(start.Add(90*time.Second)), 0)
	assert.Equal(t, l.available(start.Add(time.Hour)), maxBurstLoads)
	l.reset()
	assert.Equal(t, l.available(start.Add(time.Hour)), 0)
}
