package registrar

// A PeerLoad is the number of requests that one entry has in flight on a
// backend server, as it travels in heartbeats.
type PeerLoad struct {
	Server string `cbor:"server" json:"server"`
	Online int    `cbor:"online" json:"online"`
	Batch  int    `cbor:"batch"  json:"batch"`
}

// A Load is the known load of one backend server, from all entries together.
type Load struct {
	Online     int
	Batch      int
	Capacity   int // At least 1.
	BatchBound int
}

// Total is the number of requests in flight of both classes.
func (l Load) Total() int {
	return l.Online + l.Batch
}

// BatchRoom is the number of further batch items that the server takes: batch
// fills the capacity that online work leaves and stays within its bound.
func (l Load) BatchRoom() int {
	room := min(l.Capacity-l.Total(), l.BatchBound-l.Batch)
	return max(room, 0)
}

// Excess is the number of batch items that have to end so that online work
// finds the server within its capacity.
func (l Load) Excess() int {
	excess := min(l.Total()-l.Capacity, l.Batch)
	return max(excess, 0)
}

// LessOnline reports whether l has less online load for its capacity than
// other. Batch load decides only between equals, because batch yields.
func (l Load) LessOnline(other Load) bool {
	a := l.Online * other.Capacity
	b := other.Online * l.Capacity
	if a != b {
		return a < b
	}
	return l.Total()*other.Capacity < other.Total()*l.Capacity
}

// A GroupLoad is the sum over the candidates of a group.
type GroupLoad struct {
	Online   int
	Batch    int
	Capacity int
}

// HasRoom reports whether online work leaves a part of the capacity free.
func (l GroupLoad) HasRoom() bool {
	return l.Online < l.Capacity
}

// LessOnline reports whether l has less online load for its capacity than
// other.
func (l GroupLoad) LessOnline(other GroupLoad) bool {
	return l.Online*other.Capacity < other.Online*l.Capacity
}
