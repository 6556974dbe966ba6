package acceptor

import (
	"errors"
	"io"
	"net/http"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/intaker"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// readBody reads the body of a request within its limit and the budget of the process.
// The handler of batch jobs streams the body itself, and its share in the budget is
// bounded.
func (a *Acceptor) readBody(c fiber.Ctx) error {
	r := c.Request()
	limit := a.cfg.BodyLimit
	batch := isBatchUpload(&r.Header)
	if batch {
		limit = a.cfg.BatchBodyLimit
	}
	if r.Header.ContentLength() > limit {
		return bodyTooLarge()
	}
	conn, ok := c.RequestCtx().Conn().(*intaker.Conn)
	switch {
	case !ok || conn.Fault() != nil:
		return overloaded()
	case r.Header.Len() > intaker.MaxHeadLines:
		return refuser.New(refuser.HeaderTooLarge, refuser.NotRun, "the header has too many fields")
	case batch:
		stream := r.BodyStream()
		if stream == nil {
			stream = http.NoBody
		}
		size := r.Header.ContentLength()
		r.SetBodyStream(overloadReader{conn.StreamBody(stream, size)}, size)
		return c.Next()
	}
	body, err := conn.ReadBody(r.BodyStream(), r.Header.ContentLength(), limit)
	switch {
	case errors.Is(err, intaker.ErrBodyTooLong):
		return bodyTooLarge()
	case errors.Is(err, intaker.ErrOverloaded):
		return overloaded()
	case err != nil:
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the body did not arrive whole")
	}
	r.SetBodyRaw(body)
	return c.Next()
}

// An overloadReader returns a refusal as the error of a body that has lost its share in
// the budget.
type overloadReader struct{ io.Reader }

// Read implements io.Reader.
func (r overloadReader) Read(p []byte) (n int, err error) {
	n, err = r.Reader.Read(p)
	if errors.Is(err, intaker.ErrOverloaded) {
		err = overloaded()
	}
	return n, err
}

func bodyTooLarge() *refuser.Refusal {
	return refuser.New(refuser.BodyTooLarge, refuser.NotRun, "the body exceeds the limit")
}

func overloaded() *refuser.Refusal {
	refusal := refuser.New(refuser.Overloaded, refuser.NotRun, "the instance receives more than it can hold")
	refusal.RetryAfter = overloadRetryAfter
	return refusal
}

// handleUnread returns the handler of requests whose head could not be read. It replaces
// the error of a connection that was closed by intaker.
func (a *Acceptor) handleUnread(handle func(*fasthttp.RequestCtx, error)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		conn, ok := ctx.Conn().(*intaker.Conn)
		switch {
		case ok && errors.Is(conn.Fault(), intaker.ErrOverloaded):
			_ = writeRefusal(ctx, overloaded())
		case ok && errors.Is(conn.Fault(), intaker.ErrHeadTooLong):
			_ = writeRefusal(ctx, refuser.New(refuser.HeaderTooLarge, refuser.NotRun, "the header has too many lines"))
		default:
			handle(ctx, err)
		}
	}
}
