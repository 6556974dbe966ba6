package resumer

import (
	"slices"
	"sync"
	"time"
)

// originRetention is how long after its last server has left a version may have begun a
// stream that a caller takes up.
const originRetention = time.Minute

// A history holds the versions of each service that have servers or had some within
// originRetention.
type history struct {
	mu       sync.Mutex
	loaded   bool                 // The versions in the store were read.
	listed   map[Origin]bool      // Origins with a server in the list.
	lastSeen map[Origin]time.Time // When a origin was last listed.
	stored   map[Origin]bool      // Origins in the store, as far as this instance knows.
	changed  chan struct{}
}

func (h *history) init() {
	h.listed, h.lastSeen, h.stored = map[Origin]bool{}, map[Origin]time.Time{}, map[Origin]bool{}
	h.changed = make(chan struct{}, 1)
}

func (h *history) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// observe records which origins are listed. It returns the services that have got a
// second origin.
func (h *history) observe(listed []Origin, now time.Time) (grown []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.listed {
		h.lastSeen[s] = now
	}
	clear(h.listed)
	for _, s := range listed {
		if _, known := h.lastSeen[s]; !known && len(h.recent(s.Service, now)) == 1 {
			grown = append(grown, s.Service)
		}
		h.listed[s] = true
		h.lastSeen[s] = now
	}
	h.wake()
	return grown
}

// mixed returns the services whose streams may have several origins.
func (h *history) mixed(now time.Time) (services []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.lastSeen {
		if !slices.Contains(services, s.Service) && len(h.recent(s.Service, now)) > 1 {
			services = append(services, s.Service)
		}
	}
	return services
}

// load records the origins in the store. When they were last listed is not known.
func (h *history) load(stored []Origin, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range stored {
		h.stored[s] = true
		h.lastSeen[s] = now
	}
	h.loaded = true
}

// only returns the single origin that streams of some services can have. It reports
// false if there are several, or if this instance does not know of all.
func (h *history) only(services []string, now time.Time) (s Origin, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return s, false
	}
	var recent []Origin
	for n, service := range services {
		if !slices.Contains(services[:n], service) {
			recent = append(recent, h.recent(service, now)...)
		}
	}
	if len(recent) != 1 {
		return s, false
	}
	return recent[0], true
}

// recent returns the origins of a service that may have begun a stream. The caller holds
// h.mu.
func (h *history) recent(service string, now time.Time) (origins []Origin) {
	for s, at := range h.lastSeen {
		if s.Service == service && (h.listed[s] || now.Sub(at) < originRetention) {
			origins = append(origins, s)
		}
	}
	return origins
}

// pending returns the origins to write to the store and those to remove from it.
func (h *history) pending(now time.Time) (write, remove []Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.listed {
		if !h.stored[s] {
			write = append(write, s)
		}
	}
	for s, at := range h.lastSeen {
		if h.listed[s] || now.Sub(at) < originRetention {
			continue
		}
		if h.stored[s] {
			remove = append(remove, s)
		} else {
			delete(h.lastSeen, s)
		}
	}
	return write, remove
}

func (h *history) setStored(s Origin, stored bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stored {
		h.stored[s] = true
		return
	}
	delete(h.stored, s)
}
