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

// An interruptibleListener is a listener whose port can be closed temporarily,
// so that connections are refused, and reopened.
type interruptibleListener struct {
	addr net.Addr

	mu       sync.Mutex
	listener net.Listener          // Nil while connections are refused.
	reopened chan struct{}         // Closed when listener is set again or the interruptibleListener is closed.
	conns    map[*trackedConn]bool // Open connections.
	closed   bool
}

// A trackedConn is a connection that its interruptibleListener can close.
type trackedConn struct {
	net.Conn
	owner *interruptibleListener
}

func newInterruptibleListener(address string) (l *interruptibleListener, err error) {
	listener, err := net.Listen("tcp", address) //nolint:noctx // It does not wait.
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &interruptibleListener{
		addr:     listener.Addr(),
		listener: listener,
		reopened: make(chan struct{}),
		conns:    map[*trackedConn]bool{},
	}, nil
}

// Accept implements net.Listener. It blocks while connections are refused.
func (l *interruptibleListener) Accept() (net.Conn, error) {
	for {
		listener, reopened, closed := l.state()
		switch {
		case closed:
			return nil, net.ErrClosed
		case listener == nil:
			<-reopened
			continue
		}
		conn, err := listener.Accept()
		if err == nil {
			return l.track(conn), nil
		}
		if current, _, _ := l.state(); current == listener {
			return nil, err
		}
	}
}

// Addr implements net.Listener.
func (l *interruptibleListener) Addr() net.Addr {
	return l.addr
}

// Close implements net.Listener. It also closes the open connections.
func (l *interruptibleListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.listener == nil {
		close(l.reopened)
		return nil
	}
	return l.closeLocked()
}

// setRefusing closes the port and its connections, or reopens the port.
func (l *interruptibleListener) setRefusing(refused bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed || refused == (l.listener == nil):
		return nil
	case refused:
		return l.closeLocked()
	}
	listener, err := relisten(l.addr.String())
	if err != nil {
		return err
	}
	l.listener = listener
	close(l.reopened)
	l.reopened = make(chan struct{})
	return nil
}

// closeLocked closes the listener and the connections. The caller holds mu.
func (l *interruptibleListener) closeLocked() error {
	err := l.listener.Close()
	l.listener = nil
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
	clear(l.conns)
	return merry.Wrap(err)
}

func (l *interruptibleListener) state() (listener net.Listener, reopened <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener, l.reopened, l.closed
}

// track registers a connection. It closes a connection that was accepted just
// before the port was closed.
func (l *interruptibleListener) track(accepted net.Conn) net.Conn {
	conn := &trackedConn{Conn: accepted, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		_ = accepted.Close()
		return conn
	}
	l.conns[conn] = true
	return conn
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// relisten reopens the port. It retries because a client may briefly use the
// same number as the local port of a connection, and sleeps in real time because
// a fake clock does not affect that.
func relisten(address string) (listener net.Listener, err error) {
	for range relistenAttempts {
		listener, err = net.Listen("tcp", address) //nolint:noctx // It does not wait.
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(relistenDelay)
	}
	return listener, merry.Wrap(err)
}
