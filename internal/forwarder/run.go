package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// maxRefusedTries bounds the servers that are asked one after the other
	// while each says that it did not run the request.
	maxRefusedTries = 4
	// goalsToWait is the expected wait for a place, in parts of the route's
	// goal, beyond which a request is refused: it would be far too late, and so
	// would those behind it.
	goalsToWait = 2
	// minWait is the least wait that counts as too long, for routes with short
	// goals.
	minWait = 250 * time.Millisecond
	// retryAfterFull tells a caller when a fleet that is full has room again.
	retryAfterFull = 300 * time.Millisecond
	// retryAfterNoServer tells a caller when a missing server may be there.
	retryAfterNoServer = 500 * time.Millisecond
	// goalsOfSilence is the silence, in goals, after which a request that may
	// run again goes to another server.
	goalsOfSilence = 3
	// minSilence is the least silence that counts as one.
	minSilence = 300 * time.Millisecond
)

// A run is one request on its way through the fleet. One goroutine uses it.
type run struct {
	f *Forwarder
	q *Request

	ctx       context.Context
	placement *balancer.Placement
	stream    Stream
	after     string   // ID of the last event that was handed over.
	attempts  int      // Servers that ran the request, or may have.
	refused   int      // Servers that said that they did not run it.
	tried     []string // IDs of servers that failed.
	events    int      // Events handed over.
	fresh     int      // Events of the last server among them.
	resumes   int
	firstByte time.Duration // From arrival to the first byte handed over.
	cause     string        // Of the last failure.
	last      *Answer       // The last failure that a server answered with.
	server    string        // ID of the last server.
	load      int           // Of the last server before this request.
	digest    string        // Of the content.
	ended     bool
}

func (r *run) now() time.Time { return r.f.cfg.Clock.Now() }

func (r *run) remaining() time.Duration { return r.q.Deadline.Sub(r.now()) }

// begin makes attempts until one answers or nothing is left to try.
func (r *run) begin(ctx context.Context) (*Delivery, *refuser.Refusal) {
	r.ctx = ctx
	answer, refusal := r.try()
	if refusal != nil {
		return nil, refusal
	}
	d := &Delivery{Status: answer.Status, Header: answer.Header, Body: answer.Body, run: r}
	if answer.Stream == nil {
		r.release(balancer.OutcomeDone)
		r.markFirstByte()
		return d, nil
	}
	d.stream = true
	r.stream = answer.Stream
	return d, nil
}

func (r *run) markFirstByte() {
	if r.firstByte == 0 {
		r.firstByte = r.now().Sub(r.q.Arrived)
	}
}

// try places and sends the request until a server answers.
func (r *run) try() (*Answer, *refuser.Refusal) {
	for {
		if refusal := r.obstacle(); refusal != nil {
			return r.fallBack(refusal)
		}
		answer, err := r.attempt()
		if err != nil {
			r.learnFailure(err)
			continue
		}
		switch answer.Verdict {
		case VerdictAnswered, VerdictRejected:
			return answer, nil
		case VerdictFailed:
			r.attempts++
			r.last, r.cause = answer, "server-failed"
			r.exclude(balancer.OutcomeFailed)
		case VerdictMisdirected:
			r.refused++
			r.cause = "misdirected"
			r.exclude(balancer.OutcomeMisdirected)
		case VerdictNotRun:
			r.refused++
			r.cause = "server-full"
			r.exclude(balancer.OutcomeFull)
		}
	}
}

// fallBack hands over the failure that a server answered with where there is
// one, and refuses otherwise.
func (r *run) fallBack(refusal *refuser.Refusal) (*Answer, *refuser.Refusal) {
	if r.last != nil && r.ctx.Err() == nil && r.events == 0 {
		return r.last, nil
	}
	return nil, refusal
}

// obstacle says why no other attempt may be made, and chooses the server of the
// next one otherwise.
func (r *run) obstacle() *refuser.Refusal {
	switch {
	case r.ctx.Err() != nil:
		return r.refuse(refuser.CallerGone, "the caller closed its connection", 0)
	case r.remaining() <= 0:
		return r.refuse(refuser.DeadlineExceeded, "no answer came before the deadline", 0)
	case r.attempts > 0 && !r.q.Route.CanRepeat():
		return r.refuse(refuser.UpstreamFailed, "the backend server gave no whole answer", 0)
	case r.attempts >= max(r.q.Route.MaxAttempts, 1):
		return r.refuse(refuser.UpstreamFailed, "no backend server gave a whole answer", 0)
	case r.refused >= maxRefusedTries:
		return r.refuse(refuser.NoBackendServer, "the backend servers are full", retryAfterFull)
	case r.f.cfg.Suspects.Suspicion(r.digest).Quarantined:
		return r.refuse(refuser.RequestQuarantined, "backend servers died while they ran this request", 0)
	}
	placement, err := r.f.cfg.Placer.Acquire(balancer.Query{
		Service: r.q.Service,
		Class:   balancer.Online,
		Exclude: r.tried,
		MaxWait: max(goalsToWait*r.q.Route.Goal, minWait),
	})
	switch {
	case errors.Is(err, balancer.ErrFull):
		return r.refuse(refuser.NoBackendServer, "the backend servers have more work than they finish in time", retryAfterFull)
	case err != nil && len(r.tried) > 0:
		r.tried = r.tried[:0] // All were tried; the next failure counts against the attempts.
		r.refused++
		return r.obstacle()
	case err != nil:
		return r.refuse(refuser.NoBackendServer, "no backend server takes requests", retryAfterNoServer)
	}
	r.placement = placement
	r.server, r.load = placement.Backend.ID, placement.Load
	r.fresh = 0
	return nil
}

// refuse says whether the request may have run. A promise that it did not is
// made only where no server was handed it, or each said that it did not run it.
func (r *run) refuse(code refuser.Code, message string, retryAfter time.Duration) *refuser.Refusal {
	outcome := refuser.NotRun
	if r.attempts > 0 {
		outcome = refuser.Unknown
	}
	refusal := refuser.New(code, outcome, message)
	if outcome == refuser.NotRun {
		refusal.RetryAfter = retryAfter
	}
	return refusal
}

func (r *run) attempt() (*Answer, error) {
	placement := r.placement
	silence := r.f.cfg.Clock.AfterFunc(max(goalsOfSilence*r.q.Route.Goal, minSilence), placement.ReportSilence)
	defer silence.Stop()
	return r.f.cfg.Engines.Send(r.ctx, Attempt{
		Request:   r.q,
		Backend:   r.placement.Backend,
		Remaining: r.remaining(),
		FirstByte: r.firstByteWait(),
		After:     r.after,
	})
}

// firstByteWait leaves a request that may run again the time for it.
func (r *run) firstByteWait() time.Duration {
	left := r.remaining()
	if !r.q.Route.CanRepeat() || r.attempts+1 >= r.q.Route.MaxAttempts {
		return left
	}
	return min(left, max(goalsOfSilence*r.q.Route.Goal, minSilence))
}

// learnFailure counts a failed attempt.
func (r *run) learnFailure(err error) {
	var failure *sender.Failure
	if !errors.As(err, &failure) {
		failure = &sender.Failure{Cause: sender.CauseMalformed, Dispatched: true, Err: err}
	}
	r.cause = string(failure.Cause)
	if failure.Dispatched {
		r.attempts++
	} else {
		r.refused++
	}
	if deathlike(failure) && r.fresh == 0 {
		r.f.cfg.Suspects.RecordCrash(r.digest, r.server)
	}
	r.exclude(outcomeOf(failure))
}

// deathlike reports whether the failure looks like the death of the server. A
// request that makes servers die does so before its first event.
func deathlike(f *sender.Failure) bool {
	return f.Dispatched && f.Cause == sender.CauseConnectionLost
}

func outcomeOf(f *sender.Failure) balancer.Outcome {
	switch f.Cause {
	case sender.CauseCancelled:
		return balancer.OutcomeDone
	case sender.CauseDial:
		return balancer.OutcomeUnreachable
	case sender.CauseNoFreeConnection:
		return balancer.OutcomeFull
	case sender.CauseTimeout:
		return balancer.OutcomeSilent
	default:
		return balancer.OutcomeLost
	}
}

// exclude ends the placement and leaves its server out of later choices.
func (r *run) exclude(outcome balancer.Outcome) {
	r.reportAttempt(outcome)
	r.tried = append(r.tried, r.server)
	r.release(outcome)
}

func (r *run) release(outcome balancer.Outcome) {
	if r.placement != nil {
		r.placement.Release(outcome)
		r.placement = nil
	}
}

// next returns the next event. A stream that was cut and may be resumed goes
// on at another server.
func (r *run) next() ([]byte, error) {
	for {
		event, err := r.stream.Next()
		switch {
		case err == nil:
			r.markFirstByte()
			r.events++
			r.fresh++
			if event.ID != "" {
				r.after = event.ID
			}
			return event.Raw, nil
		case errors.Is(err, io.EOF):
			r.finish(balancer.OutcomeDone, nil)
			return nil, io.EOF
		}
		if resumeErr := r.resume(err); resumeErr != nil {
			return nil, resumeErr
		}
	}
}

// resume goes on after the last event that was handed over, or says why the
// stream ends here.
func (r *run) resume(err error) error {
	r.stream.Close()
	r.stream = nil
	r.learnFailure(err)
	if r.q.Route.Kind != steerer.KindStream || !r.q.Route.Resumable {
		refusal := r.refuse(refuser.UpstreamFailed, "the answer was cut", 0)
		r.finish(balancer.OutcomeLost, refusal)
		return refusal
	}
	answer, refusal := r.try()
	switch {
	case refusal != nil:
		r.finish(balancer.OutcomeDone, refusal)
		return refusal
	case answer.Stream == nil:
		refusal := r.refuse(refuser.UpstreamFailed, "the answer could not be resumed", 0)
		r.finish(balancer.OutcomeDone, refusal)
		return refusal
	}
	r.resumes++
	r.stream = answer.Stream
	return nil
}

func (r *run) finish(outcome balancer.Outcome, refusal *refuser.Refusal) {
	if r.ended {
		return
	}
	r.ended = true
	r.release(outcome)
	if outcome == balancer.OutcomeDone && refusal == nil {
		r.f.cfg.Suspects.ClearSuspicion(r.digest)
	}
	r.report(nil, refusal)
}

// close ends a stream that the caller does not take any more.
func (r *run) close() {
	if r.stream != nil {
		r.stream.Close()
	}
	if !r.ended {
		r.finish(balancer.OutcomeDone, r.refuse(refuser.CallerGone, "the caller closed its connection", 0))
	}
}
