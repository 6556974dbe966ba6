package acceptor

import (
	"io"
	"sync"

	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A responseStart is a complete response, the head of a streamed response, or a
// refusal.
type responseStart struct {
	head    dispatcher.Head
	body    []byte
	stream  bool
	refusal *refuser.Refusal
}

// A responsePipe passes a response from the dispatch goroutine to the goroutine
// of the connection. The dispatch side calls the methods of dispatcher.Writer
// and then finish; the connection side receives the start and then reads the
// stream.
type responsePipe struct {
	start  chan responseStart // Buffered for the single start.
	events chan []byte        // Closed after the last event.
	closed chan struct{}      // Closed when the connection stops reading.

	// Used by the dispatch side only.
	started  bool
	finished bool
}

func newResponsePipe() *responsePipe {
	return &responsePipe{start: make(chan responseStart, 1), events: make(chan []byte), closed: make(chan struct{})}
}

// Whole implements dispatcher.Writer.
func (p *responsePipe) Whole(h dispatcher.Head, body []byte) error {
	p.started, p.finished = true, true
	p.start <- responseStart{head: h, body: body}
	return nil
}

// Begin implements dispatcher.Writer.
func (p *responsePipe) Begin(h dispatcher.Head) error {
	p.started = true
	p.start <- responseStart{head: h, stream: true}
	return nil
}

// Event implements dispatcher.Writer.
func (p *responsePipe) Event(event []byte) error {
	select {
	case p.events <- event:
		return nil
	case <-p.closed:
		return dispatcher.ErrCallerGone
	}
}

// End implements dispatcher.Writer.
func (p *responsePipe) End() error {
	p.finished = true
	close(p.events)
	return nil
}

// finish completes a response that the dispatch left incomplete. It is called
// after the dispatch has returned.
func (p *responsePipe) finish(refusal *refuser.Refusal) {
	switch {
	case p.finished:
	case !p.started:
		p.start <- responseStart{refusal: refusal}
	default:
		if refusal != nil {
			_ = p.Event(errorEvent(refusal))
		}
		_ = p.End()
	}
}

// A streamReader is the body of a streamed response.
type streamReader struct {
	pipe      *responsePipe
	unread    []byte // Remainder of the current event.
	closeOnce sync.Once
	onClose   func()
}

// Read implements io.Reader. It returns at most one event, so that each event
// is sent as soon as it arrives.
func (s *streamReader) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		event, ok := <-s.pipe.events
		if !ok {
			return 0, io.EOF
		}
		s.unread = event
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Close implements io.Closer. The server calls it at the end of the stream and
// when the caller is unreachable.
func (s *streamReader) Close() error {
	s.closeOnce.Do(func() {
		close(s.pipe.closed)
		s.onClose()
	})
	return nil
}
