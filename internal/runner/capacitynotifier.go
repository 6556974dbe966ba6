package runner

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// capacityNoticeDelay coalesces the ends of several online requests into one
// heartbeat. It limits a busy entry to 10 additional heartbeats per second, and
// lets batch work learn of capacity freed by a peer well within one second.
const capacityNoticeDelay = 100 * time.Millisecond

// A capacityNotifier sends a heartbeat soon after a full backend server has free
// capacity again.
type capacityNotifier struct {
	clock         clockwork.Clock
	sendHeartbeat func()

	mu      sync.Mutex
	pending bool // A heartbeat is scheduled.
}

func newCapacityNotifier(clock clockwork.Clock, sendHeartbeat func()) *capacityNotifier {
	return &capacityNotifier{clock: clock, sendHeartbeat: sendHeartbeat}
}

// notify schedules a heartbeat without blocking.
func (n *capacityNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending {
		return
	}
	n.pending = true
	n.clock.AfterFunc(capacityNoticeDelay, n.send)
}

func (n *capacityNotifier) send() {
	n.mu.Lock()
	n.pending = false
	n.mu.Unlock()
	n.sendHeartbeat()
}
