// Package receiver is the HTTP of batch jobs: upload, status, cancellation and
// results.
package receiver

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/acceptor"
	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Keys knows the workspaces of callers' keys.
type Keys interface {
	Workspace(key string) (workspace string, refusal *refuser.Refusal)
}

// Jobs accepts and runs batch jobs. Errors of type *refuser.Refusal are for the
// caller.
type Jobs interface {
	Submit(ctx context.Context, s batcher.Submission) (batcher.Manifest, error)
	Status(ctx context.Context, workspace, job string) (batcher.Manifest, error)
	Cancel(ctx context.Context, workspace, job string) (batcher.Manifest, error)
	Results(ctx context.Context, workspace, job string, w io.Writer) error
}

// A Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

const (
	// DefaultMaxUploads bounds the uploads that are read at the same time, and
	// a workspace to half of them. An upload holds at most 40 MiB, and the body
	// limit of the server on top.
	DefaultMaxUploads = 4
	// defaultDueIn is the time that a job has when the caller names none.
	defaultDueIn = 24 * time.Hour
	// uploadTime bounds an upload. It is below the age at which the batcher
	// takes a submission without a manifest for failed.
	uploadTime = 30 * time.Minute
	// callTime bounds the other requests, except for results.
	callTime = 30 * time.Second
)

// A Config holds the parameters of a Receiver. Zero fields take the defaults.
type Config struct {
	Keys       Keys
	Jobs       Jobs
	Clock      Clock
	Logger     logrus.FieldLogger
	MaxUploads int
}

// A Receiver answers callers' requests about batch jobs.
type Receiver struct {
	cfg   Config
	gate  *gate
	ctx   context.Context // Of the streams that outlive their handler.
	close context.CancelFunc
}

// New returns a Receiver.
func New(cfg Config) *Receiver {
	if cfg.MaxUploads <= 0 {
		cfg.MaxUploads = DefaultMaxUploads
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Receiver{cfg: cfg, gate: newGate(cfg.Clock, cfg.MaxUploads), ctx: ctx, close: cancel}
}

// Close ends what still runs. The server is shut down before.
func (r *Receiver) Close() {
	r.close()
}

// Mount adds the routes of batch jobs. Uploads are streamed only when the server
// has StreamRequestBody set; otherwise its body limit bounds them.
func (r *Receiver) Mount(router fiber.Router) {
	router.Put("/v1/batches/:job", r.submit)
	router.Get("/v1/batches/:job", r.status)
	router.Post("/v1/batches/:job/cancel", r.cancel)
	router.Get("/v1/batches/:job/results", r.results)
}

// A caller is who sends a request. Its strings are copies, since fiber uses
// their memory again.
type caller struct {
	key       string
	workspace string
	job       string
}

// identify finds the workspace of a request.
func (r *Receiver) identify(c fiber.Ctx) (who caller, refusal *refuser.Refusal) {
	who.key, refusal = acceptor.PresentedKey(c)
	if refusal != nil {
		return caller{}, refusal
	}
	who.job = strings.Clone(c.Params("job"))
	who.workspace, refusal = r.cfg.Keys.Workspace(who.key)
	return who, refusal
}

func (r *Receiver) status(c fiber.Ctx) error {
	return r.answer(c, r.cfg.Jobs.Status)
}

func (r *Receiver) cancel(c fiber.Ctx) error {
	return r.answer(c, r.cfg.Jobs.Cancel)
}

// answer sends the report of a job after a call that returns its manifest.
func (r *Receiver) answer(
	c fiber.Ctx, call func(ctx context.Context, workspace, job string) (batcher.Manifest, error),
) error {
	who, refusal := r.identify(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTime)
	defer cancel()
	m, err := call(ctx, who.workspace, who.job)
	if err != nil {
		return acceptor.Refuse(c, r.refusalOf(err))
	}
	return c.JSON(reportOf(m))
}
