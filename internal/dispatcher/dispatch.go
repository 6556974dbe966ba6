package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// defaultDeadline is the deadline of routes that declare none.
	defaultDeadline = 30 * time.Second
	// noServerRetryAfter is about the time in which probes find a server again.
	noServerRetryAfter = time.Second
)

// A run is one online request on its way. One goroutine works on it.
type run struct {
	d        *Dispatcher
	q        Request
	w        Writer
	outbound sender.Request
	pool     string
	digest   string // Of the content.
	started  time.Time
	deadline time.Time // For the first byte.

	attempts   int
	tried      []string // Names of servers that failed.
	handedOver bool     // An attempt was dispatched.
	sent       bool     // A part of the answer has reached the caller.
	whole      bool     // The end of the answer was seen.
	intent     *Intent  // Set while the intent is this request's to finish.
	recorded   RecordedAnswer
}

// Dispatch runs one request. It returns nil after the answer was handed over
// whole, and otherwise why not.
func (d *Dispatcher) Dispatch(ctx context.Context, q Request, w Writer) *refuser.Refusal {
	r := d.newRun(q, w)
	ctx, stop := r.attach(ctx)
	defer stop()
	refusal := r.serve(ctx)
	r.report(refusal)
	return refusal
}

func (d *Dispatcher) newRun(q Request, w Writer) *run {
	now := d.cfg.Clock.Now()
	r := &run{d: d, q: q, w: w, outbound: q.outbound(), pool: registrar.PoolName(q.Route), started: now}
	r.deadline = now.Add(deadlineOf(time.Duration(q.Route.Deadline)))
	r.digest = contentOf(r.pool, r.outbound).Digest()
	return r
}

func deadlineOf(declared time.Duration) time.Duration {
	if declared <= 0 {
		return defaultDeadline
	}
	return declared
}

// attach derives the context of the run. A request with an idempotency key goes
// on without its caller, so that a resend finds the recorded answer.
func (r *run) attach(ctx context.Context) (context.Context, func()) {
	attached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if r.q.IdempotencyKey == "" || !errors.Is(cause, ErrCallerGone) {
			cancel(cause)
		}
	})
	return attached, func() {
		stop()
		cancel(context.Canceled)
	}
}

func (r *run) serve(ctx context.Context) *refuser.Refusal {
	if refusal := r.checkKeys(); refusal != nil {
		return refusal
	}
	if refusal := r.checkQuarantine(); refusal != nil {
		return refusal
	}
	if refusal := r.admit(ctx); refusal != nil {
		return refusal
	}
	answered, refusal := r.beginIntent(ctx)
	if answered || refusal != nil {
		return refusal
	}
	r.d.cfg.Retrier.CountRequest(r.q.Route.Name)
	refusal = r.tryServers(ctx)
	r.finishIntent(ctx, refusal)
	return refusal
}

// checkKeys refuses a request that would show a key to a backend server.
func (r *run) checkKeys() *refuser.Refusal {
	err := sender.CheckKeys(r.outbound, r.q.Keys)
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

func (r *run) checkQuarantine() *refuser.Refusal {
	s := r.d.cfg.Retrier.Suspicion(r.digest)
	if !s.Quarantined {
		return nil
	}
	r.logDecision("quarantine", "refused")
	refusal := refuser.New(refuser.RequestQuarantined, r.outcome(), "backend servers died while they ran this request")
	refusal.RetryAfter = s.Until.Sub(r.d.cfg.Clock.Now())
	return refusal
}

func (r *run) admit(ctx context.Context) *refuser.Refusal {
	if r.q.Workspace == "" {
		return nil
	}
	a := r.d.cfg.Admitter.Admit(ctx, r.q.Workspace)
	if a.Admitted {
		return nil
	}
	if ctx.Err() != nil {
		return r.cancelled(ctx)
	}
	r.logDecision("admission", a.Reason)
	refusal := refuser.New(refuser.RateExceeded, refuser.NotRun, "the workspace has no token of its rate and burst now: "+a.Reason)
	refusal.RetryAfter = a.RetryAfter
	return refusal
}

// outcome is what is true of the request before or after its attempts, when no
// end was seen.
func (r *run) outcome() refuser.Outcome {
	if r.handedOver {
		return refuser.Unknown
	}
	return refuser.NotRun
}

// cancelled is the refusal after the context of the request has ended.
func (r *run) cancelled(ctx context.Context) *refuser.Refusal {
	var cause *refuser.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		refusal := *cause
		refusal.Outcome = r.outcome()
		return &refusal
	}
	return r.callerGone()
}

func (r *run) callerGone() *refuser.Refusal {
	outcome := r.outcome()
	if r.whole {
		outcome = refuser.Ran
	}
	return refuser.New(refuser.CallerGone, outcome, "the caller closed its connection")
}

func (r *run) remaining() time.Duration {
	return r.deadline.Sub(r.d.cfg.Clock.Now())
}

func headOf(a RecordedAnswer) Head {
	h := Head{Status: a.Status}
	if a.ContentType != "" {
		h.Header = []sender.Field{{Name: "Content-Type", Value: a.ContentType}}
	}
	return h
}
