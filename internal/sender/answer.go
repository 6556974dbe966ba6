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
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// trailerTimeout bounds the wait for the end of the chunked encoding after
	// [DONE]. The caller has its answer by then, so the wait only serves to keep
	// the connection for reuse.
	trailerTimeout = 100 * time.Millisecond
)

// answerHeaders are the header fields that are forwarded from a backend server
// to the caller, in canonical form.
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

// An Answer is the answer of a backend server, with a body or a stream of events.
type Answer struct {
	Status int
	Header []Field
	Body   []byte // Empty for a stream.
	Stream bool   // Next returns the events.

	exchange   *exchange
	reader     *bufio.Reader
	bytesRead  int  // Bytes of the stream so far.
	progressed bool // The last event has data; a server that is stalled may still send comments.
	begun      bool // An event with data was read.
	doneSeen   bool // [DONE] was read.
	ended      bool // The exchange is over.
}

func (e *exchange) newAnswer() *Answer {
	a := &Answer{Status: e.answer.StatusCode()}
	keep := e.request.KeepHeader
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
	a.reader = bufio.NewReader(e.body)
	return a
}

// Next returns the next event including its final blank line. The error is
// io.EOF after the end of a complete stream, and a *Failure otherwise.
func (a *Answer) Next() ([]byte, error) {
	if a.ended {
		return nil, io.EOF
	}
	if a.doneSeen {
		a.drain()
		return nil, io.EOF
	}
	if a.progressed { // The time in which the caller does not read does not count.
		a.progressed = false
		a.exchange.conn.beginPart(a.exchange.request.ProgressTimeout, maxEventBytes+encodingBytes)
	}
	event, err := a.readEvent()
	switch {
	case err == nil:
		a.doneSeen = isDone(event)
		_, a.progressed = EventField(event, "data")
		a.begun = a.begun || a.progressed
		return event, nil
	case errors.Is(err, io.EOF) && a.isComplete():
		a.end(true)
		return nil, io.EOF
	case errors.Is(err, io.EOF):
		err = errTruncated
	}
	a.ended = true
	return nil, a.exchange.fail(err)
}

// isComplete reports whether a stream that ends at this point is complete. One that
// ends with its connection before it has begun, or before the server had the whole
// request, was broken off.
func (a *Answer) isComplete() bool {
	return !a.exchange.request.RequireDone && a.exchange.hasDeclaredEnd() && (a.exchange.isFramed() || a.begun && a.exchange.conn.endedInOrder())
}

// readEvent reads up to and including a blank line. The error is io.EOF if the stream
// ends before a further event.
func (a *Answer) readEvent() (event []byte, err error) {
	held := buffer{budget: a.exchange.held}
	defer held.release()
	isRest := false // Of a line that was longer than the buffer of the reader.
	for {
		line, err := a.reader.ReadSlice('\n')
		if err := held.append(line); err != nil {
			return nil, err
		}
		a.bytesRead += len(line)
		switch {
		case a.bytesRead > a.exchange.cfg.MaxStreamBytes, held.len() > maxEventBytes:
			return nil, errTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			isRest = true
			continue
		case errors.Is(err, io.EOF) && held.len() > 0:
			return nil, errTruncated
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && !isRest:
			return held.join(), nil
		}
		isRest = false
	}
}

// isDone reports whether the event is the end marker of a completion stream.
func isDone(event []byte) bool {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// drain reads the rest of the chunked encoding after [DONE], so that the
// connection can be reused.
func (a *Answer) drain() {
	a.exchange.conn.beginPart(trailerTimeout, encodingBytes)
	_, err := a.reader.ReadByte()
	a.end(errors.Is(err, io.EOF) && a.exchange.hasDeclaredEnd())
}

func (a *Answer) end(complete bool) {
	a.ended = true
	a.exchange.finish(complete)
}

// Close ends the exchange. A stream that was not read to its end is cancelled
// by closing its connection.
func (a *Answer) Close() {
	if a.exchange == nil || a.ended {
		return
	}
	a.end(false)
}

// ContentType returns the Content-Type of the answer.
func (a *Answer) ContentType() string {
	for _, f := range a.Header {
		if strings.EqualFold(f.Name, fasthttp.HeaderContentType) {
			return f.Value
		}
	}
	return ""
}
