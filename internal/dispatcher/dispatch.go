package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// defaultDeadline is the deadline of routes that declare none.
	defaultDeadline = 30 * time.Second
	// noServerRetryAfter is about the time that probes need to detect a
	// recovered server.
	noServerRetryAfter = time.Second
)

// A run is the state of one online request. It is used by one goroutine.
type run struct {
	dispatcher *Dispatcher
	request    Request
	writer     Writer
	outbound   sender.Request
	pool       string
	digest     string               // Content digest of the request.
	parts      []retrier.PartDigest // Shared parts of the prompt.
	started    time.Time
	deadline   time.Time // For the first byte of the answer.

	attempts      int
	triedServers  []string // Names of servers that failed.
	dispatched    bool     // An attempt was dispatched.
	answerStarted bool     // A part of the answer was sent to the caller.
	completed     bool     // The answer was read to its end.
	answerBegun   bool     // The server has certainly begun to answer.
	partCheck     retrier.PartCheck
	intent        *Intent // Set if this request has to record the end of the intent.
	recorded      RecordedAnswer
}

// Dispatch runs one request. It returns nil after the whole answer was written,
// and otherwise the reason why it was not.
func (d *Dispatcher) Dispatch(ctx context.Context, q Request, w Writer) *refuser.Refusal {
	r := d.newRun(q, w)
	ctx, stop := r.detachFromCaller(ctx)
	defer stop()
	refusal := r.serve(ctx)
	r.report(refusal)
	return refusal
}

func (d *Dispatcher) newRun(q Request, w Writer) *run {
	now := d.cfg.Clock.Now()
	r := &run{dispatcher: d, request: q, writer: w, outbound: q.outbound(), pool: registrar.PoolName(q.Route), started: now}
	r.deadline = now.Add(deadlineOf(time.Duration(q.Route.Deadline)))
	r.digest = contentOf(r.pool, r.outbound).Digest()
	r.parts = q.Parts
	r.partCheck = retrier.PartCheck{States: d.cfg.Parts, Trials: d.cfg.Trials, Parts: r.parts}
	return r
}

func deadlineOf(declared time.Duration) time.Duration {
	if declared <= 0 {
		return defaultDeadline
	}
	return declared
}

// detachFromCaller derives the context of the run. A request with an idempotency
// key continues after its caller disconnects, so that a resend finds the
// recorded answer.
func (r *run) detachFromCaller(ctx context.Context) (context.Context, func()) {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if r.request.IdempotencyKey == "" || !errors.Is(cause, ErrCallerGone) {
			cancel(cause)
		}
	})
	return runCtx, func() {
		stop()
		cancel(context.Canceled)
	}
}

func (r *run) serve(ctx context.Context) *refuser.Refusal {
	if refusal := r.checkKeys(); refusal != nil {
		return refusal
	}
	if refusal := r.checkQuarantine(ctx); refusal != nil {
		return refusal
	}
	if refusal := r.admit(ctx); refusal != nil {
		return refusal
	}
	answered, refusal := r.beginIntent(ctx)
	if answered || refusal != nil {
		return refusal
	}
	r.dispatcher.cfg.Retrier.CountRequest(r.request.Route.Name)
	refusal = r.tryServers(ctx)
	r.finishIntent(ctx, refusal)
	return refusal
}

// checkKeys refuses a request that would reveal an API key to a backend server.
func (r *run) checkKeys() *refuser.Refusal {
	err := sender.CheckKeys(r.outbound, r.request.Keys)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, sender.ErrKeyInBody):
		return refuser.New(refuser.KeyInBody, refuser.NotRun, "the body contains the presented key")
	case errors.Is(err, sender.ErrKeyInHeader):
		return refuser.New(refuser.BadRequest, refuser.NotRun, "a header field that would be forwarded contains the presented key")
	default:
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the path or query contains the presented key")
	}
}

func (r *run) checkQuarantine(ctx context.Context) *refuser.Refusal {
	s := r.dispatcher.cfg.Retrier.Suspicion(r.digest)
	if !s.Quarantined {
		return r.checkParts(ctx)
	}
	r.logDecision("quarantine", "refused")
	refusal := refuser.New(refuser.RequestQuarantined, r.outcome(), "backend servers died while they ran this request")
	refusal.RetryAfter = s.Until.Sub(r.dispatcher.cfg.Clock.Now())
	return refusal
}

// checkParts refuses a request with a quarantined part, unless it may try the part.
func (r *run) checkParts(ctx context.Context) *refuser.Refusal {
	if allowed, _ := r.partCheck.Allowed(ctx, r.attempts); allowed {
		return nil
	}
	r.logDecision("quarantine", "refused-part")
	return refuser.New(refuser.RequestQuarantined, r.outcome(), "backend servers died before they answered requests with a part of this prompt")
}

// markAnswerBegun records that a server has begun to answer.
func (r *run) markAnswerBegun() {
	if !r.answerBegun && len(r.parts) > 0 {
		r.dispatcher.cfg.Parts.RecordAnswer(r.parts)
	}
	r.answerBegun = true
}

func (r *run) admit(ctx context.Context) *refuser.Refusal {
	if r.request.Workspace == "" {
		return nil
	}
	a := r.dispatcher.cfg.Admitter.Admit(ctx, r.request.Workspace)
	if a.Admitted {
		return nil
	}
	if ctx.Err() != nil {
		return r.cancellationRefusal(ctx)
	}
	r.logDecision("admission", a.Reason)
	refusal := refuser.New(refuser.RateExceeded, refuser.NotRun, "the workspace has no token of its rate and burst now: "+a.Reason)
	refusal.RetryAfter = a.RetryAfter
	return refusal
}

// outcome returns Unknown once an attempt was dispatched, and NotRun before.
func (r *run) outcome() refuser.Outcome {
	if r.dispatched {
		return refuser.Unknown
	}
	return refuser.NotRun
}

// cancellationRefusal returns the refusal for a request whose context has ended.
func (r *run) cancellationRefusal(ctx context.Context) *refuser.Refusal {
	var cause *refuser.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		refusal := *cause
		refusal.Outcome = r.outcome()
		return &refusal
	}
	return r.callerGoneRefusal()
}

func (r *run) callerGoneRefusal() *refuser.Refusal {
	outcome := r.outcome()
	if r.completed {
		outcome = refuser.Ran
	}
	return refuser.New(refuser.CallerGone, outcome, "the caller closed its connection")
}

func (r *run) remaining() time.Duration {
	return r.deadline.Sub(r.dispatcher.cfg.Clock.Now())
}

func headOf(a RecordedAnswer) Head {
	h := Head{Status: a.Status}
	if a.ContentType != "" {
		h.Header = []sender.Field{{Name: "Content-Type", Value: a.ContentType}}
	}
	return h
}
