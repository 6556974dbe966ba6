// Package routefinder finds the route of a request by host and path, and the workspace
// of an API key. It holds the policy in force and is independent of any protocol.
package routefinder

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

// A Kind is the kind of a route. It determines whether a request may be repeated.
type Kind string

// The kinds of routes.
const (
	KindBatch         Kind = "batch"          // Batch jobs, whose items run later.
	KindIdempotent    Kind = "idempotent"     // A request may run more than once.
	KindNonIdempotent Kind = "non-idempotent" // A request runs at most once.
	KindStream        Kind = "stream"         // The response is a stream of events.
)

// A Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // Relative to the other targets of the route.
}

// A Route maps a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string // In lower case, without port.
	Prefix      string // Begins and ends with a slash.
	Kind        Kind
	Resumable   bool // An interrupted stream may continue at another backend server after the last event received.
	Open        bool // No key is needed.
	MaxAttempts int  // Backend servers to which one request may be sent; at least 1.
	Targets     []Target
	Timeout     time.Duration // Longest time that a caller waits.
	Goal        time.Duration // Latency goal of a response.
	Due         time.Duration // Time after which the results of a job are late.
	MaxWait     time.Duration // Time after which an unfinished item is dead-lettered.
	// WaitingTokens is the number of tokens of a workspace's items that may wait on a
	// batch route, over all instances; zero means no limit.
	WaitingTokens int64
	Priority      int // 0 is the most urgent.
}

// CanRepeat reports whether a request that has run on one backend server may run
// on another.
func (r *Route) CanRepeat() bool {
	return r.Kind == KindIdempotent || r.Resumable
}

// ChooseService chooses the service of one request at random by the weights of the
// targets.
func (r *Route) ChooseService() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.firstService()
	}
	drawn := rand.IntN(total)
	for _, t := range r.Targets {
		if drawn < t.Weight {
			return t.Service
		}
		drawn -= t.Weight
	}
	return r.firstService()
}

// LeadsTo reports whether ChooseService may choose a service.
func (r *Route) LeadsTo(service string) bool {
	weighted := false
	for _, t := range r.Targets {
		if t.Weight > 0 && t.Service == service {
			return true
		}
		weighted = weighted || t.Weight > 0
	}
	return !weighted && service == r.firstService()
}

func (r *Route) firstService() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// A Workspace has API keys and a rate limit.
type Workspace struct {
	Name  string
	Keys  []string
	Rate  float64 // Requests per second over all instances; zero means unlimited.
	Burst float64 // Requests.
	// Priority takes precedence over that of the route; nil if the workspace has none.
	Priority *int
}

// Priority returns the priority of requests of a workspace on a route. The workspace is
// nil on open routes.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// Limits bound requests. Zero means that the operator states no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // From the first byte of a head to its end.
}

// A Policy is one version of the operator's configuration.
type Policy struct {
	Version    int64
	Routes     []Route
	Workspaces []Workspace
	Limits     Limits
}

// A Table is a policy indexed for lookups. It is immutable.
type Table struct {
	Policy          Policy
	routesByHost    map[string][]*Route   // Longest prefix first.
	routesByName    map[string]*Route     // By route name.
	workspacesByKey map[string]*Workspace // By key.
}

// NewTable indexes a policy.
func NewTable(p Policy) *Table {
	t := &Table{
		Policy:          p,
		routesByHost:    map[string][]*Route{},
		routesByName:    map[string]*Route{},
		workspacesByKey: map[string]*Workspace{},
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
		t.routesByName[r.Name] = r
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		for _, key := range w.Keys {
			t.workspacesByKey[key] = w
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix of the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns the route with the given name.
func (t *Table) RouteByName(name string) (*Route, bool) {
	r, ok := t.routesByName[name]
	return r, ok
}

// WorkspaceByKey returns the workspace of an API key.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.workspacesByKey[key]
	return w, ok
}

// RequiresKeys reports whether requests to routes that are not open need an API
// key. Without workspaces in the policy, none do.
func (t *Table) RequiresKeys() bool {
	return len(t.Policy.Workspaces) > 0
}

func canonicalHost(host string) string {
	host, _, _ = strings.Cut(host, ":")
	return strings.ToLower(host)
}

// A Finder holds the policy in force. Its version never decreases.
type Finder struct {
	mu          sync.RWMutex
	table       *Table // Nil before the first policy.
	subscribers []Subscriber
}

// A Subscriber is notified of each policy that comes into force, in order.
type Subscriber interface {
	PolicyChanged(t *Table)
}

// Subscribe adds a subscriber. It must be called before the first Install.
func (f *Finder) Subscribe(subscriber Subscriber) {
	f.subscribers = append(f.subscribers, subscriber)
}

// Install puts a policy into force if its version is higher than the current one,
// and reports whether it did.
func (f *Finder) Install(p Policy) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && p.Version <= f.table.Policy.Version {
		return false
	}
	f.table = NewTable(p)
	for _, subscriber := range f.subscribers {
		subscriber.PolicyChanged(f.table)
	}
	return true
}

// Table returns the policy in force, or nil before the first one.
func (f *Finder) Table() *Table {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.table
}
