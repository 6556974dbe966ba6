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

// An Order changes what the engine serves.
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

// A Verdict is the answer to an order.
type Verdict struct {
	Accepted      bool  `json:"accepted"`
	HighestNumber int64 `json:"highest-fencing-number"`
}

// An orderBook holds the orders that were carried out and what they made of
// the engine.
type orderBook struct {
	cfg Config

	mu      sync.Mutex
	loaded  []LoadedModel
	any     bool // No models were configured: every model is served.
	role    string
	highest int64
	done    []Order
}

// An orderReport is the answer to GET /orders.
type orderReport struct {
	Loaded []LoadedModel `json:"loaded"`
	Role   string        `json:"role"`
	Orders []Order       `json:"orders"`
}

func newOrderBook(cfg Config) *orderBook {
	b := &orderBook{cfg: cfg, any: len(cfg.Models) == 0}
	for _, name := range cfg.Models {
		b.loaded = append(b.loaded, LoadedModel{Name: name})
	}
	return b
}

func (b *orderBook) has(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.any || b.find(model) >= 0
}

func (b *orderBook) find(model string) int {
	return slices.IndexFunc(b.loaded, func(m LoadedModel) bool { return m.Name == model })
}

func (b *orderBook) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !emulator.ReadJSON(w, r, &o) {
		return
	}
	if v := b.admit(o); !v.Accepted {
		emulator.WriteJSON(w, http.StatusConflict, v)
		return
	}
	if o.Kind == OrderLoad {
		select {
		case <-time.After(b.cfg.LoadTime):
		case <-r.Context().Done(): // The load goes on, as at a real engine.
		}
	}
	emulator.WriteJSON(w, http.StatusOK, b.carryOut(o))
}

// admit checks the fencing number, if the engine heeds it.
func (b *orderBook) admit(o Order) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.Fencing && o.FencingNumber < b.highest {
		return Verdict{HighestNumber: b.highest}
	}
	b.highest = max(b.highest, o.FencingNumber)
	return Verdict{Accepted: true, HighestNumber: b.highest}
}

func (b *orderBook) carryOut(o Order) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch o.Kind {
	case OrderLoad:
		b.unload(o.Model)
		b.loaded = append(b.loaded, LoadedModel{Name: o.Model, Version: o.Version, Adapters: o.Adapters})
	case OrderUnload:
		b.any = false
		b.unload(o.Model)
	case OrderRole:
		b.role = o.Role
	}
	b.done = append(b.done, o)
	return Verdict{Accepted: true, HighestNumber: b.highest}
}

func (b *orderBook) unload(model string) {
	b.loaded = slices.DeleteFunc(b.loaded, func(m LoadedModel) bool { return m.Name == model })
}

func (b *orderBook) list(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	report := orderReport{Loaded: slices.Clone(b.loaded), Role: b.role, Orders: slices.Clone(b.done)}
	b.mu.Unlock()
	emulator.WriteJSON(w, http.StatusOK, report)
}
