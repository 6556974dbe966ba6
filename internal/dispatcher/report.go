package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// The fields of log lines. None may contain an API key, its digest, a prompt or
// a path, because a path may reveal what a caller looks up.
const (
	fieldAttempt    = "attempt"
	fieldCandidates = "candidates"
	fieldChoice     = "choice"
	fieldDecision   = "decision"
	fieldDomain     = "failure-domain"
	fieldOutcome    = "outcome"
	fieldReason     = "reason"
	fieldRequestID  = "request-id"
	fieldRoute      = "route"
	fieldWorkspace  = "workspace"
)

// codeOK is the metric label of an answered request.
const codeOK = "ok"

func (r *run) logger() logrus.FieldLogger {
	return r.dispatcher.cfg.Logger.WithFields(logrus.Fields{
		fieldRequestID: r.request.ID,
		fieldWorkspace: r.request.Workspace,
		fieldRoute:     r.request.Route.Name,
		fieldAttempt:   r.attempts,
	})
}

func (r *run) logChoice(d router.Decision) {
	r.logger().WithFields(logrus.Fields{
		fieldDecision:   "choice",
		fieldCandidates: d.Candidates,
		fieldChoice:     d.Server.Name(),
		fieldDomain:     d.FailureDomain,
		fieldReason:     d.Reason,
	}).Info("routing decision")
}

func (r *run) logDecision(decision, reason string) {
	r.logger().WithFields(logrus.Fields{
		fieldDecision: decision,
		fieldReason:   reason,
		fieldOutcome:  r.outcome(),
	}).Info("request decision")
}

// report records the end of the request in metrics, and refusals in the log.
func (r *run) report(refusal *refuser.Refusal) {
	code := codeOK
	if refusal != nil {
		code = string(refusal.Code)
		r.logger().WithFields(logrus.Fields{
			fieldDecision: "refusal",
			fieldReason:   refusal.Code,
			fieldOutcome:  refusal.Outcome,
		}).Info("request decision")
	}
	route := attribute.String("route", r.request.Route.Name)
	ctx := context.Background()
	r.dispatcher.instruments.requests.Add(ctx, 1, metric.WithAttributes(route, attribute.String("code", code)))
	r.dispatcher.instruments.duration.Record(ctx, r.elapsed().Seconds(), metric.WithAttributes(route))
}

func (r *run) observeFirstByte() {
	r.dispatcher.instruments.firstByte.Record(context.Background(), r.elapsed().Seconds(),
		metric.WithAttributes(attribute.String("route", r.request.Route.Name)))
}

func (r *run) elapsed() time.Duration {
	return r.dispatcher.cfg.Clock.Now().Sub(r.started)
}

func (d *Dispatcher) logItemChoice(item Item, decision router.Decision) {
	d.cfg.Logger.WithFields(logrus.Fields{
		fieldDecision:   "batch-choice",
		fieldRequestID:  item.ID,
		fieldWorkspace:  item.Workspace,
		fieldRoute:      item.Route.Name,
		fieldCandidates: decision.Candidates,
		fieldChoice:     decision.Server.Name(),
		fieldDomain:     decision.FailureDomain,
		fieldReason:     decision.Reason,
	}).Info("routing decision")
}

func (d *Dispatcher) reportItem(item Item, result ItemResult, err error, started time.Time) {
	code := itemCode(err)
	ctx := context.Background()
	attributes := metric.WithAttributes(attribute.String("route", item.Route.Name), attribute.String("code", code))
	d.instruments.items.Add(ctx, 1, attributes)
	if err == nil {
		d.instruments.tokens.Add(ctx, int64(result.Tokens),
			metric.WithAttributes(attribute.String("workspace", item.Workspace)))
	}
	d.cfg.Logger.WithFields(logrus.Fields{
		fieldDecision:  "batch-end",
		fieldRequestID: item.ID,
		fieldWorkspace: item.Workspace,
		fieldRoute:     item.Route.Name,
		fieldChoice:    result.Server,
		fieldReason:    code,
		"millis":       d.cfg.Clock.Now().Sub(started).Milliseconds(),
	}).Debug("batch item ended")
}

func itemCode(err error) string {
	var refusal *refuser.Refusal
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, ErrPreempted):
		return "yielded"
	case errors.Is(err, ErrServerCrashed):
		return "server-crashed"
	case errors.Is(err, ErrNoCapacity):
		return "no-room"
	case errors.As(err, &refusal):
		return string(refusal.Code)
	default:
		return "failed"
	}
}
