package serviceemulator

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// A Fault is what goes wrong at a service. The zero value is a sound service.
type Fault struct {
	CrashOn       string `json:"die-on,omitempty"`          // The service dies when a call holds this text.
	Exit          bool   `json:"exit,omitempty"`            // Dying ends the process.
	Match         string `json:"only,omitempty"`            // The faults below hit only calls that hold this text.
	Stall         bool   `json:"stall,omitempty"`           // No answer comes, and the call does not run.
	Close         bool   `json:"close,omitempty"`           // The connection closes before the call runs.
	CloseAfterRun bool   `json:"close-after-run,omitempty"` // It closes after the effect of the call, without an answer.
	StallAfterRun bool   `json:"stall-after-run,omitempty"` // No answer comes after the effect of the call.
	Truncate      bool   `json:"cut,omitempty"`             // The answer ends in the middle.
	CloseReused   bool   `json:"close-reused,omitempty"`    // The second call on a connection is run and not answered.
	DelayMillis   int    `json:"delay-millis,omitempty"`    // Before the call runs.
	Status        int    `json:"status,omitempty"`          // The answer is an error with this status.
	Times         int    `json:"times,omitempty"`           // Number of calls that are hit; zero hits all.
	Leaving       bool   `json:"leaving,omitempty"`         // GET /health says leaving.
	Unhealthy     bool   `json:"unhealthy,omitempty"`       // GET /health fails.
}

// Fault is what goes wrong now.
func (s *Service) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces what goes wrong.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Service) handleSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !emulator.ReadJSON(w, r, &f) {
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// hit is the fault of one call, and uses up one of its times.
func (s *Service) consumeFault(content string, requestNumber int) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.CrashOn != "" && strings.Contains(content, f.CrashOn) {
		return Fault{CrashOn: f.CrashOn, Exit: f.Exit}
	}
	f.CrashOn = ""
	if f.Match != "" && !strings.Contains(content, f.Match) || f.CloseReused && requestNumber < 2 {
		return Fault{}
	}
	if f.Times > 1 {
		s.fault.Times--
	}
	if f.Times == 1 {
		s.fault = Fault{CrashOn: s.fault.CrashOn, Exit: s.fault.Exit, Leaving: f.Leaving, Unhealthy: f.Unhealthy}
	}
	if f.CloseReused {
		f.CloseAfterRun = true
	}
	return f
}

type faultContextKey struct{}

func faultFrom(r *http.Request) Fault {
	f, _ := r.Context().Value(faultContextKey{}).(Fault)
	return f
}

// call records a call and applies the fault that hits it.
func (s *Service) withFault(run http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number := emulator.RequestNumber(r)
		body, err := s.journal.Record(r)
		if err != nil {
			return
		}
		f := s.consumeFault(r.URL.Path+" "+string(body), number)
		if s.failBeforeRun(w, r, f) {
			return
		}
		if f.Truncate {
			w = &truncatingWriter{ResponseWriter: w}
		}
		run(w, r.WithContext(context.WithValue(r.Context(), faultContextKey{}, f)))
	})
}

// stop applies the faults that end a call before it runs.
func (s *Service) failBeforeRun(w http.ResponseWriter, r *http.Request, f Fault) bool {
	select {
	case <-time.After(s.cfg.AnswerTime + time.Duration(f.DelayMillis)*time.Millisecond):
	case <-r.Context().Done():
		return true
	}
	switch {
	case f.CrashOn != "":
		if f.Exit && s.cfg.Exit != nil {
			s.cfg.Exit(1)
		}
		s.Crash()
	case f.Stall:
		<-r.Context().Done()
	case f.Close:
		emulator.CloseConnection(w)
	case f.Status != 0:
		http.Error(w, "fault", f.Status)
	default:
		return false
	}
	return true
}

// A truncatingWriter sends the first half of an answer and closes the connection.
type truncatingWriter struct {
	http.ResponseWriter
}

// Unwrap lets http.ResponseController find the connection.
func (w *truncatingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader waits for the body, whose length it needs.
func (w *truncatingWriter) WriteHeader(int) {}

func (w *truncatingWriter) Write(body []byte) (int, error) {
	conn, buffer, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	var answer bytes.Buffer
	answer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ")
	answer.WriteString(strconv.Itoa(len(body)))
	answer.WriteString("\r\n\r\n")
	answer.Write(body[:len(body)/2])
	if _, err := buffer.Write(answer.Bytes()); err != nil {
		return 0, err
	}
	return len(body), buffer.Flush()
}
