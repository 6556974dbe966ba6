package tester

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
)

const (
	// maxDatagramBytes is the largest UDP datagram.
	maxDatagramBytes = 64 << 10
	// relayQueueLength is the number of datagrams queued in one direction of a
	// session; further ones are dropped, as by a router with a full queue.
	relayQueueLength = 4096
	// relayBufferBytes is the requested socket buffer size, so that the relay
	// does not lose bursts of QUIC. The system may grant less.
	relayBufferBytes = 4 << 20
	// sessionIdleTimeout ends sessions of clients that have gone. It is longer
	// than any test blocks a link.
	sessionIdleTimeout = 10 * time.Minute
)

// DatagramFaults are the faults in one direction of a UDP relay.
type DatagramFaults struct {
	Block    bool          // All datagrams are dropped.
	Delay    time.Duration // Added to each datagram; the order is kept.
	DropRate float64       // Fraction of the datagrams that is dropped, in [0, 1].
}

// A targetChooser selects the target for the datagrams of a client.
type targetChooser interface {
	ChooseTarget(client netip.AddrPort) (address string, err error)
}

// A UDPRelay forwards the datagrams of one link and injects faults. Each client
// address has its own session with the target.
type UDPRelay struct {
	Name    string
	Address string

	conn    *net.UDPConn
	chooser targetChooser // Nil when all clients have the same target.
	cancel  context.CancelFunc
	workers conc.WaitGroup

	traffic trafficCounters

	mu          sync.Mutex
	target      netip.AddrPort // Invalid until SetTarget; datagrams are dropped until then.
	baseLatency time.Duration  // Latency that is not a fault.
	faults      [directions]DatagramFaults
	random      [directions]*rand.Rand
	sessions    map[netip.AddrPort]*session
}

// A session forwards the datagrams of one client.
type session struct {
	client   netip.AddrPort
	upstream *net.UDPConn
	queues   [directions]chan datagram
	cancel   context.CancelFunc
}

// A datagram is queued in a relay until it is due.
type datagram struct {
	data []byte
	due  time.Time
}

// NewUDPRelay returns a listening relay. The seed determines which datagrams a
// drop rate loses. The relay is closed when ctx ends.
func NewUDPRelay(ctx context.Context, name string, seed uint64) (r *UDPRelay, err error) {
	return newUDPRelay(ctx, name, seed, nil)
}

// NewUDPSourceRouter returns a relay with a separate target for each client,
// which the chooser selects at the first datagram.
func NewUDPSourceRouter(ctx context.Context, name string, chooser targetChooser) (r *UDPRelay, err error) {
	return newUDPRelay(ctx, name, 0, chooser)
}

func newUDPRelay(ctx context.Context, name string, seed uint64, chooser targetChooser) (r *UDPRelay, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "open UDP relay %s", name)
		}
	}()

	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(relayBufferBytes)
	_ = conn.SetWriteBuffer(relayBufferBytes)
	r = &UDPRelay{
		Name:     name,
		Address:  conn.LocalAddr().String(),
		conn:     conn,
		chooser:  chooser,
		sessions: make(map[netip.AddrPort]*session),
	}
	for d := range r.random {
		r.random[d] = rand.New(rand.NewPCG(seed, uint64(d))) //nolint:gosec // Repeatable faults.
	}
	ctx, r.cancel = context.WithCancel(ctx)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	r.workers.Go(func() { r.readClients(ctx) })
	return r, nil
}

// SetTarget changes the target address and ends the sessions with the previous
// one.
func (r *UDPRelay) SetTarget(address string) (err error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return merry.Prependf(err, "set the target of UDP relay %s", r.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if target == r.target {
		return nil
	}
	r.target = target
	for client, s := range r.sessions {
		s.cancel()
		delete(r.sessions, client)
	}
	return nil
}

// SetFaults replaces the faults in one direction.
func (r *UDPRelay) SetFaults(d Direction, f DatagramFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[d] = f
}

// Block drops all datagrams in a direction and keeps its other faults.
func (r *UDPRelay) Block(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[d].Block = true
}

// Unblock undoes Block in both directions and keeps other faults.
func (r *UDPRelay) Unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.faults {
		r.faults[d].Block = false
	}
}

// Heal clears all faults.
func (r *UDPRelay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = [directions]DatagramFaults{}
}

// setBaseLatency sets a latency in each direction that Heal does not remove.
func (r *UDPRelay) setBaseLatency(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.baseLatency = latency
}

// Close closes the relay and waits for its goroutines.
func (r *UDPRelay) Close() {
	r.cancel()
	r.workers.Wait()
}

// readClients reads datagrams of clients until the relay is closed.
func (r *UDPRelay) readClients(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error for an earlier datagram.
		}
		if s := r.session(ctx, client); s != nil {
			r.enqueue(s, ToTarget, buffer[:n])
		}
	}
}

// session returns the session of a client, or nil while there is no target.
// Only readClients opens sessions.
func (r *UDPRelay) session(ctx context.Context, client netip.AddrPort) *session {
	r.mu.Lock()
	s, ok := r.sessions[client]
	target := r.target
	r.mu.Unlock()
	if ok {
		return s
	}
	if r.chooser != nil {
		address, err := r.chooser.ChooseTarget(client)
		if err != nil {
			return nil
		}
		target, _ = netip.ParseAddrPort(address)
	}
	if !target.IsValid() {
		return nil
	}
	return r.openSession(ctx, client, target)
}

func (r *UDPRelay) openSession(ctx context.Context, client, target netip.AddrPort) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil || (r.chooser == nil && target != r.target) {
		return nil
	}
	upstream, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(target))
	if err != nil {
		return nil
	}
	_ = upstream.SetReadBuffer(relayBufferBytes)
	_ = upstream.SetWriteBuffer(relayBufferBytes)
	s := &session{client: client, upstream: upstream}
	for d := range s.queues {
		s.queues[d] = make(chan datagram, relayQueueLength)
	}
	ctx, s.cancel = context.WithCancel(ctx)
	context.AfterFunc(ctx, func() { _ = upstream.Close() })
	r.sessions[client] = s
	r.workers.Go(func() { r.readTarget(s) })
	r.workers.Go(func() { s.deliver(ctx, ToTarget, r.conn) })
	r.workers.Go(func() { s.deliver(ctx, FromTarget, r.conn) })
	return s
}

// readTarget reads datagrams of the target until the session ends.
func (r *UDPRelay) readTarget(s *session) {
	defer r.closeSession(s)
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = s.upstream.SetReadDeadline(time.Now().Add(sessionIdleTimeout))
		n, err := s.upstream.Read(buffer)
		var timeout net.Error
		switch {
		case err == nil:
			r.enqueue(s, FromTarget, buffer[:n])
		case errors.Is(err, net.ErrClosed), errors.As(err, &timeout) && timeout.Timeout():
			return
		}
		// Other errors are ICMP errors of a target that is not listening.
	}
}

// closeSession ends a session and removes it.
func (r *UDPRelay) closeSession(s *session) {
	s.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.client] == s {
		delete(r.sessions, s.client)
	}
}

// enqueue applies the faults of a direction to a datagram and queues it.
func (r *UDPRelay) enqueue(s *session, d Direction, data []byte) {
	r.traffic.datagrams.Add(1)
	r.traffic.bytes.Add(int64(len(data)))
	delay, lost := r.decide(d)
	if lost {
		return
	}
	g := datagram{data: append([]byte(nil), data...), due: time.Now().Add(delay)}
	select {
	case s.queues[d] <- g:
	default: // The queue is full.
	}
}

// decide returns the delay of the next datagram in a direction, or that it is
// lost.
func (r *UDPRelay) decide(d Direction) (delay time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[d]
	if f.Block {
		return 0, true
	}
	return r.baseLatency + f.Delay, f.DropRate > 0 && r.random[d].Float64() < f.DropRate
}

// deliver sends queued datagrams when they are due, until the session ends.
func (s *session) deliver(ctx context.Context, d Direction, clients *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-s.queues[d]:
			if !waitUntil(ctx, g.due) {
				return
			}
			if d == ToTarget {
				_, _ = s.upstream.Write(g.data) // Losses are part of UDP.
			} else {
				_, _ = clients.WriteToUDPAddrPort(g.data, s.client)
			}
		}
	}
}

// waitUntil waits until the due time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
