package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// An assignment is a server whose load includes the request until release is
// called.
type assignment struct {
	server   *registrar.Server
	decision router.Decision
	isolated bool // The request runs alone.
	release  func()
}

// answerBegunEvents is the number of events after which a server has certainly begun to
// answer. One that crashes under a request may send the first ones.
const answerBegunEvents = 3

// tryServers makes attempts until one succeeds or no further attempt is allowed.
func (r *run) tryServers(ctx context.Context) *refuser.Refusal {
	for {
		if refusal := r.checkQuarantine(ctx); refusal != nil {
			return refusal
		}
		a, refusal := r.acquireServer(ctx)
		if refusal != nil {
			return refusal
		}
		r.attempts++
		r.logChoice(a.decision)
		if done, refusal := r.tryServer(ctx, a); done {
			return refusal
		}
	}
}

// tryServer makes one attempt. A server that ran a request alone is released only when
// a probe has shown whether it crashed: the next suspect would be sent to it, and a
// second crash would be counted against a request that caused none.
func (r *run) tryServer(ctx context.Context, a assignment) (done bool, refusal *refuser.Refusal) {
	release := sync.OnceFunc(a.release)
	defer release()
	err := r.attempt(ctx, a)
	if err == nil {
		return true, nil
	}
	if !a.isolated {
		release()
	}
	refusal = r.handleFailure(ctx, a.server, err)
	return refusal != nil, refusal
}

// acquireServer chooses a server and adds the request to its load.
func (r *run) acquireServer(ctx context.Context) (a assignment, refusal *refuser.Refusal) {
	pool, ok := r.dispatcher.cfg.Fleet.Pool(r.pool)
	if !ok {
		return a, r.noServerRefusal("no backend server is declared for the route")
	}
	if r.dispatcher.cfg.Retrier.Suspicion(r.digest).NeedsIsolation() {
		return r.acquireIsolated(ctx, pool)
	}
	decision, err := r.choose(pool)
	if err != nil {
		return r.acquireAfterSuspects(ctx, pool)
	}
	return r.assign(decision), nil
}

func (r *run) assign(decision router.Decision) assignment {
	s := decision.Server
	s.Begin(registrar.Online)
	r.dispatcher.preemptForOnline(s)
	return assignment{server: s, decision: decision, release: func() { r.dispatcher.endOnline(s) }}
}

// choose prefers servers that were not tried. If all of them were, it allows a
// second attempt on an eligible server, over a new connection.
func (r *run) choose(pool *registrar.Pool) (router.Decision, error) {
	q := router.Query{Class: registrar.Online, Prefix: r.request.Prefix, Exclude: r.triedServers}
	d, err := r.dispatcher.cfg.Router.Choose(pool, q)
	if err != nil && len(r.triedServers) > 0 {
		q.Exclude = nil
		return r.dispatcher.cfg.Router.Choose(pool, q)
	}
	return d, err
}

func (r *run) noServerRefusal(message string) *refuser.Refusal {
	r.logDecision("choice", "no-server")
	refusal := refuser.New(refuser.NoBackendServer, r.outcome(), message)
	refusal.RetryAfter = noServerRetryAfter
	return refusal
}

// errTemporaryStatus means that the server answered with a status code that may
// not recur on another server.
var errTemporaryStatus = errors.New("backend server answered with a temporary error status")

// attempt sends the request to one server and delivers its answer.
func (r *run) attempt(ctx context.Context, a assignment) error {
	out := r.outbound
	out.Address = a.server.Snapshot().Address
	out.NewConnection = out.NewConnection || r.attempts > 1 || r.isNonStreamingCompletion()
	out.FirstByteTimeout = r.firstByteTimeout()
	out.ProgressTimeout = deadlineOf(time.Duration(r.request.Route.Deadline))
	answer, err := r.dispatcher.cfg.Sender.Send(ctx, out)
	if err != nil {
		return err
	}
	defer answer.Close()
	r.dispatched = true
	r.dispatcher.observePause(a.server, answer)
	if isTemporary(answer.Status) && r.request.Route.Idempotent && r.decide(retrier.Dispatched, true).Retry {
		r.triedServers = append(r.triedServers, a.server.Name())
		return errTemporaryStatus
	}
	return r.deliver(answer)
}

// isNonStreamingCompletion reports whether the answer starts only after all of
// it was generated. A slow answer then looks like a stalled connection, so the
// request gets a new connection and its full deadline.
func (r *run) isNonStreamingCompletion() bool {
	return r.request.Route.Model != "" && !r.request.Stream
}

// firstByteTimeout leaves an idempotent request time for a second attempt, so
// that one stalled connection or server does not use up its deadline.
func (r *run) firstByteTimeout() time.Duration {
	remaining := r.remaining()
	if r.request.Route.Idempotent && r.attempts == 1 && !r.isNonStreamingCompletion() {
		return remaining / 2
	}
	return remaining
}

// isTemporary reports whether the status code blames the server and not the
// request.
func isTemporary(status int) bool {
	const tooManyRequests, badGateway, unavailable, gatewayTimeout = 429, 502, 503, 504
	switch status {
	case tooManyRequests, badGateway, unavailable, gatewayTimeout:
		return true
	default:
		return false
	}
}

// deliver writes the answer to the caller. The error is a *sender.Failure or a
// writerError.
func (r *run) deliver(a *sender.Answer) error {
	head := Head{Status: a.Status, Header: a.Header}
	r.recorded = RecordedAnswer{Status: a.Status, ContentType: a.ContentType()}
	if !a.Stream {
		r.record(a.Body)
		r.markCompleted()
		r.observeFirstByte()
		r.answerStarted = true
		return r.wrapWriterError(r.writer.Whole(head, a.Body))
	}
	return r.deliverStream(head, a)
}

// deliverStream starts the stream only when the first event has arrived,
// because until then the request can be retried on another server.
func (r *run) deliverStream(head Head, a *sender.Answer) error {
	event, err := a.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	r.observeFirstByte()
	r.answerStarted = true
	if err := r.writer.Begin(head); r.endsRun(err) {
		return writerError{err}
	}
	for n := 1; err == nil; n++ {
		if n == answerBegunEvents {
			r.markAnswerBegun()
		}
		r.record(event)
		if err := r.writer.Event(event); r.endsRun(err) {
			return writerError{err}
		}
		event, err = a.Next()
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	r.markCompleted()
	return r.wrapWriterError(r.writer.End())
}

// markCompleted records that the request ran to its end, and clears any
// suspicion that it crashes servers.
func (r *run) markCompleted() {
	r.completed = true
	r.markAnswerBegun()
	r.dispatcher.cfg.Retrier.ClearSuspicion(r.digest)
}

// endsRun reports whether an error of the writer ends the run. A request with an
// intent continues, so that a resend finds the recorded answer.
func (r *run) endsRun(err error) bool {
	return err != nil && r.intent == nil
}

// A writerError is an error of the Writer, not of the server.
type writerError struct {
	error
}

func (r *run) wrapWriterError(err error) error {
	if err == nil {
		return nil
	}
	return writerError{err}
}

// handleFailure records a failed attempt. It returns nil if the request may be
// retried.
func (r *run) handleFailure(ctx context.Context, s *registrar.Server, err error) *refuser.Refusal {
	var writeErr writerError
	var failure *sender.Failure
	switch {
	case errors.As(err, &writeErr):
		return r.callerGoneRefusal()
	case errors.Is(err, errTemporaryStatus):
		return nil
	case !errors.As(err, &failure):
		return refuser.New(refuser.UpstreamFailed, refuser.Unknown, "the attempt failed")
	}
	r.dispatched = r.dispatched || failure.Dispatched
	r.triedServers = append(r.triedServers, s.Name())
	r.dispatcher.instruments.countFailure(r.request.Route.Name, failure.Cause)
	crashed := r.dispatcher.handleServerFailure(ctx, s, failure, r.digest)
	if crashed && !r.answerBegun && len(r.parts) > 0 {
		r.dispatcher.cfg.Parts.RecordLoss(r.parts, s.Name(), r.digest)
	}
	if failure.Cause == sender.CauseCancelled {
		return r.cancellationRefusal(ctx)
	}
	d := r.decide(phaseOf(failure, r.answerStarted), false)
	if d.Retry {
		return nil
	}
	return r.upstreamRefusal(failure, d)
}

func phaseOf(f *sender.Failure, sent bool) retrier.Phase {
	switch {
	case sent:
		return retrier.FirstByteSent
	case f.Dispatched:
		return retrier.Dispatched
	default:
		return retrier.BeforeDispatch
	}
}

func (r *run) decide(phase retrier.Phase, ended bool) retrier.Decision {
	d := r.dispatcher.cfg.Retrier.Decide(retrier.Attempt{
		Route:                r.request.Route.Name,
		Idempotent:           r.request.Route.Idempotent,
		Phase:                phase,
		PreviouslyDispatched: r.dispatched,
		Completed:            ended,
		Number:               r.attempts,
		Remaining:            r.remaining(),
	})
	r.logDecision("retry", string(d.Reason))
	r.dispatcher.instruments.countRetry(r.request.Route.Name, d)
	return d
}

func (r *run) upstreamRefusal(f *sender.Failure, d retrier.Decision) *refuser.Refusal {
	switch {
	case f.Cause == sender.CauseTimeout, d.Reason == retrier.ReasonDeadline:
		return refuser.New(refuser.DeadlineExceeded, d.Outcome, "the backend server made no progress before the deadline")
	case d.Outcome == refuser.NotRun:
		return refuser.New(refuser.UpstreamFailed, d.Outcome, "no connection to a backend server could be made")
	case r.answerStarted:
		return refuser.New(refuser.UpstreamFailed, d.Outcome, "the answer was cut")
	default:
		return refuser.New(refuser.UpstreamFailed, d.Outcome, "the backend server gave no whole answer")
	}
}
