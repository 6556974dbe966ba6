package platformemulator

import (
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxInstanceLists bounds the history of a long test; older lists are lost.
const maxInstanceLists = 10_000

// An instanceList is the list of instances from a time on.
type instanceList struct {
	since     time.Time
	instances []storer.ListedInstance
}

// An instanceHistory serves the list of instances as it was a while ago.
type instanceHistory struct {
	clock Clock

	mu    sync.Mutex
	lists []instanceList // In order of time.
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

// at returns the list as it was lag ago.
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
