package runner

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/acceptor"
	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/recorder"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// An admission lets the dispatcher ask for rate tokens and batch permits.
type admission struct {
	admitter admitter
	borrower *limiter.Borrower // Of permits.
}

// Admit decides whether a request of a workspace may run.
func (a *admission) Admit(ctx context.Context, workspace string) dispatcher.Admission {
	d := a.admitter.Admit(ctx, workspace)
	return dispatcher.Admission{
		Admitted:   d.Admitted,
		Reason:     string(d.Reason),
		RetryAfter: d.RetryAfter,
	}
}

// AcquirePermit takes a batch permit of an engine.
func (a *admission) AcquirePermit(server string) (dispatcher.Permit, bool) {
	return a.borrower.AcquirePermit(server)
}

// sharedLoads are the loads of the fleet. A report of a peer can show that
// batch items have to yield.
type sharedLoads struct {
	*registrar.Fleet
	parts *parts // The dispatcher is made after the heartbeater.
}

// SetPeerLoads takes over the report of a peer.
func (l *sharedLoads) SetPeerLoads(instance string, loads []registrar.PeerLoad, expires time.Time) {
	l.Fleet.SetPeerLoads(instance, loads, expires)
	for _, load := range loads {
		l.parts.dispatcher.PreemptExcess(load.Server)
	}
}

// An intentDesk lets the dispatcher record intents.
type intentDesk struct {
	recorder *recorder.Recorder
}

var intentStates = map[recorder.Verdict]dispatcher.IntentState{
	recorder.Conflict: dispatcher.IntentConflict,
	recorder.Fresh:    dispatcher.IntentFresh,
	recorder.InDoubt:  dispatcher.IntentInDoubt,
	recorder.Replay:   dispatcher.IntentDone,
}

// Begin makes an intent durable, or finds the one with the same key.
func (d *intentDesk) Begin(ctx context.Context, i dispatcher.Intent) dispatcher.IntentResult {
	decision, err := d.recorder.Begin(ctx, recorder.Intent(i))
	if err != nil {
		return dispatcher.IntentResult{State: dispatcher.IntentUnavailable}
	}
	return dispatcher.IntentResult{
		State: intentStates[decision.Verdict],
		Answer: dispatcher.RecordedAnswer{
			Status:      decision.Answer.Status,
			ContentType: decision.Answer.ContentType,
			Body:        decision.Answer.Body,
			TooLarge:    decision.Answer.Omitted,
		},
	}
}

// Finish records how a fresh intent has ended.
func (d *intentDesk) Finish(ctx context.Context, i dispatcher.Intent, end dispatcher.IntentEnd) error {
	if end.NotRun {
		return d.recorder.Cancel(ctx, recorder.Intent(i))
	}
	return d.recorder.Finish(ctx, recorder.Intent(i), recorder.Answer{
		Status:      end.Answer.Status,
		ContentType: end.Answer.ContentType,
		Body:        end.Answer.Body,
		Omitted:     end.Answer.TooLarge,
	})
}

// A keyDesk finds the workspace of a key for batch calls.
type keyDesk struct {
	authenticator *authenticator.Authenticator
}

// Workspace returns the workspace of a known key.
func (d *keyDesk) Workspace(key string) (workspace string, refusal *refuser.Refusal) {
	id, verdict := d.authenticator.Lookup(key)
	return id.Workspace, acceptor.Credentials{Key: key, KeyStatus: verdict}.Refusal()
}

// A batchLine connects the batcher with the dispatcher and the route table.
type batchLine struct {
	dispatcher *dispatcher.Dispatcher
	fleet      *registrar.Fleet
}

// CheckRoute finds the route of an item and refuses routes that take no batch
// work.
func (l *batchLine) CheckRoute(item batcher.Item) (lane string, refusal *refuser.Refusal) {
	route, _, refusal := l.route(item)
	return route.Name, refusal
}

// RunItem makes one try of an item.
func (l *batchLine) RunItem(ctx context.Context, item batcher.Item) (batcher.ItemResult, error) {
	route, completion, refusal := l.route(item)
	if refusal != nil {
		return batcher.ItemResult{}, refusal
	}
	result, err := l.dispatcher.RunItem(ctx, dispatcher.Item{
		ID:        item.Job + "/" + item.CustomID,
		Workspace: item.Workspace,
		Route:     route,
		Path:      item.URL,
		Body:      item.Body,
		Prefix:    completion.Prefix,
	})
	if err != nil {
		return batcher.ItemResult{}, batchError(err)
	}
	return batcher.ItemResult{
		StatusCode: result.Status,
		Body:       result.Body,
		Tokens:     int64(result.Tokens),
	}, nil
}

func (l *batchLine) route(item batcher.Item) (route declarer.Route, c acceptor.Completion, refusal *refuser.Refusal) {
	target, err := url.Parse(item.URL)
	if err != nil || !isCompletionPath(target.Path) {
		return route, c, refuser.New(refuser.RouteNotBatchable, refuser.NotRun, "batch items use /v1/chat/completions or /v1/completions")
	}
	c, refusal = acceptor.ParseCompletion(item.Body)
	if refusal != nil {
		return route, c, refusal
	}
	if c.Stream {
		return route, c, refuser.New(refuser.BadRequest, refuser.NotRun, "a batch item cannot ask for a stream")
	}
	route, ok := l.fleet.Routes().BatchByModel(c.Model)
	if !ok {
		return route, c, refuser.New(refuser.RouteNotBatchable, refuser.NotRun, "no batch route leads to the model")
	}
	return route, c, nil
}

func isCompletionPath(path string) bool {
	path = strings.TrimSuffix(path, "/")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// batchError gives the dispatcher's word on a try that does not count in the
// batcher's terms.
func batchError(err error) error {
	switch {
	case errors.Is(err, dispatcher.ErrNoRoom):
		return batcher.ErrNoCapacity
	case errors.Is(err, dispatcher.ErrPreempted):
		return batcher.ErrYielded
	default:
		return err
	}
}
