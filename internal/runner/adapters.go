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

// An admissionAdapter admits requests and grants batch permits to the dispatcher.
type admissionAdapter struct {
	admitter admitter
	borrower *limiter.Borrower // Borrows batch permits.
}

// Admit decides whether a request is within the rate limit of its workspace.
func (a *admissionAdapter) Admit(ctx context.Context, workspace string) dispatcher.Admission {
	d := a.admitter.Admit(ctx, workspace)
	return dispatcher.Admission{
		Admitted:   d.Admitted,
		Reason:     string(d.Reason),
		RetryAfter: d.RetryAfter,
	}
}

// AcquirePermit acquires a batch permit of a backend server.
func (a *admissionAdapter) AcquirePermit(server string) (dispatcher.Permit, bool) {
	return a.borrower.AcquirePermit(server)
}

// fleetLoads records the loads of the fleet, and preempts batch items when a
// peer's report shows that a backend server is over capacity.
type fleetLoads struct {
	*registrar.Fleet
	components *components // Holds the dispatcher, which is created after the heartbeater.
}

// SetPeerLoads records the loads that a peer reports.
func (l *fleetLoads) SetPeerLoads(instance string, loads []registrar.PeerLoad, expires time.Time) {
	l.Fleet.SetPeerLoads(instance, loads, expires)
	for _, load := range loads {
		l.components.dispatcher.PreemptExcess(load.Server)
	}
}

// An intentStore adapts the recorder to the dispatcher.
type intentStore struct {
	recorder *recorder.Recorder
}

var intentStates = map[recorder.DecisionKind]dispatcher.IntentState{
	recorder.Conflict: dispatcher.IntentConflict,
	recorder.Fresh:    dispatcher.IntentFresh,
	recorder.InDoubt:  dispatcher.IntentInDoubt,
	recorder.Replay:   dispatcher.IntentDone,
}

// Begin persists an intent, or finds the existing one with the same key.
func (s *intentStore) Begin(ctx context.Context, i dispatcher.Intent) dispatcher.IntentResult {
	decision, err := s.recorder.Begin(ctx, recorder.Intent(i))
	if err != nil {
		return dispatcher.IntentResult{State: dispatcher.IntentUnavailable}
	}
	return dispatcher.IntentResult{
		State: intentStates[decision.Kind],
		Answer: dispatcher.RecordedAnswer{
			Status:      decision.Answer.Status,
			ContentType: decision.Answer.ContentType,
			Body:        decision.Answer.Body,
			TooLarge:    decision.Answer.Omitted,
		},
	}
}

// Finish records the outcome of a fresh intent.
func (s *intentStore) Finish(ctx context.Context, i dispatcher.Intent, end dispatcher.IntentEnd) error {
	if end.NotRun {
		return s.recorder.Cancel(ctx, recorder.Intent(i))
	}
	return s.recorder.Finish(ctx, recorder.Intent(i), recorder.Answer{
		Status:      end.Answer.Status,
		ContentType: end.Answer.ContentType,
		Body:        end.Answer.Body,
		Omitted:     end.Answer.TooLarge,
	})
}

// A keyResolver finds the workspace of an API key for batch calls.
type keyResolver struct {
	authenticator *authenticator.Authenticator
}

// Workspace returns the workspace of a known key.
func (r *keyResolver) Workspace(key string) (workspace string, refusal *refuser.Refusal) {
	id, status := r.authenticator.Lookup(key)
	return id.Workspace, acceptor.Credentials{Key: key, KeyStatus: status}.Refusal()
}

// A batchAdapter adapts the dispatcher and the route table to the batcher.
type batchAdapter struct {
	dispatcher *dispatcher.Dispatcher
	fleet      *registrar.Fleet
}

// CheckRoute finds the route of an item and rejects routes that don't accept
// batch work.
func (a *batchAdapter) CheckRoute(item batcher.Item) (routeName string, refusal *refuser.Refusal) {
	route, _, refusal := a.resolveRoute(item)
	return route.Name, refusal
}

// RunItem makes one try of an item.
func (a *batchAdapter) RunItem(ctx context.Context, item batcher.Item) (batcher.ItemResult, error) {
	route, completion, refusal := a.resolveRoute(item)
	if refusal != nil {
		return batcher.ItemResult{}, refusal
	}
	result, err := a.dispatcher.RunItem(ctx, dispatcher.Item{
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

func (a *batchAdapter) resolveRoute(item batcher.Item) (route declarer.Route, c acceptor.Completion, refusal *refuser.Refusal) {
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
	route, ok := a.fleet.Routes().BatchByModel(c.Model)
	if !ok {
		return route, c, refuser.New(refuser.RouteNotBatchable, refuser.NotRun, "no batch route leads to the model")
	}
	return route, c, nil
}

func isCompletionPath(path string) bool {
	path = strings.TrimSuffix(path, "/")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// batchError translates the dispatcher's errors for tries that don't count into
// the batcher's errors.
func batchError(err error) error {
	switch {
	case errors.Is(err, dispatcher.ErrNoCapacity):
		return batcher.ErrNoCapacity
	case errors.Is(err, dispatcher.ErrServerCrashed):
		return batcher.ErrServerCrashed
	case errors.Is(err, dispatcher.ErrPreempted):
		return batcher.ErrPreempted
	default:
		return err
	}
}
