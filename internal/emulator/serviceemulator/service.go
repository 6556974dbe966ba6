// Package serviceemulator emulates a plain service with lookups of labels and
// alarms, and with non-idempotent calls.
package serviceemulator

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// A Config configures a Service. Zero values mean the defaults.
type Config struct {
	Name        string
	Address     string         // Such as "127.0.0.1:0".
	AnswerTime  time.Duration  // Duration of each call.
	JournalSize int            // Number of requests that the journal keeps.
	Exit        func(code int) // Ends the process for the fault "exit"; nil if the service runs inside a test.
}

// A Service is an emulated plain service.
type Service struct {
	cfg     Config
	server  *emulator.Server
	journal *emulator.Journal

	statusFaults atomic.Int64 // Calls that were answered with Fault.Status.

	mu     sync.Mutex
	fault  Fault
	orders map[string]int // Number of times that each order was placed, by order ID.
	acks   map[string]int // Number of times that each alarm was acknowledged, by alarm ID.
}

// New returns a service that does not listen yet.
func New(cfg Config) *Service {
	s := &Service{
		cfg:     cfg,
		journal: emulator.NewJournal(cfg.JournalSize),
		orders:  map[string]int{},
		acks:    map[string]int{},
	}
	s.server = emulator.NewServer(cfg.Address, s.handler())
	return s
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /labels/{id}", s.withFault(s.handleLabel))
	mux.Handle("GET /alarms/{id}", s.withFault(s.handleAlarm))
	mux.Handle("POST /alarms/{id}/ack", s.withFault(s.handleAcknowledge))
	mux.Handle("POST /orders", s.withFault(s.handleOrder))
	mux.HandleFunc("GET /orders", s.handleCounts)
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("POST /fault", s.handleSetFault)
	mux.Handle("GET /received", s.journal)
	return mux
}

// Open starts to listen, so that Address is known. It restarts the service after
// Crash.
func (s *Service) Open() error {
	return s.server.Open()
}

// Start serves until ctx ends.
func (s *Service) Start(ctx context.Context) <-chan error {
	return s.server.Start(ctx)
}

// Address returns the bound address.
func (s *Service) Address() string {
	return s.server.Address()
}

// Crash closes the listener and all connections. Open restarts the service.
func (s *Service) Crash() {
	s.server.Close()
}

// Journal returns the journal of all calls.
func (s *Service) Journal() *emulator.Journal {
	return s.journal
}

// Orders returns the number of times that an order was placed.
func (s *Service) Orders(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[id]
}

// Acknowledgements returns the number of times that an alarm was acknowledged.
func (s *Service) Acknowledgements(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acks[id]
}

// A Label is the response to a label lookup.
type Label struct {
	ID     string `json:"id"`
	Pallet string `json:"pallet"`
}

// An Alarm is the response to an alarm lookup or acknowledgement.
type Alarm struct {
	ID           string `json:"id"`
	Acknowledged int    `json:"acknowledged"`
}

// An Order is the request and the response of a non-idempotent call.
type Order struct {
	ID    string `json:"order-id"`
	Times int    `json:"times,omitempty"` // Number of times that the order was placed, including this call.
}

func (s *Service) handleLabel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.respond(w, r, Label{ID: id, Pallet: "pallet-" + id})
}

func (s *Service) handleAlarm(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.respond(w, r, Alarm{ID: id, Acknowledged: s.Acknowledgements(id)})
}

func (s *Service) handleAcknowledge(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	s.acks[id]++
	n := s.acks[id]
	s.mu.Unlock()
	s.respond(w, r, Alarm{ID: id, Acknowledged: n})
}

func (s *Service) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !emulator.ReadJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	s.orders[o.ID]++
	o.Times = s.orders[o.ID]
	s.mu.Unlock()
	s.respond(w, r, o)
}

// respond responds to an executed call, unless a fault loses the response.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, document any) {
	fault := faultFrom(r)
	switch {
	case fault.CloseAfterRun:
		emulator.CloseConnection(w)
	case fault.StallAfterRun:
		<-r.Context().Done()
	default:
		emulator.WriteJSON(w, http.StatusOK, document)
	}
}

// handleCounts responds with the counts of orders and acknowledgements.
func (s *Service) handleCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := countReport{Orders: copyCounts(s.orders), Acknowledgements: copyCounts(s.acks)}
	s.mu.Unlock()
	emulator.WriteJSON(w, http.StatusOK, report)
}

type countReport struct {
	Orders           map[string]int `json:"orders"`
	Acknowledgements map[string]int `json:"acknowledgements"`
}

func copyCounts(counts map[string]int) map[string]int {
	c := make(map[string]int, len(counts))
	for id, n := range counts {
		c[id] = n
	}
	return c
}

type healthReport struct {
	State string `json:"state"`
}

func (s *Service) handleHealth(w http.ResponseWriter, _ *http.Request) {
	fault := s.Fault()
	switch {
	case fault.Unhealthy:
		emulator.WriteJSON(w, http.StatusServiceUnavailable, healthReport{State: "failed"})
	case fault.Leaving:
		emulator.WriteJSON(w, http.StatusOK, healthReport{State: "leaving"})
	default:
		emulator.WriteJSON(w, http.StatusOK, healthReport{State: "ready"})
	}
}
