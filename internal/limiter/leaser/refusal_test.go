package leaser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// maxRefused is the target for requests inside the rate while all failure
// domains are joined: 0.1 in 100.
const maxRefused = 0.001

// A pattern says how requests arrive.
type pattern struct {
	name    string
	random  bool            // Otherwise evenly spaced.
	choose  func(i int) int // The node of request i.
	seconds float64         // Burst of the workspace, in seconds of its rate.
	share   float64         // Of the rate.
	rates   []int
	limits  declarer.Limits
}

// run offers a workspace's requests and returns how many were refused that a
// single limiter would have admitted.
func (p pattern) run(w *world, workspace declarer.Workspace, period time.Duration) (refused, offered int) {
	end := w.now.Add(period)
	i := 0
	var next func()
	next = func() {
		n := w.nodes[p.choose(i)]
		i++
		n.request(workspace.Name)
		n.poll()
		pause := 1 / (workspace.Rate * p.share)
		if p.random {
			pause *= w.rng.ExpFloat64()
		}
		if w.now.Before(end) {
			w.after(time.Duration(pause*float64(time.Second)), nil, next)
		}
	}
	w.after(0, nil, next)
	w.run(period + time.Second)
	name := workspace.Name
	return max(0, w.admissions.ideal[name]-w.admissions.admitted[name]), w.admissions.offered[name]
}

// assertFewRefused checks the target and the bounds.
func assertFewRefused(t *testing.T, w *world, refused, offered int) {
	t.Helper()
	t.Logf("%d of %d refused inside the rate; %v", refused, offered, w.admissions.reasons)
	assert.Assert(t, offered > 100)
	assert.Assert(t, float64(refused) <= maxRefused*float64(offered), "%d of %d refused", refused, offered)
	assertBounds(t, w)
}

// Guards against refusals inside the rate while all failure domains are
// joined: when demand is uneven, most of the rate must follow it, including
// the standing shares of the other entries and of slots that nobody holds.
func TestRefusalsInsideTheRate(t *testing.T) {
	first := func(int) int { return 0 }
	turns := func(i int) int { return i % 4 }
	waves := func(i int) int { return i / 300 % 4 }
	limits := declarer.Limits{StandingShare: 0.2, StandingSlots: 4, RateShards: 4}
	roomy := declarer.Limits{StandingShare: 0.2, StandingSlots: 12, RateShards: 4}
	all := []int{20, 100, 500}
	for _, p := range []pattern{
		{name: "even at one entry", choose: first, seconds: 1, share: 0.95, rates: all, limits: limits},
		{name: "even at one entry, short burst", choose: first, seconds: 0.5, share: 0.95, rates: all, limits: limits},
		{name: "even at one entry, very short burst", choose: first, seconds: 0.1, share: 0.95, rates: all, limits: limits},
		// With a burst of 1 a request is refused that comes earlier than
		// 1/rate and a round trip after the last one.
		{name: "even at one entry, burst 1", choose: first, seconds: 0, share: 0.8, rates: []int{5, 20}, limits: limits},
		{name: "random at one entry", random: true, choose: first, seconds: 2, share: 0.95, rates: all, limits: limits},
		{name: "random at one entry, spare slots", random: true, choose: first, seconds: 2, share: 0.95, rates: all, limits: roomy},
		{name: "random in turns", random: true, choose: turns, seconds: 2, share: 0.95, rates: all, limits: limits},
		{name: "random, moving", random: true, choose: waves, seconds: 2, share: 0.95, rates: all, limits: limits},
	} {
		for _, rate := range p.rates {
			t.Run(fmt.Sprintf("%s, %d a second", p.name, rate), func(t *testing.T) {
				burst := max(1, int(p.seconds*float64(rate)))
				workspace := declarer.Workspace{Name: "ljepilo", Rate: float64(rate), Burst: burst}
				d := testDeclaration()
				d.Limits = p.limits
				d.Workspaces = []declarer.Workspace{workspace}
				w := newWorld(1, d, 4)
				w.run(20 * time.Second)
				refused, offered := p.run(w, workspace, time.Minute)
				assertFewRefused(t, w, refused, offered)
			})
		}
	}
}
