package leaser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// maxRefused is the target for the share of requests inside the rate that are
// refused while all failure domains are connected: 0.1 in 100.
const maxRefused = 0.001

// An arrivalPattern says how requests arrive.
type arrivalPattern struct {
	name           string
	random         bool            // Random intervals; otherwise evenly spaced.
	chooseInstance func(i int) int // Returns the index of the instance for request i.
	burstSeconds   float64         // Burst of the workspace, in seconds of its rate.
	rateShare      float64         // Share of the rate at which requests arrive.
	rates          []int
	limits         declarer.Limits
}

// run offers a workspace's requests and returns how many were refused that a
// single limiter would have admitted.
func (p arrivalPattern) run(sim *simulation, workspace declarer.Workspace, period time.Duration) (refused, offered int) {
	end := sim.now.Add(period)
	i := 0
	var next func()
	next = func() {
		sim.instances[p.chooseInstance(i)].request(workspace.Name)
		i++
		pause := 1 / (workspace.Rate * p.rateShare)
		if p.random {
			pause *= sim.rng.ExpFloat64()
		}
		if sim.now.Before(end) {
			sim.after(time.Duration(pause*float64(time.Second)), nil, next)
		}
	}
	sim.after(0, nil, next)
	sim.run(period + time.Second)
	name := workspace.Name
	return max(0, sim.admissions.idealAdmitted[name]-sim.admissions.admitted[name]), sim.admissions.offered[name]
}

// assertFewRefused checks the target and the bounds.
func assertFewRefused(t *testing.T, sim *simulation, refused, offered int) {
	t.Helper()
	t.Logf("%d of %d refused inside the rate; %v", refused, offered, sim.admissions.reasons)
	assert.Assert(t, float64(refused) <= maxRefused*float64(offered), "%d of %d refused", refused, offered)
	assertBounds(t, sim)
}

// Guards against refusals inside the rate while all failure domains are
// connected: when demand is uneven, most of the rate must follow it,
// including the standing shares of the other entries and of slots that nobody
// holds.
func TestRefusalsBelowRate(t *testing.T) {
	oneEntry := func(int) int { return 0 }
	roundRobin := func(i int) int { return i % 4 }
	moving := func(i int) int { return i / 300 % 4 }
	limits := declarer.Limits{StandingShare: 0.2, StandingSlots: 4, RateShards: 4}
	spareSlots := declarer.Limits{StandingShare: 0.2, StandingSlots: 12, RateShards: 4}
	all := []int{20, 100, 500}
	for _, p := range []arrivalPattern{
		{name: "even at one entry", chooseInstance: oneEntry, burstSeconds: 1, rateShare: 0.95, rates: all, limits: limits},
		{name: "even at one entry, short burst", chooseInstance: oneEntry, burstSeconds: 0.5, rateShare: 0.95, rates: all, limits: limits},
		{name: "even at one entry, very short burst", chooseInstance: oneEntry, burstSeconds: 0.1, rateShare: 0.95, rates: all, limits: limits},
		// With a burst of 1 a request is refused if it arrives less than
		// 1/rate plus a round trip after the last one.
		{name: "even at one entry, burst 1", chooseInstance: oneEntry, burstSeconds: 0, rateShare: 0.8, rates: []int{5, 20}, limits: limits},
		{name: "random at one entry", random: true, chooseInstance: oneEntry, burstSeconds: 2, rateShare: 0.95, rates: all, limits: limits},
		{name: "random at one entry, spare slots", random: true, chooseInstance: oneEntry, burstSeconds: 2, rateShare: 0.95, rates: all, limits: spareSlots},
		{name: "random, round robin", random: true, chooseInstance: roundRobin, burstSeconds: 2, rateShare: 0.95, rates: all, limits: limits},
		{name: "random, moving between entries", random: true, chooseInstance: moving, burstSeconds: 2, rateShare: 0.95, rates: all, limits: limits},
	} {
		for _, rate := range p.rates {
			t.Run(fmt.Sprintf("%s, %d a second", p.name, rate), func(t *testing.T) {
				burst := max(1, int(p.burstSeconds*float64(rate)))
				workspace := declarer.Workspace{Name: "ljepilo", Rate: float64(rate), Burst: burst}
				d := testDeclaration()
				d.Limits = p.limits
				d.Workspaces = []declarer.Workspace{workspace}
				sim := newSimulation(1, d, 4)
				sim.run(20 * time.Second)
				refused, offered := p.run(sim, workspace, time.Minute)
				assertFewRefused(t, sim, refused, offered)
			})
		}
	}
}
