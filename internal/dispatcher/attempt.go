package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A taken server is counted as in use until it is released.
type taken struct {
	server   *registrar.Server
	decision router.Decision
	release  func()
}

// tryServers makes attempts until one succeeds or nothing is left to try.
func (r *run) tryServers(ctx context.Context) *refuser.Refusal {
	for {
		if refusal := r.checkQuarantine(); refusal != nil {
			return refusal
		}
		t, refusal := r.take(ctx)
		if refusal != nil {
			return refusal
		}
		r.attempts++
		r.logChoice(t.decision)
		err := r.attempt(ctx, t)
		if err == nil {
			return nil
		}
		if refusal := r.afterFailure(ctx, t.server, err); refusal != nil {
			return refusal
		}
	}
}

// take chooses a server and counts the request on it.
func (r *run) take(ctx context.Context) (t taken, refusal *refuser.Refusal) {
	pool, ok := r.d.cfg.Fleet.Pool(r.pool)
	if !ok {
		return t, r.noServer("no backend server is declared for the route")
	}
	if r.d.cfg.Retrier.Suspicion(r.digest).RunAlone() {
		return r.takeAlone(ctx, pool)
	}
	decision, err := r.choose(pool)
	if err != nil {
		return r.takeAfterSuspects(ctx, pool)
	}
	return r.takeChosen(decision), nil
}

func (r *run) takeChosen(decision router.Decision) taken {
	s := decision.Server
	s.Begin(registrar.Online)
	r.d.makeRoom(s)
	return taken{server: s, decision: decision, release: func() { r.d.endOnline(s) }}
}

// choose prefers servers that were not tried. Where all were, one that still
// takes requests gets a second attempt, on a new connection.
func (r *run) choose(pool *registrar.Pool) (router.Decision, error) {
	q := router.Query{Class: registrar.Online, Prefix: r.q.Prefix, Exclude: r.tried}
	d, err := r.d.cfg.Router.Choose(pool, q)
	if err != nil && len(r.tried) > 0 {
		q.Exclude = nil
		return r.d.cfg.Router.Choose(pool, q)
	}
	return d, err
}

func (r *run) noServer(message string) *refuser.Refusal {
	r.logDecision("choice", "no-server")
	refusal := refuser.New(refuser.NoBackendServer, r.outcome(), message)
	refusal.RetryAfter = noServerRetryAfter
	return refusal
}

// errBadStatus means that the server answered with a status that another
// server may not give.
var errBadStatus = errors.New("the server cannot serve the request now")

// attempt sends the request to one server and hands over its answer.
func (r *run) attempt(ctx context.Context, t taken) error {
	defer t.release()
	out := r.outbound
	out.Address = t.server.Snapshot().Address
	out.Fresh = out.Fresh || r.attempts > 1 || r.isWholeCompletion()
	out.FirstByte = r.firstByteWait()
	out.Progress = deadlineOf(time.Duration(r.q.Route.Deadline))
	answer, err := r.d.cfg.Sender.Send(ctx, out)
	if err != nil {
		return err
	}
	defer answer.Close()
	r.handedOver = true
	if isTemporary(answer.Status) && r.q.Route.Idempotent && r.decide(retrier.Dispatched, true).Retry {
		r.tried = append(r.tried, t.server.Name())
		return errBadStatus
	}
	return r.deliver(answer)
}

// isWholeCompletion reports whether the first byte of the answer comes only
// when all of it was generated. Then a slow answer cannot be told from a silent
// connection: the request gets a new connection and all of its time.
func (r *run) isWholeCompletion() bool {
	return r.q.Route.Model != "" && !r.q.Stream
}

// firstByteWait leaves an idempotent request the time for a second attempt, so
// that one silent connection or stalled server does not use up its deadline.
func (r *run) firstByteWait() time.Duration {
	remaining := r.remaining()
	if r.q.Route.Idempotent && r.attempts == 1 && !r.isWholeCompletion() {
		return remaining / 2
	}
	return remaining
}

// isTemporary reports whether the status says that the server, and not the
// request, is at fault.
func isTemporary(status int) bool {
	const tooManyRequests, badGateway, unavailable, gatewayTimeout = 429, 502, 503, 504
	switch status {
	case tooManyRequests, badGateway, unavailable, gatewayTimeout:
		return true
	default:
		return false
	}
}

// deliver hands the answer to the caller. An error is a *sender.Failure, or
// one of the writer.
func (r *run) deliver(a *sender.Answer) error {
	head := Head{Status: a.Status, Header: a.Header}
	r.recorded = RecordedAnswer{Status: a.Status, ContentType: a.ContentType()}
	if !a.Stream {
		r.record(a.Body)
		r.ranWhole()
		r.observeFirstByte()
		r.sent = true
		return r.writerError(r.w.Whole(head, a.Body))
	}
	return r.deliverStream(head, a)
}

// deliverStream begins the stream with its first event, because up to then
// another server may still answer.
func (r *run) deliverStream(head Head, a *sender.Answer) error {
	event, err := a.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	r.observeFirstByte()
	r.sent = true
	if err := r.w.Begin(head); r.stops(err) {
		return writerFailure{err}
	}
	for err == nil {
		r.record(event)
		if err := r.w.Event(event); r.stops(err) {
			return writerFailure{err}
		}
		event, err = a.Next()
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	r.ranWhole()
	return r.writerError(r.w.End())
}

// ranWhole notes that the request ran to its end, which also acquits it.
func (r *run) ranWhole() {
	r.whole = true
	r.d.cfg.Retrier.Acquit(r.digest)
}

// stops reports whether an error of the writer ends the run. With an intent it
// goes on, so that a resend finds the recorded answer.
func (r *run) stops(err error) bool {
	return err != nil && r.intent == nil
}

// A writerFailure is an error of the Writer, as opposed to one of the server.
type writerFailure struct {
	error
}

func (r *run) writerError(err error) error {
	if err == nil {
		return nil
	}
	return writerFailure{err}
}

// afterFailure learns from a failed attempt and returns why there is no other.
func (r *run) afterFailure(ctx context.Context, s *registrar.Server, err error) *refuser.Refusal {
	var gone writerFailure
	var failure *sender.Failure
	switch {
	case errors.As(err, &gone):
		return r.callerGone()
	case errors.Is(err, errBadStatus):
		return nil
	case !errors.As(err, &failure):
		return refuser.New(refuser.UpstreamFailed, refuser.Unknown, "the attempt failed")
	}
	r.handedOver = r.handedOver || failure.Dispatched
	r.tried = append(r.tried, s.Name())
	r.d.instruments.countFailure(r.q.Route.Name, failure.Cause)
	r.d.learn(ctx, s, failure, r.digest)
	if failure.Cause == sender.CauseCancelled {
		return r.cancelled(ctx)
	}
	d := r.decide(phaseOf(failure, r.sent), false)
	if d.Retry {
		return nil
	}
	return r.upstreamFailed(failure, d)
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
	d := r.d.cfg.Retrier.Decide(retrier.Attempt{
		Route:      r.q.Route.Name,
		Idempotent: r.q.Route.Idempotent,
		Phase:      phase,
		HandedOver: r.handedOver,
		Ended:      ended,
		Number:     r.attempts,
		Remaining:  r.remaining(),
	})
	r.logDecision("retry", string(d.Reason))
	r.d.instruments.countRetry(r.q.Route.Name, d)
	return d
}

func (r *run) upstreamFailed(f *sender.Failure, d retrier.Decision) *refuser.Refusal {
	switch {
	case f.Cause == sender.CauseSilent, d.Reason == retrier.ReasonDeadline:
		return refuser.New(refuser.DeadlineExceeded, d.Outcome, "the backend server made no progress before the deadline")
	case d.Outcome == refuser.NotRun:
		return refuser.New(refuser.UpstreamFailed, d.Outcome, "no connection to a backend server could be made")
	case r.sent:
		return refuser.New(refuser.UpstreamFailed, d.Outcome, "the answer was cut")
	default:
		return refuser.New(refuser.UpstreamFailed, d.Outcome, "the backend server gave no whole answer")
	}
}
