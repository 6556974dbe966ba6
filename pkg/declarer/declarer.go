// Package declarer defines the configuration that operators declare, and
// validates and merges it.
package declarer

import "time"

// A Duration is a time.Duration written in TOML as a string such as "30s".
type Duration time.Duration

// A Declaration is the complete configuration at one revision.
type Declaration struct {
	Limits         Limits          `json:"limits"          toml:"limits"`
	FailureDomains []FailureDomain `json:"failure-domains" toml:"failure-domain"`
	Models         []Model         `json:"models"          toml:"model"`
	BackendServers []BackendServer `json:"backend-servers" toml:"backend-server"`
	Workspaces     []Workspace     `json:"workspaces"      toml:"workspace"`
	Keys           []Key           `json:"keys"            toml:"key"`
	Routes         []Route         `json:"routes"          toml:"route"`
}

// Limits are the parameters of the fleet-wide rate limits.
type Limits struct {
	StandingShare float64 `json:"standing-share" toml:"standing-share"` // Fraction in [0, 1) of each rate and burst that is split among the slots, whose holders refill their part locally.
	StandingSlots int     `json:"standing-slots" toml:"standing-slots"` // Number of slots that StandingShare is divided among; at least the number of entries.
	RateShards    int     `json:"rate-shards"    toml:"rate-shards"`    // Number of shards of the fleet-wide limits; each is managed by the entry that holds its lease.
}

// A FailureDomain is a part of a region that can fail or lose its network
// connection independently of others.
type FailureDomain struct {
	Name   string `json:"name"   toml:"name"`
	Region string `json:"region" toml:"region"`
}

// A Model is a model that engines can serve.
type Model struct {
	Name     string   `json:"name"               toml:"name"`
	Version  string   `json:"version,omitempty"  toml:"version"`
	Adapters []string `json:"adapters,omitempty" toml:"adapters"`
}

// A ServerKind distinguishes engines from plain services.
type ServerKind string

// The kinds of backend servers.
const (
	Engine  ServerKind = "engine"
	Service ServerKind = "service"
)

// A BackendServer is a model engine or a plain service.
type BackendServer struct {
	Name          string     `json:"name"                  toml:"name"`
	Kind          ServerKind `json:"kind"                  toml:"kind"`
	Address       string     `json:"address"               toml:"address"` // Host and port.
	FailureDomain string     `json:"failure-domain"        toml:"failure-domain"`
	Models        []string   `json:"models,omitempty"      toml:"models"`      // Set for engines only.
	Service       string     `json:"service,omitempty"     toml:"service"`     // Set for plain services only.
	Capacity      int        `json:"capacity"              toml:"capacity"`    // Number of concurrent requests that the server handles well; at least 1.
	BatchBound    int        `json:"batch-bound,omitempty" toml:"batch-bound"` // Maximum number of batch requests in flight, over all entries; at most Capacity.
	Fencing       bool       `json:"fencing,omitempty"     toml:"fencing"`     // The server rejects orders with an outdated fencing number.
}

// A Workspace is a customer with a fleet-wide rate limit.
type Workspace struct {
	Name  string  `json:"name"  toml:"name"`
	Rate  float64 `json:"rate"  toml:"rate"`  // Requests per second; above zero.
	Burst int     `json:"burst" toml:"burst"` // Requests; at least 1.
}

// A Key authenticates callers of a workspace. Only its digest is stored.
type Key struct {
	Name      string `json:"name"      toml:"name"`
	Workspace string `json:"workspace" toml:"workspace"`
	Digest    string `json:"digest"    toml:"digest"` // Lower-case hexadecimal HMAC-SHA-256 of the key, with the pepper of the deployment as the HMAC key.
}

// A Route forwards requests to a model or to a plain service.
type Route struct {
	Name       string   `json:"name"               toml:"name"`
	Model      string   `json:"model,omitempty"    toml:"model"`   // Either Model or Service is set.
	Service    string   `json:"service,omitempty"  toml:"service"` // Either Model or Service is set.
	Open       bool     `json:"open,omitempty"     toml:"open"`    // Callers need no key.
	Idempotent bool     `json:"idempotent"         toml:"idempotent"`
	Batch      bool     `json:"batch,omitempty"    toml:"batch"`    // Batch items may use the route; needs Idempotent.
	Deadline   Duration `json:"deadline,omitempty" toml:"deadline"` // Maximum time to the first byte, and between bytes of a stream; zero means the default.
}
