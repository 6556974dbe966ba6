package tester

import "sync/atomic"

// A carried counts the datagrams that arrived at a relay in both directions,
// lost ones included. The bytes are those of UDP payloads.
type carried struct {
	datagrams atomic.Int64
	bytes     atomic.Int64
}

// Carried returns the number of datagrams and of their bytes so far.
func (r *UDPRelay) Carried() (datagrams, bytes int64) {
	return r.carried.datagrams.Load(), r.carried.bytes.Load()
}
