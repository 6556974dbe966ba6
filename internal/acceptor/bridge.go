package acceptor

import (
	"io"
	"sync"

	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A part is how an answer begins: whole, as a stream, or as a refusal.
type part struct {
	head    dispatcher.Head
	body    []byte
	stream  bool
	refusal *refuser.Refusal
}

// A bridge passes an answer from the goroutine of the dispatch to that of the
// connection. The dispatch side calls the methods of dispatcher.Writer and then
// finish; the connection side takes the first part and then reads the stream.
type bridge struct {
	first  chan part     // Holds one part.
	events chan []byte   // Closed after the last event.
	gone   chan struct{} // Closed when the connection takes no more.

	// Used by the dispatch side only.
	begun bool
	ended bool
}

func newBridge() *bridge {
	return &bridge{first: make(chan part, 1), events: make(chan []byte), gone: make(chan struct{})}
}

// Whole implements dispatcher.Writer.
func (b *bridge) Whole(h dispatcher.Head, body []byte) error {
	b.begun, b.ended = true, true
	b.first <- part{head: h, body: body}
	return nil
}

// Begin implements dispatcher.Writer.
func (b *bridge) Begin(h dispatcher.Head) error {
	b.begun = true
	b.first <- part{head: h, stream: true}
	return nil
}

// Event implements dispatcher.Writer.
func (b *bridge) Event(event []byte) error {
	select {
	case b.events <- event:
		return nil
	case <-b.gone:
		return dispatcher.ErrCallerGone
	}
}

// End implements dispatcher.Writer.
func (b *bridge) End() error {
	b.ended = true
	close(b.events)
	return nil
}

// finish ends an answer that is not whole. It is called once the dispatch has
// returned.
func (b *bridge) finish(refusal *refuser.Refusal) {
	switch {
	case b.ended:
	case !b.begun:
		b.first <- part{refusal: refusal}
	default:
		if refusal != nil {
			_ = b.Event(errorEvent(refusal))
		}
		_ = b.End()
	}
}

// A streamReader is the body of a streamed answer.
type streamReader struct {
	bridge  *bridge
	rest    []byte // Of the event that was not read to its end.
	closing sync.Once
	onClose func()
}

// Read implements io.Reader. It returns at most one event, so that each is
// sent as soon as it comes.
func (s *streamReader) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		event, ok := <-s.bridge.events
		if !ok {
			return 0, io.EOF
		}
		s.rest = event
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Close implements io.Closer. The server calls it at the end of the stream and
// when the caller cannot be reached.
func (s *streamReader) Close() error {
	s.closing.Do(func() {
		close(s.bridge.gone)
		s.onClose()
	})
	return nil
}
