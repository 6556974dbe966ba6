package linker

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/panics"
)

// QUIC error codes that connections and streams are closed with.
const (
	codeClosing    quic.ApplicationErrorCode = 0 // The instance is stopping or has removed the peer.
	codeIdentity   quic.ApplicationErrorCode = 1 // The sender is not the instance of the certificate.
	codeSilent     quic.ApplicationErrorCode = 2 // The peer acknowledges nothing.
	codeCancelled  quic.StreamErrorCode      = 0 // The caller no longer waits for the answer.
	codeUnreadable quic.StreamErrorCode      = 1 // The request could not be read.
)

// accept serves incoming connections until the Linker stops. The listener does
// not report failed handshakes.
func (l *Linker) accept(listener *quic.Listener) error {
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(l.ctx)
		switch {
		case l.ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed), errors.Is(err, quic.ErrServerClosed):
			return merry.Prepend(err, "accept links")
		case err != nil:
			l.cfg.Logger.WithError(err).Warn("failed to accept a link")
			continue
		}
		if !l.spawn(func() { l.serveConn(conn) }) {
			_ = conn.CloseWithError(codeClosing, "stopping")
		}
	}
}

// serveConn serves the streams of one incoming connection.
func (l *Linker) serveConn(conn *quic.Conn) {
	sender, err := peerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(codeIdentity, "no identity")
		return
	}
	stopWatching := context.AfterFunc(l.ctx, func() { _ = conn.CloseWithError(codeClosing, "stopping") })
	defer stopWatching()
	for {
		stream, err := conn.AcceptStream(l.ctx)
		if err != nil {
			return
		}
		s := inboundExchange{linker: l, conn: conn, stream: stream, sender: sender}
		if !l.spawn(s.run) {
			return
		}
	}
}

// An inboundExchange is the receiving side of one exchange.
type inboundExchange struct {
	linker *Linker
	conn   *quic.Conn
	stream *quic.Stream
	sender string // From the certificate.
}

// run reads the request, calls its handler and writes the answer. The deadlines
// of the stream use time.Now because QUIC compares them with the system clock.
func (s *inboundExchange) run() {
	_ = s.stream.SetReadDeadline(time.Now().Add(callTimeout))
	request, n, err := readFrame(s.stream)
	if err != nil {
		s.reject(err)
		return
	}
	if request.Sender != s.sender {
		s.linker.cfg.Logger.WithField("peer", s.sender).WithField("claimed", request.Sender).
			Warn("link closed: sender is not the instance of the certificate")
		_ = s.conn.CloseWithError(codeIdentity, "sender is not the instance of the certificate")
		return
	}
	s.linker.instruments.count(received, s.linker.metricKind(request.Kind), n)
	s.respond(request)
}

// reject resets the stream of a request that could not be read or answered. The
// connection stays open for its other streams.
func (s *inboundExchange) reject(err error) {
	s.linker.cfg.Logger.WithError(err).WithField("peer", s.sender).Debug("failed to serve a request")
	s.stream.CancelRead(codeUnreadable)
	s.stream.CancelWrite(codeUnreadable)
}

// respond calls the handler and writes its answer.
func (s *inboundExchange) respond(request Envelope) {
	if handler, ok := s.linker.streamHandlers[request.Kind]; ok {
		s.respondInParts(request, handler)
		return
	}
	payload, err := s.handle(request)
	s.writeAnswer(s.answer(request, payload, err))
}

// answer returns the envelope of an answer.
func (s *inboundExchange) answer(request Envelope, payload []byte, err error) Envelope {
	answer := Envelope{
		Version: ProtocolVersion,
		Kind:    request.Kind,
		ID:      request.ID,
		Sender:  s.linker.cfg.InstanceID,
	}
	if err != nil {
		answer.Error = err.Error()
	} else {
		answer.Payload = payload
	}
	return answer
}

// writeAnswer writes an answer that is complete.
func (s *inboundExchange) writeAnswer(answer Envelope) {
	frame, err := encodeFrame(answer)
	if err != nil {
		answer.Payload = nil
		answer.Error = err.Error()
		frame, err = encodeFrame(answer)
	}
	if err != nil {
		s.reject(err)
		return
	}
	_ = s.stream.SetWriteDeadline(time.Now().Add(callTimeout))
	if _, err := s.stream.Write(frame); err != nil {
		s.stream.CancelWrite(codeCancelled)
		return
	}
	s.linker.instruments.count(sent, s.linker.metricKind(answer.Kind), len(frame))
	_ = s.stream.Close()
}

// handle calls the handler of the request's kind. A panic becomes an error
// answer, so that one message cannot crash the process.
func (s *inboundExchange) handle(request Envelope) (payload []byte, err error) {
	handler, ok := s.linker.handlers[request.Kind]
	if !ok {
		return nil, merry.Errorf("kind %q is not served", request.Kind)
	}
	recovered := panics.Try(func() {
		payload, err = handler.Handle(s.stream.Context(), s.sender, request.Payload)
	})
	if recovered != nil {
		s.linker.cfg.Logger.WithField("kind", request.Kind).Error(recovered.String())
		return nil, merry.Errorf("handler of %q failed", request.Kind)
	}
	return payload, err
}
