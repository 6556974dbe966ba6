// Package measurer sends load to the entries of a deployment and measures how
// online requests, batch items and workspaces fare.
//
// The load is open-loop: requests start at times drawn beforehand, whether or
// not earlier ones were answered, and latency counts from the intended start.
// A closed loop would send less while the system is slow, and so hide the
// slowness.
package measurer

import (
	"fmt"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A Deployment describes the fleet under load and its usual traffic.
type Deployment struct {
	Name           string                   `toml:"name"`
	Distance       declarer.Duration        `toml:"distance"` // One way between failure domains.
	FailureDomains []declarer.FailureDomain `toml:"failure-domain"`
	Entries        []Entry                  `toml:"entry"`
	Models         []declarer.Model         `toml:"model"`
	ServerGroups   []ServerGroup            `toml:"server-group"`
	Routes         []declarer.Route         `toml:"route"`
	Chat           Chat                     `toml:"chat"`
	Call           Call                     `toml:"call"`
	Batch          Batch                    `toml:"batch"`
	Workspaces     []Workspace              `toml:"workspace"`
}

// An Entry is an entry instance of the deployment.
type Entry struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure-domain"`
	Disk          bool   `toml:"disk"` // It keeps bulk data.
}

// A ServerGroup is a number of like backend servers, spread over the failure
// domains in turn.
type ServerGroup struct {
	Name       string              `toml:"name"` // The servers are <name>-1 and so on.
	Kind       declarer.ServerKind `toml:"kind"`
	Count      int                 `toml:"count"`
	Models     []string            `toml:"models"`
	Service    string              `toml:"service"`
	Capacity   int                 `toml:"capacity"`
	BatchBound int                 `toml:"batch-bound"`
	Arguments  []string            `toml:"arguments"` // Further arguments of the stand-in.
}

// A Chat is the form of online requests to a model.
type Chat struct {
	Route       string `toml:"route"`
	PrefixWords int    `toml:"prefix-words"` // Words that all prompts of a workspace share.
	MaxTokens   int    `toml:"max-tokens"`
}

// A Call is the form of online requests to a plain service.
type Call struct {
	Route  string `toml:"route"`
	Method string `toml:"method"`
	Path   string `toml:"path"` // "{number}" stands for the number of the request.
}

// A Batch is the backlog of batch work that is submitted before a run.
type Batch struct {
	Route       string            `toml:"route"`
	Items       int               `toml:"items"` // Of all workspaces together; it has to outlast the run.
	ItemsPerJob int               `toml:"items-per-job"`
	MaxTokens   int               `toml:"max-tokens"`
	DueIn       declarer.Duration `toml:"due-in"`
}

// A Workspace is a workspace with its limits and its usual load.
type Workspace struct {
	Name       string  `toml:"name"`
	Rate       float64 `toml:"rate"`        // Requests a second that it may send.
	Burst      int     `toml:"burst"`       // Requests.
	ChatRate   float64 `toml:"chat-rate"`   // Requests a second that it usually sends to the model.
	CallRate   float64 `toml:"call-rate"`   // Requests a second that it usually sends to the plain service.
	BatchShare float64 `toml:"batch-share"` // Part of the batch items; the shares add up to 1.
}

// BackendServers returns the servers of all groups, without addresses.
func (d Deployment) BackendServers() (all []declarer.BackendServer) {
	for _, g := range d.ServerGroups {
		for i := range g.Count {
			all = append(all, declarer.BackendServer{
				Name:          fmt.Sprintf("%s-%d", g.Name, i+1),
				Kind:          g.Kind,
				FailureDomain: d.FailureDomains[i%len(d.FailureDomains)].Name,
				Models:        g.Models,
				Service:       g.Service,
				Capacity:      g.Capacity,
				BatchBound:    g.BatchBound,
			})
		}
	}
	return all
}

// Arguments returns the further arguments of a server's stand-in.
func (d Deployment) Arguments(server string) []string {
	for _, g := range d.ServerGroups {
		for i := range g.Count {
			if fmt.Sprintf("%s-%d", g.Name, i+1) == server {
				return g.Arguments
			}
		}
	}
	return nil
}

// modelOf returns the model of a route, which requests name.
func (d Deployment) modelOf(route string) string {
	for _, r := range d.Routes {
		if r.Name == route {
			return r.Model
		}
	}
	return ""
}

// A FaultKind names what a scenario does to the deployment.
type FaultKind string

// The kinds of faults.
const (
	FailureDomainLost FaultKind = "failure-domain-lost" // All its processes end.
	PlatformDown      FaultKind = "platform-down"       // It does not answer.
)

// A Fault happens at a time of a run and ends by itself.
type Fault struct {
	Kind          FaultKind         `json:"kind"                     toml:"kind"`
	FailureDomain string            `json:"failure-domain,omitempty" toml:"failure-domain"`
	At            declarer.Duration `json:"at"                       toml:"at"` // After the warm-up.
	Duration      declarer.Duration `json:"duration"                 toml:"duration"`
}

// A Burst changes the online load of workspaces for a while.
type Burst struct {
	Workspaces []string          `toml:"workspaces"` // Empty means all.
	At         declarer.Duration `toml:"at"`         // After the warm-up.
	Duration   declarer.Duration `toml:"duration"`
	Factor     float64           `toml:"factor"`     // Multiple of the usual load; zero when TimesRate is set.
	TimesRate  float64           `toml:"times-rate"` // Multiple of the rate that the workspace may send.
}

// A Scenario is what happens in a run.
type Scenario struct {
	Name     string            `toml:"-"` // Such as "ljepilo-hub/steady".
	Seed     uint64            `toml:"seed"`
	WarmUp   declarer.Duration `toml:"warm-up"` // Load that is not measured.
	Duration declarer.Duration `toml:"duration"`
	Bursts   []Burst           `toml:"burst"`
	Faults   []Fault           `toml:"fault"`
}

// A Description is all that defines a run.
type Description struct {
	Deployment Deployment
	Scenario   Scenario
}

// end is the time from the start of the load to the end of the measurement.
func (s Scenario) end() time.Duration {
	return time.Duration(s.WarmUp + s.Duration)
}
