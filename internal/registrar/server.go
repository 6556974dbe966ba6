package registrar

import (
	"context"
	"sync"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A LeavingSource names who said that a backend server is leaving. Each source
// takes back only its own word, so that a probe that still answers does not
// undo what the instance list says.
type LeavingSource uint8

// The sources of the leaving state.
const (
	LeavingByDeclaration LeavingSource = 1 << iota
	LeavingByList
	LeavingByProbe
)

// A Server is a backend server with its load and state. All fields below mu
// are guarded by it.
type Server struct {
	name  string
	clock clock

	mu       sync.Mutex
	state    BackendServer
	leaving  LeavingSource // Set of the sources that say so.
	reserved bool          // It runs one suspect request alone.
	counted  bool          // Its load and capacity are part of the sums of its groups.
	groups   []*Group
	idle     chan struct{} // Closed when no request of this entry is in flight; nil while nobody waits.
}

func newServer(declared declarer.BackendServer, clock clock) *Server {
	s := &Server{name: declared.Name, clock: clock}
	s.state.Healthy = true // Until a probe or a request says otherwise.
	s.declare(declared)
	return s
}

// Name is the declared name.
func (s *Server) Name() string {
	return s.name
}

// Snapshot is a copy of the server's declaration, state and load.
func (s *Server) Snapshot() BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Load is the known load of the server.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Server) load() Load {
	return Load{
		Online:     s.state.OnlineLocal + s.state.OnlinePeers,
		Batch:      s.state.BatchLocal + s.state.BatchPeers,
		Capacity:   s.state.Capacity,
		BatchBound: s.state.BatchBound,
	}
}

// Begin counts a request of this entry and returns the load with it.
func (s *Server) Begin(class Class) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocal(class, 1)
	return s.load()
}

// TryBeginBatch counts a batch item if the server is a candidate with room for
// it.
func (s *Server) TryBeginBatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eligible() || s.load().BatchRoom() < 1 {
		return false
	}
	s.addLocal(Batch, 1)
	return true
}

// End takes back what Begin or TryBeginBatch counted, and returns the load
// without it.
func (s *Server) End(class Class) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocal(class, -1)
	return s.load()
}

func (s *Server) addLocal(class Class, n int) {
	if class == Batch {
		s.state.BatchLocal += n
		s.addToGroups(0, n)
	} else {
		s.state.OnlineLocal += n
		s.addToGroups(n, 0)
	}
	s.signalIdle()
}

func (s *Server) addPeers(online, batch int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.OnlinePeers += online
	s.state.BatchPeers += batch
	s.addToGroups(online, batch)
}

func (s *Server) addToGroups(online, batch int) {
	if !s.counted {
		return
	}
	for _, g := range s.groups {
		g.add(online, batch, 0)
	}
}

// SetHealthy records whether the server could be reached.
func (s *Server) SetHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Healthy = healthy
	if !healthy {
		s.state.FailedAt = s.clock.Now()
	}
	s.updateEligible()
}

// SetLeaving records what one source says about the server. The server is
// leaving while any source says so.
func (s *Server) SetLeaving(source LeavingSource, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving {
		s.leaving |= source
	} else {
		s.leaving &^= source
	}
	s.state.Leaving = s.leaving != 0
	s.updateEligible()
}

// SetReportedLoad records the server's own report, which lags.
func (s *Server) SetReportedLoad(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ReportedLoad = n
}

// Eligible reports whether the server takes new requests.
func (s *Server) Eligible() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eligible()
}

func (s *Server) eligible() bool {
	return s.state.Healthy && !s.state.Leaving && !s.reserved
}

// Reserve takes the server out of the candidates of this entry, so that one
// suspect request can run on it alone. It fails if the server is no candidate.
func (s *Server) Reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eligible() {
		return false
	}
	s.reserved = true
	s.updateEligible()
	return true
}

// Unreserve ends a reservation.
func (s *Server) Unreserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = false
	s.updateEligible()
}

// WaitIdle returns when this entry has no request in flight on the server.
func (s *Server) WaitIdle(ctx context.Context) error {
	select {
	case <-s.idleSignal():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) idleSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.signalIdle()
	return idle
}

func (s *Server) signalIdle() {
	if s.idle == nil || s.state.OnlineLocal+s.state.BatchLocal > 0 {
		return
	}
	close(s.idle)
	s.idle = nil
}

// declare takes over a new declaration. The load stays, and so do the groups
// until the server joins those of the new declaration.
func (s *Server) declare(declared declarer.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared.Capacity = max(declared.Capacity, 1)
	s.state.BackendServer = declared
	s.leaving &^= LeavingByDeclaration
	s.state.Leaving = s.leaving != 0
}

// join puts the server into the groups of a new declaration. It stays in the
// lists of the groups before, so that a decision that still reads them finds
// candidates.
func (s *Server) join(groups []*Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = groups
	s.counted = false
	s.updateEligible()
}

func (s *Server) updateEligible() {
	eligible := s.eligible()
	if eligible == s.counted {
		return
	}
	if !eligible {
		s.uncount()
		return
	}
	load := s.load()
	for _, g := range s.groups {
		g.add(load.Online, load.Batch, load.Capacity)
		g.admit(s)
	}
	s.counted = true
}

func (s *Server) uncount() {
	if !s.counted {
		return
	}
	load := s.load()
	for _, g := range s.groups {
		g.add(-load.Online, -load.Batch, -load.Capacity)
		g.dismiss(s)
	}
	s.counted = false
}
