package acceptor

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// handleError answers with the refusal that an error stands for.
func (a *Acceptor) handleError(c fiber.Ctx, err error) error {
	refusal := refusalOf(err)
	if refusal.Code == refuser.BodyTooLarge {
		if conn, ok := c.RequestCtx().Conn().(*callerConn); ok {
			conn.linger()
		}
	}
	return Refuse(c, refusal)
}

// refusalOf translates errors of fiber. Their text is not passed on: it can
// quote the request.
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

// Refuse answers with a refusal.
func Refuse(c fiber.Ctx, r *refuser.Refusal) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if seconds := r.RetryAfterSeconds(); seconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if r.Status == fiber.StatusUnauthorized {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(r.Status).Send(data)
}

// errorEvent is the last event of a stream that was cut.
func errorEvent(r *refuser.Refusal) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		data = []byte(`{}`)
	}
	return append(append([]byte("event: error\ndata: "), data...), "\n\n"...)
}
