package registrar

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerServer is the number of points of a server on the hash ring. With 64
// points the shares of 60 servers differ by about an eighth; the load bound of
// the router evens out the rest.
const pointsPerServer = 64

// HashPrefix returns the position of a prompt prefix on the rings. All entries
// compute the same position, so that they send a prefix to the same server.
func HashPrefix(prefix string) uint64 {
	return xxhash.Sum64String(prefix)
}

type ringPoint struct {
	hash   uint64
	server *Server
}

// A ring is a consistent hash ring of the servers of a group, sorted by hash.
type ring struct {
	points []ringPoint
}

func newRing(servers []*Server) ring {
	points := make([]ringPoint, 0, len(servers)*pointsPerServer)
	for _, s := range servers {
		for i := range pointsPerServer {
			hash := xxhash.Sum64String(s.name + "#" + strconv.Itoa(i))
			points = append(points, ringPoint{hash: hash, server: s})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.server.name, b.server.name)
	})
	return ring{points: points}
}

// seek returns the index of the first point at or after hash.
func (r ring) seek(hash uint64) int {
	i, _ := slices.BinarySearchFunc(r.points, hash, func(p ringPoint, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	return i
}

// A RingIterator iterates over the servers of a group in ring order.
type RingIterator struct {
	ring      ring
	next      int
	remaining int
	previous  *Server
}

// Next returns the next server that differs from the previous one, or nil after
// one full turn.
func (w *RingIterator) Next() *Server {
	for w.remaining > 0 {
		p := w.ring.points[w.next%len(w.ring.points)]
		w.next++
		w.remaining--
		if p.server != w.previous {
			w.previous = p.server
			return p.server
		}
	}
	return nil
}
