package scheduler

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a FIFO baseline that is influenced by due times or usage.
func TestFIFOPolicy(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &testScheduler{Scheduler: New(Config{Clock: clock, Policy: FIFOPolicy{}}), clock: clock}
	for i, job := range []string{"c", "a", "b"} {
		s.Add(Job{
			Key: Key{Workspace: "w-" + job, Job: job}, Lane: testLane, Remaining: 100,
			AcceptedAt: clock.Now().Add(time.Duration(i) * time.Second), Due: clock.Now().Add(-time.Duration(i) * time.Hour),
		})
	}
	for _, job := range []string{"c", "a", "b"} {
		s.assertNext(t, job, FirstAccepted)
		s.assertNext(t, job, FirstAccepted)
		s.Remove(testLane, Key{Workspace: "w-" + job, Job: job})
	}
}
