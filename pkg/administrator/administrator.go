// Package administrator defines the operators' HTTP of an entry: its requests,
// its answers and a client.
package administrator

import (
	"fmt"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Paths of the operators' HTTP. Calls carry an operator key as a bearer token.
const (
	PathApply  = "/operator/apply"  // POST with the TOML of a release note.
	PathKeys   = "/operator/keys"   // POST with a GrantRequest; DELETE of PathKeys/<name>.
	PathStatus = "/operator/status" // GET.
)

// Query parameters of PathApply.
const (
	ParamDryRun = "dry-run" // "true" only says what the release note would change.
	ParamFile   = "file"    // Name of the file, for its faults.
)

// An Instance is an entry as the answering entry knows it.
type Instance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	Revision      int64  `json:"revision"`  // Confirmed last; zero when none was.
	Confirmed     bool   `json:"confirmed"` // It confirmed the revision of the answer or a later one.
}

// An ApplyAnswer says that a release note was accepted, or what it would
// change.
type ApplyAnswer struct {
	Revision  int64             `json:"revision"`
	ApplyID   string            `json:"apply-id,omitempty"`
	DryRun    bool              `json:"dry-run,omitempty"`
	Changes   []declarer.Change `json:"changes"`
	Instances []Instance        `json:"instances,omitempty"` // Sorted by ID; empty after a dry run.
}

// A StatusAnswer describes the configuration in force at the answering entry.
type StatusAnswer struct {
	Revision  int64      `json:"revision"` // Zero when there is no configuration.
	ApplyID   string     `json:"apply-id,omitempty"`
	Title     string     `json:"title,omitempty"` // Of the last release note.
	Instances []Instance `json:"instances"`       // Sorted by ID.
}

// A GrantRequest asks for a new key of a workspace.
type GrantRequest struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
}

// A GrantAnswer holds a new key, which is not kept anywhere else.
type GrantAnswer struct {
	ApplyAnswer
	Key string `json:"key"`
}

// An ErrorAnswer refuses a call.
type ErrorAnswer struct {
	Error    ErrorDetail      `json:"error"`
	Faults   []declarer.Fault `json:"faults,omitempty"`   // Of a release note.
	Revision int64            `json:"revision,omitempty"` // That an apply in doubt would have.
	ApplyID  string           `json:"apply-id,omitempty"` // Of an apply in doubt.
}

// An ErrorDetail is the part that all refusals of an entry share.
type ErrorDetail struct {
	Code    refuser.Code    `json:"code"`
	Message string          `json:"message"`
	Outcome refuser.Outcome `json:"outcome"`
}

// A RefusedError is a call that an entry refused.
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
