// Package evacuator decides which failure domains are evacuated. No request may be sent
// to the backend servers of an evacuated domain.
package evacuator

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
)

// endRetention is how long the end of an evacuation is remembered. It exceeds the time
// for which servers are cold afterwards.
const endRetention = time.Hour

// An Order is the operator's request to evacuate a failure domain.
type Order struct {
	Domain  string // As written; invalid if it is empty or names something below a domain.
	Version int64  // Version of the store at which it was written.
}

// An Evacuation is an evacuation as known to this instance.
type Evacuation struct {
	Version int64     // Version of the store at which it was ordered.
	Since   time.Time // When this instance learned of it.
}

// Fleet is the list of backend servers. *balancer.Balancer implements it.
type Fleet interface {
	// EvacuationsChanged applies a change to the choice of servers. It returns after the
	// last choice that does not take the change into account.
	EvacuationsChanged()
	// DomainLoad returns the servers of a failure domain and what this instance runs there.
	DomainLoad(domain string) balancer.DomainLoad
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Config holds the dependencies of an evacuator.
type Config struct {
	Clock  Clock
	Logger logrus.FieldLogger
	Meter  metric.Meter
}

// An Evacuator holds the evacuations that are in force. Its queries take no lock, so that
// they may be called under any lock.
type Evacuator struct {
	cfg    Config
	fleet  Fleet // Nil until SetFleet.
	denied metric.Int64Counter
	state  atomic.Pointer[state]

	mu           sync.Mutex // Held during a change.
	serversKnown bool
	progress     map[string]progress // By domain of state.evacuated.
	rejected     map[string]bool     // Invalid orders that were logged and still exist.
}

// A state is immutable.
type state struct {
	version   int64                 // Version of the store that the orders reflect.
	evacuated map[string]Evacuation // By domain.
	endedAt   map[string]time.Time  // By domain that is not evacuated.
}

// A progress says what was logged about an evacuation.
type progress int

// What was logged about an evacuation.
const (
	progressNone       progress = iota
	progressNoServers           // That the domain has no servers.
	progressInProgress          // That it begins.
)

// New returns an evacuator that knows of no orders yet. Until the first Apply every
// domain counts as evacuated.
func New(cfg Config) (e *Evacuator, err error) {
	defer func() { err = merry.Prepend(err, "create evacuator") }()
	e = &Evacuator{cfg: cfg, progress: map[string]progress{}, rejected: map[string]bool{}}
	var errs [2]error
	e.denied, errs[0] = cfg.Meter.Int64Counter("evacuator.denied-placements", metric.WithDescription("Placements and attempts that were denied because of an evacuation, by path"))
	_, errs[1] = cfg.Meter.Int64ObservableGauge(
		"evacuator.evacuated-domains", metric.WithDescription("Failure domains with servers that are evacuated"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(e.inProgress()))
			return nil
		}))
	return e, errors.Join(errs[:]...)
}

// SetFleet must be called before the first Apply.
func (e *Evacuator) SetFleet(fleet Fleet) { e.fleet = fleet }

// Apply replaces the orders by those of a version of the store. Those of an older version
// than the current one are ignored.
func (e *Evacuator) Apply(version int64, orders []Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.state.Load()
	if before != nil && version < before.version {
		return
	}
	orders = e.rejectInvalid(orders)
	next := nextState(before, version, orders, e.cfg.Clock.Now())
	e.state.Store(next)
	if before == nil || changed(before, next) {
		e.fleet.EvacuationsChanged()
	}
	if before != nil {
		e.logEnds(before, next)
	}
	e.logBeginnings(next)
}

// ServersChanged must be called after each change of the list of servers.
func (e *Evacuator) ServersChanged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serversKnown = true
	if current := e.state.Load(); current != nil {
		e.logBeginnings(current)
	}
}

// nextState returns the state after a change. An evacuation whose key was written again
// goes on.
func nextState(before *state, version int64, orders []Order, now time.Time) *state {
	next := &state{version: version, evacuated: make(map[string]Evacuation, len(orders)), endedAt: map[string]time.Time{}}
	if before == nil {
		before = &state{}
	}
	for _, o := range orders {
		known, ok := before.evacuated[o.Domain]
		if !ok {
			known = Evacuation{Version: o.Version, Since: now}
		}
		next.evacuated[o.Domain] = known
	}
	for domain, at := range before.endedAt {
		if _, evacuated := next.evacuated[domain]; !evacuated && now.Sub(at) < endRetention {
			next.endedAt[domain] = at
		}
	}
	for domain := range before.evacuated {
		if _, evacuated := next.evacuated[domain]; !evacuated {
			next.endedAt[domain] = now
		}
	}
	return next
}

// changed reports whether other domains are evacuated than before.
func changed(before, next *state) bool {
	if len(before.evacuated) != len(next.evacuated) {
		return true
	}
	for domain := range next.evacuated {
		if _, ok := before.evacuated[domain]; !ok {
			return true
		}
	}
	return false
}

// rejectInvalid returns the valid orders. It logs each invalid one once. The caller holds
// e.mu.
func (e *Evacuator) rejectInvalid(orders []Order) (valid []Order) {
	rejected := map[string]bool{}
	for _, o := range orders {
		if o.Domain != "" && !strings.Contains(o.Domain, "/") {
			valid = append(valid, o)
			continue
		}
		rejected[o.Domain] = true
		if !e.rejected[o.Domain] {
			e.cfg.Logger.WithFields(logrus.Fields{"key-rest": o.Domain, "version": o.Version}).Warn("ignoring invalid evacuation: the key does not name a failure domain")
		}
	}
	e.rejected = rejected
	return valid
}

func (e *Evacuator) logEnds(before, next *state) {
	for domain, evacuation := range before.evacuated {
		if _, evacuated := next.evacuated[domain]; evacuated {
			continue
		}
		if e.progress[domain] == progressInProgress {
			e.log(domain, next.version).WithField("lasted-ms", next.endedAt[domain].Sub(evacuation.Since).Milliseconds()).Info("evacuation of a failure domain ends")
		}
		delete(e.progress, domain)
	}
}

// logBeginnings logs the evacuations whose domains have servers since the last call, and
// those that have no effect because their domains have none.
func (e *Evacuator) logBeginnings(current *state) {
	if !e.serversKnown {
		return
	}
	for domain, evacuation := range current.evacuated {
		known := e.progress[domain]
		hasServers := e.fleet.DomainLoad(domain).Servers > 0
		switch {
		case known != progressInProgress && hasServers:
			e.progress[domain] = progressInProgress
			e.log(domain, evacuation.Version).Info("evacuation of a failure domain begins")
		case known == progressNone && !hasServers:
			e.progress[domain] = progressNoServers
			e.log(domain, evacuation.Version).Warn("evacuation without effect: the failure domain has no servers")
		}
	}
}

func (e *Evacuator) log(domain string, version int64) *logrus.Entry {
	load := e.fleet.DomainLoad(domain)
	return e.cfg.Logger.WithFields(logrus.Fields{
		"failure-domain": domain, "version": version, "backend-servers": load.Servers, "running-online": load.Running.Online, "running-batch": load.Running.Batch,
	})
}

// Evacuated implements balancer.Evacuations: it reports whether no request may be sent to
// the servers of a failure domain.
func (e *Evacuator) Evacuated(domain string) bool {
	current := e.state.Load()
	if current == nil {
		return true
	}
	_, evacuated := current.evacuated[domain]
	return evacuated
}

// Any reports whether a failure domain is evacuated, or may be because no orders are
// known yet.
func (e *Evacuator) Any() bool {
	current := e.state.Load()
	return current == nil || len(current.evacuated) > 0
}

// Evacuation returns the evacuation of a failure domain that is in force.
func (e *Evacuator) Evacuation(domain string) (evacuation Evacuation, ok bool) {
	if current := e.state.Load(); current != nil {
		evacuation, ok = current.evacuated[domain]
	}
	return evacuation, ok
}

// EndedAt returns when this instance learned that the last evacuation of a failure domain
// has ended. It reports false while the domain is evacuated, and if no evacuation has
// ended within endRetention.
func (e *Evacuator) EndedAt(domain string) (at time.Time, ended bool) {
	if current := e.state.Load(); current != nil {
		at, ended = current.endedAt[domain]
	}
	return at, ended && e.cfg.Clock.Now().Sub(at) < endRetention
}

// RecordDenied implements balancer.Evacuations: it counts work that was denied.
func (e *Evacuator) RecordDenied(path string) {
	e.denied.Add(context.Background(), 1, metric.WithAttributes(attribute.String("path", path)))
}

// inProgress returns the number of evacuated domains that have servers.
func (e *Evacuator) inProgress() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.progress {
		if p == progressInProgress {
			n++
		}
	}
	return n
}
