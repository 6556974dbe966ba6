package dispatcher

import (
	"context"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// maxRecordedBytes bounds the answer that is kept for resends.
	maxRecordedBytes = 16 << 10
	// finishTimeout bounds the record of an answer. After it the intent stays
	// in doubt, which is true.
	finishTimeout = 5 * time.Second
)

type intents interface {
	// Begin makes an intent durable, or finds the one with the same key.
	Begin(ctx context.Context, i Intent) IntentResult
	// Finish records how an intent that Begin called fresh has ended.
	Finish(ctx context.Context, i Intent, end IntentEnd) error
}

// An Intent announces a request with an idempotency key.
type Intent struct {
	Workspace     string
	Key           string
	ContentDigest string
}

// An IntentState says what is known of an intent.
type IntentState int

// The states of an intent.
const (
	IntentUnavailable IntentState = iota // Nothing could be made durable.
	IntentFresh                          // The intent is durable and the request may run.
	IntentDone                           // It ran; the answer is recorded unless it was too large.
	IntentInDoubt                        // It runs, or its end was never seen.
	IntentConflict                       // The key was used for other content.
)

// An IntentResult is what Begin found.
type IntentResult struct {
	State  IntentState
	Answer RecordedAnswer // When done.
}

// A RecordedAnswer is an answer that is kept for resends.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	TooLarge    bool // The body was not kept.
}

// An IntentEnd says how a request ended.
type IntentEnd struct {
	NotRun bool // The key may be used again.
	Answer RecordedAnswer
}

// beginIntent makes the intent of a request with an idempotency key durable.
// It reports whether the request is answered already.
func (r *run) beginIntent(ctx context.Context) (answered bool, refusal *refuser.Refusal) {
	if r.q.IdempotencyKey == "" {
		return false, nil
	}
	if r.d.cfg.Intents == nil {
		return false, refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "idempotency keys are not served here")
	}
	intent := Intent{Workspace: r.intentScope(), Key: r.q.IdempotencyKey, ContentDigest: r.digest}
	result := r.d.cfg.Intents.Begin(ctx, intent)
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

// intentScope keeps the keys of workspaces apart. Callers of an open route
// share a scope, which no workspace name can take because of its colon.
func (r *run) intentScope() string {
	if r.q.Workspace == "" {
		return "open:" + r.q.Route.Name
	}
	return r.q.Workspace
}

func (r *run) replay(a RecordedAnswer) *refuser.Refusal {
	if a.TooLarge {
		return refuser.New(refuser.AlreadyRan, refuser.Ran, "the request ran and its answer was too large to keep")
	}
	r.sent = true
	if err := r.w.Whole(headOf(a), a.Body); err != nil {
		return r.callerGone()
	}
	return nil
}

// finishIntent records the end of the request. An end that was not seen leaves
// the intent as it is.
func (r *run) finishIntent(ctx context.Context, refusal *refuser.Refusal) {
	if r.intent == nil {
		return
	}
	end := IntentEnd{Answer: r.recorded}
	switch {
	case r.whole:
	case refusal != nil && refusal.Outcome == refuser.NotRun:
		end = IntentEnd{NotRun: true}
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := r.d.cfg.Intents.Finish(ctx, *r.intent, end); err != nil {
		r.logDecision("intent", "end-not-recorded")
	}
}

// record keeps a part of the answer for resends.
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
