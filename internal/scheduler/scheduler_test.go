package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const testLane = "model/lm-desk"

// A testScheduler is a scheduler with a fake clock.
type testScheduler struct {
	*Scheduler
	clock *clockwork.FakeClock
	done  map[string]float64 // Tokens used by each workspace.
}

func newTestScheduler() *testScheduler {
	clock := clockwork.NewFakeClock()
	return &testScheduler{Scheduler: New(Config{Clock: clock}), clock: clock, done: make(map[string]float64)}
}

func (s *testScheduler) add(workspace, job string, dueIn time.Duration, items int) Key {
	k := Key{Workspace: workspace, Job: job}
	s.Add(Job{Key: k, Lane: testLane, Due: s.clock.Now().Add(dueIn), Remaining: items})
	return k
}

// run runs chunks that take one second each and the tokens of their workspace.
func (s *testScheduler) run(chunks int, tokens func(workspace string) float64) {
	for range chunks {
		d, ok := s.Next(testLane, 100)
		if !ok {
			return
		}
		s.clock.Advance(time.Second)
		work := tokens(d.Job.Workspace)
		s.Settle(d, 100, work)
		s.done[d.Job.Workspace] += work
	}
}

// assertNext checks the next decision and settles it with zero tokens.
func (s *testScheduler) assertNext(t *testing.T, job string, reason Reason) {
	t.Helper()
	d, ok := s.Next(testLane, 100)
	assert.Assert(t, ok)
	s.Settle(d, 0, 0)
	assert.Equal(t, d.Job.Job, job)
	assert.Equal(t, d.Reason, reason)
}

// Guards against a workspace that gets more than its fair share through many
// jobs, early due times or large items.
func TestFairness(t *testing.T) {
	equal := func(string) float64 { return 50_000 }
	cases := []struct {
		name   string
		dueIn  time.Duration
		tokens func(workspace string) float64
	}{
		{"many jobs", 8 * time.Hour, equal},
		{"many jobs that are due", 0, equal},
		{"many jobs that are due, of large items", 0, func(workspace string) float64 {
			if workspace == "greedy" {
				return 400_000
			}
			return 50_000
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			for i := range 200 {
				s.add("greedy", fmt.Sprint(i), c.dueIn, 100_000)
			}
			for i := range 7 {
				s.add(fmt.Sprintf("modest-%d", i), "only", 8*time.Hour, 1_000_000)
			}
			s.run(4000, c.tokens)
			total := 0.0
			for _, done := range s.done {
				total += done
			}
			for workspace, done := range s.done {
				if workspace != "greedy" {
					assert.Assert(t, done >= 0.9*total/8, "%s has %.3f of its share", workspace, 8*done/total)
				}
			}
			assert.Equal(t, len(s.done), 8)
		})
	}
}

// Guards against leaving capacity idle when only one workspace has jobs, and
// against credit that an idle workspace gains.
func TestIdleWorkspace(t *testing.T) {
	s := newTestScheduler()
	s.add("early", "a", 8*time.Hour, 1_000_000)
	s.run(300, func(string) float64 { return 50_000 })
	assert.Equal(t, s.done["early"], 300*50_000.0)
	s.add("late", "b", 8*time.Hour, 1_000_000)
	clear(s.done)
	s.run(100, func(string) float64 { return 50_000 })
	assert.Assert(t, s.done["early"] >= 45*50_000, "the late workspace starves the early one: %v", s.done)
	assert.Assert(t, s.done["late"] >= 45*50_000, "%v", s.done)
}

// Guards against a job that misses its due time although another could wait.
func TestUrgency(t *testing.T) {
	t.Run("earliest latest start within a workspace", func(t *testing.T) {
		s := newTestScheduler()
		s.add("w", "small", 2*time.Hour, 100)
		s.add("w", "large", 4*time.Hour, 110_000) // Three hours of work.
		s.assertNext(t, "large", FairShare)
	})
	t.Run("late job before fair sharing", func(t *testing.T) {
		s := newTestScheduler()
		s.add("a", "calm", 8*time.Hour, 1000)
		s.add("b", "late", 10*time.Second, 1000)
		d, _ := s.Next(testLane, 100)
		s.Settle(d, 100, 10_000)
		s.assertNext(t, "late", DueSoon)
	})
	t.Run("late job of a workspace beyond the urgent allowance", func(t *testing.T) {
		s := newTestScheduler()
		s.add("b", "late", 0, 100_000)
		s.run(1, func(string) float64 { return 2 * DefaultUrgentAllowance })
		s.add("a", "calm", 8*time.Hour, 1000)
		s.accounts.get("a").raiseTo(s.clock.Now(), 0)
		s.accounts.get("b").raiseTo(s.clock.Now(), s.Usage("a")+2*DefaultUrgentAllowance)
		s.assertNext(t, "calm", FairShare)
	})
}

// Guards against jobs that are chosen while delayed, or never again afterwards.
func TestDelayAndRemove(t *testing.T) {
	s := newTestScheduler()
	first := s.add("w", "first", time.Hour, 100)
	s.add("w", "second", 2*time.Hour, 100)
	s.Delay(testLane, first, s.clock.Now().Add(time.Minute))
	s.assertNext(t, "second", FairShare)
	at, ok := s.NextWake(testLane)
	assert.Assert(t, ok)
	s.clock.Advance(at.Sub(s.clock.Now()))
	s.assertNext(t, "first", FairShare)
	s.Remove(testLane, first)
	s.Remove(testLane, first)
	s.assertNext(t, "second", FairShare)
	assert.Equal(t, s.Jobs(), 1)
	_, ok = s.Next("another lane", 100)
	assert.Assert(t, !ok)
}

// Guards against a heap or queue that is left inconsistent by some order of
// calls.
func TestRandomCalls(t *testing.T) {
	s := newTestScheduler()
	r := rand.New(rand.NewPCG(1, 2))
	known := make(map[Key]bool)
	for range 20_000 {
		k := Key{Workspace: fmt.Sprint(r.IntN(5)), Job: fmt.Sprint(r.IntN(20))}
		switch r.IntN(5) {
		case 0:
			s.Add(Job{Key: k, Lane: testLane, Due: s.clock.Now().Add(time.Duration(r.IntN(100)) * time.Minute), Remaining: r.IntN(5000)})
			known[k] = true
		case 1:
			s.Remove(testLane, k)
			delete(known, k)
		case 2:
			s.Delay(testLane, k, s.clock.Now().Add(time.Duration(r.IntN(30))*time.Second))
		case 3:
			s.SetRemaining(testLane, k, r.IntN(5000))
		default:
			if d, ok := s.Next(testLane, 100); ok {
				assert.Assert(t, known[d.Job.Key])
				s.Settle(d, 100, float64(r.IntN(100_000)))
			}
			s.clock.Advance(time.Second)
		}
		assert.Equal(t, s.Jobs(), len(known))
	}
}

// BenchmarkNext measures Next and Settle with 250 workspaces.
func BenchmarkNext(b *testing.B) {
	for _, jobs := range []int{100, 1000, 34_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			s := New(Config{Clock: clockwork.NewRealClock()})
			now := time.Now()
			for i := range jobs {
				s.Add(Job{
					Key: Key{Workspace: fmt.Sprint(i % 250), Job: fmt.Sprint(i)}, Lane: testLane,
					Due: now.Add(time.Duration(i%1000) * time.Minute), Remaining: 1 << 30,
				})
			}
			for b.Loop() {
				d, ok := s.Next(testLane, 100)
				if !ok {
					b.Fatal("no job")
				}
				s.Settle(d, 100, 50_000)
			}
		})
	}
}
