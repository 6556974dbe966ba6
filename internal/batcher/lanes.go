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
	// minGrowDelay is the time without refusal after which a lane tries more
	// items side by side. It doubles up to maxGrowDelay while the tries fail,
	// so idle capacity is noticed well within a second.
	minGrowDelay = 50 * time.Millisecond
	maxGrowDelay = 400 * time.Millisecond
	// minProbeDelay is the pause of a lane without any item in flight after a
	// refusal; it doubles up to maxProbeDelay.
	minProbeDelay = 20 * time.Millisecond
	maxProbeDelay = 300 * time.Millisecond
)

// An outcome says what the end of an item tells about room.
type outcome int

const (
	outcomeAccepted outcome = iota // The item was taken by a backend server.
	outcomeRejected                // The item was refused or displaced.
)

// lanes bound the items in flight of this instance, for each lane and together.
type laneSet struct {
	clock         Clock
	maxInFlight   int
	capacityFreed <-chan struct{} // Signals that items may find room again.
	onCapacity    func()          // Called when a lane may take another chunk.
	added         chan struct{}   // Signals that there is a new lane.

	mu       sync.Mutex
	byName   map[string]*lane
	inFlight int // Of all lanes; at most max.
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

// run serves the timers of the lanes until ctx ends.
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

// get returns the lane of a name.
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

// all lists the lanes in random order, so that none is always first.
func (s *laneSet) all() (all []*lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byName {
		all = append(all, l)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// take takes one of the slots that the lanes share.
func (s *laneSet) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.maxInFlight {
		return false
	}
	s.inFlight++
	return true
}

// give returns a shared slot. When none was left, other lanes may wait for it.
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

// A lane bounds the items in flight that share room. Its limit follows what the
// backend servers take: a refusal lowers it to what is in flight, and while
// there is none it grows.
type lane struct {
	name string
	set  *laneSet
	wake chan struct{}

	mu         sync.Mutex
	limit      int             // Items that may be in flight; at least 1.
	inFlight   int             // At most limit, but for a limit that was lowered.
	waiters    []chan struct{} // Items that wait for a slot, in order.
	preparing  int             // Chunks whose items do not wait yet.
	growDelay  time.Duration   // Present pause before the limit grows.
	probeDelay time.Duration   // Present pause after a refusal with nothing in flight.
	notBefore  time.Time       // No item starts earlier.
	changedAt  time.Time       // Last refusal or growth.
	grew       bool            // The last change was a growth.
}

// wantsChunk says whether the items of another chunk could start soon.
func (l *lane) wantsChunk() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preparing == 0 && len(l.waiters) < l.limit
}

// prepare counts a chunk that is being claimed; done is called once.
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

// enqueue takes a place in the queue of the lane.
func (l *lane) enqueue() (ticket chan struct{}) {
	ticket = make(chan struct{})
	l.mu.Lock()
	l.waiters = append(l.waiters, ticket)
	l.mu.Unlock()
	l.signal()
	return ticket
}

// await waits until the item with a ticket may start. After an error the
// ticket is void.
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
	if i < 0 { // Granted at the same time.
		l.release(outcomeAccepted)
	}
	return ctx.Err()
}

// release ends an item.
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

// shrink lowers the limit to what is in flight. The caller holds mu.
func (l *lane) shrink(now time.Time) {
	if l.grew && now.Sub(l.changedAt) < 2*l.growDelay { // The last growth was too much.
		l.growDelay = min(2*l.growDelay, maxGrowDelay)
	} else if l.grew {
		l.growDelay = minGrowDelay
	}
	l.grew = false
	l.limit = max(l.inFlight, 1)
	l.changedAt = now
	if l.inFlight == 0 { // Nothing is known of the room that will come.
		l.growDelay = minGrowDelay
		l.probeDelay = min(max(2*l.probeDelay, minProbeDelay), maxProbeDelay)
		l.notBefore = now.Add(l.probeDelay)
	}
}

// allowOneMore lets one more item start at once.
func (l *lane) allowOneMore() {
	l.mu.Lock()
	l.notBefore = time.Time{}
	l.probeDelay = 0
	l.limit = min(max(l.limit, l.inFlight+1), l.set.maxInFlight)
	l.mu.Unlock()
	l.signal()
}

// run starts waiting items when their time has come, until ctx ends.
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

// pump starts the items that may start, and returns the time until more may;
// zero when only a signal can change that.
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
