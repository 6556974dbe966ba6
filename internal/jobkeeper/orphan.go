package jobkeeper

import "time"

// orphanTakeoverDelay is the time after which an instance takes over a job without an owner
// although another instance succeeds that owner. The successor may be lost itself while its
// entry lasts, or may have joined after the owner's entry had ended, so that it has no reason
// to scan. The delay is longer than a scan and the takeovers of a successor take.
const orphanTakeoverDelay = 3 * time.Second

// An orphan is an unfinished job without an owner.
type orphan struct {
	version int64         // Of the record.
	seenAt  time.Time     // When a scan first found it at this version.
	delay   time.Duration // Time from seenAt until this instance takes it over.
	// unusableSince is when its takeover first failed at this version because the store
	// holds it in part only; zero if it did not.
	unusableSince time.Time
}

// An orphanSet holds the orphans of the last scan. Only the scan loop uses it.
type orphanSet struct {
	known map[string]orphan // By job ID.
	found map[string]orphan // Those of the scan in progress.
}

func (s *orphanSet) beginScan() { s.found = map[string]orphan{} }

// find records that the scan has found an orphan. It reports whether the orphan is due: it
// has been one for the delay, and nobody has written its record meanwhile. With a delay, one
// that is unusable is not due again.
func (s *orphanSet) find(id string, version int64, delay time.Duration, now time.Time) (due bool) {
	o, ok := s.known[id]
	if !ok || o.version != version {
		o = orphan{version: version, seenAt: now}
	}
	o.delay = delay
	s.found[id] = o
	return now.Sub(o.seenAt) >= delay && (delay == 0 || o.unusableSince.IsZero())
}

// markUnusable records that an orphan found by the scan in progress cannot be used. It
// returns since when that has been so.
func (s *orphanSet) markUnusable(id string, now time.Time) (since time.Time) {
	o := s.found[id]
	if o.unusableSince.IsZero() {
		o.unusableSince = now
	}
	s.found[id] = o
	return o.unusableSince
}

// endScan completes a scan. It reports whether some of its orphans are not due yet, for
// which the records have to be scanned again after orphanTakeoverDelay.
func (s *orphanSet) endScan(now time.Time) (waiting bool) {
	s.known, s.found = s.found, nil
	for _, o := range s.known {
		waiting = waiting || now.Sub(o.seenAt) < o.delay
	}
	return waiting
}
