// Package acceptor is the HTTP front end of an entry instance.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/watcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	defaultBodyLimit = 4 << 20
	// defaultBatchBodyLimit holds a job of 110,000 items of 9 KB each. Batch
	// bodies are streamed, so that they are not held in memory.
	defaultBatchBodyLimit = 1 << 30
	// uploadTimeout bounds the body of a batch job; the limit of other requests
	// would cut large jobs on slow networks.
	uploadTimeout = 30 * time.Minute
	// uploadReadAhead is read of a batch job before its handler runs.
	uploadReadAhead    = 64 << 10
	defaultHeaderLimit = 16 << 10
	defaultIdleTimeout = 60 * time.Second
	defaultReadTimeout = 60 * time.Second // For a whole request.
	// defaultWriteSilence is the time in which a caller has to take up the next
	// part of its answer.
	defaultWriteSilence = 30 * time.Second

	batchPath = "/v1/batches/"
)

type dispatch interface {
	Dispatch(ctx context.Context, q dispatcher.Request, w dispatcher.Writer) *refuser.Refusal
}

type routeTable interface {
	Routes() *registrar.RouteTable
}

type readiness interface {
	// Ready returns why the instance cannot serve yet, or nil.
	Ready() error
}

// A Mounter adds handlers of another package, such as those for batches and
// operators. A handler refuses by returning a *refuser.Refusal as its error.
type Mounter interface {
	Mount(router fiber.Router)
}

// A Config holds what an acceptor needs. Zero limits take the defaults.
type Config struct {
	Address        string // Host and port; port 0 lets the operating system choose.
	Routes         routeTable
	Authenticator  *authenticator.Authenticator
	Dispatcher     dispatch
	Readiness      readiness
	Metrics        http.Handler // Nil where there is no metrics page.
	Mounters       []Mounter
	Logger         logrus.FieldLogger
	BodyLimit      int // Bytes of a request body.
	BatchBodyLimit int // Bytes of the body of a batch job.
	HeaderLimit    int // Bytes of request line and header.
	IdleTimeout    time.Duration
	ReadTimeout    time.Duration
	WriteSilence   time.Duration
}

func (c Config) withDefaults() Config {
	c.BodyLimit = orInt(c.BodyLimit, defaultBodyLimit)
	c.BatchBodyLimit = orInt(c.BatchBodyLimit, defaultBatchBodyLimit)
	c.HeaderLimit = orInt(c.HeaderLimit, defaultHeaderLimit)
	c.IdleTimeout = orDuration(c.IdleTimeout, defaultIdleTimeout)
	c.ReadTimeout = orDuration(c.ReadTimeout, defaultReadTimeout)
	c.WriteSilence = orDuration(c.WriteSilence, defaultWriteSilence)
	return c
}

func orInt(n, otherwise int) int {
	if n <= 0 {
		return otherwise
	}
	return n
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// An Acceptor listens for callers.
type Acceptor struct {
	cfg      Config
	app      *fiber.App
	listener net.Listener
	base     context.Context // Of all requests; set by Start.
	running  conc.WaitGroup  // Dispatches.
	draining atomic.Bool
}

// New listens on the address, so that the port is known. Nothing is served
// before Start.
func New(cfg Config) (a *Acceptor, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "listen on %s", cfg.Address)
		}
	}()
	cfg = cfg.withDefaults()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	a = &Acceptor{cfg: cfg, listener: &watcher.Listener{Listener: listener, WriteTimeout: cfg.WriteSilence}}
	a.app = fiber.New(fiber.Config{
		BodyLimit:                    cfg.BodyLimit,
		CaseSensitive:                true,
		DisableDefaultContentType:    true,
		DisableHeadAutoRegister:      true,
		DisablePreParseMultipartForm: true, // Bodies are passed on as they came.
		ErrorHandler:                 a.handleError,
		IdleTimeout:                  cfg.IdleTimeout,
		ReadBufferSize:               cfg.HeaderLimit,
		ReadTimeout:                  cfg.ReadTimeout,
		StreamRequestBody:            true,
		StrictRouting:                true,
	})
	a.mount()
	a.configureServer(a.app.Server())
	return a, nil
}

func (a *Acceptor) mount() {
	a.app.Use(a.readBody)
	a.app.Get("/healthz", a.healthz)
	a.app.Get("/readyz", a.readyz)
	if a.cfg.Metrics != nil {
		a.app.Get("/metrics", adaptor.HTTPHandler(a.cfg.Metrics))
	}
	a.app.Post("/v1/chat/completions", a.complete)
	a.app.Post("/v1/completions", a.complete)
	a.app.All("/services/*", a.callService)
	for _, m := range a.cfg.Mounters {
		m.Mount(a.app)
	}
}

// configureServer sets what fiber does not pass on.
func (a *Acceptor) configureServer(s *fasthttp.Server) {
	s.HeaderReceived = a.limitsOf
	handle := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		a.handle(ctx, handle)
		if a.draining.Load() {
			ctx.SetConnectionClose() // The caller's next request goes to another instance.
		}
	}
}

// handle answers for fiber where it panics, which would end the process, and
// where it answers an unknown method without JSON.
func (a *Acceptor) handle(ctx *fasthttp.RequestCtx, handle fasthttp.RequestHandler) {
	if fault := panics.Try(func() { handle(ctx) }); fault != nil {
		a.cfg.Logger.WithField("stack", string(fault.Stack)).Error("a handler panicked")
		_ = writeRefusal(ctx, refusalOf(fault.AsError()))
	}
	if ctx.Response.StatusCode() == fasthttp.StatusNotImplemented && !slices.Contains(a.app.Config().RequestMethods, string(ctx.Method())) {
		_ = writeRefusal(ctx, refusalOf(fiber.ErrNotImplemented))
	}
}

// limitsOf says how much of a body is read before its handler runs. Batch jobs
// are read by their handler, and so is the refusal of a body that exceeds the
// limit by its declared length: a caller may wait for it before it sends more.
func (a *Acceptor) limitsOf(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	switch {
	case isBatchUpload(h):
		return fasthttp.RequestConfig{MaxRequestBodySize: uploadReadAhead, ReadTimeout: uploadTimeout}
	case h.ContentLength() > a.cfg.BodyLimit:
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	default:
		return fasthttp.RequestConfig{}
	}
}

func isBatchUpload(h *fasthttp.RequestHeader) bool {
	return h.IsPut() && len(h.RequestURI()) > len(batchPath) && string(h.RequestURI()[:len(batchPath)]) == batchPath
}

// Address is the bound address.
func (a *Acceptor) Address() string {
	return a.listener.Addr().String()
}

// Start serves until Shutdown, or until ctx ends, which cuts what still runs.
func (a *Acceptor) Start(ctx context.Context) <-chan error {
	a.base = ctx
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		_ = a.app.ShutdownWithContext(ctx)
	})
	go func() {
		defer stop()
		var err error
		if fault := panics.Try(func() { err = a.serve() }); fault != nil {
			err = fault.AsError()
		}
		done <- err
	}()
	return done
}

func (a *Acceptor) serve() error {
	return a.app.Listener(a.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Drain makes /readyz fail, so that the balancer sends nothing new. Requests
// that still come are served.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// Shutdown refuses new connections and returns when the running requests have
// ended, or with the error of ctx.
func (a *Acceptor) Shutdown(ctx context.Context) (err error) {
	a.Drain()
	if err := a.app.ShutdownWithContext(ctx); err != nil {
		return merry.Prepend(err, "shutdown")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if fault := a.running.WaitAndRecover(); fault != nil {
			a.cfg.Logger.WithField("stack", string(fault.Stack)).Error("a dispatch panicked")
		}
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "shutdown")
	}
}

// A status is the answer of the pages for probes.
type status struct {
	Status string `json:"status"`
}

func (a *Acceptor) healthz(c fiber.Ctx) error {
	return c.JSON(status{Status: "ok"})
}

func (a *Acceptor) readyz(c fiber.Ctx) error {
	if a.draining.Load() {
		return refuser.New(refuser.Draining, refuser.NotRun, "the instance is leaving")
	}
	if err := a.cfg.Readiness.Ready(); err != nil {
		return refuser.New(refuser.NotConfigured, refuser.NotRun, err.Error())
	}
	return c.JSON(status{Status: "ready"})
}
