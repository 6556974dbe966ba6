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
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/intaker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/watcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	defaultBodyLimit = 4 << 20
	// defaultBatchBodyLimit fits a job of 110,000 items of 9 KB each. Batch
	// bodies are streamed and not held in memory.
	defaultBatchBodyLimit = 1 << 30
	// uploadTimeout bounds reading the body of a batch job; the read timeout of
	// other requests would abort large uploads on slow networks.
	uploadTimeout = 30 * time.Minute
	// uploadReadAheadBytes of a batch job are read before its handler runs.
	uploadReadAheadBytes = 64 << 10
	defaultHeaderLimit   = 16 << 10
	// overloadRetryAfter is how long a caller that was refused for want of memory waits.
	overloadRetryAfter = time.Second
	defaultIdleTimeout = 60 * time.Second
	defaultReadTimeout = 60 * time.Second // For a whole request.
	// defaultWriteStallTimeout bounds each write to a caller instead of the whole
	// response, which may be a long stream.
	defaultWriteStallTimeout = 30 * time.Second

	batchPath = "/v1/batches/"
)

type requestDispatcher interface {
	Dispatch(ctx context.Context, q dispatcher.Request, w dispatcher.Writer) *refuser.Refusal
}

type routeTable interface {
	Routes() *registrar.RouteTable
}

type readiness interface {
	// Ready returns nil if the instance can serve, or the reason why it cannot.
	Ready() error
}

// A Mounter registers the routes of another package, such as batch jobs and
// operator commands. Its handlers refuse a request by returning a
// *refuser.Refusal as the error.
type Mounter interface {
	Mount(router fiber.Router)
}

// A Config holds the parameters of an Acceptor. Zero limits take the defaults.
type Config struct {
	Address           string // Host and port; port 0 lets the operating system choose.
	Routes            routeTable
	Authenticator     *authenticator.Authenticator
	Dispatcher        requestDispatcher
	Readiness         readiness
	Metrics           http.Handler // Nil disables /metrics.
	Mounters          []Mounter
	Logger            logrus.FieldLogger
	BodyLimit         int // Bytes of a request body.
	BatchBodyLimit    int // Bytes of the body of a batch job.
	HeaderLimit       int // Bytes of the request line and header together.
	IdleTimeout       time.Duration
	ReadTimeout       time.Duration
	WriteStallTimeout time.Duration
	Gate              *intaker.Gate // Bounds the connections of callers; nil takes that of a machine with the default memory.
}

func (c Config) withDefaults() Config {
	c.BodyLimit = intOrDefault(c.BodyLimit, defaultBodyLimit)
	c.BatchBodyLimit = intOrDefault(c.BatchBodyLimit, defaultBatchBodyLimit)
	c.HeaderLimit = intOrDefault(c.HeaderLimit, defaultHeaderLimit)
	c.IdleTimeout = durationOrDefault(c.IdleTimeout, defaultIdleTimeout)
	c.ReadTimeout = durationOrDefault(c.ReadTimeout, defaultReadTimeout)
	c.WriteStallTimeout = durationOrDefault(c.WriteStallTimeout, defaultWriteStallTimeout)
	return c
}

func intOrDefault(n, defaultValue int) int {
	if n <= 0 {
		return defaultValue
	}
	return n
}

func durationOrDefault(d, defaultValue time.Duration) time.Duration {
	if d <= 0 {
		return defaultValue
	}
	return d
}

// An Acceptor is the HTTP server for callers.
type Acceptor struct {
	cfg         Config
	app         *fiber.App
	listener    net.Listener
	baseContext context.Context // Parent of all request contexts; set by Start.
	inFlight    conc.WaitGroup  // Dispatch goroutines.
	draining    atomic.Bool
	stopping    atomic.Bool // Requests that arrive are refused.
}

// New binds the address. Requests are served once Start is called.
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
	if cfg.Gate == nil {
		cfg.Gate = &intaker.Gate{Budget: intaker.NewBudget(0, clockwork.NewRealClock(), cfg.Logger), MaxConns: intaker.CallerConns(0, 0)}
	}
	a = &Acceptor{cfg: cfg, listener: &intaker.Listener{
		Gate: cfg.Gate, Listener: &watcher.Listener{Listener: listener, WriteStallTimeout: cfg.WriteStallTimeout},
	}}
	a.app = fiber.New(fiber.Config{
		BodyLimit:                    cfg.BodyLimit,
		CaseSensitive:                true,
		DisableDefaultContentType:    true,
		DisableHeadAutoRegister:      true,
		DisablePreParseMultipartForm: true, // Bodies are forwarded unchanged.
		ErrorHandler:                 a.handleError,
		IdleTimeout:                  cfg.IdleTimeout,
		ReadBufferSize:               cfg.HeaderLimit,
		ReadTimeout:                  cfg.ReadTimeout,
		ReduceMemoryUsage:            true,
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
	a.app.Post("/v1/chat/completions", a.handleCompletion)
	a.app.Post("/v1/completions", a.handleCompletion)
	a.app.All("/services/*", a.handleService)
	for _, m := range a.cfg.Mounters {
		m.Mount(a.app)
	}
}

// configureServer sets options of the fasthttp server that fiber does not
// expose.
func (a *Acceptor) configureServer(s *fasthttp.Server) {
	s.HeaderReceived = a.requestConfig
	s.SecureErrorLogMessage = true
	s.ErrorHandler = a.handleUnread(s.ErrorHandler)
	handle := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if a.stopping.Load() {
			_ = writeRefusal(ctx, refuser.New(refuser.Draining, refuser.NotRun, "the instance is leaving"))
		} else {
			a.handle(ctx, handle)
		}
		if conn, ok := ctx.Conn().(*intaker.Conn); ok {
			conn.EndStream()
		}
		if a.draining.Load() {
			ctx.SetConnectionClose() // Makes the caller reconnect, to another instance.
		}
	}
}

// handle recovers panics of handlers, which would end the process, and replaces
// fiber's response to an unknown method, which is not JSON.
func (a *Acceptor) handle(ctx *fasthttp.RequestCtx, handle fasthttp.RequestHandler) {
	if recovered := panics.Try(func() { handle(ctx) }); recovered != nil {
		a.cfg.Logger.WithField("stack", string(recovered.Stack)).Error("HTTP handler panicked")
		_ = writeRefusal(ctx, refusalOf(recovered.AsError()))
	}
	if ctx.Response.StatusCode() == fasthttp.StatusNotImplemented && !slices.Contains(a.app.Config().RequestMethods, string(ctx.Method())) {
		_ = writeRefusal(ctx, refusalOf(fiber.ErrNotImplemented))
	}
}

// requestConfig limits how much of a body is read before its handler runs. The
// handler of batch jobs reads the body itself. A body whose declared length
// exceeds the limit is refused before it is read, because a caller may wait for
// the refusal before it sends more.
func (a *Acceptor) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	switch {
	case isBatchUpload(h):
		return fasthttp.RequestConfig{MaxRequestBodySize: uploadReadAheadBytes, ReadTimeout: uploadTimeout}
	case h.ContentLength() > a.cfg.BodyLimit:
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	default:
		return fasthttp.RequestConfig{}
	}
}

func isBatchUpload(h *fasthttp.RequestHeader) bool {
	return h.IsPut() && len(h.RequestURI()) > len(batchPath) && string(h.RequestURI()[:len(batchPath)]) == batchPath
}

// Address returns the bound address.
func (a *Acceptor) Address() string {
	return a.listener.Addr().String()
}

// Start serves until Shutdown, or until ctx is cancelled, which aborts the
// requests in flight.
func (a *Acceptor) Start(ctx context.Context) <-chan error {
	a.baseContext = ctx
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		_ = a.app.ShutdownWithContext(ctx)
	})
	go func() {
		defer stop()
		var err error
		if recovered := panics.Try(func() { err = a.serve() }); recovered != nil {
			err = recovered.AsError()
		}
		done <- err
	}()
	return done
}

func (a *Acceptor) serve() error {
	return a.app.Listener(a.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Drain makes /readyz fail, so that the load balancer sends no new requests.
// Requests that still arrive are served.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// Shutdown stops accepting connections, refuses requests that arrive on open ones, and
// waits for the requests in flight, or returns the error of ctx.
func (a *Acceptor) Shutdown(ctx context.Context) (err error) {
	a.Drain()
	a.stopping.Store(true)
	if err := a.app.ShutdownWithContext(ctx); err != nil {
		return merry.Prepend(err, "shutdown")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if recovered := a.inFlight.WaitAndRecover(); recovered != nil {
			a.cfg.Logger.WithField("stack", string(recovered.Stack)).Error("dispatch goroutine panicked")
		}
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "shutdown")
	}
}

// A probeResponse is the body of a successful health or readiness check.
type probeResponse struct {
	Status string `json:"status"`
}

func (a *Acceptor) healthz(c fiber.Ctx) error {
	return c.JSON(probeResponse{Status: "ok"})
}

func (a *Acceptor) readyz(c fiber.Ctx) error {
	if a.draining.Load() {
		return refuser.New(refuser.Draining, refuser.NotRun, "the instance is leaving")
	}
	if err := a.cfg.Readiness.Ready(); err != nil {
		return refuser.New(refuser.NotConfigured, refuser.NotRun, err.Error())
	}
	return c.JSON(probeResponse{Status: "ready"})
}
