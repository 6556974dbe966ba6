package registrar

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// A Pool is the set of backend servers of a model or of a plain service. It is
// named "model/<name>" or "service/<name>".
type Pool struct {
	Name   string
	Groups []*Group // Sorted by failure domain; immutable.
}

// Group returns the group of a failure domain, or nil.
func (p *Pool) Group(failureDomain string) *Group {
	i, ok := slices.BinarySearchFunc(p.Groups, failureDomain, func(g *Group, name string) int {
		return cmp.Compare(g.FailureDomain.Name, name)
	})
	if !ok {
		return nil
	}
	return p.Groups[i]
}

// Candidates returns the number of servers that accept new requests.
func (p *Pool) Candidates() int {
	n := 0
	for _, g := range p.Groups {
		n += len(g.Candidates())
	}
	return n
}

// A Group is the servers of a pool in one failure domain. It maintains the list
// of candidates and the sums of their loads, so that the cost of a routing
// decision does not depend on the number of servers.
type Group struct {
	FailureDomain FailureDomain

	ring       ring                      // All servers of the group, including those that are not candidates.
	mu         sync.Mutex                // Serialises changes of candidates.
	candidates atomic.Pointer[[]*Server] // Copied on write.
	online     atomic.Int64
	batch      atomic.Int64
	capacity   atomic.Int64
}

func newGroup(domain FailureDomain, servers []*Server) *Group {
	g := &Group{FailureDomain: domain, ring: newRing(servers)}
	g.candidates.Store(&[]*Server{})
	return g
}

// Candidates returns the servers that accept new requests. The slice is shared
// and must not be changed.
func (g *Group) Candidates() []*Server {
	return *g.candidates.Load()
}

// Load returns the summed load of the candidates.
func (g *Group) Load() GroupLoad {
	return GroupLoad{
		Online:   int(g.online.Load()),
		Batch:    int(g.batch.Load()),
		Capacity: int(g.capacity.Load()),
	}
}

// IterateRing returns an iterator over all servers of the group in ring order,
// starting at hash.
func (g *Group) IterateRing(hash uint64) RingIterator {
	return RingIterator{ring: g.ring, next: g.ring.seek(hash), remaining: len(g.ring.points)}
}

func (g *Group) addLoad(online, batch, capacity int) {
	g.online.Add(int64(online))
	g.batch.Add(int64(batch))
	g.capacity.Add(int64(capacity))
}

func (g *Group) addCandidate(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers := append(slices.Clone(g.Candidates()), s)
	slices.SortFunc(servers, compareNames)
	g.candidates.Store(&servers)
}

func (g *Group) removeCandidate(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers := slices.DeleteFunc(slices.Clone(g.Candidates()), func(c *Server) bool { return c == s })
	g.candidates.Store(&servers)
}

func compareNames(a, b *Server) int {
	return cmp.Compare(a.name, b.name)
}
