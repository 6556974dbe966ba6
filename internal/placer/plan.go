package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// An OrderKind is an operation that an engine can be ordered to do.
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

// An Order changes which models an engine serves. Orders are idempotent: they
// state the target, not a step.
type Order struct {
	Server        declarer.BackendServer
	Kind          OrderKind
	Model         LoadedModel
	FencingNumber int64 // Of the holder's lease; grows from holder to holder.
}

// An Observation is the list of models that an engine reported.
type Observation struct {
	Server string
	Models []LoadedModel
}

// A LeaseTerm is the period in which this instance holds the placement lease.
type LeaseTerm struct {
	FencingNumber int64
	Since         time.Time // Monotonic; when the lease was acquired.
	Until         time.Time // Monotonic; end of the lease if it is not renewed.
}

// A Reason says why an order is sent or deferred.
type Reason string

// The reasons of a placement decision.
const (
	ReasonAdapters        Reason = "adapters-differ"
	ReasonMissing         Reason = "model-missing"
	ReasonNotDeclared     Reason = "model-not-declared"
	ReasonVersion         Reason = "version-differs"
	ReasonLeaseEnds       Reason = "lease-ends-before-order"
	ReasonPredecessor     Reason = "predecessor-order-may-be-running"
	ReasonUpdateLimit     Reason = "too-many-servers-updating"
	ReasonWeightStoreRate Reason = "weight-store-rate"
)

// A Decision is an order that is sent now or deferred.
type Decision struct {
	Order    Order
	Deferred bool
	Reason   Reason
}

// Limits restrict when and how many orders are sent.
type Limits struct {
	OrderTimeout    time.Duration // After it, an order counts as ended even without an answer.
	SafetyMargin    time.Duration // Between the end of an order and that of the lease.
	UpdatesPerModel int           // Servers that may update the version or adapters of one model at the same time.
}

// A State is the input of Plan.
type State struct {
	Now          time.Time // Monotonic.
	LeaseTerm    LeaseTerm
	Declaration  declarer.Declaration
	Observations []Observation
	WeightLoads  int // Loads that the weight store's rate allows now.
}

// Plan compares the declared models with those that engines serve. Missing
// models come before updates, so that capacity is restored first. Decisions are
// sorted by priority, server and model.
func Plan(s State, limits Limits) []Decision {
	p := planner{
		state:     s,
		limits:    limits,
		models:    map[string]declarer.Model{},
		updating:  map[string]int{},
		loadsLeft: s.WeightLoads,
	}
	for _, m := range s.Declaration.Models {
		p.models[m.Name] = m
	}

	decisions := p.diff()
	slices.SortStableFunc(decisions, func(a, b Decision) int {
		return cmp.Or(
			cmp.Compare(priority(a.Reason), priority(b.Reason)),
			cmp.Compare(a.Order.Server.Name, b.Order.Server.Name),
			cmp.Compare(a.Order.Model.Name, b.Order.Model.Name),
		)
	})
	for i := range decisions {
		p.deferIfBlocked(&decisions[i])
	}
	return decisions
}

// A planner holds the limits that the decisions of one plan share.
type planner struct {
	state     State
	limits    Limits
	models    map[string]declarer.Model
	updating  map[string]int // Updates sent by this plan, by model.
	loadsLeft int            // Loads that the weight store's rate still allows.
}

func (p *planner) diff() (decisions []Decision) {
	observed := map[string][]LoadedModel{}
	for _, o := range p.state.Observations {
		observed[o.Server] = o.Models
	}
	for _, server := range p.state.Declaration.BackendServers {
		loaded, known := observed[server.Name]
		if server.Kind != declarer.Engine || !known {
			continue
		}
		decisions = append(decisions, p.diffServer(server, loaded)...)
	}
	return decisions
}

func (p *planner) diffServer(server declarer.BackendServer, loaded []LoadedModel) (decisions []Decision) {
	for _, name := range server.Models {
		want := p.declaredModel(name)
		reason, needed := needsLoad(want, loaded)
		if needed {
			decisions = append(decisions, p.decision(server, OrderLoad, want, reason))
		}
	}
	for _, m := range loaded {
		if !slices.Contains(server.Models, m.Name) {
			decisions = append(decisions, p.decision(server, OrderUnload, m, ReasonNotDeclared))
		}
	}
	return decisions
}

func (p *planner) declaredModel(name string) LoadedModel {
	m := p.models[name]
	return LoadedModel{Name: name, Version: m.Version, Adapters: m.Adapters}
}

func (p *planner) decision(server declarer.BackendServer, kind OrderKind, m LoadedModel, reason Reason) Decision {
	return Decision{
		Order: Order{
			Server:        server,
			Kind:          kind,
			Model:         m,
			FencingNumber: p.state.LeaseTerm.FencingNumber,
		},
		Reason: reason,
	}
}

// needsLoad reports whether an engine has to load want.
func needsLoad(want LoadedModel, loaded []LoadedModel) (reason Reason, needed bool) {
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

func priority(r Reason) int {
	switch r {
	case ReasonMissing:
		return 0
	case ReasonNotDeclared:
		return 1
	default:
		return 2
	}
}

// deferIfBlocked defers a decision if its order may not be sent now, and counts
// it against the limits otherwise.
func (p *planner) deferIfBlocked(d *Decision) {
	reason, blocked := p.blocked(*d)
	if blocked {
		d.Deferred = true
		d.Reason = reason
		return
	}
	if d.Order.Kind == OrderLoad {
		p.loadsLeft--
	}
	if isUpdate(d.Reason) {
		p.updating[d.Order.Model.Name]++
	}
}

func (p *planner) blocked(d Decision) (reason Reason, blocked bool) {
	now, term := p.state.Now, p.state.LeaseTerm
	// An order must end before the lease does, even on a server that checks fencing
	// numbers: it rejects a late order only after the next holder's first order
	// has reached it.
	if now.Add(p.limits.OrderTimeout + p.limits.SafetyMargin).After(term.Until) {
		return ReasonLeaseEnds, true
	}
	if !d.Order.Server.Fencing && now.Before(term.Since.Add(p.limits.OrderTimeout+p.limits.SafetyMargin)) {
		return ReasonPredecessor, true
	}
	if isUpdate(d.Reason) && p.updating[d.Order.Model.Name] >= p.limits.UpdatesPerModel {
		return ReasonUpdateLimit, true
	}
	if d.Order.Kind == OrderLoad && p.loadsLeft <= 0 {
		return ReasonWeightStoreRate, true
	}
	return "", false
}

func isUpdate(r Reason) bool {
	return r == ReasonVersion || r == ReasonAdapters
}
