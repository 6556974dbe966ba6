package sender

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// trailerSilence is the wait for the end of the connection's framing after
	// [DONE]. The caller has its answer by then; a longer wait would only keep
	// the connection for reuse.
	trailerSilence = 100 * time.Millisecond
)

// answerHeaders are the header fields that pass from a backend server to the
// caller, in canonical form.
var answerHeaders = []string{
	"Cache-Control",
	"Content-Disposition",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Etag",
	"Last-Modified",
	"Location",
	"Retry-After",
	"Vary",
}

// An Answer is the answer of a backend server: whole, or a stream of events.
type Answer struct {
	Status int
	Header []Field
	Body   []byte // Of a whole answer.
	Stream bool   // The events follow through Next.

	exchange *exchange
	reader   *bufio.Reader
	read     int  // Bytes of the stream so far.
	done     bool // [DONE] was seen.
	ended    bool // The exchange is over.
}

func (e *exchange) newAnswer() *Answer {
	a := &Answer{Status: e.answer.StatusCode()}
	keep := e.request.KeepField
	if keep == nil {
		keep = isAnswerHeader
	}
	for name, value := range e.answer.Header.All() {
		field := Field{Name: string(name), Value: string(value)}
		if keep(field.Name) {
			a.Header = append(a.Header, field)
		}
	}
	return a
}

func isAnswerHeader(name string) bool {
	return slices.ContainsFunc(answerHeaders, func(h string) bool { return strings.EqualFold(h, name) })
}

func (e *exchange) newStream() *Answer {
	a := e.newAnswer()
	a.Stream = true
	a.exchange = e
	a.reader = bufio.NewReader(e.answer.BodyStream())
	return a
}

// Next returns the next event with its final blank line. The error is io.EOF
// after the end of a whole stream, and a *Failure otherwise.
func (a *Answer) Next() ([]byte, error) {
	if a.ended {
		return nil, io.EOF
	}
	if a.done {
		a.drain()
		return nil, io.EOF
	}
	event, err := a.readEvent()
	switch {
	case err == nil:
		a.done = isDone(event)
		return event, nil
	case errors.Is(err, io.EOF) && len(event) == 0 && a.endsWhole():
		a.end(true)
		return nil, io.EOF
	case errors.Is(err, io.EOF):
		err = errNoEnd
	}
	a.ended = true
	return nil, a.exchange.fail(err)
}

// endsWhole reports whether a stream that ends here is whole.
func (a *Answer) endsWhole() bool {
	return !a.exchange.request.NeedsDone && a.exchange.endDeclared()
}

// readEvent reads up to and including a blank line.
func (a *Answer) readEvent() (event []byte, err error) {
	for {
		line, err := a.reader.ReadSlice('\n')
		event = append(event, line...)
		a.read += len(line)
		switch {
		case a.read > a.exchange.cfg.MaxStreamBytes, len(event) > maxEventBytes:
			return event, errTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(event, line):
			return event, nil
		}
	}
}

// endsLine reports whether line is a whole line and not the rest of one that
// was longer than the buffer.
func endsLine(event, line []byte) bool {
	before := event[:len(event)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// isDone reports whether the event is the end mark of a completion stream.
func isDone(event []byte) bool {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// drain reads the framing after [DONE], so that the connection can be kept.
func (a *Answer) drain() {
	a.exchange.conn.allowSilence(trailerSilence)
	_, err := a.reader.ReadByte()
	a.end(errors.Is(err, io.EOF) && a.exchange.endDeclared())
}

func (a *Answer) end(whole bool) {
	a.ended = true
	a.exchange.finish(whole)
}

// Close ends the exchange. A stream that was not read to its end is cancelled
// by closing its connection.
func (a *Answer) Close() {
	if a.exchange == nil || a.ended {
		return
	}
	a.end(false)
}

// ContentType is the media type of the answer.
func (a *Answer) ContentType() string {
	for _, f := range a.Header {
		if strings.EqualFold(f.Name, fasthttp.HeaderContentType) {
			return f.Value
		}
	}
	return ""
}
