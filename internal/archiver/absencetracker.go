package archiver

import (
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// An absenceTracker records since when instances have been missing from the
// instance list. It is not persisted, so a restart can delay a repair but never
// cause one too early.
type absenceTracker struct {
	clock Clock

	mu    sync.Mutex
	since map[string]time.Time // By instance ID, for unlisted instances that hold replicas.
}

func newAbsenceTracker(clock Clock) *absenceTracker {
	return &absenceTracker{clock: clock, since: make(map[string]time.Time)}
}

// observe updates the absences from the instance list and the replicas of a
// group.
func (a *absenceTracker) observe(instances []registrar.Instance, inventory Inventory) {
	now := a.clock.Now()
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range listed {
		delete(a.since, id)
	}
	for _, object := range inventory.Objects {
		for _, id := range object.Replicas {
			if _, known := a.since[id]; !known && !listed[id] {
				a.since[id] = now
			}
		}
	}
}

// isLost reports whether an instance has been missing from the list for at least
// the grace period.
func (a *absenceTracker) isLost(id string, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, ok := a.since[id]
	return ok && a.clock.Now().Sub(since) >= grace
}
