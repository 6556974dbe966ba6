package forwarder

import (
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// report logs and counts a finished request. Each request has exactly one such log
// line.
func (r *run) report(response *Response, refusal *refuser.Refusal) {
	duration := r.now().Sub(r.q.ArrivedAt)
	fields := logrus.Fields{
		"request":                   r.q.ID,
		reporter.FieldRoute:         r.q.Route.Name,
		reporter.FieldWorkspace:     r.q.Workspace,
		"configuration":             r.q.ConfigurationVersion,
		reporter.FieldBackendServer: r.serverID,
		"server-version":            r.serverVersion,
		"server-load":               r.serverLoad,
		"through-peer":              r.throughPeer,
		"attempts":                  r.attempts,
		"refused-tries":             r.refusedAttempts,
		"first-byte-ms":             r.firstByte.Milliseconds(),
		"duration-ms":               duration.Milliseconds(),
	}
	if r.events > 0 {
		fields["events"] = r.events
		fields["resumes"] = r.resumes
	}
	r.addQueueFields(fields)
	if r.lastCause != "" {
		fields["last-failure"] = r.lastCause
	}
	if response != nil {
		fields["status"] = response.Status
	}
	message := "request answered"
	if refusal != nil {
		fields[reporter.FieldReason] = refusal.Code
		fields["outcome"] = refusal.Outcome
		fields["detail"] = refusal.Message
		message = "request refused"
	}
	r.f.cfg.Logger.WithFields(fields).Info(message)
	r.f.instruments.observe(r, refusal, duration)
}

// reportResumption logs that a stream goes on, within one answer or because the caller
// takes it up, and the versions of the servers before and after.
func (r *run) reportResumption(takenUp bool) {
	r.f.cfg.Logger.WithFields(logrus.Fields{
		"request": r.q.ID, "begun-as": r.q.Resumes, "taken-up": takenUp, "after-event": r.lastEventID, "version": describeVersion(r.version),
		reporter.FieldBackendServer: r.serverID, "server-version": r.serverVersion,
	}).Info("stream goes on")
}

func describeVersion(version *string) string {
	if version == nil {
		return "unknown"
	}
	return *version
}

// reportAttempt logs an attempt that did not answer the request.
func (r *run) reportAttempt(outcome balancer.Outcome) {
	r.f.cfg.Logger.WithFields(logrus.Fields{
		"request":                   r.q.ID,
		reporter.FieldBackendServer: r.serverID,
		"server-load":               r.serverLoad,
		"attempts":                  r.attempts,
		"refused-tries":             r.refusedAttempts,
		"last-failure":              r.lastCause,
		"outcome":                   outcome,
		"after-ms":                  r.now().Sub(r.q.ArrivedAt).Milliseconds(),
	}).Info("attempt failed")
}
