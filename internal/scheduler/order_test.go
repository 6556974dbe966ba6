package scheduler

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a first-come baseline in which due times or shares still
// count.
func TestFirstComeOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &world{Scheduler: New(Config{Clock: clock, Order: FirstComeOrder{}}), clock: clock}
	for i, job := range []string{"c", "a", "b"} {
		w.Add(Job{
			Key: Key{Workspace: "w-" + job, Job: job}, Lane: testLane, Remaining: 100,
			AcceptedAt: clock.Now().Add(time.Duration(i) * time.Second), Due: clock.Now().Add(-time.Duration(i) * time.Hour),
		})
	}
	for _, job := range []string{"c", "a", "b"} {
		w.assertNext(t, job, FirstCameFirst)
		w.assertNext(t, job, FirstCameFirst)
		w.Remove(testLane, Key{Workspace: "w-" + job, Job: job})
	}
}
