package measurer

import (
	"sync"
	"time"
)

// outTime is how long the balancer leaves out an entry that refused a
// connection, about as long as the health check of the platform's balancer.
const outTime = time.Second

// An EntryLister knows the HTTP addresses of the entries. They may change when
// an entry starts again.
type EntryLister interface {
	EntryAddresses() []string
}

// A balancer stands for the platform's load balancer: it gives out the entries
// in turn and leaves out those that refused a connection.
type balancer struct {
	clock  Clock
	lister EntryLister

	mu   sync.Mutex
	turn int
	out  map[string]time.Time // When an entry may be tried again.
}

func newBalancer(clock Clock, lister EntryLister) *balancer {
	return &balancer{clock: clock, lister: lister, out: make(map[string]time.Time)}
}

// pick returns the next entry, false when all are out.
func (b *balancer) pick() (address string, ok bool) {
	addresses := b.lister.EntryAddresses()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for range addresses {
		b.turn++
		address = addresses[b.turn%len(addresses)]
		if now.After(b.out[address]) {
			return address, true
		}
	}
	return "", false
}

// leaveOut keeps an entry out for a while.
func (b *balancer) leaveOut(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[address] = b.clock.Now().Add(outTime)
}
