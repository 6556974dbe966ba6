package linker

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/panics"
)

// A StreamHandler answers requests of one kind with several messages. It must be safe
// for concurrent use.
type StreamHandler interface {
	// HandleStream answers a request. The context ends when the caller no longer waits.
	// An error before the first message means that nothing was done, and is sent to the
	// caller; later, and after a panic, the answer is broken off.
	HandleStream(ctx context.Context, sender string, payload []byte, w *PartWriter) error
}

// A PartWriter sends the messages of an answer.
type PartWriter struct {
	exchange *inboundExchange
	request  Envelope
	begun    bool
}

// Write sends the next message.
func (w *PartWriter) Write(message any) (err error) {
	payload, err := Marshal(message)
	if err != nil {
		return err
	}
	var frame []byte
	if !w.begun {
		frame, err = encodeFrame(w.exchange.answer(w.request, payload, nil))
	} else {
		frame, err = encodePart(payload)
	}
	if err != nil {
		return err
	}
	w.begun = true
	_ = w.exchange.stream.SetWriteDeadline(time.Now().Add(callTimeout))
	if _, err := w.exchange.stream.Write(frame); err != nil {
		return err
	}
	w.exchange.linker.instruments.count(sent, w.request.Kind, len(frame))
	return nil
}

// HandleStream registers the handler of a kind that is answered in parts. It must be
// called before Start.
func (l *Linker) HandleStream(kind Kind, h StreamHandler) { l.streamHandlers[kind] = h }

// respondInParts calls the handler and ends the answer.
func (s *inboundExchange) respondInParts(request Envelope, handler StreamHandler) {
	w := &PartWriter{exchange: s, request: request}
	var err error
	recovered := panics.Try(func() { err = handler.HandleStream(s.stream.Context(), s.sender, request.Payload, w) })
	if recovered != nil {
		s.linker.cfg.Logger.WithField("kind", request.Kind).Error(recovered.String())
	}
	switch {
	case recovered != nil, err != nil && w.begun:
		s.stream.CancelWrite(codeCancelled)
	case err == nil:
		_ = s.stream.Close()
	default:
		s.writeAnswer(s.answer(request, nil, err))
	}
}

// A Parts is an answer in several messages. It is not safe for concurrent use, but Close
// may be called at any time.
type Parts struct {
	conn   *connection
	stream *quic.Stream
	kind   Kind
	linker *Linker
	stop   func() bool // Stops watching the context.
}

// Open sends a request that is answered in parts, and decodes the first message into
// first. The errors are those of Call; after ErrUnreachable, ErrTooLarge and ErrRemote
// the peer has not answered anything. The caller must close the parts. They end with
// the context.
func (l *Linker) Open(ctx context.Context, peer string, kind Kind, request, first any, timeout time.Duration) (p *Parts, err error) {
	defer func() { err = merry.Prependf(err, "%s to %s", kind, peer) }()
	payload, err := Marshal(request)
	if err != nil {
		return nil, err
	}
	frame, err := encodeFrame(Envelope{Version: ProtocolVersion, Kind: kind, ID: l.nextID.Add(1), Sender: l.cfg.InstanceID, Payload: payload})
	if err != nil {
		return nil, err
	}
	l.mu.RLock()
	k, ok := l.links[peer]
	l.mu.RUnlock()
	if !ok {
		return nil, merry.Prepend(ErrUnreachable, "unknown peer")
	}
	connectCtx, cancel := context.WithTimeout(ctx, min(timeout, connectTimeout))
	defer cancel()
	conn, err := k.connect(connectCtx)
	if err != nil {
		return nil, merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	stream, err := conn.OpenStreamSync(connectCtx)
	if err != nil {
		k.discardIfClosed(conn)
		return nil, merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	p = &Parts{conn: conn, stream: stream, kind: kind, linker: l}
	p.stop = context.AfterFunc(ctx, p.cancel)
	if err := p.begin(frame, first, timeout); err != nil {
		p.Close()
		k.discardIfClosed(conn)
		return nil, err
	}
	k.recordSuccess()
	return p, nil
}

// begin sends the request and reads the first message.
func (p *Parts) begin(frame []byte, first any, timeout time.Duration) error {
	watch := p.conn.watchSilence()
	defer watch.Stop()
	_, err := p.stream.Write(frame)
	if err == nil {
		err = p.stream.Close()
	}
	var answer Envelope
	var n int
	if err == nil {
		p.linker.instruments.count(sent, p.kind, len(frame))
		_ = p.stream.SetReadDeadline(time.Now().Add(timeout))
		answer, n, err = readEnvelope(p.stream)
		_ = p.stream.SetReadDeadline(time.Time{})
	}
	switch {
	case err != nil && handshakeRejected(err):
		return merry.Wrap(ErrUnreachable, merry.WithCause(err))
	case err != nil:
		return merry.Wrap(ErrUnknownEffect, merry.WithCause(err))
	case answer.Error != "":
		return merry.Prepend(ErrRemote, answer.Error)
	}
	p.linker.instruments.count(received, p.kind, n)
	return Unmarshal(answer.Payload, first)
}

// Next decodes the next message. It returns io.EOF at the end of the answer.
func (p *Parts) Next(message any) error {
	watch := p.conn.watchSilence()
	defer watch.Stop()
	payload, err := readPart(p.stream)
	if err != nil {
		return err
	}
	p.linker.instruments.count(received, p.kind, frameHeaderBytes+len(payload))
	return Unmarshal(payload, message)
}

// Close stops reading. The peer's handler ends if the answer is not complete.
func (p *Parts) Close() {
	p.stop()
	p.cancel()
}

func (p *Parts) cancel() {
	p.stream.CancelRead(codeCancelled)
	p.stream.CancelWrite(codeCancelled)
}

// encodePart encodes a message after the first one, preceded by its length.
func encodePart(payload []byte) (frame []byte, err error) {
	if len(payload) > MaxMessageBytes {
		return nil, merry.Prependf(ErrTooLarge, "part of %d bytes", len(payload))
	}
	frame = make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	return append(frame, payload...), nil
}

// readPart reads a message after the first one. It returns io.EOF if there is none.
func readPart(r io.Reader) (payload []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	return readSized(r, binary.BigEndian.Uint32(header[:]))
}
