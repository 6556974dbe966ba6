package sender

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// keepAlive makes the kernel notice a far end that is gone within about ten
// seconds, also on connections that wait in a pool.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// A conn is a connection to a backend server that moves its read deadline with
// each read, so that only silence ends it and not the length of a stream.
type conn struct {
	*net.TCPConn
	silence atomic.Int64 // Nanoseconds that one read may wait.
	used    bool         // It has carried an exchange before.

	idleSince time.Time // End of its last exchange; only the holder of the connection uses it.
}

func (c *conn) idleLongerThan(bound time.Duration) bool {
	return bound > 0 && time.Since(c.idleSince) > bound
}

func (c *conn) allowSilence(d time.Duration) {
	c.silence.Store(int64(d))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(time.Duration(c.silence.Load()))
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(p)
}

// stale reports whether an idle connection cannot be used: the far end closed
// it, or sent something that nobody asked for and that the next caller would
// take for its answer.
func (c *conn) stale() bool {
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
		return true // Never waits for the connection to become readable.
	})
	return err != nil || !errors.Is(peeked, syscall.EAGAIN)
}
