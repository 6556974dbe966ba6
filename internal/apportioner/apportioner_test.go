package apportioner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const workspace = "w1"

// A fleet is instances that share one clock and tell each other what they
// admitted.
type fleet struct {
	clock     *clockwork.FakeClock
	instances []*Apportioner
	cut       map[int]bool // Instances that hear nobody and are not heard.
}

func newFleet(n int, rate, burst float64) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), cut: map[int]bool{}}
	for range n {
		a := New(f.clock)
		a.Install([]Contract{{Workspace: workspace, Rate: rate, Burst: burst}})
		f.instances = append(f.instances, a)
	}
	for i, a := range f.instances {
		a.SetMembers(f.others(i))
	}
	return f
}

func (f *fleet) others(i int) []string {
	var ids []string
	for j := range f.instances {
		if j != i {
			ids = append(ids, id(j))
		}
	}
	return ids
}

func id(i int) string { return string(rune('a' + i)) }

// tell exchanges reports.
func (f *fleet) tell() {
	for i, from := range f.instances {
		report := from.Report()
		for j, to := range f.instances {
			if i != j && !f.cut[i] && !f.cut[j] {
				to.Learn(id(i), report)
			}
		}
	}
}

// run offers requests at a rate to each instance, with reports every 150 ms,
// and returns how many were admitted.
func (f *fleet) run(d time.Duration, perSecond []float64) int {
	admitted, _ := f.offer(d, perSecond)
	return admitted
}

func (f *fleet) offer(d time.Duration, perSecond []float64) (admitted, offered int) {
	const step = 10 * time.Millisecond
	owed := make([]float64, len(perSecond))
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		if elapsed%(150*time.Millisecond) == 0 {
			f.tell()
		}
		f.clock.Advance(step)
		for i := range f.instances {
			owed[i] += perSecond[i] * step.Seconds()
			for ; owed[i] >= 1; owed[i]-- {
				offered++
				if f.instances[i].Admit(workspace).Admitted {
					admitted++
				}
			}
		}
	}
	return admitted, offered
}

func assertBetween(t *testing.T, got int, low, high float64) {
	t.Helper()
	assert.Assert(t, float64(got) >= low && float64(got) <= high, "%d is not between %v and %v", got, low, high)
}

// allowance is what the contract admits in a window: rate and burst, with the
// tenth and the twenty requests that reports cannot prevent.
func allowance(rate, burst float64) float64 {
	return (rate*window.Seconds()+burst)*1.1 + 20
}

// window is the time over which contracts are judged.
const window = 5 * time.Second

// TestBound guards against a workspace that gets more than its rate and burst
// over all instances.
func TestBound(t *testing.T) {
	loads := map[string][]float64{
		"even":       {100, 100, 100, 100, 100},
		"one":        {500, 0, 0, 0, 0},
		"two uneven": {400, 50, 0, 0, 50},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, 60, 60)
			f.run(2*time.Second, []float64{1, 1, 1, 1, 1})
			assertBetween(t, f.run(window, load), 60*5*0.85, allowance(60, 60))
		})
	}
	t.Run("a cut instance and the others together", func(t *testing.T) {
		f := newFleet(5, 60, 60)
		f.run(2*time.Second, []float64{1, 1, 1, 1, 1})
		f.cut[0] = true
		assertBetween(t, f.run(window, []float64{100, 100, 100, 100, 100}), 60*5*0.8, allowance(60, 60))
	})
	t.Run("all cut", func(t *testing.T) {
		f := newFleet(5, 60, 60)
		f.run(2*time.Second, []float64{1, 1, 1, 1, 1})
		for i := range f.instances {
			f.cut[i] = true
		}
		assertBetween(t, f.run(window, []float64{100, 100, 100, 100, 100}), 60*5*0.8, allowance(60, 60))
	})
}

// TestInside guards against refusals of a workspace that stays inside its rate,
// wherever its requests arrive.
func TestInside(t *testing.T) {
	loads := map[string][]float64{
		"even":   {10, 10, 10, 10, 10},
		"uneven": {45, 5, 0, 0, 0},
		"one":    {50, 0, 0, 0, 0},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, 60, 60)
			f.run(2*time.Second, []float64{1, 1, 1, 1, 1})
			admitted, offered := f.offer(4*time.Second, load)
			assert.Equal(t, admitted, offered)
		})
	}
}

// TestRejoin guards against refusals after a cut has healed: what the others
// admitted meanwhile came from their part of the contract (site lh-order-desk,
// incident inc-c5a2).
func TestRejoin(t *testing.T) {
	f := newFleet(5, 60, 60)
	load := []float64{8, 8, 8, 8, 8}
	f.run(2*time.Second, load)
	f.cut[0] = true
	f.run(6*time.Second, load)
	delete(f.cut, 0)
	admitted, offered := f.offer(3*time.Second, load)
	assert.Equal(t, admitted, offered)
}

// TestColdStart guards against refusals after all instances were killed at once,
// when callers come back together (site jhwca-cellars, incident inc-92bd: 122
// refusals in three seconds).
func TestColdStart(t *testing.T) {
	f := newFleet(4, 60, 60)
	for i := range f.instances {
		f.cut[i] = true // Until they hear each other.
		f.instances[i] = New(f.clock)
		f.instances[i].SetMembers(f.others(i)) // Known before the contracts.
		f.instances[i].Install([]Contract{{Workspace: workspace, Rate: 60, Burst: 60}})
	}
	admitted, offered := f.offer(300*time.Millisecond, []float64{30, 30, 30, 30})
	assert.Equal(t, admitted, offered)
	f.cut = map[int]bool{}
	admitted, offered = f.offer(3*time.Second, []float64{14, 14, 14, 14})
	assert.Equal(t, admitted, offered)
}

// TestRestarts guards against a workspace that gets a new burst with each restart
// of the whole fleet (soak, seed 34: 153 requests in five seconds, 152 are
// allowed).
func TestRestarts(t *testing.T) {
	for _, contract := range []Contract{
		{Workspace: workspace, Rate: 60, Burst: 60},
		{Workspace: workspace, Rate: 20, Burst: 20},
		{Workspace: workspace, Rate: 5, Burst: 60},
	} {
		f := newFleet(3, contract.Rate, contract.Burst)
		load := []float64{100, 100, 100}
		f.run(10*time.Second, []float64{1, 1, 1})
		startedAt := f.clock.Now().Add(-10 * time.Second)
		admitted := f.run(time.Second, load)
		for range 2 {
			for i := range f.instances {
				f.instances[i] = New(f.clock)
				f.instances[i].Install([]Contract{contract}) // May be known before the members.
				f.instances[i].Restarted(f.clock.Now().Sub(startedAt))
				f.instances[i].SetMembers(f.others(i))
			}
			startedAt = f.clock.Now()
			admitted += f.run(2*time.Second, load)
		}
		assertBetween(t, admitted, 0, allowance(contract.Rate, contract.Burst))
	}
}

// TestRestart guards against an instance that starts anew and takes what its
// peers admitted before for use of the present burst.
func TestRestart(t *testing.T) {
	f := newFleet(3, 60, 60)
	f.run(20*time.Second, []float64{0, 20, 20}) // The peers have admitted hundreds.
	f.run(3*time.Second, []float64{0, 0, 0})
	started := New(f.clock)
	started.Install([]Contract{{Workspace: workspace, Rate: 60, Burst: 60}})
	started.SetMembers(f.others(0))
	f.instances[0] = started
	f.run(2*time.Second, []float64{1, 0, 0})
	admitted, offered := f.offer(3*time.Second, []float64{5, 20, 20})
	assert.Equal(t, admitted, offered)
}

// many is the number of instances of a large fleet.
const many = 27

// spread gives each of many instances an equal part of a demand.
func spread(perSecond float64) []float64 {
	load := make([]float64, many)
	for i := range load {
		load[i] = perSecond / many
	}
	return load
}

// TestMany guards against contracts that are too small to be divided among many
// instances, and against many instances that admit too much together.
func TestMany(t *testing.T) {
	t.Run("a small workspace inside its rate", func(t *testing.T) {
		f := newFleet(many, 6, 6)
		f.run(2*time.Second, spread(1))
		admitted, offered := f.offer(20*time.Second, spread(4))
		assertBetween(t, admitted, 0.97*float64(offered), float64(offered))
	})
	t.Run("a small workspace beyond its rate", func(t *testing.T) {
		f := newFleet(many, 6, 6)
		f.run(2*time.Second, spread(1))
		assertBetween(t, f.run(window, spread(60)), 0.7*6*5, allowance(6, 6))
	})
	t.Run("a large workspace beyond its rate", func(t *testing.T) {
		f := newFleet(many, 60, 60)
		f.run(2*time.Second, spread(10))
		assertBetween(t, f.run(window, spread(600)), 0.8*60*5, allowance(60, 60))
	})
	t.Run("all at one instance", func(t *testing.T) {
		f := newFleet(many, 60, 60)
		load := make([]float64, many)
		load[3] = 50
		f.run(2*time.Second, load)
		admitted, offered := f.offer(4*time.Second, load)
		assertBetween(t, admitted, 0.99*float64(offered), float64(offered))
	})
	t.Run("all cut", func(t *testing.T) {
		f := newFleet(many, 60, 60)
		f.run(2*time.Second, spread(20))
		for i := range f.instances {
			f.cut[i] = true
		}
		assertBetween(t, f.run(window, spread(600)), 0.5*60*5, allowance(60, 60))
	})
}

// TestContracts guards against contracts that do not follow the policy.
func TestContracts(t *testing.T) {
	f := newFleet(1, 10, 10)
	a := f.instances[0]
	t.Run("no bound", func(t *testing.T) {
		a.Install([]Contract{{Workspace: workspace}})
		for range 1000 {
			assert.Assert(t, a.Admit(workspace).Admitted)
		}
	})
	t.Run("a lower burst binds at once", func(t *testing.T) {
		a.Install([]Contract{{Workspace: workspace, Rate: 1, Burst: 2}})
		f.clock.Advance(time.Minute)
		assertBetween(t, f.run(100*time.Millisecond, []float64{1000}), 1, 4)
	})
	t.Run("a refusal says when to come back", func(t *testing.T) {
		d := a.Admit(workspace)
		assert.Assert(t, !d.Admitted)
		assert.Assert(t, d.RetryAfter > 0)
	})
}
