package platformemulator

import "sync/atomic"

// Stats counts the calls that reached the service, whether or not they got a
// response.
type Stats struct {
	Reads   int64 `json:"reads"`   // Gets, lists and watches.
	Watches int64 `json:"watches"` // Watches alone.
	Writes  int64 `json:"writes"`  // Puts, deletes and lease calls.
}

// counters holds the Stats as atomic counters.
type counters struct {
	reads   atomic.Int64
	watches atomic.Int64
	writes  atomic.Int64
}

func (c *counters) count(op operation) {
	if op.call().write {
		c.writes.Add(1)
		return
	}
	c.reads.Add(1)
	if _, ok := op.(*watchOperation); ok {
		c.watches.Add(1)
	}
}

func (c *counters) read() Stats {
	return Stats{Reads: c.reads.Load(), Watches: c.watches.Load(), Writes: c.writes.Load()}
}
