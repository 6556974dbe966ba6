package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A LeavingSource is a source that reports a backend server as leaving. Each
// source clears only its own report, so that a successful probe does not override
// the instance list.
type LeavingSource uint8

// The sources of the leaving state.
const (
	LeavingByDeclaration LeavingSource = 1 << iota
	LeavingByList
	LeavingByProbe
)

// A Server is a backend server with its load and state. The fields below mu are
// guarded by it.
type Server struct {
	name  string
	clock clock

	mu          sync.Mutex
	state       BackendServer
	leaving     LeavingSource // Set of the sources that report it as leaving.
	reserved    bool          // Reserved for a single suspect request.
	inGroupSums bool          // Its load and capacity are included in the sums of its groups.
	groups      []*Group
	idle        chan struct{} // Closed when no request of this entry is in flight; nil without waiters.
}

func newServer(declared declarer.BackendServer, clock clock) *Server {
	s := &Server{name: declared.Name, clock: clock}
	s.state.Healthy = true // Until a probe or a request fails.
	s.declare(declared)
	return s
}

// Name returns the declared name.
func (s *Server) Name() string {
	return s.name
}

// Snapshot returns a copy of the server's declaration, state and load.
func (s *Server) Snapshot() BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Load returns the known load of the server.
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

// Begin counts a request of this entry as in flight and returns the load
// including it.
func (s *Server) Begin(class Class) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocal(class, 1)
	return s.load()
}

// TryBeginBatch counts a batch item as in flight if the server is a candidate
// with batch headroom.
func (s *Server) TryBeginBatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eligible() || s.paused() || s.load().BatchHeadroom() < 1 {
		return false
	}
	s.addLocal(Batch, 1)
	return true
}

// End reverses Begin or TryBeginBatch and returns the remaining load.
func (s *Server) End(class Class) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocal(class, -1)
	return s.load()
}

func (s *Server) addLocal(class Class, n int) {
	if class == Batch {
		s.state.BatchLocal += n
		s.addLoadToGroups(0, n)
	} else {
		s.state.OnlineLocal += n
		s.addLoadToGroups(n, 0)
	}
	s.signalIdle()
}

func (s *Server) addPeers(online, batch int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.OnlinePeers += online
	s.state.BatchPeers += batch
	s.addLoadToGroups(online, batch)
}

func (s *Server) addLoadToGroups(online, batch int) {
	if !s.inGroupSums {
		return
	}
	for _, g := range s.groups {
		g.addLoad(online, batch, 0)
	}
}

// SetHealthy records whether the server was reachable.
func (s *Server) SetHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Healthy = healthy
	if !healthy {
		s.state.FailedAt = s.clock.Now()
	}
	s.updateGroups()
}

// SetLeaving records the report of one source. The server is leaving while any
// source reports it as leaving.
func (s *Server) SetLeaving(source LeavingSource, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving {
		s.leaving |= source
	} else {
		s.leaving &^= source
	}
	s.state.Leaving = s.leaving != 0
	s.updateGroups()
}

// SetReportedLoad records the load that the server itself reports, which lags.
func (s *Server) SetReportedLoad(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ReportedLoad = n
}

// Pause records that the server asks for no new requests for a time.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.clock.Now().Add(d); until.After(s.state.PausedUntil) {
		s.state.PausedUntil = until
	}
}

func (s *Server) paused() bool { return s.clock.Now().Before(s.state.PausedUntil) }

// Paused reports whether the server has asked for a pause that is not over.
func (s *Server) Paused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paused()
}

// Eligible reports whether the server accepts new requests.
func (s *Server) Eligible() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eligible()
}

func (s *Server) eligible() bool {
	return s.state.Healthy && !s.state.Leaving && !s.reserved
}

// Reserve removes the server from the candidates of this entry, so that a suspect
// request can run on it alone. It returns false if the server is not a candidate.
func (s *Server) Reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eligible() {
		return false
	}
	s.reserved = true
	s.updateGroups()
	return true
}

// Unreserve ends a reservation.
func (s *Server) Unreserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = false
	s.updateGroups()
}

// WaitIdle waits until this entry has no request in flight on the server.
func (s *Server) WaitIdle(ctx context.Context) error {
	select {
	case <-s.idleChannel():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) idleChannel() <-chan struct{} {
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

// declare applies a new declaration. The server keeps its load, and its groups
// until setGroups replaces them.
func (s *Server) declare(declared declarer.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared.Capacity = max(declared.Capacity, 1)
	s.state.BackendServer = declared
	s.leaving &^= LeavingByDeclaration
	s.state.Leaving = s.leaving != 0
}

// setGroups assigns the server to the groups of a new declaration. It stays in the
// candidate lists of its previous groups, so that routing decisions that still
// read them find candidates.
func (s *Server) setGroups(groups []*Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = groups
	s.inGroupSums = false
	s.updateGroups()
}

func (s *Server) updateGroups() {
	eligible := s.eligible()
	if eligible == s.inGroupSums {
		return
	}
	if !eligible {
		s.leaveGroups()
		return
	}
	load := s.load()
	for _, g := range s.groups {
		g.addLoad(load.Online, load.Batch, load.Capacity)
		g.addCandidate(s)
	}
	s.inGroupSums = true
}

func (s *Server) leaveGroups() {
	if !s.inGroupSums {
		return
	}
	load := s.load()
	for _, g := range s.groups {
		g.addLoad(-load.Online, -load.Batch, -load.Capacity)
		g.removeCandidate(s)
	}
	s.inGroupSums = false
}
