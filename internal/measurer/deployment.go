// Package measurer sends load to the entries of a deployment and measures the
// latency and refusals of online requests, the throughput of batch work and the
// fairness between workspaces.
//
// The load is open-loop: requests start at times drawn from a random process,
// whether or not earlier ones were answered, and latency counts from the
// intended start. A closed loop would send less while the system is slow and
// thereby hide the slowness.
package measurer

import (
	"fmt"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A Deployment describes the fleet under load and its normal traffic.
type Deployment struct {
	Name           string                   `toml:"name"`
	DomainLatency  declarer.Duration        `toml:"distance"` // One way, between failure domains.
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
	Disk          bool   `toml:"disk"` // Whether it stores bulk data.
}

// A ServerGroup is a number of identical backend servers, distributed
// round-robin over the failure domains.
type ServerGroup struct {
	Name       string              `toml:"name"` // The servers are named <name>-1 and so on.
	Kind       declarer.ServerKind `toml:"kind"`
	Count      int                 `toml:"count"`
	Models     []string            `toml:"models"`
	Service    string              `toml:"service"`
	Capacity   int                 `toml:"capacity"`
	BatchBound int                 `toml:"batch-bound"`
	Arguments  []string            `toml:"arguments"` // Additional arguments of the emulator.
}

// A Chat describes the online requests to a model.
type Chat struct {
	Route       string `toml:"route"`
	PrefixWords int    `toml:"prefix-words"` // Words that all prompts of a workspace share.
	MaxTokens   int    `toml:"max-tokens"`
}

// A Call describes the online requests to a plain service.
type Call struct {
	Route  string `toml:"route"`
	Method string `toml:"method"`
	Path   string `toml:"path"` // "{number}" is replaced by an identifier of the request.
}

// A Batch describes the batch items that are submitted before a run.
type Batch struct {
	Route       string            `toml:"route"`
	Items       int               `toml:"items"` // Of all workspaces together; must last for the whole run.
	ItemsPerJob int               `toml:"items-per-job"`
	MaxTokens   int               `toml:"max-tokens"`
	DueIn       declarer.Duration `toml:"due-in"`
}

// A Workspace describes a workspace, its rate limit and its normal load.
type Workspace struct {
	Name       string  `toml:"name"`
	Rate       float64 `toml:"rate"`        // Rate limit in requests per second.
	Burst      int     `toml:"burst"`       // Burst limit in requests.
	ChatRate   float64 `toml:"chat-rate"`   // Normal load of the model in requests per second.
	CallRate   float64 `toml:"call-rate"`   // Normal load of the plain service in requests per second.
	BatchShare float64 `toml:"batch-share"` // Fraction of the batch items; the shares add up to 1.
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

// Arguments returns the additional arguments of a server's emulator.
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

// modelOf returns the model of a route, or an empty string.
func (d Deployment) modelOf(route string) string {
	for _, r := range d.Routes {
		if r.Name == route {
			return r.Model
		}
	}
	return ""
}

// A FaultKind is a kind of failure that a scenario injects.
type FaultKind string

// The kinds of faults.
const (
	FailureDomainLost FaultKind = "failure-domain-lost" // All its processes are killed.
	PlatformDown      FaultKind = "platform-down"       // The platform does not respond.
)

// A Fault is a failure that is injected at a time of a run and ended after its
// duration.
type Fault struct {
	Kind          FaultKind         `json:"kind"                     toml:"kind"`
	FailureDomain string            `json:"failure-domain,omitempty" toml:"failure-domain"`
	At            declarer.Duration `json:"at"                       toml:"at"` // After the warm-up.
	Duration      declarer.Duration `json:"duration"                 toml:"duration"`
}

// A Burst changes the online load of workspaces for a limited time.
type Burst struct {
	Workspaces []string          `toml:"workspaces"` // Empty means all.
	At         declarer.Duration `toml:"at"`         // After the warm-up.
	Duration   declarer.Duration `toml:"duration"`
	Factor     float64           `toml:"factor"`     // Multiple of the normal load; zero when TimesRate is set.
	TimesRate  float64           `toml:"times-rate"` // Multiple of the workspace's rate limit; zero when Factor is set.
}

// A Scenario defines the load and the faults of a run.
type Scenario struct {
	Name     string            `toml:"-"` // Such as "ljepilo-hub/steady".
	Seed     uint64            `toml:"seed"`
	WarmUp   declarer.Duration `toml:"warm-up"` // Time of load before the measurement.
	Duration declarer.Duration `toml:"duration"`
	Bursts   []Burst           `toml:"burst"`
	Faults   []Fault           `toml:"fault"`
}

// A Description defines a run completely.
type Description struct {
	Deployment Deployment
	Scenario   Scenario
}

// end returns the time from the start of the load to the end of the measurement.
func (s Scenario) end() time.Duration {
	return time.Duration(s.WarmUp + s.Duration)
}
