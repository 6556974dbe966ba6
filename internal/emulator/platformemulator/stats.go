package platformemulator

import "sync/atomic"

// Stats counts the calls that reached the service, with or without an answer.
type Stats struct {
	Reads   int64 `json:"reads"`   // Gets, lists and watches.
	Watches int64 `json:"watches"` // Calls that waited for a change.
	Writes  int64 `json:"writes"`  // Puts, deletes and calls about leases.
}

// counters are Stats that several goroutines count.
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
