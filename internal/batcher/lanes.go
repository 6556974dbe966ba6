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
	// growPause is the time without refusal after which a lane tries more
	// items side by side. It doubles up to maxGrowPause while the tries fail,
	// so idle capacity is noticed well within a second.
	growPause    = 50 * time.Millisecond
	maxGrowPause = 400 * time.Millisecond
	// roomPause is the pause of a lane without any item in flight after a
	// refusal; it doubles up to maxRoomPause.
	roomPause    = 20 * time.Millisecond
	maxRoomPause = 300 * time.Millisecond
)

// An outcome says what the end of an item tells about room.
type outcome int

const (
	outcomeEnded  outcome = iota // The item was taken by a backend server.
	outcomeNoRoom                // The item was refused or displaced.
)

// lanes bound the items in flight of this instance, for each lane and together.
type lanes struct {
	clock    Clock
	max      int
	room     <-chan struct{} // Signals that items may find room again.
	roomLeft func()          // Called when a lane may take another chunk.
	started  chan struct{}   // Signals that there is a new lane.

	mu       sync.Mutex
	byName   map[string]*lane
	inFlight int // Of all lanes; at most max.
}

func newLanes(cfg Config, roomLeft func()) *lanes {
	return &lanes{
		clock:    cfg.Clock,
		max:      cfg.MaxInFlight,
		room:     cfg.Room,
		roomLeft: roomLeft,
		started:  make(chan struct{}, 1),
		byName:   make(map[string]*lane),
	}
}

// run serves the timers of the lanes until ctx ends.
func (s *lanes) run(ctx context.Context) {
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
		case <-s.started:
		case <-s.room:
			for _, l := range s.all() {
				l.roomCame()
			}
		}
	}
}

// get returns the lane of a name.
func (s *lanes) get(name string) *lane {
	s.mu.Lock()
	l, ok := s.byName[name]
	if !ok {
		l = &lane{name: name, lanes: s, limit: 1, grow: growPause, kick: make(chan struct{}, 1)}
		s.byName[name] = l
	}
	s.mu.Unlock()
	if !ok {
		select {
		case s.started <- struct{}{}:
		default:
		}
	}
	return l
}

// all lists the lanes in random order, so that none is always first.
func (s *lanes) all() (all []*lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byName {
		all = append(all, l)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// take takes one of the slots that the lanes share.
func (s *lanes) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.max {
		return false
	}
	s.inFlight++
	return true
}

// give returns a shared slot. When none was left, other lanes may wait for it.
func (s *lanes) give() {
	s.mu.Lock()
	full := s.inFlight >= s.max
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
	name  string
	lanes *lanes
	kick  chan struct{}

	mu        sync.Mutex
	limit     int             // Items that may be in flight; at least 1.
	inFlight  int             // At most limit, but for a limit that was lowered.
	waiters   []chan struct{} // Items that wait for a slot, in order.
	preparing int             // Chunks whose items do not wait yet.
	grow      time.Duration   // Present pause before the limit grows.
	room      time.Duration   // Present pause after a refusal with nothing in flight.
	notBefore time.Time       // No item starts earlier.
	changedAt time.Time       // Last refusal or growth.
	grew      bool            // The last change was a growth.
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
		l.lanes.roomLeft()
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
		l.release(outcomeEnded)
	}
	return ctx.Err()
}

// release ends an item.
func (l *lane) release(o outcome) {
	now := l.lanes.clock.Now()
	l.mu.Lock()
	l.inFlight--
	if o == outcomeNoRoom {
		l.shrink(now)
	} else {
		l.room = 0
	}
	l.mu.Unlock()
	l.lanes.give()
	l.signal()
}

// shrink lowers the limit to what is in flight. The caller holds mu.
func (l *lane) shrink(now time.Time) {
	if l.grew && now.Sub(l.changedAt) < 2*l.grow { // The last growth was too much.
		l.grow = min(2*l.grow, maxGrowPause)
	} else if l.grew {
		l.grow = growPause
	}
	l.grew = false
	l.limit = max(l.inFlight, 1)
	l.changedAt = now
	if l.inFlight == 0 { // Nothing is known of the room that will come.
		l.grow = growPause
		l.room = min(max(2*l.room, roomPause), maxRoomPause)
		l.notBefore = now.Add(l.room)
	}
}

// roomCame lets one more item start at once.
func (l *lane) roomCame() {
	l.mu.Lock()
	l.notBefore = time.Time{}
	l.room = 0
	l.limit = min(max(l.limit, l.inFlight+1), l.lanes.max)
	l.mu.Unlock()
	l.signal()
}

// run starts waiting items when their time has come, until ctx ends.
func (l *lane) run(ctx context.Context) {
	for {
		var timer <-chan time.Time
		if next := l.pump(l.lanes.clock.Now()); next > 0 {
			timer = l.lanes.clock.After(next)
		}
		if l.wantsChunk() {
			l.lanes.roomLeft()
		}
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
		case <-timer:
		}
	}
}

func (l *lane) signal() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// pump starts the items that may start, and returns the time until more may;
// zero when only a signal can change that.
func (l *lane) pump(now time.Time) (next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.notBefore) {
		return l.notBefore.Sub(now)
	}
	for len(l.waiters) > 0 {
		if l.inFlight >= l.limit {
			if next = l.changedAt.Add(l.grow).Sub(now); next > 0 {
				return next
			}
			if l.limit >= l.lanes.max {
				return 0
			}
			if l.grew {
				l.grow = growPause
			}
			l.limit = min(2*l.limit, l.lanes.max)
			l.changedAt = now
			l.grew = true
			continue
		}
		if !l.lanes.take() {
			return 0
		}
		l.inFlight++
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
	return 0
}
