// Package declarer defines what operators declare, and merges and validates
// declarations.
package declarer

import "time"

// A Duration is a time.Duration written in TOML as a string such as "30s".
type Duration time.Duration

// A Declaration is the whole configuration that is in force at a revision.
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
	StandingShare float64 `json:"standing-share" toml:"standing-share"` // Fraction in [0, 1) of rate and burst that slot holders refill locally.
	StandingSlots int     `json:"standing-slots" toml:"standing-slots"` // Number of slots that split the standing share; at least the number of entries.
	RateShards    int     `json:"rate-shards"    toml:"rate-shards"`    // Number of lenders.
}

// A FailureDomain is a part of a region that can fail or be cut off alone.
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

// A ServerKind tells engines from plain services.
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
	Capacity      int        `json:"capacity"              toml:"capacity"`    // Requests that run well side by side; at least 1.
	BatchBound    int        `json:"batch-bound,omitempty" toml:"batch-bound"` // Batch requests in flight over all entries; at most Capacity.
	Fencing       bool       `json:"fencing,omitempty"     toml:"fencing"`     // The server refuses orders with an old fencing number.
}

// A Workspace is a customer with a rate that counts across the fleet.
type Workspace struct {
	Name  string  `json:"name"  toml:"name"`
	Rate  float64 `json:"rate"  toml:"rate"`  // Requests a second; above zero.
	Burst int     `json:"burst" toml:"burst"` // Requests; at least 1.
}

// A Key lets a caller act for a workspace. The key itself is not kept.
type Key struct {
	Name      string `json:"name"      toml:"name"`
	Workspace string `json:"workspace" toml:"workspace"`
	Digest    string `json:"digest"    toml:"digest"` // Hexadecimal HMAC-SHA-256 of the key under the pepper of the deployment.
}

// A Route leads requests to a model or to a plain service.
type Route struct {
	Name       string   `json:"name"               toml:"name"`
	Model      string   `json:"model,omitempty"    toml:"model"`   // Either Model or Service is set.
	Service    string   `json:"service,omitempty"  toml:"service"` // Either Model or Service is set.
	Open       bool     `json:"open,omitempty"     toml:"open"`    // Callers need no key.
	Idempotent bool     `json:"idempotent"         toml:"idempotent"`
	Batch      bool     `json:"batch,omitempty"    toml:"batch"`    // Batch items may use the route; needs Idempotent.
	Deadline   Duration `json:"deadline,omitempty" toml:"deadline"` // Time to the first byte, and between bytes of a stream.
}
