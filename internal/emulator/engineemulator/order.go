package engineemulator

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// The kinds of orders.
const (
	OrderLoad   = "load"
	OrderRole   = "role"
	OrderUnload = "unload"
)

// An Order loads or unloads a model, or sets the role of the engine.
type Order struct {
	Kind          string   `json:"kind"`
	Model         string   `json:"model,omitempty"`
	Version       string   `json:"version,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	Role          string   `json:"role,omitempty"`
	FencingNumber int64    `json:"fencing-number"`
}

// A LoadedModel is a model that the engine serves.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// An OrderResponse is the response to an order.
type OrderResponse struct {
	Accepted      bool  `json:"accepted"`
	HighestNumber int64 `json:"highest-fencing-number"`
}

// An orderProcessor executes orders and holds the resulting models and role.
type orderProcessor struct {
	cfg Config

	mu            sync.Mutex
	loaded        []LoadedModel
	servesAny     bool // Every model is served, because none was configured.
	role          string
	highestNumber int64
	executed      []Order
}

// An orderReport is the response to GET /orders.
type orderReport struct {
	Loaded []LoadedModel `json:"loaded"`
	Role   string        `json:"role"`
	Orders []Order       `json:"orders"`
}

func newOrderProcessor(cfg Config) *orderProcessor {
	p := &orderProcessor{cfg: cfg, servesAny: len(cfg.Models) == 0}
	for _, name := range cfg.Models {
		p.loaded = append(p.loaded, LoadedModel{Name: name})
	}
	return p
}

func (p *orderProcessor) serves(model string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servesAny || p.indexOf(model) >= 0
}

func (p *orderProcessor) indexOf(model string) int {
	return slices.IndexFunc(p.loaded, func(m LoadedModel) bool { return m.Name == model })
}

func (p *orderProcessor) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !emulator.ReadJSON(w, r, &o) {
		return
	}
	if response := p.checkFencing(o); !response.Accepted {
		emulator.WriteJSON(w, http.StatusConflict, response)
		return
	}
	if o.Kind == OrderLoad {
		select {
		case <-time.After(p.cfg.LoadTime):
		case <-r.Context().Done(): // The model is loaded anyway, as in a real engine.
		}
	}
	emulator.WriteJSON(w, http.StatusOK, p.execute(o))
}

// checkFencing rejects an order with an outdated fencing number, if fencing is
// enabled.
func (p *orderProcessor) checkFencing(o Order) OrderResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.Fencing && o.FencingNumber < p.highestNumber {
		return OrderResponse{HighestNumber: p.highestNumber}
	}
	p.highestNumber = max(p.highestNumber, o.FencingNumber)
	return OrderResponse{Accepted: true, HighestNumber: p.highestNumber}
}

func (p *orderProcessor) execute(o Order) OrderResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o.Kind {
	case OrderLoad:
		p.unload(o.Model)
		p.loaded = append(p.loaded, LoadedModel{Name: o.Model, Version: o.Version, Adapters: o.Adapters})
	case OrderUnload:
		p.servesAny = false
		p.unload(o.Model)
	case OrderRole:
		p.role = o.Role
	}
	p.executed = append(p.executed, o)
	return OrderResponse{Accepted: true, HighestNumber: p.highestNumber}
}

func (p *orderProcessor) unload(model string) {
	p.loaded = slices.DeleteFunc(p.loaded, func(m LoadedModel) bool { return m.Name == model })
}

func (p *orderProcessor) handleList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	report := orderReport{Loaded: slices.Clone(p.loaded), Role: p.role, Orders: slices.Clone(p.executed)}
	p.mu.Unlock()
	emulator.WriteJSON(w, http.StatusOK, report)
}
