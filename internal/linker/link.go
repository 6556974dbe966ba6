package linker

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// maxAttempts allows one retry of a call on a new connection, made only if the
// request was certainly not sent.
const maxAttempts = 2

// A link is this instance's outgoing connection to one peer. It is dialled on
// first use and redialled on the next use after it was lost.
type link struct {
	linker *Linker

	mu         sync.Mutex
	peer       Peer
	state      registrar.Link
	conn       *connection  // Nil when there is none.
	pending    *pendingDial // Nil when no dial is in flight; all callers share it.
	nextDialAt time.Time    // Earliest time of the next dial; set after failures.
	unanswered *connection  // The last connection on which a call without an answer was logged.
	closed     bool
}

// A pendingDial is a dial in flight. Its result is set before done is closed.
type pendingDial struct {
	done chan struct{}
	conn *connection
	err  error
}

// newLink returns a link that is not connected yet.
func newLink(l *Linker, peer Peer) *link {
	return &link{linker: l, peer: peer, state: registrar.Link{Remote: peer.ID}}
}

func (k *link) peerCopy() Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peer
}

func (k *link) setPeer(peer Peer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peer = peer
}

func (k *link) snapshot() registrar.Link {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// close closes the connection and prevents further dials.
func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	if k.conn != nil {
		_ = k.conn.CloseWithError(codeClosing, "link closed")
		k.conn = nil
	}
}

// exchange sends a request and waits for its answer.
func (k *link) exchange(ctx context.Context, request Envelope) (answer Envelope, err error) {
	frame, err := encodeFrame(request)
	if err != nil {
		return Envelope{}, err
	}
	for attempt := 1; ; attempt++ {
		conn, err := k.connect(ctx)
		if err != nil {
			return Envelope{}, merry.Wrap(ErrUnreachable, merry.WithCause(err))
		}
		x := exchange{conn: conn, instruments: k.linker.instruments, request: request, frame: frame}
		started, received := k.linker.cfg.Clock.Now(), conn.ConnectionStats().PacketsReceived
		answer, err = x.run(ctx)
		if err == nil {
			k.recordSuccess()
			return answer, nil
		}
		if x.maybeSent {
			k.logUnanswered(conn, request.Kind, started, received, err)
		}
		k.discardIfClosed(conn)
		if x.maybeSent {
			return Envelope{}, merry.Wrap(ErrUnknownEffect, merry.WithCause(err))
		}
		if attempt == maxAttempts || ctx.Err() != nil {
			return Envelope{}, merry.Wrap(ErrUnreachable, merry.WithCause(err))
		}
	}
}

// logUnanswered logs the first call without an answer on a connection, with what
// tells a silent connection from a slow peer.
func (k *link) logUnanswered(conn *connection, kind Kind, started time.Time, received uint64, err error) {
	k.mu.Lock()
	logged := k.unanswered == conn
	k.unanswered = conn
	peer, lastProgress := k.peer.ID, k.state.LastProgress
	k.mu.Unlock()
	if logged {
		return
	}
	now, stats := k.linker.cfg.Clock.Now(), conn.ConnectionStats()
	fields := logrus.Fields{
		"peer": peer, "kind": kind, "waited-ms": now.Sub(started).Milliseconds(),
		"packets-received": stats.PacketsReceived - received, "round-trip-ms": stats.SmoothedRTT.Milliseconds(),
		"connection-closed": conn.closed(),
	}
	if !lastProgress.IsZero() {
		fields["last-answer-ms"] = now.Sub(lastProgress).Milliseconds()
	}
	k.linker.cfg.Logger.WithError(err).WithFields(fields).Warn("call on a link was not answered")
}

// recordSuccess records that the peer has answered, and resets the backoff.
func (k *link) recordSuccess() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.LastProgress = k.linker.cfg.Clock.Now()
	k.state.Failures = 0
	k.nextDialAt = time.Time{}
}

// discardIfClosed drops a connection that has been closed. It also backs off
// from a peer that repeatedly accepts connections and closes them without an
// answer, such as one that rejects this instance's certificate.
func (k *link) discardIfClosed(conn *connection) {
	if !conn.closed() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != conn {
		return
	}
	k.conn = nil
	k.state.Failures++
	if k.state.Failures > 1 {
		k.backOff()
	}
}

// backOff schedules the next dial with exponential backoff and jitter. The
// caller holds mu.
func (k *link) backOff() {
	delay := maxBackoff
	if k.state.Failures < 6 {
		delay = min(maxBackoff, minBackoff<<k.state.Failures)
	}
	jitter := time.Duration(rand.Int64N(int64(delay) / 4))
	k.nextDialAt = k.linker.cfg.Clock.Now().Add(delay - jitter)
}

// connect returns a usable connection, dialling one if necessary.
func (k *link) connect(ctx context.Context) (*connection, error) {
	d, conn, err := k.connOrDial()
	if err != nil || conn != nil {
		return conn, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrDial returns the open connection, or else the dial in flight, which it
// starts if necessary.
func (k *link) connOrDial() (*pendingDial, *connection, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, nil, merry.New("link is closed")
	}
	if k.conn != nil {
		k.conn.closeIfSilent()
		if !k.conn.closed() {
			return nil, k.conn, nil
		}
	}
	if k.pending != nil {
		return k.pending, nil, nil
	}
	if k.linker.cfg.Clock.Now().Before(k.nextDialAt) {
		return nil, nil, merry.New("waiting to redial after failed dials")
	}
	d := &pendingDial{done: make(chan struct{})}
	address := k.peer.Address
	if !k.linker.spawn(func() { k.dial(d, address) }) {
		return nil, nil, merry.New("linker is stopping")
	}
	k.pending = d
	return d, nil, nil
}

// dial connects to the peer and publishes the result to all waiting callers.
func (k *link) dial(d *pendingDial, address string) {
	ctx, cancel := context.WithTimeout(k.linker.ctx, dialTimeout)
	defer cancel()
	conn, err := k.handshake(ctx, address)

	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(d.done)
	k.pending = nil
	if err == nil && k.closed {
		_ = conn.CloseWithError(codeClosing, "link closed")
		err = merry.New("link is closed")
	}
	if err != nil {
		k.state.Failures++
		k.backOff()
		d.err = err
		return
	}
	k.conn = &connection{Conn: conn, clock: k.linker.cfg.Clock}
	d.conn = k.conn
}

// handshake dials the peer and checks that it is the expected instance.
func (k *link) handshake(ctx context.Context, address string) (*quic.Conn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	client := clientTLS(k.linker.cfg.TLS, k.state.Remote)
	return k.linker.transport.Dial(ctx, resolved, client, quicConfig())
}

// An exchange is one request and its answer on a dedicated stream.
type exchange struct {
	conn        *connection
	instruments *instruments
	request     Envelope
	frame       []byte

	// maybeSent means that the peer may have received the request. It is set
	// before the first byte is written, because buffered bytes can reach the
	// peer even if the connection is lost right afterwards.
	maybeSent bool
}

// run opens the stream, writes the request and reads the answer. It closes
// the stream before it returns.
func (x *exchange) run(ctx context.Context) (answer Envelope, err error) {
	stream, err := x.conn.OpenStreamSync(ctx)
	if err != nil {
		return Envelope{}, err
	}
	cancel := func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	}
	stopWatching := context.AfterFunc(ctx, cancel)
	defer stopWatching()
	defer stream.CancelRead(codeCancelled)

	watch := x.conn.watchSilence()
	defer watch.Stop()
	x.maybeSent = true
	if _, err = stream.Write(x.frame); err == nil {
		err = stream.Close()
	}
	var n int
	if err == nil {
		x.instruments.count(sent, x.request.Kind, len(x.frame))
		answer, n, err = readFrame(stream)
	}
	if err != nil {
		stream.CancelWrite(codeCancelled)
		x.maybeSent = !handshakeRejected(err)
		return Envelope{}, err
	}
	if answer.ID != x.request.ID || answer.Kind != x.request.Kind {
		return Envelope{}, merry.Errorf("answer %d of kind %q to request %d", answer.ID, answer.Kind, x.request.ID)
	}
	x.instruments.count(received, answer.Kind, n)
	return answer, nil
}

// handshakeRejected reports whether the peer aborted the handshake. When it
// rejects the client certificate, it does so after the handshake looks complete
// to this side. It has served no stream of such a connection.
func handshakeRejected(err error) bool {
	var transportError *quic.TransportError
	return errors.As(err, &transportError) && transportError.Remote && transportError.ErrorCode.IsCryptoError()
}
