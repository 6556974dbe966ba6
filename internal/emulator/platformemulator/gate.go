package platformemulator

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	relistenAttempts = 50
	relistenDelay    = 20 * time.Millisecond
)

// A gate is a listener whose port can be closed for a while, so that dials are
// refused, and opened again.
type gate struct {
	addr net.Addr

	mu     sync.Mutex
	inner  net.Listener       // Nil while dials are refused.
	opened chan struct{}      // Closed when inner is set again or the gate ends.
	conns  map[*gateConn]bool // Open connections.
	closed bool
}

// A gateConn is a connection that its gate can cut.
type gateConn struct {
	net.Conn
	gate *gate
}

func newGate(address string) (g *gate, err error) {
	inner, err := net.Listen("tcp", address) //nolint:noctx // It does not wait.
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &gate{
		addr:   inner.Addr(),
		inner:  inner,
		opened: make(chan struct{}),
		conns:  map[*gateConn]bool{},
	}, nil
}

// Accept implements net.Listener. It waits while dials are refused.
func (g *gate) Accept() (net.Conn, error) {
	for {
		inner, opened, closed := g.state()
		switch {
		case closed:
			return nil, net.ErrClosed
		case inner == nil:
			<-opened
			continue
		}
		conn, err := inner.Accept()
		if err == nil {
			return g.admit(conn), nil
		}
		if current, _, _ := g.state(); current == inner {
			return nil, err
		}
	}
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr {
	return g.addr
}

// Close implements net.Listener. It also cuts the open connections.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	g.closed = true
	if g.inner == nil {
		close(g.opened)
		return nil
	}
	return g.shut()
}

// refuse closes the port and its connections, or opens it again.
func (g *gate) refuse(refused bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed || refused == (g.inner == nil):
		return nil
	case refused:
		return g.shut()
	}
	inner, err := relisten(g.addr.String())
	if err != nil {
		return err
	}
	g.inner = inner
	close(g.opened)
	g.opened = make(chan struct{})
	return nil
}

// shut closes the listener and the connections. The lock is held.
func (g *gate) shut() error {
	err := g.inner.Close()
	g.inner = nil
	for conn := range g.conns {
		_ = conn.Conn.Close()
	}
	clear(g.conns)
	return merry.Wrap(err)
}

func (g *gate) state() (inner net.Listener, opened <-chan struct{}, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner, g.opened, g.closed
}

// admit registers a connection. One that was accepted just before the port
// was closed is cut.
func (g *gate) admit(inner net.Conn) net.Conn {
	conn := &gateConn{Conn: inner, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inner == nil {
		_ = inner.Close()
		return conn
	}
	g.conns[conn] = true
	return conn
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// relisten opens the port again. A client may hold its number for a moment as
// the local port of a connection, which the clock of a test does not shorten.
func relisten(address string) (inner net.Listener, err error) {
	for range relistenAttempts {
		inner, err = net.Listen("tcp", address) //nolint:noctx // It does not wait.
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(relistenDelay)
	}
	return inner, merry.Wrap(err)
}
