package tester

import "sync/atomic"

// trafficCounters count the datagrams that arrived at a relay in both
// directions, including dropped ones. The bytes are those of UDP payloads.
type trafficCounters struct {
	datagrams atomic.Int64
	bytes     atomic.Int64
}

// Traffic returns the number of datagrams and payload bytes so far.
func (r *UDPRelay) Traffic() (datagrams, bytes int64) {
	return r.traffic.datagrams.Load(), r.traffic.bytes.Load()
}
