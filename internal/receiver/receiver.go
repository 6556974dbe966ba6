// Package receiver serves the HTTP API of batch jobs: upload, status,
// cancellation and results.
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

// KeyResolver looks up the workspaces of callers' keys.
type KeyResolver interface {
	Workspace(key string) (workspace string, refusal *refuser.Refusal)
}

// Jobs accepts and runs batch jobs. Errors of type *refuser.Refusal are returned
// to the caller.
type Jobs interface {
	Submit(ctx context.Context, s batcher.Submission) (batcher.Manifest, error)
	Status(ctx context.Context, workspace, job string) (batcher.Manifest, error)
	Cancel(ctx context.Context, workspace, job string) (batcher.Manifest, error)
	Results(ctx context.Context, workspace, job string, w io.Writer) error
}

// A Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

const (
	// DefaultMaxUploads bounds the concurrent uploads; a workspace may use half
	// of them. An upload takes at most 40 MiB of memory plus the body limit of
	// the server.
	DefaultMaxUploads = 4
	// memoryPerUploadMB is the memory of a machine for each concurrent upload.
	memoryPerUploadMB = 128
	// defaultDueIn applies when the caller sets no due-in.
	defaultDueIn = 24 * time.Hour
	// uploadTimeout bounds an upload. It must be below the age at which the batcher
	// considers a submission without a manifest failed.
	uploadTimeout = 30 * time.Minute
	// requestTimeout bounds all requests except uploads and streams of results.
	requestTimeout = 30 * time.Second
)

// A Config holds the parameters of a Receiver. Zero fields take the defaults.
type Config struct {
	Keys       KeyResolver
	Jobs       Jobs
	Clock      Clock
	Logger     logrus.FieldLogger
	MaxUploads int
}

// A Receiver handles requests about batch jobs.
type Receiver struct {
	cfg     Config
	uploads *uploadLimiter
	ctx     context.Context // Parent of all request contexts and of streams that outlive their handler.
	close   context.CancelFunc
}

// MaxUploads returns how many uploads a machine with the given memory receives at once.
func MaxUploads(memoryMB int) int { return max(1, min(DefaultMaxUploads, memoryMB/memoryPerUploadMB)) }

// New returns a Receiver.
func New(cfg Config) *Receiver {
	if cfg.MaxUploads <= 0 {
		cfg.MaxUploads = DefaultMaxUploads
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Receiver{cfg: cfg, uploads: newUploadLimiter(cfg.Clock, cfg.MaxUploads), ctx: ctx, close: cancel}
}

// Close cancels requests and streams in flight. Shut down the HTTP server first.
func (r *Receiver) Close() {
	r.close()
}

// Mount registers the routes of batch jobs. Uploads are streamed only if the
// server has StreamRequestBody set; otherwise its body limit applies to them.
func (r *Receiver) Mount(router fiber.Router) {
	router.Put("/v1/batches/:job", r.submit)
	router.Get("/v1/batches/:job", r.status)
	router.Post("/v1/batches/:job/cancel", r.cancel)
	router.Get("/v1/batches/:job/results", r.results)
}

// A jobRequest identifies the caller of a request and the job. Its strings are
// copies, because fiber reuses its buffers.
type jobRequest struct {
	key       string
	workspace string
	job       string
}

// identify reads the key and the job of a request and looks up the workspace.
func (r *Receiver) identify(c fiber.Ctx) (req jobRequest, refusal *refuser.Refusal) {
	req.key, refusal = acceptor.PresentedKey(c)
	if refusal != nil {
		return jobRequest{}, refusal
	}
	req.job = strings.Clone(c.Params("job"))
	req.workspace, refusal = r.cfg.Keys.Workspace(req.key)
	return req, refusal
}

func (r *Receiver) status(c fiber.Ctx) error {
	return r.respondWithReport(c, r.cfg.Jobs.Status)
}

func (r *Receiver) cancel(c fiber.Ctx) error {
	return r.respondWithReport(c, r.cfg.Jobs.Cancel)
}

// respondWithReport responds with the report of the manifest that call returns.
func (r *Receiver) respondWithReport(
	c fiber.Ctx, call func(ctx context.Context, workspace, job string) (batcher.Manifest, error),
) error {
	req, refusal := r.identify(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	m, err := call(ctx, req.workspace, req.job)
	if err != nil {
		return acceptor.Refuse(c, r.refusalOf(err))
	}
	return c.JSON(newJobReport(m))
}
