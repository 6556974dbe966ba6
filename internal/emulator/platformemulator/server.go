// Package platformemulator emulates the platform over HTTP: its key-value
// service and its list of instances. Tests can inject faults.
package platformemulator

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxBodyBytes is enough for the largest value in base64 and the JSON around it.
const maxBodyBytes = 2 * storer.MaxValueBytes

// A Clock is the part of clockwork.Clock that the emulator uses.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// Config configures a Server.
type Config struct {
	Address        string         // IP address and port of the platform API and the control API; port 0 lets the operating system choose.
	ControlAddress string         // A second address of the control API, which is reachable during an outage; optional.
	Memory         *storer.Memory // The stored data; nil means an empty store.
	Clock          Clock          // Nil means the real clock.
}

// A Server is an emulated platform.
type Server struct {
	clock           Clock
	memory          *storer.Memory
	listener        *interruptibleListener
	controlListener net.Listener // Nil without a control address.
	faults          *faultState
	history         *instanceHistory
	stats           counters
	lateWrites      conc.WaitGroup // Writes that take effect after their connection was closed.
}

// A discardLogger discards the library's messages about connections that faults
// closed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// New listens on the configured addresses; Start serves them.
func New(cfg Config) (s *Server, err error) {
	defer func() { err = merry.Prepend(err, "platform emulator") }()
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Memory == nil {
		cfg.Memory = storer.NewMemory(cfg.Clock)
	}
	listener, err := newInterruptibleListener(cfg.Address)
	if err != nil {
		return nil, err
	}
	s = &Server{
		clock:    cfg.Clock,
		memory:   cfg.Memory,
		listener: listener,
		faults:   newFaultState(),
		history:  newInstanceHistory(cfg.Clock),
	}
	if cfg.ControlAddress == "" {
		return s, nil
	}
	s.controlListener, err = net.Listen("tcp", cfg.ControlAddress) //nolint:noctx // It does not wait.
	if err != nil {
		_ = listener.Close()
		return nil, merry.Wrap(err)
	}
	return s, nil
}

// Address returns the address of the platform API.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// ControlAddress returns the second address of the control API, or an empty
// string.
func (s *Server) ControlAddress() string {
	if s.controlListener == nil {
		return ""
	}
	return s.controlListener.Addr().String()
}

// Memory returns the stored data. Faults do not affect access through it.
func (s *Server) Memory() *storer.Memory {
	return s.memory
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	return s.faults.current()
}

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(f Faults) error {
	if err := s.checkFaults(f); err != nil {
		return err
	}
	s.faults.replace(f)
	return s.listener.setRefusing(f.Outage == OutageRefuse)
}

// Stats returns the numbers of calls.
func (s *Server) Stats() Stats {
	return s.stats.read()
}

// SetInstance adds an instance to the list or replaces it.
func (s *Server) SetInstance(instance storer.ListedInstance) {
	s.memory.SetInstance(instance)
	s.recordInstances()
}

// RemoveInstance removes an instance from the list.
func (s *Server) RemoveInstance(id string) {
	s.memory.RemoveInstance(id)
	s.recordInstances()
}

// Start serves until ctx ends. The channel receives the result once.
func (s *Server) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	servers := pool.New().WithContext(ctx).WithCancelOnError()
	servers.Go(func(ctx context.Context) error { return s.serve(ctx, s.listener, true) })
	if s.controlListener != nil {
		servers.Go(func(ctx context.Context) error { return s.serve(ctx, s.controlListener, false) })
	}
	go func() {
		err := servers.Wait()
		s.lateWrites.Wait()
		ended <- err
	}()
	return ended
}

// serve serves HTTP on ln until ctx ends, which closes ln.
func (s *Server) serve(ctx context.Context, ln net.Listener, protocol bool) (err error) {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, Immutable: true})
	s.routeControls(app)
	if protocol {
		s.routeProtocol(ctx, app)
	}
	server := &fasthttp.Server{
		Handler:               app.Handler(),
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err = server.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return merry.Prependf(err, "serve %s", ln.Addr())
}

func (s *Server) checkFaults(f Faults) error {
	for _, rule := range f.LoseResponses {
		if rule.Writes < 0 || rule.ApplyAfter < 0 {
			return merry.New("a rule for lost answers has a negative number")
		}
	}
	switch f.Outage {
	case OutageNone, OutageDrop, OutageHang, OutageRefuse:
	default:
		return merry.Errorf("unknown outage %q", f.Outage)
	}
	return nil
}

// recordInstances adds the current list to the history, from which lagging lists
// are served.
func (s *Server) recordInstances() {
	instances, _ := s.memory.ListInstances(context.Background())
	s.history.record(instances)
}
