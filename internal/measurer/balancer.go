package measurer

import (
	"sync"
	"time"
)

// ejectionTime is how long the balancer skips an entry after a failed
// connection, about as long as the health check of the platform's load balancer.
const ejectionTime = time.Second

// An EntryLister returns the HTTP addresses of the entries. They may change when
// an entry restarts.
type EntryLister interface {
	EntryAddresses() []string
}

// A balancer imitates the platform's load balancer: it picks entries round-robin
// and skips those to which a connection failed recently.
type balancer struct {
	clock  Clock
	lister EntryLister

	mu           sync.Mutex
	cursor       int
	ejectedUntil map[string]time.Time // By address.
}

func newBalancer(clock Clock, lister EntryLister) *balancer {
	return &balancer{clock: clock, lister: lister, ejectedUntil: make(map[string]time.Time)}
}

// pick returns the next entry, or false when all are ejected.
func (b *balancer) pick() (address string, ok bool) {
	addresses := b.lister.EntryAddresses()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for range addresses {
		b.cursor++
		address = addresses[b.cursor%len(addresses)]
		if now.After(b.ejectedUntil[address]) {
			return address, true
		}
	}
	return "", false
}

// eject excludes an entry for ejectionTime.
func (b *balancer) eject(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ejectedUntil[address] = b.clock.Now().Add(ejectionTime)
}
