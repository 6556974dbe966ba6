// Package watcher monitors client connections: it drops clients that stop reading,
// and detects clients that disconnect while their request runs.
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
	// maxWriteChunk is the number of bytes that one write deadline covers, so that a
	// slow client that is reading a large response is not disconnected.
	maxWriteChunk = 64 << 10
	// lingerTimeout and maxLingerBytes limit how much of the body of a refused
	// request is read.
	lingerTimeout  = time.Second
	maxLingerBytes = 16 << 20
)

// A Listener wraps client connections in Conn.
type Listener struct {
	net.Listener
	WriteStallTimeout time.Duration // Time in which a client has to read the next chunk of its response.
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: c.(*net.TCPConn), writeStallTimeout: l.WriteStallTimeout}, nil
}

// A Conn is a client connection. Each write extends the write deadline, so that
// streams may last long but a client that stops reading is dropped.
type Conn struct {
	*net.TCPConn
	writeStallTimeout time.Duration
	lingering         atomic.Bool
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeStallTimeout)); err != nil {
			return n, err
		}
		written, err := c.TCPConn.Write(p[:min(len(p), maxWriteChunk)])
		n += written
		if err != nil {
			return n, err
		}
		p = p[written:]
	}
	return n, nil
}

// ReadFrom implements io.ReaderFrom by calling Write. The fast path of net.TCPConn
// would not extend the write deadline.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(writerOnly{c}, r)
}

type writerOnly struct{ io.Writer }

// Linger makes Close read the rest of the request first. If unread data were left,
// the kernel would reset the connection and the client could lose the refusal.
func (c *Conn) Linger() {
	c.lingering.Store(true)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.lingering.Swap(false) && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
	return c.TCPConn.Close()
}

// A Watch detects that a client closes its connection while its request runs and
// nothing else reads from the connection.
type Watch struct {
	conn net.Conn
	wait conc.WaitGroup
}

// WatchClose calls onClose when the client has closed its connection. It only
// peeks, so that a following request on the connection is not consumed.
func WatchClose(conn net.Conn, onClose func()) *Watch {
	w := &Watch{conn: conn}
	raw, err := rawConn(conn)
	if err != nil {
		return w
	}
	w.wait.Go(func() {
		if closedByPeer(raw) {
			onClose()
		}
	})
	return w
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return sc.SyscallConn()
}

// closedByPeer waits until the connection is readable and reports whether it was
// closed or has failed. It returns false when the read deadline expires.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false // Waits in the network poller of the runtime.
		}
		closed = err != nil || n == 0
		return true
	})
	return err == nil && closed
}

// Stop ends the watch. It must be called before the server reads from the
// connection again.
func (w *Watch) Stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // Wakes closedByPeer.
	w.wait.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
}
