// Package watcher watches the connections of callers: a caller that takes nothing
// is dropped, and one that leaves while its request runs is noticed.
package watcher

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// writePiece is the most that one write deadline covers, so that a slow
	// caller that takes up a large answer is not cut.
	writePiece = 64 << 10
	// lingerTime and lingerBytes bound the reading of a body that was refused.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// A Listener wraps the connections of callers.
type Listener struct {
	net.Listener
	WriteSilence time.Duration // In which a caller has to take up the next part of its answer.
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: c.(*net.TCPConn), writeSilence: l.WriteSilence}, nil
}

// A Conn is a connection of a caller. Its write deadline moves with each
// write, so that a stream may last and a caller that takes nothing is dropped.
type Conn struct {
	*net.TCPConn
	writeSilence time.Duration
	lingering    atomic.Bool
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeSilence)); err != nil {
			return n, err
		}
		written, err := c.TCPConn.Write(p[:min(len(p), writePiece)])
		n += written
		if err != nil {
			return n, err
		}
		p = p[written:]
	}
	return n, nil
}

// ReadFrom implements io.ReaderFrom through Write, past the fast path of the
// connection that would know no deadline.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(writerOnly{c}, r)
}

type writerOnly struct{ io.Writer }

// Linger lets Close read on for a while. If it closed at once, the kernel would
// reset the connection and the caller could lose the refusal.
func (c *Conn) Linger() {
	c.lingering.Store(true)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.lingering.Swap(false) && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close()
}

// A Watch notices that a caller closes its connection while its request
// runs, when nobody reads from it.
type Watch struct {
	conn net.Conn
	wait conc.WaitGroup
}

// Caller calls gone when the caller has closed its connection. It peeks,
// so that a next request on the connection stays where it is.
func Caller(conn net.Conn, gone func()) *Watch {
	w := &Watch{conn: conn}
	raw, err := rawOf(conn)
	if err != nil {
		return w
	}
	w.wait.Go(func() {
		if closedByPeer(raw) {
			gone()
		}
	})
	return w
}

func rawOf(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return sc.SyscallConn()
}

// closedByPeer waits until the connection is readable and reports whether that
// is its end. It returns false at a read deadline.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false // Waits in the poller of the runtime.
		}
		closed = err != nil || n == 0
		return true
	})
	return err == nil && closed
}

// Stop ends the watch before the server reads from the connection again.
func (w *Watch) Stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // Wakes the watch.
	w.wait.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
}
