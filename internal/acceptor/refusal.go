package acceptor

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/intaker"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// handleError responds with the refusal for an error.
func (a *Acceptor) handleError(c fiber.Ctx, err error) error {
	refusal := refusalOf(err)
	conn, ok := c.RequestCtx().Conn().(*intaker.Conn)
	if ok && closesWithUnreadBody(refusal.Code) {
		conn.Linger()
	}
	return Refuse(c, refusal)
}

// closesWithUnreadBody reports whether the server closes the connection after
// this refusal while the caller may still be sending.
func closesWithUnreadBody(code refuser.Code) bool {
	return code == refuser.BodyTooLarge || code == refuser.HeaderTooLarge || code == refuser.Overloaded
}

// refusalOf returns the refusal in an error, or translates an error of fiber.
// The text of other errors is withheld, because it can quote the request.
func refusalOf(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	var httpError *fiber.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case !errors.As(err, &httpError):
		return refuser.New(refuser.Internal, refuser.Unknown, "the instance failed to serve the request")
	}
	switch httpError.Code {
	case fiber.StatusRequestEntityTooLarge:
		return refuser.New(refuser.BodyTooLarge, refuser.NotRun, "the body exceeds the limit")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return refuser.New(refuser.HeaderTooLarge, refuser.NotRun, "the header exceeds the limit")
	case fiber.StatusNotFound:
		return refuser.New(refuser.RouteNotFound, refuser.NotRun, "the path does not exist")
	case fiber.StatusMethodNotAllowed, fiber.StatusNotImplemented:
		return refuser.New(refuser.MethodNotAllowed, refuser.NotRun, "the method is not allowed here")
	case fiber.StatusRequestTimeout:
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the request did not arrive in time")
	default:
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the request is not valid HTTP")
	}
}

// Refuse responds with a refusal.
func Refuse(c fiber.Ctx, r *refuser.Refusal) error {
	return writeRefusal(c.RequestCtx(), r)
}

func writeRefusal(ctx *fasthttp.RequestCtx, r *refuser.Refusal) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	header := &ctx.Response.Header
	if seconds := r.RetryAfterSeconds(); seconds > 0 {
		header.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if r.Status == fiber.StatusUnauthorized {
		header.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	header.SetContentType(fiber.MIMEApplicationJSON)
	ctx.SetStatusCode(r.Status)
	ctx.SetBody(data)
	return nil
}

// errorEvent encodes the final event of an aborted stream.
func errorEvent(r *refuser.Refusal) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		data = []byte(`{}`)
	}
	return append(append([]byte("event: error\ndata: "), data...), "\n\n"...)
}
