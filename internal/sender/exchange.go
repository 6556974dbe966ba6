package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// A Field is a header field.
type Field struct {
	Name  string
	Value string
}

// A Request is one request to one backend server.
type Request struct {
	Address   string // Host and port.
	Lane      Lane
	Fresh     bool // It takes a new connection, so that a failed dial means that nothing ran.
	Method    string
	Path      string // Escaped, starts with a slash.
	Query     string // Without the question mark.
	Header    []Field
	Body      []byte
	FirstByte time.Duration // Longest wait for the answer to begin.
	Progress  time.Duration // Longest silence after that.
	NeedsDone bool          // A stream is whole only if it ends with [DONE].

	Host    string        // Host field; empty means Address.
	MaxIdle time.Duration // A kept connection that was idle for longer is not used; zero means no bound.
	// Echo is a field that a server repeats in its answer. An answer with
	// another value belongs to an earlier request and is passed over.
	Echo Field
	// KeepField says which header fields of the answer are kept; nil keeps
	// those of answerHeaders.
	KeepField func(name string) bool
	// Unframed allows an answer without declared end, which is whole when the
	// server closes the connection in order.
	Unframed bool
}

// An exchange is one request on one connection and its answer.
type exchange struct {
	ctx     context.Context
	cfg     Config
	request Request
	conn    *conn
	release func(reuse bool) // Gives the connection back, or closes it.
	detach  func() bool      // Ends the watch on ctx; false if the connection was closed by it.
	reader  *bufio.Reader
	client  *fasthttp.HostClient
	answer  *fasthttp.Response
}

// Send makes one attempt. The error is a *Failure. The caller closes the
// answer.
func (s *Sender) Send(ctx context.Context, r Request) (*Answer, error) {
	e := &exchange{ctx: ctx, cfg: s.cfg, request: r, client: s.client(r.Lane, r.Address)}
	if err := e.connect(s); err != nil {
		return nil, &Failure{Cause: e.dialCause(err), Err: err}
	}
	e.detach = context.AfterFunc(ctx, func() { _ = e.conn.Close() })
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
		return CauseBusy
	default:
		return CauseDial
	}
}

// connect dials, or takes a usable connection from the pool.
func (e *exchange) connect(s *Sender) error {
	if e.request.Fresh {
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
		if e.conn.used && (e.conn.idleLongerThan(e.request.MaxIdle) || e.conn.stale()) {
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

func (e *exchange) run() (*Answer, error) {
	if err := e.write(); err != nil {
		return nil, err
	}
	e.conn.allowSilence(e.request.FirstByte)
	e.reader = e.client.AcquireReader(e.conn)
	e.answer = fasthttp.AcquireResponse()
	if err := e.readHead(); err != nil {
		return nil, err
	}
	e.conn.allowSilence(e.request.Progress)
	if e.isEventStream() {
		return e.newStream(), nil
	}
	return e.readWhole()
}

// readHead reads the head of the answer to this request. It passes over
// maxForeignAnswers answers to earlier ones.
func (e *exchange) readHead() error {
	for range maxForeignAnswers + 1 {
		e.answer.StreamBody = true
		e.answer.SkipBody = e.request.Method == fasthttp.MethodHead
		if err := e.answer.ReadLimitBody(e.reader, 0); err != nil {
			return err
		}
		if !e.foreign() {
			return nil
		}
		if stream := e.answer.BodyStream(); stream != nil {
			if _, err := io.Copy(io.Discard, io.LimitReader(stream, int64(e.cfg.MaxAnswerBytes))); err != nil {
				return err
			}
		}
		_ = e.answer.CloseBodyStream()
		e.answer.Reset()
	}
	return errForeign
}

// foreign reports whether the answer names another request than this one.
func (e *exchange) foreign() bool {
	if e.request.Echo.Name == "" {
		return false
	}
	echoed := e.answer.Header.Peek(e.request.Echo.Name)
	return len(echoed) > 0 && string(echoed) != e.request.Echo.Value
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
		e.answer.BodyStream() != nil &&
		strings.EqualFold(strings.TrimSpace(contentType), "text/event-stream")
}

// endDeclared reports whether the answer says where it ends.
func (e *exchange) endDeclared() bool {
	return e.request.Unframed || e.answer.Header.ContentLength() >= -1 // -2 means until the connection closes.
}

func (e *exchange) readWhole() (_ *Answer, err error) {
	a := e.newAnswer()
	stream := e.answer.BodyStream()
	if stream != nil {
		if !e.endDeclared() {
			return nil, errNoEnd
		}
		a.Body, err = readBounded(stream, e.cfg.MaxAnswerBytes)
		if err != nil {
			return nil, err
		}
	}
	e.finish(true)
	return a, nil
}

func readBounded(r io.Reader, bound int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(bound)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > bound {
		return nil, errTooLarge
	}
	return body, nil
}

// finish ends the exchange. The connection is kept only if its answer was read
// to the end and nothing more came with it.
func (e *exchange) finish(whole bool) {
	attached := e.detach()
	framed := e.answer.Header.ContentLength() >= -1
	reuse := whole && framed && attached && e.reader.Buffered() == 0 && !e.answer.ConnectionClose()
	_ = e.answer.CloseBodyStream()
	e.client.ReleaseReader(e.reader)
	fasthttp.ReleaseResponse(e.answer)
	e.release(reuse)
}

// fail ends the exchange after an error and describes it. After a silence on
// an old connection the idle ones are suspected as well.
func (e *exchange) fail(err error) *Failure {
	f := &Failure{Cause: causeOf(e.ctx, err), Dispatched: true, Reused: e.conn.used, Err: err}
	if f.Cause == CauseSilent && f.Reused {
		e.client.CloseIdleConnections()
	}
	if e.answer == nil {
		e.detach()
		e.release(false)
		return f
	}
	e.finish(false)
	return f
}
