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
	// relayQueueLength is how many datagrams wait in one direction of a
	// session; further ones are lost, as in a full router.
	relayQueueLength = 4096
	// relayBufferBytes is asked for socket buffers, so that bursts of QUIC
	// are not lost in the relay itself. The system may grant less.
	relayBufferBytes = 4 << 20
	// sessionIdle ends sessions of clients that have gone. It is longer than
	// any test cuts a link.
	sessionIdle = 10 * time.Minute
)

// DatagramFaults are the faults in one direction of a UDP relay.
type DatagramFaults struct {
	Cut      bool          // All datagrams are lost.
	Delay    time.Duration // Added to each datagram; the order is kept.
	DropRate float64       // Part of the datagrams that is lost, in [0, 1].
}

// A targetChooser finds the target for the datagrams of a client.
type targetChooser interface {
	ChooseTarget(client netip.AddrPort) (address string, err error)
}

// A UDPRelay is a relay for the datagrams of one link that injects faults.
// Each client address has a session of its own towards the target.
type UDPRelay struct {
	Name    string
	Address string

	conn    *net.UDPConn
	chooser targetChooser // Nil when all clients have the same target.
	cancel  context.CancelFunc
	workers conc.WaitGroup

	carried carried

	mu       sync.Mutex
	target   netip.AddrPort // Invalid until SetTarget; datagrams are lost until then.
	distance time.Duration  // Latency that is no fault.
	faults   [directions]DatagramFaults
	random   [directions]*rand.Rand
	sessions map[netip.AddrPort]*session
}

// A session carries the datagrams of one client.
type session struct {
	client   netip.AddrPort
	upstream *net.UDPConn
	queues   [directions]chan datagram
	cancel   context.CancelFunc
}

// A datagram waits in a relay until it is due.
type datagram struct {
	data []byte
	due  time.Time
}

// NewUDPRelay returns a relay that listens. The seed decides which datagrams
// a drop rate loses. The relay ends with ctx.
func NewUDPRelay(ctx context.Context, name string, seed uint64) (r *UDPRelay, err error) {
	return newUDPRelay(ctx, name, seed, nil)
}

// NewUDPSourceRouter returns a relay that leads each client to a target of its
// own, which the chooser finds at the first datagram.
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

// SetTarget leads datagrams to another address.
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

// Cut loses all datagrams in a direction and keeps its other faults.
func (r *UDPRelay) Cut(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[d].Cut = true
}

// Join ends the cuts in both directions and leaves other faults.
func (r *UDPRelay) Join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.faults {
		r.faults[d].Cut = false
	}
}

// Heal ends all faults.
func (r *UDPRelay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = [directions]DatagramFaults{}
}

// setDistance adds latency in each direction that stays after Heal.
func (r *UDPRelay) setDistance(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distance = latency
}

// Close ends the relay and waits for its goroutines.
func (r *UDPRelay) Close() {
	r.cancel()
	r.workers.Wait()
}

// readClients takes datagrams of clients until the relay ends.
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

// session returns the session of a client, nil while there is no target. Only
// the reader of clients opens sessions.
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

// readTarget takes datagrams of the target until the session ends.
func (r *UDPRelay) readTarget(s *session) {
	defer r.forget(s)
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = s.upstream.SetReadDeadline(time.Now().Add(sessionIdle))
		n, err := s.upstream.Read(buffer)
		var timeout net.Error
		switch {
		case err == nil:
			r.enqueue(s, FromTarget, buffer[:n])
		case errors.Is(err, net.ErrClosed), errors.As(err, &timeout) && timeout.Timeout():
			return
		}
		// Other errors are ICMP errors of a target that does not listen now.
	}
}

// forget ends a session.
func (r *UDPRelay) forget(s *session) {
	s.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.client] == s {
		delete(r.sessions, s.client)
	}
}

// enqueue applies the faults of a direction to a datagram and queues it.
func (r *UDPRelay) enqueue(s *session, d Direction, data []byte) {
	r.carried.datagrams.Add(1)
	r.carried.bytes.Add(int64(len(data)))
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

// decide says what happens to the next datagram in a direction.
func (r *UDPRelay) decide(d Direction) (delay time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[d]
	if f.Cut {
		return 0, true
	}
	return r.distance + f.Delay, f.DropRate > 0 && r.random[d].Float64() < f.DropRate
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

// waitUntil returns false when ctx ends first.
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
