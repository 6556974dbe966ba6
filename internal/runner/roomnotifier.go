package runner

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// roomNoticeDelay gathers the ends of several online requests into one
// heartbeat. With it a busy entry sends at most 10 further heartbeats a second,
// and batch learns of room that a peer frees well within its second.
const roomNoticeDelay = 100 * time.Millisecond

// A roomNotifier sends a heartbeat soon after a full server got room.
type roomNotifier struct {
	clock clockwork.Clock
	prod  func()

	mu      sync.Mutex
	pending bool // A heartbeat is about to be sent.
}

func newRoomNotifier(clock clockwork.Clock, prod func()) *roomNotifier {
	return &roomNotifier{clock: clock, prod: prod}
}

// notify does not wait.
func (n *roomNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending {
		return
	}
	n.pending = true
	n.clock.AfterFunc(roomNoticeDelay, n.fire)
}

func (n *roomNotifier) fire() {
	n.mu.Lock()
	n.pending = false
	n.mu.Unlock()
	n.prod()
}
