package receiver

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"

	"github.com/quetzalhitch/quetzalhitch/internal/acceptor"
)

// keyRecheckInterval is how often the key of a stream of results is looked up
// again, because it may have been withdrawn.
const keyRecheckInterval = time.Second

// results streams the results of a job as JSON lines. After an error the
// connection is closed before the end of the body, so that a client does not
// mistake truncated results for complete ones.
func (r *Receiver) results(c fiber.Ctx) error {
	req, refusal := r.identify(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	if _, err := r.cfg.Jobs.Status(ctx, req.workspace, req.job); err != nil {
		return acceptor.Refuse(c, r.refusalOf(err))
	}
	reader, writer := io.Pipe()
	go r.stream(req, writer)
	c.Set(fiber.HeaderContentType, "application/jsonl")
	return c.SendStream(reader)
}

// stream writes all results, or stops when the reader is closed because the
// client has disconnected.
func (r *Receiver) stream(req jobRequest, w *io.PipeWriter) {
	checked := &keyCheckingWriter{w: w, receiver: r, key: req.key, checkedAt: r.cfg.Clock.Now()}
	var err error
	if recovered := panics.Try(func() {
		err = r.cfg.Jobs.Results(r.ctx, req.workspace, req.job, checked)
	}); recovered != nil {
		err = recovered.AsError()
	}
	if err != nil {
		r.cfg.Logger.WithError(err).WithField("job", req.job).Warn("stream of batch results aborted")
	}
	_ = w.CloseWithError(err)
}

// A keyCheckingWriter fails once the key of the stream has been withdrawn.
type keyCheckingWriter struct {
	w         io.Writer
	receiver  *Receiver
	key       string
	checkedAt time.Time
}

// Write implements io.Writer.
func (k *keyCheckingWriter) Write(p []byte) (n int, err error) {
	now := k.receiver.cfg.Clock.Now()
	if now.Sub(k.checkedAt) >= keyRecheckInterval {
		if _, refusal := k.receiver.cfg.Keys.Workspace(k.key); refusal != nil {
			return 0, refusal
		}
		k.checkedAt = now
	}
	return k.w.Write(p)
}
