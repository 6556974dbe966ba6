package registrar

import (
	"slices"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A RouteTable holds the routes of one declaration. It is immutable.
type RouteTable struct {
	routes []declarer.Route // In the order of the declaration.
}

// ByName returns the route with the given name.
func (t *RouteTable) ByName(name string) (declarer.Route, bool) {
	return t.find(func(r declarer.Route) bool { return r.Name == name })
}

// ByModel returns the first declared route that leads to the model.
func (t *RouteTable) ByModel(model string) (declarer.Route, bool) {
	return t.find(func(r declarer.Route) bool { return r.Model == model && model != "" })
}

// BatchByModel returns the first declared route that leads to the model and
// accepts batch items.
func (t *RouteTable) BatchByModel(model string) (declarer.Route, bool) {
	return t.find(func(r declarer.Route) bool { return r.Model == model && model != "" && r.Batch })
}

// Len returns the number of routes.
func (t *RouteTable) Len() int {
	return len(t.routes)
}

func (t *RouteTable) find(match func(declarer.Route) bool) (route declarer.Route, ok bool) {
	i := slices.IndexFunc(t.routes, match)
	if i < 0 {
		return route, false
	}
	return t.routes[i], true
}

// PoolName returns the name of the pool to which a route leads.
func PoolName(r declarer.Route) string {
	if r.Model != "" {
		return "model/" + r.Model
	}
	return "service/" + r.Service
}
