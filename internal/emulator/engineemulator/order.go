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
	Kind          string `json:"kind"`
	Model         string `json:"model,omitempty"`
	Version       string `json:"version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
	FencingNumber int64  `json:"fencing-number"`
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
	models  []string
	any     bool // No models were configured: every model is served.
	role    string
	highest int64
	done    []Order
}

// An orderReport is the answer to GET /orders.
type orderReport struct {
	Models []string `json:"models"`
	Role   string   `json:"role"`
	Orders []Order  `json:"orders"`
}

func newOrderBook(cfg Config) *orderBook {
	return &orderBook{cfg: cfg, models: slices.Clone(cfg.Models), any: len(cfg.Models) == 0}
}

func (b *orderBook) has(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.any || slices.Contains(b.models, model)
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
		if !slices.Contains(b.models, o.Model) {
			b.models = append(b.models, o.Model)
		}
	case OrderUnload:
		b.any = false
		b.models = slices.DeleteFunc(b.models, func(m string) bool { return m == o.Model })
	case OrderRole:
		b.role = o.Role
	}
	b.done = append(b.done, o)
	return Verdict{Accepted: true, HighestNumber: b.highest}
}

func (b *orderBook) list(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	report := orderReport{Models: slices.Clone(b.models), Role: b.role, Orders: slices.Clone(b.done)}
	b.mu.Unlock()
	emulator.WriteJSON(w, http.StatusOK, report)
}
