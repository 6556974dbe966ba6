// Package steerer finds the route of a request by its host and path, and the
// workspace of its key. It decides on one policy at a time and knows no
// protocol.
package steerer

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

// A Kind says what may be repeated of a request.
type Kind string

// The kinds of routes.
const (
	KindBatch         Kind = "batch"          // Jobs of many items that run later.
	KindIdempotent    Kind = "idempotent"     // A request may run more than once.
	KindNonIdempotent Kind = "non-idempotent" // A request runs once at most.
	KindStream        Kind = "stream"         // The answer is a series of events.
)

// A Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int // Relative to the other targets of the route.
}

// A Route leads from a host and a path to services.
type Route struct {
	Name        string
	Host        string // In lower case, without port.
	Prefix      string // Begins and ends with a slash.
	Kind        Kind
	Resumable   bool // A stream may go on at another backend server after the last event had.
	Open        bool // No key is needed.
	MaxAttempts int  // Backend servers on which one request may run; at least 1.
	Targets     []Target
	Timeout     time.Duration // Longest time that a caller is kept waiting.
	Goal        time.Duration // Time within which an answer has its full value.
	Due         time.Duration // Time after which the results of a job are late.
	MaxWait     time.Duration // Time after which an item may be given up.
}

// Repeatable reports whether a request may run on a second backend server
// after it ran on a first.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Resumable
}

// Service draws the service of one request by the weights of the targets.
func (r *Route) Service() string {
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

func (r *Route) firstService() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// A Workspace is a customer with its keys and its contract.
type Workspace struct {
	Name  string
	Keys  []string
	Rate  float64 // Requests per second over all instances; zero means no bound.
	Burst float64 // Requests.
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// A Policy is one version of the operator's configuration.
type Policy struct {
	Version    int64
	Routes     []Route
	Workspaces []Workspace
	Limits     Limits
}

// A Table is a policy prepared for look-ups. It does not change.
type Table struct {
	Policy Policy
	hosts  map[string][]*Route   // Longest prefix first.
	names  map[string]*Route     // By route name.
	keys   map[string]*Workspace // By key.
}

// NewTable prepares a policy.
func NewTable(p Policy) *Table {
	t := &Table{
		Policy: p,
		hosts:  map[string][]*Route{},
		names:  map[string]*Route{},
		keys:   map[string]*Workspace{},
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		t.names[r.Name] = r
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	return t
}

// Route finds the route with the longest prefix that begins the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasHost reports whether any route belongs to the host.
func (t *Table) HasHost(host string) bool {
	return len(t.hosts[canonicalHost(host)]) > 0
}

// Named finds a route by its name.
func (t *Table) Named(name string) (*Route, bool) {
	r, ok := t.names[name]
	return r, ok
}

// Holder finds the workspace of a key.
func (t *Table) Holder(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// NeedsKeys reports whether requests of routes that are not open carry keys.
func (t *Table) NeedsKeys() bool {
	return len(t.Policy.Workspaces) > 0
}

func canonicalHost(host string) string {
	host, _, _ = strings.Cut(host, ":")
	return strings.ToLower(host)
}

// A Steerer holds the policy in force. Its version only grows.
type Steerer struct {
	mu          sync.RWMutex
	table       *Table // Nil before the first policy.
	subscribers []Subscriber
}

// A Subscriber hears of each policy that comes into force, in order.
type Subscriber interface {
	PolicyChanged(t *Table)
}

// Subscribe adds a subscriber. It is called before the first Install.
func (s *Steerer) Subscribe(subscriber Subscriber) {
	s.subscribers = append(s.subscribers, subscriber)
}

// Install puts a policy into force if its version is higher than the present
// one, and reports whether it did.
func (s *Steerer) Install(p Policy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && p.Version <= s.table.Policy.Version {
		return false
	}
	s.table = NewTable(p)
	for _, subscriber := range s.subscribers {
		subscriber.PolicyChanged(s.table)
	}
	return true
}

// Table is the policy in force, or nil before the first one.
func (s *Steerer) Table() *Table {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table
}
