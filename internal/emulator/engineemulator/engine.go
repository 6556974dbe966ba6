// Package engineemulator emulates a model engine with continuous batching, a
// prompt prefix cache and no request priorities.
package engineemulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// Defaults of the configuration.
const (
	defaultCapacity      = 8
	defaultTokenTime     = 2 * time.Millisecond
	defaultNeighbourCost = 0.005
	defaultOverloadCost  = 0.2
	defaultPrefillTime   = 10 * time.Microsecond
	defaultCacheBlocks   = 4096
	defaultLoadLag       = 500 * time.Millisecond
)

// A Config configures an Engine. Zero values mean the defaults.
type Config struct {
	Name          string
	Address       string         // Such as "127.0.0.1:0".
	Models        []string       // Models that are loaded initially; empty means that every model is served.
	Capacity      int            // Number of concurrent requests that run with little slowdown; OverloadCost applies above it.
	TokenTime     time.Duration  // Time to generate a token for a single request.
	NeighbourCost float64        // Fractional increase of the token time for each further concurrent request within the capacity.
	OverloadCost  float64        // Fractional increase for each concurrent request above the capacity.
	PrefillTime   time.Duration  // Time for each prompt token that is not in the cache.
	CacheBlocks   int            // Number of prompt blocks that the prefix cache holds.
	LoadLag       time.Duration  // Age of the load that GET /load reports.
	LoadTime      time.Duration  // Time to execute an order to load a model.
	Fencing       bool           // Reject orders with a fencing number below the highest one seen.
	JournalSize   int            // Number of requests that the journal keeps.
	Exit          func(code int) // Ends the process for the fault "exit"; nil if the engine runs inside a test.
}

func (c Config) withDefaults() Config {
	c.Capacity = orInt(c.Capacity, defaultCapacity)
	c.TokenTime = orDuration(c.TokenTime, defaultTokenTime)
	c.PrefillTime = orDuration(c.PrefillTime, defaultPrefillTime)
	c.CacheBlocks = orInt(c.CacheBlocks, defaultCacheBlocks)
	c.LoadLag = orDuration(c.LoadLag, defaultLoadLag)
	if c.NeighbourCost == 0 {
		c.NeighbourCost = defaultNeighbourCost
	}
	if c.OverloadCost == 0 {
		c.OverloadCost = defaultOverloadCost
	}
	return c
}

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// An Engine is an emulated model engine.
type Engine struct {
	cfg        Config
	server     *emulator.Server
	journal    *emulator.Journal
	cache      *prefixCache
	batch      *batch
	loads      *loadHistory
	orders     *orderProcessor
	goroutines conc.WaitGroup

	mu    sync.Mutex
	fault Fault
}

// New returns an engine that does not listen yet.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:     cfg,
		journal: emulator.NewJournal(cfg.JournalSize),
		cache:   newPrefixCache(cfg.CacheBlocks),
		loads:   &loadHistory{lag: cfg.LoadLag},
		orders:  newOrderProcessor(cfg),
	}
	e.batch = newBatch(cfg, e.loads)
	e.server = emulator.NewServer(cfg.Address, e.handler())
	return e
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /health", e.handleHealth)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /orders", e.orders.handleOrder)
	mux.HandleFunc("GET /orders", e.orders.handleList)
	mux.HandleFunc("POST /fault", e.handleSetFault)
	mux.Handle("GET /received", e.journal)
	return mux
}

// Open starts to listen, so that Address is known. It restarts the engine after
// Crash.
func (e *Engine) Open() error {
	return e.server.Open()
}

// Start serves until ctx ends.
func (e *Engine) Start(ctx context.Context) <-chan error {
	e.goroutines.Go(func() { e.batch.run(ctx) })
	return e.server.Start(ctx)
}

// Address returns the bound address.
func (e *Engine) Address() string {
	return e.server.Address()
}

// Crash closes the listener and all connections. Open restarts the engine.
func (e *Engine) Crash() {
	e.server.Close()
}

// Journal returns the journal of completion requests.
func (e *Engine) Journal() *emulator.Journal {
	return e.journal
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int {
	return e.loads.currentLoad()
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	fault := e.Fault()
	switch {
	case fault.Unhealthy:
		emulator.WriteJSON(w, http.StatusServiceUnavailable, healthReport{State: "failed"})
	case fault.Leaving:
		emulator.WriteJSON(w, http.StatusOK, healthReport{State: "leaving"})
	default:
		emulator.WriteJSON(w, http.StatusOK, healthReport{State: "ready"})
	}
}

type healthReport struct {
	State string `json:"state"`
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	emulator.WriteJSON(w, http.StatusOK, LoadReport{Running: e.loads.reportedLoad(time.Now()), Capacity: e.cfg.Capacity})
}

// A LoadReport is the response to GET /load.
type LoadReport struct {
	Running  int `json:"running"` // Number of running requests, one LoadLag ago.
	Capacity int `json:"capacity"`
}
