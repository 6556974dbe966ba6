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

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// maxAttempts is the first try of a call and one more on a new connection,
// which is made only if the request was not handed over.
const maxAttempts = 2

// A link is this instance's own connection to one peer. It is dialled when
// it is first needed and again after it was lost.
type link struct {
	linker *Linker

	mu      sync.Mutex
	peer    Peer
	state   registrar.Link
	conn    *quic.Conn // Nil when there is none.
	dialing *dialing   // Nil when no dial is in flight; all callers share it.
	retryAt time.Time  // No dial before; set after failures.
	closed  bool
}

// A dialing is a dial in flight. Its fields are set before done is closed.
type dialing struct {
	done chan struct{}
	conn *quic.Conn
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

// close ends the connection and refuses further dials.
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
		answer, err = x.run(ctx)
		if err == nil {
			k.progress()
			return answer, nil
		}
		k.dropIfClosed(conn)
		if x.handedOver {
			return Envelope{}, merry.Wrap(ErrUnknownEffect, merry.WithCause(err))
		}
		if attempt == maxAttempts || ctx.Err() != nil {
			return Envelope{}, merry.Wrap(ErrUnreachable, merry.WithCause(err))
		}
	}
}

// progress notes an answer of the peer.
func (k *link) progress() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.LastProgress = k.linker.cfg.Clock.Now()
	k.state.Failures = 0
	k.retryAt = time.Time{}
}

// dropIfClosed forgets a connection that has ended. A peer that accepts
// connections and then closes them without an answer, such as one that
// refuses this instance's certificate, is dialled with growing pauses too.
func (k *link) dropIfClosed(conn *quic.Conn) {
	if conn.Context().Err() == nil {
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
		k.postpone()
	}
}

// postpone sets the time of the next dial. The caller holds mu.
func (k *link) postpone() {
	pause := maxBackoff
	if k.state.Failures < 6 {
		pause = min(maxBackoff, minBackoff<<k.state.Failures)
	}
	jitter := time.Duration(rand.Int64N(int64(pause) / 4))
	k.retryAt = k.linker.cfg.Clock.Now().Add(pause - jitter)
}

// connect returns a usable connection, dialling one if necessary.
func (k *link) connect(ctx context.Context) (*quic.Conn, error) {
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

// connOrDial returns the present connection or the dial that callers wait
// for.
func (k *link) connOrDial() (*dialing, *quic.Conn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, nil, merry.New("link is closed")
	}
	if k.conn != nil && k.conn.Context().Err() == nil {
		return nil, k.conn, nil
	}
	if k.dialing != nil {
		return k.dialing, nil, nil
	}
	if k.linker.cfg.Clock.Now().Before(k.retryAt) {
		return nil, nil, merry.New("pause after failed dials")
	}
	d := &dialing{done: make(chan struct{})}
	address := k.peer.Address
	if !k.linker.spawn(func() { k.dial(d, address) }) {
		return nil, nil, merry.New("links are stopping")
	}
	k.dialing = d
	return d, nil, nil
}

// dial makes a connection and publishes it.
func (k *link) dial(d *dialing, address string) {
	ctx, cancel := context.WithTimeout(k.linker.ctx, dialTimeout)
	defer cancel()
	conn, err := k.handshake(ctx, address)

	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(d.done)
	k.dialing = nil
	if err == nil && k.closed {
		_ = conn.CloseWithError(codeClosing, "link closed")
		err = merry.New("link is closed")
	}
	if err != nil {
		k.state.Failures++
		k.postpone()
		d.err = err
		return
	}
	k.conn = conn
	d.conn = conn
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

// An exchange is one request and its answer on a stream of their own.
type exchange struct {
	conn        *quic.Conn
	instruments *instruments
	request     Envelope
	frame       []byte

	// handedOver means that the peer may have received the request. It is set
	// before the first byte is written: a byte in the send buffer can reach
	// the peer even if the connection is lost a moment later.
	handedOver bool
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

	x.handedOver = true
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
		x.handedOver = !refusedHandshake(err)
		return Envelope{}, err
	}
	if answer.ID != x.request.ID || answer.Kind != x.request.Kind {
		return Envelope{}, merry.Errorf("answer %d of kind %q to request %d", answer.ID, answer.Kind, x.request.ID)
	}
	x.instruments.count(received, answer.Kind, n)
	return answer, nil
}

// refusedHandshake tells whether the peer ended the handshake, which it does
// after this side believes it complete when it refuses the certificate. No
// stream of such a connection is served.
func refusedHandshake(err error) bool {
	var transportError *quic.TransportError
	return errors.As(err, &transportError) && transportError.Remote && transportError.ErrorCode.IsCryptoError()
}
