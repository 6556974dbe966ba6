package sender

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// keepAlive detects an unreachable server within about ten seconds, also on idle
// connections in a pool.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// A conn is a connection to a backend server that bounds the time and the bytes of
// each part of an answer. A server in trouble may send bytes without end, fast or
// slowly, also in a head or in the size of a chunk.
type conn struct {
	*net.TCPConn
	used bool // Has carried an exchange before.
	// readBy is when the part of the answer that is read now must be complete.
	readBy time.Time
	// readLimit is the number of bytes that this part may still have. It includes
	// what is read ahead of the next part.
	readLimit int
	// renewal is the time that each received byte adds for the rest of the part; zero
	// if the whole part has to arrive in time.
	renewal time.Duration

	idleSince time.Time // End of the last exchange; used only by the owner of the connection.
	// carried are the IDs of the last requests, as hashes, oldest first; used only by the
	// owner of the connection.
	carried []uint64
}

// maxCarried is the number of requests that a connection remembers.
const maxCarried = 128

// carry records that the connection carries a request with an ID.
func (c *conn) carry(id string) {
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, xxhash.Sum64String(id))
}

// hasCarried reports whether a request with the ID was sent on the connection before. A
// second copy of its answer could not be told from the answer to the next attempt.
func (c *conn) hasCarried(id string) bool {
	return slices.Contains(c.carried, xxhash.Sum64String(id))
}

func (c *conn) idleLongerThan(limit time.Duration) bool {
	return limit > 0 && time.Since(c.idleSince) > limit
}

// beginPart sets the time and the bytes for the next part of an answer.
func (c *conn) beginPart(timeout time.Duration, limit int) {
	c.readBy = time.Now().Add(timeout)
	c.readLimit = limit
	c.renewal = 0
}

// beginBody sets the longest wait between two reads, and the bytes, of a body. A slow
// body may take as long as the request.
func (c *conn) beginBody(timeout time.Duration, limit int) {
	c.beginPart(timeout, limit)
	c.renewal = timeout
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errTooLarge
	}
	if err := c.SetReadDeadline(c.readBy); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	c.readLimit -= n
	if c.renewal > 0 && n > 0 {
		c.readBy = time.Now().Add(c.renewal)
	}
	return n, err
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
