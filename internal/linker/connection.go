package linker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
)

// silenceCheckInterval is the longest time between two looks at what has arrived. Silence
// is known to begin at such a look; with one every idleTimeout a call could wait for
// twice as long.
const silenceCheckInterval = idleTimeout / 4

// A connection is an outgoing QUIC connection that is closed when the peer
// acknowledges nothing for idleTimeout after a packet was sent. QUIC itself waits
// for three probe timeouts if these are longer, and a pause of this process counts
// as a round trip in them.
type connection struct {
	*quic.Conn
	clock Clock

	mu sync.Mutex
	// silentSince is when an answer was first awaited after the last packet had arrived.
	silentSince time.Time
	received    uint64 // Packets received until then.
}

// closed reports whether the connection cannot be used any more.
func (c *connection) closed() bool { return c.Context().Err() != nil }

// closeIfSilent closes the connection if nothing has arrived for idleTimeout while an
// answer was awaited.
func (c *connection) closeIfSilent() {
	c.mu.Lock()
	silent := !c.silentSince.IsZero() && c.received == c.ConnectionStats().PacketsReceived && c.clock.Now().Sub(c.silentSince) >= idleTimeout
	c.mu.Unlock()
	if silent {
		_ = c.CloseWithError(codeSilent, "the peer acknowledges nothing")
	}
}

// A silenceWatch checks a connection while an answer is awaited on it.
type silenceWatch struct {
	conn *connection

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// watchSilence is called before a request is sent or the next part of an answer is
// awaited. The connection is closed if nothing arrives on it for idleTimeout until the
// watch is stopped; a peer that is there acknowledges the keep-alive packets.
func (c *connection) watchSilence() *silenceWatch {
	w := &silenceWatch{conn: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = c.clock.AfterFunc(c.untilSilent(), w.check)
	return w
}

// Stop ends the watch.
func (w *silenceWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *silenceWatch) check() {
	w.conn.closeIfSilent()
	if w.conn.closed() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = w.conn.clock.AfterFunc(w.conn.untilSilent(), w.check)
	}
}

// untilSilent returns the time of the next check: after silenceCheckInterval, or when the
// connection counts as silent if nothing arrives on it.
func (c *connection) untilSilent() time.Duration {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.ConnectionStats().PacketsReceived; c.silentSince.IsZero() || n != c.received {
		c.silentSince, c.received = now, n
	}
	return min(max(idleTimeout-now.Sub(c.silentSince), time.Millisecond), silenceCheckInterval)
}
