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

// A fakeEngine carries orders out at once and keeps their fencing numbers.
type fakeEngine struct {
	mu      sync.Mutex
	served  map[string][]LoadedModel
	numbers []int64
}

func (e *fakeEngine) Observe(_ context.Context, server declarer.BackendServer) (Observation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Observation{Server: server.Name, Models: e.served[server.Name]}, nil
}

func (e *fakeEngine) Give(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served[o.Server.Name] = []LoadedModel{o.Model}
	e.numbers = append(e.numbers, o.FencingNumber)
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

// Guards against two instances that give orders at the same time, and against
// a number that does not grow from holder to holder.
func TestChangeOfHolder(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock)
	engine := &fakeEngine{served: map[string][]LoadedModel{}}
	c := &fixedConfiguration{declaration: testState().Declaration}
	first := newTestPlacer("entry-1", store, clock, engine, c)
	second := newTestPlacer("entry-2", store, clock, engine, c)

	first.step(ctx)
	second.step(ctx)
	assertHolder(t, first, true)
	assertHolder(t, second, false)
	assert.Equal(t, len(engine.numbers), 1, "only the server that checks numbers gets an order at once")

	t.Run("a frozen holder", func(t *testing.T) {
		clock.Advance(leaseTTL + time.Second)
		second.step(ctx)
		assertHolder(t, second, true)

		c.declaration.Models[0].Version = "3"
		first.step(ctx)
		assertHolder(t, first, false)
		assert.Equal(t, len(engine.numbers), 1)
	})
	t.Run("the next holder waits before a server that ignores numbers", func(t *testing.T) {
		clock.Advance(renewInterval)
		second.step(ctx)
		clock.Advance(renewInterval)
		second.step(ctx)
		clock.Advance(renewInterval)
		second.step(ctx)
		assert.Equal(t, engine.served["b"][0].Version, "3")
		assertGrowing(t, engine.numbers)
	})
	t.Run("a leaving holder hands over at once", func(t *testing.T) {
		second.resign(ctx)
		first.step(ctx)
		assertHolder(t, first, true)
	})
}

func assertHolder(t *testing.T, p *Placer, want bool) {
	t.Helper()
	assert.Equal(t, p.candidacy.tenure.FencingNumber != 0, want)
}

func assertGrowing(t *testing.T, numbers []int64) {
	t.Helper()
	for i := 1; i < len(numbers); i++ {
		assert.Check(t, numbers[i] >= numbers[i-1], "fencing numbers %v", numbers)
	}
}

// Guards against more loads than the weight store's rate allows, also over a
// change of holder.
func TestWeightBudget(t *testing.T) {
	b := weightBudget{period: time.Minute}
	start := time.Unix(1000, 0)

	assert.Equal(t, b.available(start), 0)
	assert.Equal(t, b.available(start.Add(time.Minute)), 1)
	b.spend()
	assert.Equal(t, b.available(start.Add(90*time.Second)), 0)
	assert.Equal(t, b.available(start.Add(time.Hour)), maxBurstLoads)
	b.reset()
	assert.Equal(t, b.available(start.Add(time.Hour)), 0)
}
