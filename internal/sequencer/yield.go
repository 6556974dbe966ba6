package sequencer

import "time"

// minRest is the least time that a run has left that is cut short for another item. One
// with less left frees its slot as soon, without reading its prompt again.
const minRest = 2 * time.Second

// Yield selects the run to cut short for an item that waits: of the items that run and
// cannot be in time, the one with the most left to do. It answers a flood that meets
// servers full of the late items of an earlier one. It reports false if the item that
// waits cannot be in time itself, or none is to be cut short.
func (s *Sequencer) Yield(waiting Item, running []Item) (index int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.pace.perEvent == 0 || s.outlook(waiting, now) == lost {
		return 0, false
	}
	for i, item := range running {
		left := s.pace.expectedRest(item.Events)
		// An item that has not begun needs its prompt as well, so one that waits and is not
		// lost is not cut short here afterwards.
		sure := time.Duration((1 - runSlack) * float64(left))
		if left < minRest || item.Due.IsZero() || item.Due.Sub(now)+readGrace > sure {
			continue
		}
		if !ok || item.Events < running[index].Events {
			index, ok = i, true
		}
	}
	return index, ok
}

// expectedRest returns the time that a run goes on after the given number of events.
func (p pace) expectedRest(events int) time.Duration {
	return time.Duration(max(p.events-float64(events), 1) * float64(p.perEvent))
}
