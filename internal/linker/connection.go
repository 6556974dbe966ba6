package linker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
)

// A connection is an outgoing QUIC connection that is closed when the peer
// acknowledges nothing for idleTimeout after a packet was sent. QUIC itself waits
// for three probe timeouts if these are longer, and a pause of this process counts
// as a round trip in them.
type connection struct {
	*quic.Conn
	clock Clock

	mu sync.Mutex
	// sentAt is the time of the first request that was sent when received packets
	// had arrived.
	sentAt   time.Time
	received uint64
}

// closed reports whether the connection cannot be used any more.
func (c *connection) closed() bool { return c.Context().Err() != nil }

// closeIfSilent closes the connection if nothing has arrived for idleTimeout after a
// request was sent.
func (c *connection) closeIfSilent() {
	c.mu.Lock()
	silent := !c.sentAt.IsZero() && c.received == c.ConnectionStats().PacketsReceived && c.clock.Now().Sub(c.sentAt) >= idleTimeout
	c.mu.Unlock()
	if silent {
		_ = c.CloseWithError(codeSilent, "the peer acknowledges nothing")
	}
}

// watchSilence is called before a request is sent. The returned timer closes the
// connection if nothing arrives.
func (c *connection) watchSilence() clockwork.Timer {
	now := c.clock.Now()
	c.mu.Lock()
	if n := c.ConnectionStats().PacketsReceived; c.sentAt.IsZero() || n != c.received {
		c.sentAt, c.received = now, n
	}
	left := idleTimeout - now.Sub(c.sentAt)
	c.mu.Unlock()
	return c.clock.AfterFunc(left, c.closeIfSilent)
}
