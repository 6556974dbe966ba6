package previewer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
)

// An Outcome is what would become of a request or an item.
type Outcome string

// The outcomes.
const (
	OutcomeSent    Outcome = "sent"    // It goes to a server at once.
	OutcomeWaits   Outcome = "waits"   // It waits at this instance.
	OutcomeRefused Outcome = "refused" // It is refused as not run.
)

// A Preview is where a request or an item would go, and why. It holds no keys.
type Preview struct {
	ConfigurationVersion int64    `json:"configuration-version"`
	Route                *Route   `json:"route,omitempty"`
	Workspace            string   `json:"workspace,omitempty"`
	Rate                 *Rate    `json:"rate,omitempty"` // Not for items, and not on open routes.
	Servers              []Server `json:"servers"`
	// ExpectedWaitMs is the time until the chosen server has a free slot.
	ExpectedWaitMs int64    `json:"expected-wait-ms"`
	Queue          *Queued  `json:"queue,omitempty"`
	Decision       Decision `json:"decision"`
}

// A Route is the route and what applies to a request of the workspace.
type Route struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Service     string `json:"service"` // Drawn by weight if there are several.
	Priority    int    `json:"priority"`
	GoalMs      int64  `json:"goal-ms"`
	TimeoutMs   int64  `json:"timeout-ms"`
	MaxAttempts int    `json:"max-attempts"`
}

// A Rate says whether the rate of the workspace has room, as this instance estimates.
type Rate struct {
	Limited      bool    `json:"limited"`
	HasRoom      bool    `json:"has-room"`
	TokensLeft   float64 `json:"tokens-left"`
	RetryAfterMs int64   `json:"retry-after-ms"`
}

// A Server is a server that was considered.
type Server struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failure-domain"`
	Version       string  `json:"version,omitempty"`
	Cost          float64 `json:"cost"`
	Slots         int     `json:"slots"`
	Online        int     `json:"online"`
	Batch         int     `json:"batch"`
	Speed         float64 `json:"speed"`
	Preferred     bool    `json:"preferred"`
	Excluded      string  `json:"excluded,omitempty"` // Why it cannot be chosen.
	ExcludedMs    int64   `json:"excluded-ms,omitempty"`
}

// A Queued is the place of the request in the queue of the instance.
type Queued struct {
	Waiting        int   `json:"waiting"` // Requests that wait for the service.
	Waits          bool  `json:"waits"`
	Position       int   `json:"position"` // Requests that go first.
	ExpectedWaitMs int64 `json:"expected-wait-ms"`
}

// A Decision is what would become of the request or the item.
type Decision struct {
	Outcome      Outcome `json:"outcome"`
	Server       string  `json:"server,omitempty"`
	Code         string  `json:"code,omitempty"`
	Reason       string  `json:"reason"`
	RetryAfterMs int64   `json:"retry-after-ms,omitempty"`
}

func describeRoute(r *routefinder.Route, w *routefinder.Workspace, service string) *Route {
	return &Route{
		Name: r.Name, Kind: string(r.Kind), Service: service, Priority: routefinder.Priority(r, w),
		GoalMs: milliseconds(r.Goal), TimeoutMs: milliseconds(r.Timeout), MaxAttempts: max(r.MaxAttempts, 1),
	}
}

func (v *Preview) setServers(placed balancer.Preview) {
	for _, s := range placed.Servers {
		v.Servers = append(v.Servers, Server{
			ID: s.ID, FailureDomain: s.FailureDomain, Version: s.Version, Cost: s.Cost, Slots: s.Slots, Online: s.Load.Online, Batch: s.Load.Batch,
			Speed: s.Speed, Preferred: s.Preferred, Excluded: s.Excluded, ExcludedMs: milliseconds(s.Wait),
		})
	}
}

// Write writes a preview as text.
func Write(w io.Writer, v Preview) error {
	var b strings.Builder
	fmt.Fprintf(&b, "decision: %s\n", v.Decision)
	fmt.Fprintf(&b, "configuration: version %d\n", v.ConfigurationVersion)
	if r := v.Route; r != nil {
		fmt.Fprintf(&b, "route: %s (%s), service %s, priority %d, goal %d ms, timeout %d ms, attempts %d\n", r.Name, r.Kind, r.Service, r.Priority, r.GoalMs, r.TimeoutMs, r.MaxAttempts)
	}
	if v.Workspace != "" {
		fmt.Fprintf(&b, "workspace: %s\n", v.Workspace)
	}
	if v.Rate != nil {
		fmt.Fprintf(&b, "rate: %s\n", v.Rate)
	}
	if q := v.Queue; q != nil {
		fmt.Fprintf(&b, "queue: %d requests wait, position %d, expected wait %d ms\n", q.Waiting, q.Position, q.ExpectedWaitMs)
	}
	fmt.Fprintf(&b, "expected wait at the server: %d ms\n", v.ExpectedWaitMs)
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "server\tdomain\tversion\tcost\tonline\tbatch\tslots\tspeed\tpreferred\texcluded")
	for _, s := range v.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.2f\t%d\t%d\t%d\t%.2f\t%t\t%s\n", s.ID, s.FailureDomain, s.Version, s.Cost, s.Online, s.Batch, s.Slots, s.Speed, s.Preferred, s.exclusion())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// String implements fmt.Stringer.
func (d Decision) String() string {
	switch {
	case d.Outcome == OutcomeSent:
		return fmt.Sprintf("sent to %s (%s)", d.Server, d.Reason)
	case d.Outcome == OutcomeRefused && d.RetryAfterMs > 0:
		return fmt.Sprintf("refused as %s (%s), retry after %d ms", d.Code, d.Reason, d.RetryAfterMs)
	case d.Outcome == OutcomeRefused:
		return fmt.Sprintf("refused as %s (%s)", d.Code, d.Reason)
	}
	return fmt.Sprintf("%s (%s)", d.Outcome, d.Reason)
}

// String implements fmt.Stringer.
func (r *Rate) String() string {
	switch {
	case !r.Limited:
		return "not limited"
	case r.HasRoom:
		return fmt.Sprintf("has room, %.1f tokens left", r.TokensLeft)
	}
	return fmt.Sprintf("no room, retry after %d ms", r.RetryAfterMs)
}

func (s Server) exclusion() string {
	if s.ExcludedMs > 0 {
		return fmt.Sprintf("%s, for %d ms", s.Excluded, s.ExcludedMs)
	}
	return s.Excluded
}
