package jobkeeper

import "time"

// orphanTakeoverDelay is the time after which an instance takes over a job without an owner
// although another instance succeeds that owner. The successor may be lost itself while its
// entry lasts, or may have joined after the owner's entry had ended, so that it has no reason
// to scan. The delay is longer than a scan and the takeovers of a successor take.
const orphanTakeoverDelay = 3 * time.Second

// An orphan is an unfinished job whose owner is gone and which another instance should take
// over.
type orphan struct {
	version int64     // Of the record.
	seenAt  time.Time // When a scan first found it at this version.
	tried   bool      // Its takeover failed for good at this version.
}

// An orphanSet holds the orphans of the last scan. Only the scan loop uses it.
type orphanSet struct {
	known map[string]orphan // By job ID.
	found map[string]orphan // Those of the scan in progress.
}

func (s *orphanSet) beginScan() { s.found = map[string]orphan{} }

// find records that the scan has found an orphan. It reports whether the orphan is due: it
// has been one for orphanTakeoverDelay, and nobody has written its record meanwhile.
func (s *orphanSet) find(id string, version int64, now time.Time) (due bool) {
	o, ok := s.known[id]
	if !ok || o.version != version {
		o = orphan{version: version, seenAt: now}
	}
	s.found[id] = o
	return !o.tried && now.Sub(o.seenAt) >= orphanTakeoverDelay
}

// markTried records that an orphan found by the scan in progress cannot be taken over.
func (s *orphanSet) markTried(id string) {
	if o, ok := s.found[id]; ok {
		o.tried = true
		s.found[id] = o
	}
}

// endScan completes a scan. It reports whether some of its orphans are not due yet, for
// which the records have to be scanned again after orphanTakeoverDelay.
func (s *orphanSet) endScan(now time.Time) (waiting bool) {
	s.known, s.found = s.found, nil
	for _, o := range s.known {
		waiting = waiting || now.Sub(o.seenAt) < orphanTakeoverDelay
	}
	return waiting
}
