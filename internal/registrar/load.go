package registrar

// A PeerLoad is the number of requests that one entry has in flight on a
// backend server, as sent in heartbeats.
type PeerLoad struct {
	Server string `cbor:"server" json:"server"`
	Online int    `cbor:"online" json:"online"`
	Batch  int    `cbor:"batch"  json:"batch"`
}

// A Load is the known load of one backend server, summed over all entries.
type Load struct {
	Online     int
	Batch      int
	Capacity   int // At least 1.
	BatchBound int
}

// Total returns the number of requests in flight of both classes.
func (l Load) Total() int {
	return l.Online + l.Batch
}

// BatchHeadroom returns how many more batch items the server accepts. Batch items
// use the capacity that online requests leave free, up to BatchBound.
func (l Load) BatchHeadroom() int {
	headroom := min(l.Capacity-l.Total(), l.BatchBound-l.Batch)
	return max(headroom, 0)
}

// BatchExcess returns how many batch items must be preempted to bring the server
// back within its capacity.
func (l Load) BatchExcess() int {
	excess := min(l.Total()-l.Capacity, l.Batch)
	return max(excess, 0)
}

// LessUtilized reports whether l has less online load relative to its capacity
// than other. Batch load only breaks ties, because batch items are preempted.
func (l Load) LessUtilized(other Load) bool {
	a := l.Online * other.Capacity
	b := other.Online * l.Capacity
	if a != b {
		return a < b
	}
	return l.Total()*other.Capacity < other.Total()*l.Capacity
}

// A GroupLoad is the summed load of the candidates of a group.
type GroupLoad struct {
	Online   int
	Batch    int
	Capacity int
}

// HasHeadroom reports whether online requests leave part of the capacity free.
func (l GroupLoad) HasHeadroom() bool {
	return l.Online < l.Capacity
}

// LessUtilized reports whether l has less online load relative to its capacity
// than other.
func (l GroupLoad) LessUtilized(other GroupLoad) bool {
	return l.Online*other.Capacity < other.Online*l.Capacity
}
