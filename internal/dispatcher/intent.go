package dispatcher

import (
	"context"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// maxRecordedBytes bounds the answer that is kept for resends.
	maxRecordedBytes = 16 << 10
	// finishTimeout bounds the time to record an answer. After a timeout the
	// intent stays in doubt, which is correct: its end may not be stored.
	finishTimeout = 5 * time.Second
)

type intentStore interface {
	// Begin stores an intent durably, or finds the one with the same key.
	Begin(ctx context.Context, i Intent) IntentResult
	// Finish records the end of an intent for which Begin returned IntentFresh.
	Finish(ctx context.Context, i Intent, end IntentEnd) error
}

// An Intent is the durable record of a request with an idempotency key, written
// before the request runs.
type Intent struct {
	Workspace     string
	Key           string
	ContentDigest string
}

// An IntentState is the progress of an intent.
type IntentState int

// The states of an intent.
const (
	IntentUnavailable IntentState = iota // The intent could not be stored.
	IntentFresh                          // The intent is durable and the request may run.
	IntentDone                           // The request ran; its answer is recorded unless it was too large.
	IntentInDoubt                        // The request is running, or its end is unknown.
	IntentConflict                       // The key was used for a request with other content.
)

// An IntentResult is the result of Begin.
type IntentResult struct {
	State  IntentState
	Answer RecordedAnswer // Set if State is IntentDone.
}

// A RecordedAnswer is an answer that is kept for resends.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	TooLarge    bool // The body was not kept.
}

// An IntentEnd describes how a request ended.
type IntentEnd struct {
	NotRun bool // The key may be used again.
	Answer RecordedAnswer
}

// beginIntent stores the intent of a request with an idempotency key. It reports
// whether the request was answered from a recorded answer.
func (r *run) beginIntent(ctx context.Context) (answered bool, refusal *refuser.Refusal) {
	if r.request.IdempotencyKey == "" {
		return false, nil
	}
	if r.dispatcher.cfg.Intents == nil {
		return false, refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "idempotency keys are not served here")
	}
	intent := Intent{Workspace: r.intentScope(), Key: r.request.IdempotencyKey, ContentDigest: r.digest}
	result := r.dispatcher.cfg.Intents.Begin(ctx, intent)
	r.logDecision("intent", intentReasons[result.State])
	switch result.State {
	case IntentFresh:
		r.intent = &intent
		return false, nil
	case IntentDone:
		return true, r.replay(result.Answer)
	case IntentInDoubt:
		return false, refuser.New(refuser.InDoubt, refuser.Unknown, "an earlier request with this idempotency key has no known end")
	case IntentConflict:
		return false, refuser.New(refuser.IdempotencyConflict, refuser.NotRun, "the idempotency key was used for other content")
	default:
		return false, refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the idempotency key cannot be made durable")
	}
}

var intentReasons = map[IntentState]string{
	IntentUnavailable: "unavailable",
	IntentFresh:       "fresh",
	IntentDone:        "done",
	IntentInDoubt:     "in-doubt",
	IntentConflict:    "conflict",
}

// intentScope separates the idempotency keys of workspaces. Callers of an open
// route share a scope; its colon prevents a collision with a workspace name.
func (r *run) intentScope() string {
	if r.request.Workspace == "" {
		return "open:" + r.request.Route.Name
	}
	return r.request.Workspace
}

func (r *run) replay(a RecordedAnswer) *refuser.Refusal {
	if a.TooLarge {
		return refuser.New(refuser.AlreadyRan, refuser.Ran, "the request ran and its answer was too large to keep")
	}
	r.answerStarted = true
	if err := r.writer.Whole(headOf(a), a.Body); err != nil {
		return r.callerGoneRefusal()
	}
	return nil
}

// finishIntent records the end of the request. If its end is unknown, the intent
// is left unchanged.
func (r *run) finishIntent(ctx context.Context, refusal *refuser.Refusal) {
	if r.intent == nil {
		return
	}
	end := IntentEnd{Answer: r.recorded}
	switch {
	case r.completed:
	case refusal != nil && refusal.Outcome == refuser.NotRun:
		end = IntentEnd{NotRun: true}
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := r.dispatcher.cfg.Intents.Finish(ctx, *r.intent, end); err != nil {
		r.logDecision("intent", "end-not-recorded")
	}
}

// record appends a part of the answer to the one that is kept for resends.
func (r *run) record(part []byte) {
	if r.intent == nil || r.recorded.TooLarge {
		return
	}
	if len(r.recorded.Body)+len(part) > maxRecordedBytes {
		r.recorded.Body = nil
		r.recorded.TooLarge = true
		return
	}
	r.recorded.Body = append(r.recorded.Body, part...)
}
