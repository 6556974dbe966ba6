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

// A Fault describes the injected faults of a service. The zero value means none.
type Fault struct {
	CrashOn       string `json:"die-on,omitempty"`          // The service crashes when a call contains this text.
	Exit          bool   `json:"exit,omitempty"`            // A crash ends the process.
	Match         string `json:"only,omitempty"`            // The faults from here to Times affect only calls that contain this text.
	Stall         bool   `json:"stall,omitempty"`           // The call gets no response and is not executed.
	Close         bool   `json:"close,omitempty"`           // The connection is closed before the call is executed.
	CloseAfterRun bool   `json:"close-after-run,omitempty"` // The connection is closed without a response after the call is executed.
	StallAfterRun bool   `json:"stall-after-run,omitempty"` // The call is executed, but gets no response.
	Truncate      bool   `json:"cut,omitempty"`             // The response ends in the middle.
	CloseReused   bool   `json:"close-reused,omitempty"`    // Calls after the first on a connection are executed, and the connection is closed without a response.
	DelayMillis   int    `json:"delay-millis,omitempty"`    // Delay before the call is executed.
	Status        int    `json:"status,omitempty"`          // The response is an error with this status.
	RetryAfter    string `json:"retry-after,omitempty"`     // Header field Retry-After of that error.
	Times         int    `json:"times,omitempty"`           // Number of calls that are affected; zero means all.
	Leaving       bool   `json:"leaving,omitempty"`         // GET /health reports the state "leaving".
	Unhealthy     bool   `json:"unhealthy,omitempty"`       // GET /health fails.
}

// StatusFaults returns the number of calls that were answered with Fault.Status.
func (s *Service) StatusFaults() int64 { return s.statusFaults.Load() }

// Fault returns the current faults.
func (s *Service) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the current faults.
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

// consumeFault returns the faults that affect a call. It counts down Times and
// clears the faults after the last affected call.
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

// withFault wraps run: it records each call and applies the faults that affect
// it.
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

// failBeforeRun applies the faults that end a call before it is executed, and
// reports whether it did.
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
		s.statusFaults.Add(1)
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		http.Error(w, "fault", f.Status)
	default:
		return false
	}
	return true
}

// A truncatingWriter sends the first half of a response and closes the
// connection.
type truncatingWriter struct {
	http.ResponseWriter
}

// Unwrap gives http.ResponseController access to the connection.
func (w *truncatingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader does nothing. Write sends the header, which contains the length of
// the body.
func (w *truncatingWriter) WriteHeader(int) {}

func (w *truncatingWriter) Write(body []byte) (int, error) {
	conn, buffer, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ")
	response.WriteString(strconv.Itoa(len(body)))
	response.WriteString("\r\n\r\n")
	response.Write(body[:len(body)/2])
	if _, err := buffer.Write(response.Bytes()); err != nil {
		return 0, err
	}
	return len(body), buffer.Flush()
}
