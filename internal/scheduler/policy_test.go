package scheduler

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a FIFO baseline that is influenced by due times or usage.
func TestFIFOPolicy(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &testScheduler{Scheduler: New(Config{Clock: clock, Policy: FIFOPolicy{}}), clock: clock}
	for i, job := range []string{"c", "a", "b"} {
		w.Add(Job{
			Key: Key{Workspace: "w-" + job, Job: job}, Lane: testLane, Remaining: 100,
			AcceptedAt: clock.Now().Add(time.Duration(i) * time.Second), Due: clock.Now().Add(-time.Duration(i) * time.Hour),
		})
	}
	for _, job := range []string{"c", "a", "b"} {
		w.assertNext(t, job, FirstAccepted)
		w.assertNext(t, job, FirstAccepted)
		w.Remove(testLane, Key{Workspace: "w-" + job, Job: job})
	}
}
