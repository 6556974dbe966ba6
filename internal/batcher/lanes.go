package batcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// minGrowDelay is the time without a refusal after which a lane raises its
	// limit. The delay doubles up to maxGrowDelay while raises lead to
	// refusals, so that idle capacity is used well within a second.
	minGrowDelay = 50 * time.Millisecond
	maxGrowDelay = 400 * time.Millisecond
	// minProbeDelay is the delay after a refusal in a lane with no other item
	// in flight; it doubles up to maxProbeDelay.
	minProbeDelay = 20 * time.Millisecond
	maxProbeDelay = 300 * time.Millisecond
)

// An outcome tells whether a backend server had capacity for an item.
type outcome int

const (
	outcomeAccepted outcome = iota // A backend server accepted the item.
	outcomeRejected                // The item was refused or preempted.
)

// A laneSet limits the items in flight of this instance, per lane and in total.
type laneSet struct {
	clock         Clock
	maxInFlight   int
	capacityFreed <-chan struct{} // Signals that backend capacity may be available.
	onCapacity    func()          // Called when a lane may accept another chunk.
	added         chan struct{}   // Signals that a lane was added.

	mu       sync.Mutex
	byName   map[string]*lane
	inFlight int // Of all lanes; at most maxInFlight.
}

func newLaneSet(cfg Config, onCapacity func()) *laneSet {
	return &laneSet{
		clock:         cfg.Clock,
		maxInFlight:   cfg.MaxInFlight,
		capacityFreed: cfg.CapacityFreed,
		onCapacity:    onCapacity,
		added:         make(chan struct{}, 1),
		byName:        make(map[string]*lane),
	}
}

// run runs the lanes until ctx ends.
func (s *laneSet) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	served := make(map[*lane]bool)
	for {
		for _, l := range s.all() {
			if !served[l] {
				served[l] = true
				wg.Go(func() { l.run(ctx) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.added:
		case <-s.capacityFreed:
			for _, l := range s.all() {
				l.allowOneMore()
			}
		}
	}
}

// get returns the lane with a name, adding it if needed.
func (s *laneSet) get(name string) *lane {
	s.mu.Lock()
	l, ok := s.byName[name]
	if !ok {
		l = &lane{name: name, set: s, limit: 1, growDelay: minGrowDelay, wake: make(chan struct{}, 1)}
		s.byName[name] = l
	}
	s.mu.Unlock()
	if !ok {
		select {
		case s.added <- struct{}{}:
		default:
		}
	}
	return l
}

// all lists the lanes in random order, so that none always goes first.
func (s *laneSet) all() (all []*lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byName {
		all = append(all, l)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// acquireSlot acquires one of the slots that the lanes share.
func (s *laneSet) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.maxInFlight {
		return false
	}
	s.inFlight++
	return true
}

// releaseSlot releases a shared slot. If all slots were in use, other lanes may be
// waiting for it.
func (s *laneSet) releaseSlot() {
	s.mu.Lock()
	full := s.inFlight >= s.maxInFlight
	s.inFlight--
	s.mu.Unlock()
	if !full {
		return
	}
	for _, l := range s.all() {
		l.signal()
	}
}

// A lane limits the items in flight that share backend capacity. The limit adapts
// to the backend servers: a refusal lowers it to the number of items in flight,
// and it grows while there are no refusals.
type lane struct {
	name string
	set  *laneSet
	wake chan struct{}

	mu         sync.Mutex
	limit      int             // Maximum number of items in flight; at least 1.
	inFlight   int             // Exceeds limit only after the limit was lowered.
	waiters    []chan struct{} // Items that wait for a slot, first come first served.
	preparing  int             // Chunks being claimed, whose items are not queued yet.
	growDelay  time.Duration   // Current delay before the limit grows.
	probeDelay time.Duration   // Current delay after a refusal with nothing in flight.
	notBefore  time.Time       // No item starts before this time.
	changedAt  time.Time       // Time of the last refusal or growth.
	grew       bool            // The last change was a growth.
}

// wantsChunk reports whether the items of another chunk could start soon.
func (l *lane) wantsChunk() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preparing == 0 && len(l.waiters) < l.limit
}

// prepare counts a chunk that is being claimed. The caller calls done once, when
// its items are queued or the claim has failed.
func (l *lane) prepare() (done func()) {
	l.mu.Lock()
	l.preparing++
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		l.preparing--
		l.mu.Unlock()
		l.set.onCapacity()
	}
}

// enqueue adds an item to the queue of the lane. The ticket is closed when the
// item may start.
func (l *lane) enqueue() (ticket chan struct{}) {
	ticket = make(chan struct{})
	l.mu.Lock()
	l.waiters = append(l.waiters, ticket)
	l.mu.Unlock()
	l.signal()
	return ticket
}

// await waits until the item with the ticket may start. After an error the
// ticket is no longer in the queue.
func (l *lane) await(ctx context.Context, ticket chan struct{}) (err error) {
	select {
	case <-ticket:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	i := slices.Index(l.waiters, ticket)
	if i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
	l.mu.Unlock()
	if i < 0 { // The slot was granted at the same time.
		l.release(outcomeAccepted)
	}
	return ctx.Err()
}

// release releases the slot of an item and adapts the limit to its outcome.
func (l *lane) release(o outcome) {
	now := l.set.clock.Now()
	l.mu.Lock()
	l.inFlight--
	if o == outcomeRejected {
		l.shrink(now)
	} else {
		l.probeDelay = 0
	}
	l.mu.Unlock()
	l.set.releaseSlot()
	l.signal()
}

// shrink lowers the limit to the number of items in flight. The caller holds mu.
func (l *lane) shrink(now time.Time) {
	if l.grew && now.Sub(l.changedAt) < 2*l.growDelay { // The last growth exceeded the capacity.
		l.growDelay = min(2*l.growDelay, maxGrowDelay)
	} else if l.grew {
		l.growDelay = minGrowDelay
	}
	l.grew = false
	l.limit = max(l.inFlight, 1)
	l.changedAt = now
	if l.inFlight == 0 { // The capacity that becomes free next is unknown.
		l.growDelay = minGrowDelay
		l.probeDelay = min(max(2*l.probeDelay, minProbeDelay), maxProbeDelay)
		l.notBefore = now.Add(l.probeDelay)
	}
}

// allowOneMore allows one more item to start at once.
func (l *lane) allowOneMore() {
	l.mu.Lock()
	l.notBefore = time.Time{}
	l.probeDelay = 0
	l.limit = min(max(l.limit, l.inFlight+1), l.set.maxInFlight)
	l.mu.Unlock()
	l.signal()
}

// run starts waiting items as slots become available, until ctx ends.
func (l *lane) run(ctx context.Context) {
	for {
		var timer <-chan time.Time
		if delay := l.startWaiting(l.set.clock.Now()); delay > 0 {
			timer = l.set.clock.After(delay)
		}
		if l.wantsChunk() {
			l.set.onCapacity()
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer:
		}
	}
}

func (l *lane) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// startWaiting starts the waiting items that may start. It returns the delay until
// more may start, or zero if that takes a signal.
func (l *lane) startWaiting(now time.Time) (delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.notBefore) {
		return l.notBefore.Sub(now)
	}
	for len(l.waiters) > 0 {
		if l.inFlight >= l.limit {
			if delay = l.changedAt.Add(l.growDelay).Sub(now); delay > 0 {
				return delay
			}
			if l.limit >= l.set.maxInFlight {
				return 0
			}
			if l.grew {
				l.growDelay = minGrowDelay
			}
			l.limit = min(2*l.limit, l.set.maxInFlight)
			l.changedAt = now
			l.grew = true
			continue
		}
		if !l.set.acquireSlot() {
			return 0
		}
		l.inFlight++
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
	return 0
}
