package resumer

import (
	"slices"
	"sync"
	"time"
)

// sourceRetention is how long after its last server has left a version may have begun a
// stream that a caller takes up.
const sourceRetention = time.Minute

// A history tells which versions of each service have servers, or had some lately.
type history struct {
	mu       sync.Mutex
	loaded   bool                 // The versions in the store were read.
	listed   map[Source]bool      // Sources with a server in the list.
	lastSeen map[Source]time.Time // When a source was last listed.
	stored   map[Source]bool      // Sources in the store, as far as this instance knows.
	changed  chan struct{}
}

func (h *history) init() {
	h.listed, h.lastSeen, h.stored = map[Source]bool{}, map[Source]time.Time{}, map[Source]bool{}
	h.changed = make(chan struct{}, 1)
}

func (h *history) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// observe records which sources are listed. It returns the services that have got a
// second source.
func (h *history) observe(listed []Source, now time.Time) (grown []string) {
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

// mixed returns the services whose streams may have several sources.
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

// load records the sources in the store. When they were last listed is not known.
func (h *history) load(stored []Source, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range stored {
		h.stored[s] = true
		h.lastSeen[s] = now
	}
	h.loaded = true
}

// only returns the single source that streams of some services can have. It reports
// false if there are several, or if this instance does not know of all.
func (h *history) only(services []string, now time.Time) (s Source, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return s, false
	}
	var recent []Source
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

// recent returns the sources of a service that may have begun a stream. The caller holds
// h.mu.
func (h *history) recent(service string, now time.Time) (sources []Source) {
	for s, at := range h.lastSeen {
		if s.Service == service && (h.listed[s] || now.Sub(at) < sourceRetention) {
			sources = append(sources, s)
		}
	}
	return sources
}

// pending returns the sources to write to the store and those to remove from it.
func (h *history) pending(now time.Time) (write, remove []Source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.listed {
		if !h.stored[s] {
			write = append(write, s)
		}
	}
	for s, at := range h.lastSeen {
		if h.listed[s] || now.Sub(at) < sourceRetention {
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

func (h *history) setStored(s Source, stored bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stored {
		h.stored[s] = true
		return
	}
	delete(h.stored, s)
}
