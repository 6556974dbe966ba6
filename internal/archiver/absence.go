package archiver

import (
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// An absence remembers since when instances have been out of the list. It
// starts empty with the process, so a restart delays a repair and never makes
// one early.
type absence struct {
	clock Clock

	mu    sync.Mutex
	since map[string]time.Time // By instance ID, for instances that hold replicas and are not listed.
}

func newAbsence(clock Clock) *absence {
	return &absence{clock: clock, since: make(map[string]time.Time)}
}

// observe takes in the list and the replicas of a group.
func (a *absence) observe(instances []registrar.Instance, inventory Inventory) {
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

// lost says whether an instance has been out of the list for the grace time.
func (a *absence) lost(id string, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, ok := a.since[id]
	return ok && a.clock.Now().Sub(since) >= grace
}
