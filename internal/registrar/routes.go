package registrar

import (
	"slices"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A RouteTable finds the routes of one declaration. It does not change.
type RouteTable struct {
	routes []declarer.Route // In the order of the declaration.
}

// Named is the route with the given name.
func (t *RouteTable) Named(name string) (declarer.Route, bool) {
	return t.find(func(r declarer.Route) bool { return r.Name == name })
}

// OfModel is the first declared route that leads to the model.
func (t *RouteTable) OfModel(model string) (declarer.Route, bool) {
	return t.find(func(r declarer.Route) bool { return r.Model == model && model != "" })
}

// BatchOfModel is the first declared route that leads to the model and takes
// batch items.
func (t *RouteTable) BatchOfModel(model string) (declarer.Route, bool) {
	return t.find(func(r declarer.Route) bool { return r.Model == model && model != "" && r.Batch })
}

// Len is the number of routes.
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

// PoolName is the name of the pool to which a route leads.
func PoolName(r declarer.Route) string {
	if r.Model != "" {
		return "model/" + r.Model
	}
	return "service/" + r.Service
}
