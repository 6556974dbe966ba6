package platformemulator

import (
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxInstanceLists limits the history in long tests; older lists are discarded.
const maxInstanceLists = 10_000

// An instanceList is the list of instances as of a point in time.
type instanceList struct {
	since     time.Time
	instances []storer.ListedInstance
}

// An instanceHistory serves past lists of instances.
type instanceHistory struct {
	clock Clock

	mu    sync.Mutex
	lists []instanceList // In chronological order.
}

func newInstanceHistory(clock Clock) *instanceHistory {
	return &instanceHistory{clock: clock}
}

func (h *instanceHistory) record(instances []storer.ListedInstance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, instanceList{since: h.clock.Now(), instances: instances})
	if len(h.lists) > maxInstanceLists {
		h.lists = h.lists[1:]
	}
}

// listWithLag returns the list as it was lag ago.
func (h *instanceHistory) listWithLag(lag time.Duration) []storer.ListedInstance {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := h.clock.Now().Add(-lag)
	for i := len(h.lists) - 1; i >= 0; i-- {
		if !h.lists[i].since.After(asOf) {
			return h.lists[i].instances
		}
	}
	return nil
}
