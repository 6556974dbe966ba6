package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A Summary is what came of one request.
type Summary struct {
	Route     string
	Code      refuser.Code // Empty when it was answered.
	FirstByte time.Duration
	Duration  time.Duration
}

// report writes the one line of a request: what was decided, from what, and
// what came of it.
func (r *run) report(d *Delivery, refusal *refuser.Refusal) {
	s := Summary{Route: r.q.Route.Name, FirstByte: r.firstByte, Duration: r.now().Sub(r.q.Arrived)}
	fields := logrus.Fields{
		"request":                   r.q.ID,
		reporter.FieldRoute:         r.q.Route.Name,
		reporter.FieldWorkspace:     r.q.Workspace,
		reporter.FieldBackendServer: r.server,
		"server-load":               r.load,
		"attempts":                  r.attempts,
		"refused-tries":             r.refused,
		"first-byte-ms":             r.firstByte.Milliseconds(),
		"duration-ms":               s.Duration.Milliseconds(),
	}
	if r.events > 0 {
		fields["events"] = r.events
		fields["resumes"] = r.resumes
	}
	if r.cause != "" {
		fields["last-failure"] = r.cause
	}
	if d != nil {
		fields["status"] = d.Status
	}
	message := "request answered"
	if refusal != nil {
		s.Code = refusal.Code
		fields[reporter.FieldReason] = refusal.Code
		fields["outcome"] = refusal.Outcome
		message = "request refused"
	}
	r.f.cfg.Logger.WithFields(fields).Info(message)
	if r.f.cfg.Observe != nil {
		r.f.cfg.Observe(s)
	}
}
