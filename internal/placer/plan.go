package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// An OrderKind is what an engine is told to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// A LoadedModel is a model on an engine.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// An Order changes what an engine serves. Orders name a state and not a step,
// so that repeating one does no harm.
type Order struct {
	Server        declarer.BackendServer
	Kind          OrderKind
	Model         LoadedModel
	FencingNumber int64 // Of the holder's lease; grows from holder to holder.
}

// An Observation is what an engine said that it serves.
type Observation struct {
	Server string
	Models []LoadedModel
}

// A Tenure is the time in which this instance holds the placement lease.
type Tenure struct {
	FencingNumber int64
	Since         time.Time // Monotonic; when the lease was acquired.
	Until         time.Time // Monotonic; end of the lease if it is not renewed.
}

// A Reason says why an order is given or held back.
type Reason string

// The reasons of a placement decision.
const (
	ReasonAdapters     Reason = "adapters-differ"
	ReasonMissing      Reason = "model-missing"
	ReasonNotDeclared  Reason = "model-not-declared"
	ReasonVersion      Reason = "version-differs"
	ReasonLeaseEnds    Reason = "lease-ends-before-order"
	ReasonPredecessor  Reason = "predecessor-order-may-be-running"
	ReasonUpdateBound  Reason = "too-many-servers-updating"
	ReasonWeightBudget Reason = "weight-store-rate"
)

// A Decision is an order that is given now, or held back for a reason.
type Decision struct {
	Order  Order
	Held   bool
	Reason Reason
}

// Limits bound what orders may do at once.
type Limits struct {
	OrderTimeout    time.Duration // An order that is not answered by then is over.
	SafetyMargin    time.Duration // Between the end of an order and that of the lease.
	UpdatesPerModel int           // Servers of a model whose version or adapters change side by side.
}

// A State is what a plan starts from.
type State struct {
	Now          time.Time // Monotonic.
	Tenure       Tenure
	Declaration  declarer.Declaration
	Observations []Observation
	WeightLoads  int // Loads that the weight store allows now.
}

// Plan compares what is declared with what engines serve. Missing models come
// before updates, so that capacity is restored first. Decisions are sorted by
// urgency and server.
func Plan(s State, limits Limits) []Decision {
	p := planner{
		state:    s,
		limits:   limits,
		models:   map[string]declarer.Model{},
		updating: map[string]int{},
		budget:   s.WeightLoads,
	}
	for _, m := range s.Declaration.Models {
		p.models[m.Name] = m
	}

	decisions := p.differences()
	slices.SortStableFunc(decisions, func(a, b Decision) int {
		return cmp.Or(
			cmp.Compare(urgency(a.Reason), urgency(b.Reason)),
			cmp.Compare(a.Order.Server.Name, b.Order.Server.Name),
			cmp.Compare(a.Order.Model.Name, b.Order.Model.Name),
		)
	})
	for i := range decisions {
		p.hold(&decisions[i])
	}
	return decisions
}

// A planner holds the budgets that the decisions of one plan share.
type planner struct {
	state    State
	limits   Limits
	models   map[string]declarer.Model
	updating map[string]int // Orders for updates in this plan, by model.
	budget   int            // Loads left to the weight store's rate.
}

func (p *planner) differences() (decisions []Decision) {
	observed := map[string][]LoadedModel{}
	for _, o := range p.state.Observations {
		observed[o.Server] = o.Models
	}
	for _, server := range p.state.Declaration.BackendServers {
		loaded, known := observed[server.Name]
		if server.Kind != declarer.Engine || !known {
			continue
		}
		decisions = append(decisions, p.serverDifferences(server, loaded)...)
	}
	return decisions
}

func (p *planner) serverDifferences(server declarer.BackendServer, loaded []LoadedModel) (decisions []Decision) {
	for _, name := range server.Models {
		want := p.wanted(name)
		reason, differs := compare(want, loaded)
		if differs {
			decisions = append(decisions, p.decision(server, OrderLoad, want, reason))
		}
	}
	for _, have := range loaded {
		if !slices.Contains(server.Models, have.Name) {
			decisions = append(decisions, p.decision(server, OrderUnload, have, ReasonNotDeclared))
		}
	}
	return decisions
}

func (p *planner) wanted(name string) LoadedModel {
	m := p.models[name]
	return LoadedModel{Name: name, Version: m.Version, Adapters: m.Adapters}
}

func (p *planner) decision(server declarer.BackendServer, kind OrderKind, m LoadedModel, reason Reason) Decision {
	return Decision{
		Order: Order{
			Server:        server,
			Kind:          kind,
			Model:         m,
			FencingNumber: p.state.Tenure.FencingNumber,
		},
		Reason: reason,
	}
}

// compare reports whether an engine has to load want.
func compare(want LoadedModel, loaded []LoadedModel) (reason Reason, differs bool) {
	i := slices.IndexFunc(loaded, func(m LoadedModel) bool { return m.Name == want.Name })
	switch {
	case i < 0:
		return ReasonMissing, true
	case loaded[i].Version != want.Version:
		return ReasonVersion, true
	case !sameAdapters(loaded[i].Adapters, want.Adapters):
		return ReasonAdapters, true
	default:
		return "", false
	}
}

func sameAdapters(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

func urgency(r Reason) int {
	switch r {
	case ReasonMissing:
		return 0
	case ReasonNotDeclared:
		return 1
	default:
		return 2
	}
}

// hold holds a decision back where a rule forbids the order now.
func (p *planner) hold(d *Decision) {
	reason, held := p.forbidden(*d)
	if held {
		d.Held = true
		d.Reason = reason
		return
	}
	if d.Order.Kind == OrderLoad {
		p.budget--
	}
	if isUpdate(d.Reason) {
		p.updating[d.Order.Model.Name]++
	}
}

func (p *planner) forbidden(d Decision) (reason Reason, held bool) {
	now, tenure := p.state.Now, p.state.Tenure
	// Every order needs the lease to its end: a server that checks the number
	// refuses a late one only after the next holder's first order reached it.
	if now.Add(p.limits.OrderTimeout + p.limits.SafetyMargin).After(tenure.Until) {
		return ReasonLeaseEnds, true
	}
	if !d.Order.Server.Fencing && now.Before(tenure.Since.Add(p.limits.OrderTimeout+p.limits.SafetyMargin)) {
		return ReasonPredecessor, true
	}
	if isUpdate(d.Reason) && p.updating[d.Order.Model.Name] >= p.limits.UpdatesPerModel {
		return ReasonUpdateBound, true
	}
	if d.Order.Kind == OrderLoad && p.budget <= 0 {
		return ReasonWeightBudget, true
	}
	return "", false
}

func isUpdate(r Reason) bool {
	return r == ReasonVersion || r == ReasonAdapters
}
