// Package previewer explains where a request or an item of a batch job would go now, and
// why. It runs the decisions that serve requests without counting anything, and has
// neither state nor a protocol.
package previewer

import (
	"errors"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/apportioner"
	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/queuer"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// defaultTimeout is the deadline of a request whose route states no timeout.
const defaultTimeout = 30 * time.Second

// Quotas knows the rates of workspaces. *apportioner.Apportioner implements it.
type Quotas interface {
	Peek(workspace string) (d apportioner.Decision, limited bool)
}

// Servers chooses servers. *balancer.Balancer implements it.
type Servers interface {
	Preview(q balancer.Query) balancer.Preview
}

// Queue orders requests that wait. *queuer.Queue implements it.
type Queue interface {
	Query(q balancer.Query) balancer.Query
	Preview(t queuer.Ticket, service string, free bool) queuer.Preview
}

// Tables holds the configuration in force. *routefinder.Finder implements it.
type Tables interface {
	Table() *routefinder.Table
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Config holds the dependencies of a previewer.
type Config struct {
	Tables   Tables
	Quotas   Quotas
	Servers  Servers
	Queue    Queue // Nil if requests do not wait at this instance.
	Clock    Clock
	Draining func() bool // The instance is leaving.
}

// A Previewer explains decisions.
type Previewer struct{ cfg Config }

// New returns a previewer.
func New(cfg Config) *Previewer { return &Previewer{cfg: cfg} }

// A Request is what is to be explained. On a batch route it is an item of a job.
type Request struct {
	Host      string
	Path      string // Without query.
	Workspace string // Either this or Key; neither on open routes.
	Key       string
}

// Preview returns where a request would go now.
func (p *Previewer) Preview(r Request) (v Preview) {
	table := p.cfg.Tables.Table()
	if table == nil {
		v.refuse(refuser.NotConfigured, "the instance has no configuration yet", 0)
		return v
	}
	v.ConfigurationVersion = table.Policy.Version
	path, _, _ := strings.Cut(r.Path, "?")
	route, ok := table.Route(r.Host, path)
	if !ok {
		v.refuse(refuser.RouteNotFound, "no route leads to the path", 0)
		return v
	}
	var holder *routefinder.Workspace
	if !route.Open && table.RequiresKeys() {
		if holder = findWorkspace(table, r); holder == nil {
			v.Route = describeRoute(route, nil, "")
			v.refuse(refuser.KeyUnknown, "no such workspace, or no workspace holds the key", 0)
			return v
		}
		v.Workspace = holder.Name
	}
	service := route.ChooseService()
	v.Route = describeRoute(route, holder, service)
	if route.Kind == routefinder.KindBatch {
		v.previewItem(p.cfg.Servers.Preview(balancer.Query{Service: service, Class: balancer.Batch, Work: route.Name}))
		return v
	}
	p.previewRequest(&v, route, service)
	return v
}

// findWorkspace returns the workspace that is named or holds the key, or nil.
func findWorkspace(table *routefinder.Table, r Request) *routefinder.Workspace {
	if r.Key != "" {
		w, _ := table.WorkspaceByKey(r.Key)
		return w
	}
	for i := range table.Policy.Workspaces {
		if w := &table.Policy.Workspaces[i]; w.Name == r.Workspace {
			return w
		}
	}
	return nil
}

func (p *Previewer) previewRequest(v *Preview, route *routefinder.Route, service string) {
	quotaRefuses := false
	if v.Workspace != "" {
		quota, limited := p.cfg.Quotas.Peek(v.Workspace)
		quotaRefuses = !quota.Admitted
		v.Rate = &Rate{Limited: limited, HasRoom: quota.Admitted, TokensLeft: quota.Level, RetryAfterMs: milliseconds(quota.RetryAfter)}
	}
	query := forwarder.NewQuery(route, service)
	if p.cfg.Queue != nil {
		query = p.cfg.Queue.Query(query)
	}
	placed := p.cfg.Servers.Preview(query)
	v.setServers(placed)
	var busy *balancer.BusyError
	waits := errors.As(placed.Err, &busy)
	var err error
	if !waits {
		err = placed.Err
	}
	if p.cfg.Queue != nil && err == nil {
		queued := p.cfg.Queue.Preview(p.ticket(route, v), service, !waits)
		v.Queue = &Queued{Waiting: queued.Waiting, Position: queued.Position, Waits: queued.Waits, ExpectedWaitMs: milliseconds(queued.Wait)}
		waits, err = queued.Waits, queued.Err
	}
	switch {
	case p.cfg.Draining != nil && p.cfg.Draining():
		v.refuse(refuser.Draining, "the instance is leaving", 0)
	case quotaRefuses:
		v.refuse(refuser.RateExceeded, "the workspace has no token of its rate and burst now", v.Rate.RetryAfterMs)
	case err != nil:
		code, message, retryAfter := forwarder.ExplainPlacement(err)
		v.refuse(code, message, milliseconds(retryAfter))
	case waits:
		v.Decision = Decision{Outcome: OutcomeWaits, Reason: "no backend server has a free slot for it"}
	default:
		v.send(placed)
	}
}

func (p *Previewer) ticket(route *routefinder.Route, v *Preview) queuer.Ticket {
	now, timeout := p.cfg.Clock.Now(), defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	return queuer.Ticket{
		Priority: v.Route.Priority, Workspace: v.Workspace, Route: route.Name, ArrivedAt: now, Goal: route.Goal, Deadline: now.Add(timeout),
	}
}

// previewItem explains a batch item, which waits wherever a request is refused.
func (v *Preview) previewItem(placed balancer.Preview) {
	v.setServers(placed)
	if placed.Err == nil {
		v.send(placed)
		return
	}
	reason := "no slot is left for batch work"
	if !errors.Is(placed.Err, balancer.ErrFull) {
		_, reason, _ = forwarder.ExplainPlacement(placed.Err)
	}
	v.Decision = Decision{Outcome: OutcomeWaits, Reason: reason}
}

func (v *Preview) send(placed balancer.Preview) {
	v.Decision = Decision{Outcome: OutcomeSent, Server: placed.Server, Reason: "lowest cost among the servers that may be chosen"}
	v.ExpectedWaitMs = milliseconds(placed.Wait)
}

func (v *Preview) refuse(code refuser.Code, message string, retryAfterMs int64) {
	v.Decision = Decision{Outcome: OutcomeRefused, Code: string(code), Reason: message, RetryAfterMs: retryAfterMs}
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
