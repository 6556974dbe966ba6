package receiver

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"

	"github.com/quetzalhitch/quetzalhitch/internal/acceptor"
)

// recheckPeriod is the time after which a key that streams results is looked up
// again, since it may have been withdrawn.
const recheckPeriod = time.Second

// results streams the results of a job as JSON lines. After an error the
// connection is closed without the end of the body, so that a client does not
// take a part for the whole.
func (r *Receiver) results(c fiber.Ctx) error {
	who, refusal := r.identify(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTime)
	defer cancel()
	if _, err := r.cfg.Jobs.Status(ctx, who.workspace, who.job); err != nil {
		return acceptor.Refuse(c, r.refusalOf(err))
	}
	reader, writer := io.Pipe()
	go r.stream(who, writer)
	c.Set(fiber.HeaderContentType, "application/jsonl")
	return c.SendStream(reader)
}

// stream writes results until their end, or until the reader is closed because
// the client has gone.
func (r *Receiver) stream(who caller, w *io.PipeWriter) {
	guarded := &guardedWriter{w: w, receiver: r, key: who.key, checkedAt: r.cfg.Clock.Now()}
	var err error
	if caught := panics.Try(func() {
		err = r.cfg.Jobs.Results(r.ctx, who.workspace, who.job, guarded)
	}); caught != nil {
		err = caught.AsError()
	}
	if err != nil {
		r.cfg.Logger.WithError(err).WithField("job", who.job).Warn("a stream of results was cut")
	}
	_ = w.CloseWithError(err)
}

// A guardedWriter ends a stream whose key was withdrawn.
type guardedWriter struct {
	w         io.Writer
	receiver  *Receiver
	key       string
	checkedAt time.Time
}

// Write implements io.Writer.
func (g *guardedWriter) Write(p []byte) (n int, err error) {
	now := g.receiver.cfg.Clock.Now()
	if now.Sub(g.checkedAt) >= recheckPeriod {
		if _, refusal := g.receiver.cfg.Keys.Workspace(g.key); refusal != nil {
			return 0, refusal
		}
		g.checkedAt = now
	}
	return g.w.Write(p)
}
