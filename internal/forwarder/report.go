package forwarder

import (
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// report writes the one line of a request: what was decided, from what, and
// what came of it.
func (r *run) report(d *Delivery, refusal *refuser.Refusal) {
	duration := r.now().Sub(r.q.Arrived)
	fields := logrus.Fields{
		"request":                   r.q.ID,
		reporter.FieldRoute:         r.q.Route.Name,
		reporter.FieldWorkspace:     r.q.Workspace,
		"configuration":             r.q.Configuration,
		reporter.FieldBackendServer: r.server,
		"server-load":               r.load,
		"attempts":                  r.attempts,
		"refused-tries":             r.refused,
		"first-byte-ms":             r.firstByte.Milliseconds(),
		"duration-ms":               duration.Milliseconds(),
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
		fields[reporter.FieldReason] = refusal.Code
		fields["outcome"] = refusal.Outcome
		message = "request refused"
	}
	r.f.cfg.Logger.WithFields(fields).Info(message)
	r.f.instruments.observe(r, refusal, duration)
}

// reportAttempt writes a line for an attempt that did not answer the request.
func (r *run) reportAttempt(outcome balancer.Outcome) {
	r.f.cfg.Logger.WithFields(logrus.Fields{
		"request":                   r.q.ID,
		reporter.FieldBackendServer: r.server,
		"server-load":               r.load,
		"attempts":                  r.attempts,
		"refused-tries":             r.refused,
		"last-failure":              r.cause,
		"outcome":                   outcome,
		"after-ms":                  r.now().Sub(r.q.Arrived).Milliseconds(),
	}).Info("attempt failed")
}
