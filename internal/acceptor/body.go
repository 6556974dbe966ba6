package acceptor

import (
	"io"

	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// readBody reads the body of a request within its limit. The handler of batch
// jobs streams the body itself.
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
	stream := r.BodyStream()
	if stream == nil || batch {
		return c.Next()
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the body did not arrive whole")
	}
	if len(body) > limit {
		return bodyTooLarge()
	}
	r.SetBody(body)
	return c.Next()
}

func bodyTooLarge() *refuser.Refusal {
	return refuser.New(refuser.BodyTooLarge, refuser.NotRun, "the body exceeds the limit")
}
