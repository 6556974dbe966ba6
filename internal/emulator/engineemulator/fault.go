package engineemulator

import (
	"net/http"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// A Fault is what goes wrong at an engine. The zero value is a sound engine.
type Fault struct {
	CrashOn          string `json:"die-on,omitempty"`             // The engine dies when a prompt holds this text.
	Exit             bool   `json:"exit,omitempty"`               // Dying ends the process.
	Match            string `json:"only,omitempty"`               // The faults below hit only prompts that hold this text.
	CloseAfterTokens int    `json:"cut-after-tokens,omitempty"`   // The connection closes after so many tokens.
	StallAfterTokens int    `json:"stall-after-tokens,omitempty"` // The stream goes silent after so many tokens.
	StallAtStart     bool   `json:"stall-at-start,omitempty"`     // No answer ever comes.
	DelayMillis      int    `json:"delay-millis,omitempty"`       // Before the first token.
	Status           int    `json:"status,omitempty"`             // The answer is an error with this status.
	Times            int    `json:"times,omitempty"`              // Number of requests that are hit; zero hits all.
	Leaving          bool   `json:"leaving,omitempty"`            // GET /health says leaving.
	Unhealthy        bool   `json:"unhealthy,omitempty"`          // GET /health fails.
}

// Fault is what goes wrong now.
func (e *Engine) Fault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// SetFault replaces what goes wrong.
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

// hit is the fault of one request, and uses up one of its times.
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
