package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/headreader"
)

// A Field is a header field.
type Field struct {
	Name  string
	Value string
}

// A Request is one request to one backend server.
type Request struct {
	Address          string // Host and port.
	Class            TrafficClass
	NewConnection    bool // Do not reuse a connection, so that a failed dial proves that nothing ran.
	Method           string
	Path             string // Escaped, starts with a slash.
	Query            string // Without the question mark.
	Header           []Field
	Body             []byte
	FirstByteTimeout time.Duration // Longest wait for the start of the answer.
	ProgressTimeout  time.Duration // Longest wait between two reads of a body, or between two events of a stream that have data.
	RequireDone      bool          // A stream is complete only if it ends with [DONE].

	Host        string        // Host header field; defaults to Address.
	MaxIdleTime time.Duration // Connections idle for longer are not reused; zero means no limit.
	// EchoField is a header field that the server repeats in its answer. An answer
	// with another value belongs to an earlier request and is skipped.
	EchoField Field
	// KeepHeader reports whether a header field of the answer is kept; nil keeps
	// answerHeaders.
	KeepHeader func(name string) bool
	// AllowUnframed allows an answer without a declared length, which ends when the
	// server closes the connection.
	AllowUnframed bool
}

// An exchange is one request and its answer on one connection.
type exchange struct {
	ctx             context.Context
	cfg             Config
	request         Request
	conn            *conn
	release         func(reuse bool) // Returns the connection to its pool, or closes it.
	stopCancelWatch func() bool      // Returns false if ctx ended and closed the connection.
	reader          *bufio.Reader
	client          *fasthttp.HostClient
	answer          *fasthttp.Response // Its head.
	body            io.Reader          // Of the answer; nil if it has none.
	held            *budget            // Of the sender.
}

// Send sends a request once, without retries. The error is a *Failure. The caller
// must close the answer.
func (s *Sender) Send(ctx context.Context, r Request) (*Answer, error) {
	e := &exchange{ctx: ctx, cfg: s.cfg, request: r, client: s.client(r.Class, r.Address), held: &s.held}
	if err := e.connect(s); err != nil {
		return nil, &Failure{Cause: e.dialCause(err), Err: err}
	}
	e.stopCancelWatch = context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	a, err := e.run()
	if err != nil {
		return nil, e.fail(err)
	}
	return a, nil
}

func (e *exchange) dialCause(err error) Cause {
	switch {
	case e.ctx.Err() != nil:
		return CauseCancelled
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return CauseNoFreeConnection
	default:
		return CauseDial
	}
}

// connect dials, or takes a connection from the pool that is not stale.
func (e *exchange) connect(s *Sender) error {
	if e.request.NewConnection {
		c, err := s.dialContext(e.ctx, e.request.Address)
		if err != nil {
			return err
		}
		e.conn = c.(*conn)
		e.release = func(bool) { _ = e.conn.Close() }
		return nil
	}
	for {
		pooled, err := e.client.AcquireConn(0, false)
		if err != nil {
			return err
		}
		e.conn = pooled.Conn().(*conn)
		if e.conn.used && (e.conn.idleLongerThan(e.request.MaxIdleTime) || e.mayConfuse() || e.conn.isStale()) {
			e.client.CloseConn(pooled)
			continue
		}
		e.release = func(reuse bool) {
			if !reuse {
				e.client.CloseConn(pooled)
				return
			}
			e.conn.used = true
			e.conn.idleSince = time.Now()
			e.client.ReleaseConn(pooled)
		}
		return nil
	}
}

// mayConfuse reports whether the connection has carried an earlier attempt of the
// request.
func (e *exchange) mayConfuse() bool {
	return e.request.EchoField.Name != "" && e.conn.hasCarried(e.request.EchoField.Value)
}

func (e *exchange) run() (*Answer, error) {
	if e.request.EchoField.Name != "" {
		e.conn.carry(e.request.EchoField.Value)
	}
	if err := e.write(); err != nil {
		return nil, err
	}
	e.conn.beginPart(e.request.FirstByteTimeout, (maxMismatchedAnswers+1)*(maxHeaderBytes+e.cfg.MaxAnswerBytes))
	e.reader = e.client.AcquireReader(e.conn)
	e.answer = fasthttp.AcquireResponse()
	if err := e.readHead(); err != nil {
		return nil, err
	}
	if e.isEventStream() {
		e.conn.beginPart(e.request.ProgressTimeout, maxEventBytes+encodingBytes)
		return e.newStream(), nil
	}
	e.conn.beginBody(e.request.ProgressTimeout, e.cfg.MaxAnswerBytes+encodingBytes)
	return e.readBody()
}

// readHead reads the head of the answer to this request. It skips up to
// maxMismatchedAnswers answers to earlier requests.
func (e *exchange) readHead() error {
	for range maxMismatchedAnswers + 1 {
		e.answer.SkipBody = true
		if err := headreader.Check(e.reader); err != nil {
			return err
		}
		if err := e.answer.ReadLimitBody(e.reader, 0); err != nil {
			return err
		}
		e.body = e.openBody()
		if !e.isMismatched() {
			return nil
		}
		if err := e.skipBody(); err != nil {
			return err
		}
		e.answer.Reset()
	}
	return errMismatchedAnswer
}

// skipBody reads the body of an answer to another request to its end. Otherwise its
// rest would be taken for the next answer.
func (e *exchange) skipBody() error {
	if e.body == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(e.body, int64(e.cfg.MaxAnswerBytes)+1))
	if err == nil && n > int64(e.cfg.MaxAnswerBytes) {
		return errTooLarge
	}
	return err
}

// isMismatched reports whether the answer belongs to another request. On a connection
// that has carried another exchange, an answer without the field that the server
// repeats may be a late answer to that one.
func (e *exchange) isMismatched() bool {
	if e.request.EchoField.Name == "" {
		return false
	}
	echoed := e.answer.Header.PeekAll(e.request.EchoField.Name)
	if len(echoed) == 0 {
		return e.conn.used
	}
	return slices.ContainsFunc(echoed, func(value []byte) bool { return string(value) != e.request.EchoField.Value })
}

func (e *exchange) write() error {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.SetMethod(e.request.Method)
	r.Header.SetHost(e.host())
	r.UseHostHeader = true
	r.Header.SetRequestURI(e.target())
	r.Header.SetNoDefaultContentType(true)
	for _, f := range e.request.Header {
		r.Header.Add(f.Name, f.Value)
	}
	r.SetBodyRaw(e.request.Body)

	if err := e.conn.SetWriteDeadline(time.Now().Add(e.cfg.WriteTimeout)); err != nil {
		return err
	}
	w := e.client.AcquireWriter(e.conn)
	defer e.client.ReleaseWriter(w)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (e *exchange) host() string {
	if e.request.Host == "" {
		return e.request.Address
	}
	return e.request.Host
}

func (e *exchange) target() string {
	if e.request.Query == "" {
		return e.request.Path
	}
	return e.request.Path + "?" + e.request.Query
}

func (e *exchange) isEventStream() bool {
	contentType, _, _ := strings.Cut(string(e.answer.Header.ContentType()), ";")
	return e.answer.StatusCode() == fasthttp.StatusOK &&
		e.body != nil &&
		strings.EqualFold(strings.TrimSpace(contentType), "text/event-stream")
}

// hasDeclaredEnd reports whether the answer says where it ends, or need not.
func (e *exchange) hasDeclaredEnd() bool {
	return e.request.AllowUnframed || e.isFramed()
}

// isFramed reports whether the answer has a length or chunks. Otherwise it ends with
// the connection.
func (e *exchange) isFramed() bool { return e.answer.Header.ContentLength() >= -1 }

func (e *exchange) readBody() (_ *Answer, err error) {
	a := e.newAnswer()
	if e.body != nil {
		if !e.hasDeclaredEnd() {
			return nil, errTruncated
		}
		body := buffer{budget: e.held}
		defer body.release()
		if err := body.readAll(e.body, e.cfg.MaxAnswerBytes); err != nil {
			return nil, err
		}
		if !e.isFramed() && !e.conn.endedInOrder() {
			return nil, errTruncated
		}
		a.Body = body.join()
	}
	e.finish(true)
	return a, nil
}

// finish ends the exchange. The connection is reused only if the answer was read
// to its end and no further data was received.
func (e *exchange) finish(complete bool) {
	notCancelled := e.stopCancelWatch()
	reuse := complete && e.isFramed() && notCancelled && e.reader.Buffered() == 0 && !e.answer.ConnectionClose()
	e.client.ReleaseReader(e.reader)
	fasthttp.ReleaseResponse(e.answer)
	e.release(reuse)
}

// fail ends the exchange and returns the failure. After a timeout on a reused
// connection it closes the idle connections too, as they may be broken as well.
func (e *exchange) fail(err error) *Failure {
	f := &Failure{Cause: causeOf(e.ctx, err), Dispatched: true, Reused: e.conn.used, Err: err}
	if f.Cause == CauseTimeout && f.Reused {
		e.client.CloseIdleConnections()
	}
	if e.answer == nil {
		e.stopCancelWatch()
		e.release(false)
		return f
	}
	e.finish(false)
	return f
}
