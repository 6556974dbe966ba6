// Package administrator defines the operator API of an entry: its requests and
// responses over HTTP, and a client.
package administrator

import (
	"fmt"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Paths of the operator API. Requests carry an operator key as a bearer token.
const (
	PathApply  = "/operator/apply"  // POST with the TOML of a release note.
	PathKeys   = "/operator/keys"   // POST with a GrantRequest; DELETE of PathKeys/<name>.
	PathStatus = "/operator/status" // GET.
)

// Query parameters of PathApply.
const (
	ParamDryRun = "dry-run" // "true" reports what the release note would change without applying it.
	ParamFile   = "file"    // Name of the file, which the faults report.
)

// An Instance is the state of an entry as the responding entry knows it.
type Instance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	Revision      int64  `json:"revision"`  // The last revision that it confirmed; zero if none.
	Confirmed     bool   `json:"confirmed"` // Whether it confirmed the revision of the response or a later one.
}

// An ApplyAnswer is the response to a release note that was accepted or, in a
// dry run, would be accepted.
type ApplyAnswer struct {
	Revision  int64             `json:"revision"`
	ApplyID   string            `json:"apply-id,omitempty"`
	DryRun    bool              `json:"dry-run,omitempty"`
	Changes   []declarer.Change `json:"changes"`
	Instances []Instance        `json:"instances,omitempty"` // Sorted by ID; empty after a dry run.
}

// A StatusAnswer describes the configuration in effect at the responding entry.
type StatusAnswer struct {
	Revision  int64      `json:"revision"` // Zero if there is no configuration.
	ApplyID   string     `json:"apply-id,omitempty"`
	Title     string     `json:"title,omitempty"` // Title of the last release note.
	Instances []Instance `json:"instances"`       // Sorted by ID.
}

// A GrantRequest asks for a new key for a workspace.
type GrantRequest struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
}

// A GrantAnswer holds a new key, which cannot be retrieved again.
type GrantAnswer struct {
	ApplyAnswer
	Key string `json:"key"`
}

// An ErrorAnswer is the response to a refused call.
type ErrorAnswer struct {
	Error    ErrorDetail      `json:"error"`
	Faults   []declarer.Fault `json:"faults,omitempty"`   // Faults of the release note.
	Revision int64            `json:"revision,omitempty"` // Revision of an apply with an unknown outcome, if it took effect.
	ApplyID  string           `json:"apply-id,omitempty"` // ID of an apply with an unknown outcome.
}

// An ErrorDetail is the part that all error responses of an entry share.
type ErrorDetail struct {
	Code    refuser.Code    `json:"code"`
	Message string          `json:"message"`
	Outcome refuser.Outcome `json:"outcome"`
}

// A RefusedError reports a call that an entry refused.
type RefusedError struct {
	Status int // HTTP status.
	Answer ErrorAnswer
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Answer.Error.Code == "" {
		return fmt.Sprintf("refused with status %d", e.Status)
	}
	return fmt.Sprintf("%s (%s): %s", e.Answer.Error.Code, e.Answer.Error.Outcome, e.Answer.Error.Message)
}

// InDoubt reports whether the refused call may have taken effect.
func (e *RefusedError) InDoubt() bool {
	return e.Answer.Error.Outcome == refuser.Unknown
}
