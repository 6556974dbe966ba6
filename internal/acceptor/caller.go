package acceptor

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

// A callerListener wraps the connections of callers.
type callerListener struct {
	net.Listener
	writeSilence time.Duration
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c.(*net.TCPConn), writeSilence: l.writeSilence}, nil
}

// A callerConn is a connection of a caller. Its write deadline moves with each
// write, so that a stream may last and a caller that takes nothing is dropped.
type callerConn struct {
	*net.TCPConn
	writeSilence time.Duration
	lingering    atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (n int, err error) {
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
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(writerOnly{c}, r)
}

type writerOnly struct{ io.Writer }

// linger lets Close read on for a while. If it closed at once, the kernel would
// reset the connection and the caller could lose the refusal.
func (c *callerConn) linger() {
	c.lingering.Store(true)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.lingering.Swap(false) && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close()
}

// A callerWatch notices that a caller closes its connection while its request
// runs, when nobody reads from it.
type callerWatch struct {
	conn net.Conn
	wait conc.WaitGroup
}

// watchCaller calls gone when the caller has closed its connection. It peeks,
// so that a next request on the connection stays where it is.
func watchCaller(conn net.Conn, gone func()) *callerWatch {
	w := &callerWatch{conn: conn}
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

// stop ends the watch before the server reads from the connection again.
func (w *callerWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // Wakes the watch.
	w.wait.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
}
