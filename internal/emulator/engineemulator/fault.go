package engineemulator

import (
	"net/http"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// A Fault describes the injected faults of an engine. The zero value means none.
type Fault struct {
	CrashOn          string `json:"die-on,omitempty"`             // The engine crashes when a prompt contains this text.
	Exit             bool   `json:"exit,omitempty"`               // A crash ends the process.
	Match            string `json:"only,omitempty"`               // The faults from here to Times affect only prompts that contain this text.
	CloseAfterTokens int    `json:"cut-after-tokens,omitempty"`   // The connection is closed after this many tokens.
	StallAfterTokens int    `json:"stall-after-tokens,omitempty"` // The stream stalls after this many tokens.
	StallAtStart     bool   `json:"stall-at-start,omitempty"`     // No response is sent.
	DelayMillis      int    `json:"delay-millis,omitempty"`       // Delay before the first token.
	Status           int    `json:"status,omitempty"`             // The response is an error with this status.
	Times            int    `json:"times,omitempty"`              // Number of requests that are affected; zero means all.
	Leaving          bool   `json:"leaving,omitempty"`            // GET /health reports the state "leaving".
	Unhealthy        bool   `json:"unhealthy,omitempty"`          // GET /health fails.
}

// Fault returns the current faults.
func (e *Engine) Fault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// SetFault replaces the current faults.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *Engine) handleSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !emulator.ReadJSON(w, r, &f) {
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// consumeFault returns the faults that affect a request. It counts down Times
// and clears the faults after the last affected request.
func (e *Engine) consumeFault(prompt string) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fault
	if f.CrashOn != "" && strings.Contains(prompt, f.CrashOn) {
		return Fault{CrashOn: f.CrashOn, Exit: f.Exit}
	}
	f.CrashOn = ""
	if f.Match != "" && !strings.Contains(prompt, f.Match) {
		return Fault{}
	}
	if f.Times > 1 {
		e.fault.Times--
	}
	if f.Times == 1 {
		e.fault = Fault{CrashOn: e.fault.CrashOn, Exit: e.fault.Exit, Leaving: f.Leaving, Unhealthy: f.Unhealthy}
	}
	return f
}

func (e *Engine) crashOrExit(f Fault) {
	if f.Exit && e.cfg.Exit != nil {
		e.cfg.Exit(1)
	}
	e.Crash()
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
