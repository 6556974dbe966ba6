package sender

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// keepAlive detects an unreachable server within about ten seconds, also on idle
// connections in a pool.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// A conn is a connection to a backend server that renews its read deadline at
// each read. A stream can last as long as it makes progress.
type conn struct {
	*net.TCPConn
	readTimeout atomic.Int64 // Longest wait of one read, in nanoseconds.
	used        bool         // Has carried an exchange before.

	idleSince time.Time // End of the last exchange; used only by the owner of the connection.
}

func (c *conn) idleLongerThan(limit time.Duration) bool {
	return limit > 0 && time.Since(c.idleSince) > limit
}

func (c *conn) setReadTimeout(d time.Duration) {
	c.readTimeout.Store(int64(d))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(time.Duration(c.readTimeout.Load()))
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(p)
}

// isStale reports whether an idle connection cannot be reused: the server closed
// it, or sent unexpected data that the next caller would take for its answer.
func (c *conn) isStale() bool {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true // Do not wait until the connection becomes readable.
	})
	return err != nil || !errors.Is(peeked, syscall.EAGAIN)
}
