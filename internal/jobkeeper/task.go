package jobkeeper

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

const (
	// itemFirstByteTimeout is the longest wait for the first event of an item. Items
	// queue at backend servers behind online requests.
	itemFirstByteTimeout = 3 * time.Second
	// itemRunTimeout is the time that a backend server has for one run of an item.
	itemRunTimeout = 30 * time.Second
	// runTimeoutMargin is how much longer than itemRunTimeout a run may last, for the
	// backend server to end it itself.
	runTimeoutMargin = 2 * time.Second
	// maxOpenLosses is the number of servers that an item may have lost before its
	// first event without a verdict on whether it crashed them. With one more it waits
	// for the verdicts.
	maxOpenLosses = 2
	// freeCrashes is the number of servers that may crash under an item before its runs
	// become rarer. The item is still owed: the crashes may have had other causes.
	freeCrashes = 2
	// maxRunDelay is the longest delay of a run after servers crashed under the item, or
	// answered in a way that says nothing about it.
	maxRunDelay = 8 * time.Second
	// verdictInterval is the time between two looks at the verdicts of an item that
	// waits for them.
	verdictInterval = 500 * time.Millisecond
	// itemRetryDelay is the delay before a failed item is run again.
	itemRetryDelay = 500 * time.Millisecond
)

// A task is an unfinished item. One goroutine at a time runs it.
type task struct {
	job  *job
	item *Item
	// positions is the number of results that the item has to get. It is above one only in
	// jobs of earlier builds, which accepted an ID that stands several times in a job.
	positions int

	mu      sync.Mutex
	cancel  context.CancelFunc // Of the current run; nil between runs.
	stopped bool               // The job was ended or lost.
	text    strings.Builder    // Data of the events received so far.
	// textJSONBytes is the size of text in JSON.
	textJSONBytes int
	events        int
	// firstEventAt is the time of the first event of the current run; zero before it.
	firstEventAt time.Time
	after        string  // ID of the last event.
	version      *string // Version of the servers that wrote the text; nil before the first event.
	// cutAt holds the servers whose answers to the item were cut, each with the time of the
	// last cut. It is not saved: the next owner does not know these servers.
	cutAt    map[string]time.Time
	failures int // Failed attempts: internal server errors.
	// unexpected counts the other answers that are no result. They say nothing about the
	// item, but make its runs rarer.
	unexpected int
	malformed  int    // Answers that cannot be one to the item.
	losses     []loss // Servers that it may have crashed.
	// blockedSince is when the item was first passed over because the servers of its
	// version had no capacity, or the holders of their limits had no room; zero if it was
	// placed since at a server that this instance may send to, or got an event.
	blockedSince time.Time
}

// A loss is a run that lost the connection before the first event. Either the item
// crashed the server, or the server or the network dropped it.
type loss struct {
	server string
	at     time.Time
}

// recordLoss records a run that lost the connection before the first event.
func (t *task) recordLoss(server string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses = append(t.losses, loss{server: server, at: at})
}

// judgeLosses forgets the losses that the servers survived. It returns the number of
// servers that crashed under the item, and of losses whose verdict is open.
func (t *task) judgeLosses(judge func(server string, at time.Time) balancer.LossVerdict) (crashes, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool {
		verdict := judge(l.server, l.at)
		switch verdict {
		case balancer.LossFatal:
			crashes++
		case balancer.LossOpen:
			open++
		}
		return verdict == balancer.LossSurvived
	})
	return crashes, open
}

// runAllowedAt returns when the item may run again after servers crashed under it.
func (t *task) runAllowedAt(crashes int) (at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crashes <= freeCrashes || len(t.losses) == 0 {
		return time.Time{}
	}
	return t.losses[len(t.losses)-1].at.Add(crashDelay(crashes))
}

// crashDelay returns the time from the last of several crashes to the next run.
func crashDelay(crashes int) time.Duration { return backoff(crashes - freeCrashes) }

// backoff returns the delay before the next run, which doubles up to maxRunDelay.
func backoff(doublings int) time.Duration {
	d := itemRetryDelay
	for range doublings {
		d = min(2*d, maxRunDelay)
	}
	return d
}

// stop cancels the current run and prevents later ones.
func (t *task) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.cancel != nil {
		t.cancel()
	}
}

func (t *task) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// An outcome is the result of one run of an item.
type outcome struct {
	state      State         // Set when the item is finished.
	retryDelay time.Duration // Delay before the next run if the item is not finished.
	cause      string
}

// run runs an item on a backend server until it is finished, fails or is preempted.
func (k *Keeper) run(ctx context.Context, t *task, route *routefinder.Route, service string, placement *balancer.Placement) outcome {
	ctx, cancel := context.WithTimeout(ctx, itemRunTimeout+runTimeoutMargin)
	defer cancel()
	if !t.begin(cancel) {
		placement.Release(balancer.OutcomeCancelled)
		return outcome{cause: "stopped"}
	}
	defer t.end()
	preempted := false
	watcherDone := make(chan struct{})
	k.running.Go(func() {
		defer close(watcherDone)
		select {
		case <-placement.Preempted():
			preempted = true
			cancel()
		case <-ctx.Done():
		}
	})
	o, placementOutcome := k.sendItem(ctx, t, route, service, placement)
	cancel()
	<-watcherDone
	if preempted && o.state == "" { // The log and the metrics call a run "displaced" that was preempted for online work.
		o, placementOutcome = outcome{cause: "displaced"}, balancer.OutcomeCancelled
		if placement.WasReplaced() {
			o.cause = "replaced"
		}
	}
	placement.Release(placementOutcome)
	return o
}

// progress returns the progress of the item.
func (t *task) progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Progress{After: t.after, Events: t.events, Text: t.text.String(), Version: t.version, Failures: t.failures}
}

// bind prepares the item for a run at a server of a version. What servers of another
// version have written is dropped: the texts do not fit together. It returns the number
// of events that were dropped.
func (t *task) bind(version string) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == nil || *t.version == version {
		return 0
	}
	return t.discardLocked()
}

// boundVersion returns the version that the item has to go on at; nil if it may run at
// any.
func (t *task) boundVersion() *string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// blocked records that the servers of the item's version have no capacity. It returns
// how long that has been so.
func (t *task) blocked(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blockedSince.IsZero() {
		t.blockedSince = now
	}
	return now.Sub(t.blockedSince)
}

// appendEvent adds the next event, of a server of a version, to the text of the item. A
// comment is no event.
func (t *task) appendEvent(event forwarder.Event, version string) {
	if _, ok := sender.EventField(event.Raw, "data"); !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	data := sender.EventData(event.Raw)
	if t.events > 0 {
		t.text.WriteByte('\n')
		t.textJSONBytes += jsonBytes("\n")
	}
	t.text.Write(data)
	t.textJSONBytes += jsonBytes(string(data))
	t.events++
	t.unexpected = 0
	t.blockedSince = time.Time{}
	t.after = event.ID
	t.version = &version
}

// recordFirstEvent records when the current run had its first event.
func (t *task) recordFirstEvent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
	}
}

// startTime returns the time from a placement to the first event of its run; zero if it
// had none.
func (t *task) startTime(placedAt time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.firstEventAt.Sub(placedAt))
}

// isOversized reports whether the text cannot be an answer to the item: it has more
// events than the item may have tokens, or does not fit into a value of the store or
// into a view.
func (t *task) isOversized() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.Len() > maxValueBytes || t.textJSONBytes > maxResultJSONBytes || t.item.Tokens > 0 && int64(t.events) > t.item.Tokens
}

// discard drops the events so far and returns their number.
func (t *task) discard() (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.discardLocked()
}

// discardLocked is discard for callers that hold t.mu.
func (t *task) discardLocked() (dropped int) {
	dropped = t.events
	t.text.Reset()
	t.textJSONBytes = 0
	t.events, t.after, t.version, t.cutAt = 0, "", nil, nil
	return dropped
}

func (t *task) begin(cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.cancel = cancel
	t.firstEventAt = time.Time{}
	return true
}

func (t *task) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = nil
}

// sendItem sends the item and reads its events.
func (k *Keeper) sendItem(ctx context.Context, t *task, route *routefinder.Route, service string, placement *balancer.Placement) (outcome, balancer.Outcome) {
	m := &t.job.manifest
	answer, err := k.cfg.BackendClient.Send(ctx, forwarder.Attempt{
		Request: &forwarder.Request{
			ID:        t.item.ID,
			Workspace: m.Workspace,
			Route:     route,
			Service:   service,
			Method:    "POST",
			Host:      m.Host,
			Target:    t.item.Target,
			Header:    t.item.Header,
			Body:      t.item.Body,
		},
		Backend:          placement.Backend,
		Remaining:        itemRunTimeout,
		FirstByteTimeout: itemFirstByteTimeout,
		LastEventID:      t.after,
		Batch:            true,
		ThroughPeer:      placement.ThroughPeer,
		Holders:          placement.Holders,
		PlacedAt:         placement.StartedAt(),
	})
	if err != nil {
		return k.afterError(t, placement.Backend.ID, err)
	}
	switch answer.Outcome {
	case forwarder.AnswerRejected:
		return t.afterRejection(answer), balancer.OutcomeDone
	case forwarder.AnswerMisdirected:
		return outcome{cause: "misdirected"}, balancer.OutcomeMisdirected
	case forwarder.AnswerNotRun:
		return outcome{cause: "server-full"}, balancer.OutcomeFull
	case forwarder.AnswerFailed:
		return t.afterFailure(route, answer), balancer.OutcomeDone // More often the fault of the item than of the backend server.
	}
	if answer.Stream == nil {
		return outcome{retryDelay: itemRetryDelay, cause: "no-stream"}, balancer.OutcomeDone
	}
	defer answer.Stream.Close()
	return k.readEvents(t, placement.Backend, observedStream{Stream: answer.Stream, placement: placement})
}

// An observedStream tells the placement of each event.
type observedStream struct {
	forwarder.Stream
	placement *balancer.Placement
}

// Next implements forwarder.Stream.
func (s observedStream) Next() (forwarder.Event, error) {
	event, err := s.Stream.Next()
	if err == nil {
		s.placement.ObserveEvent()
	}
	return event, err
}

// afterRejection gives the item up if the server says that it can never be done. Other
// rejections do not say so.
func (t *task) afterRejection(answer *forwarder.Answer) outcome {
	if answer.Status == statusUnprocessable {
		return outcome{state: StateDeadLettered, cause: "rejected"}
	}
	return outcome{retryDelay: t.recordUnexpected(), cause: "rejected"}
}

// afterFailure gives the item up after as many failed attempts as the route allows. Only
// an internal server error is one; a timeout of the server, for example, is not.
func (t *task) afterFailure(route *routefinder.Route, answer *forwarder.Answer) outcome {
	if answer.Status != statusInternalServerError {
		return outcome{retryDelay: t.recordUnexpected(), cause: "server-failed"}
	}
	if t.recordFailure() >= max(route.MaxAttempts, t.job.manifest.Guarantees.MaxAttempts, 1) {
		return outcome{state: StateDeadLettered, cause: "failed"}
	}
	return outcome{retryDelay: itemRetryDelay, cause: "server-failed"}
}

// recordFailure counts a failed attempt and returns their number.
func (t *task) recordFailure() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
	return t.failures
}

// recordUnexpected records an answer that neither completes the item nor counts as a
// failed attempt, and returns the delay before the next run.
func (t *task) recordUnexpected() time.Duration {
	t.unexpected++
	return backoff(t.unexpected - 1)
}

// Statuses with which a backend server reports on an item.
const (
	statusUnprocessable       = 422 // It can never be done.
	statusInternalServerError = 500 // It failed.
)

func (k *Keeper) afterError(t *task, server string, err error) (outcome, balancer.Outcome) {
	var failure *sender.Failure
	if !errors.As(err, &failure) {
		return t.afterMalformed(server, "malformed")
	}
	o := outcome{cause: string(failure.Cause)}
	switch failure.Cause {
	case sender.CauseCancelled:
		return o, balancer.OutcomeCancelled
	case sender.CauseEvacuated, sender.CausePeer:
		o.retryDelay = itemRetryDelay
		if errors.As(failure.Err, new(*balancer.LimitedError)) {
			t.blocked(k.now())
		}
		return o, balancer.OutcomeCancelled
	case sender.CauseDial:
		return o, balancer.OutcomeUnreachable
	case sender.CauseNoFreeConnection:
		return o, balancer.OutcomeFull
	case sender.CauseTimeout:
		return o, balancer.OutcomeSilent
	}
	if t.events == 0 && failure.Cause == sender.CauseConnectionLost {
		t.recordLoss(server, k.now())
	}
	o.retryDelay = itemRetryDelay
	return o, balancer.OutcomeLost
}

// readEvents reads the remaining events of the item.
func (k *Keeper) readEvents(t *task, server balancer.Backend, stream forwarder.Stream) (outcome, balancer.Outcome) {
	before := t.progress().Events
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return k.afterEnd(t, before), balancer.OutcomeDone
		}
		if err != nil {
			t.recordCut(server.ID, k.now())
			return k.afterError(t, server.ID, err)
		}
		if !utf8.Valid(event.Raw) {
			return t.afterMalformed(server.ID, "malformed") // Events are UTF-8.
		}
		t.appendEvent(event, server.Version)
		t.recordFirstEvent(k.now())
		if t.isOversized() {
			return k.afterOversized(t, server.ID)
		}
	}
}

// handleOutcome records the result of a finished item or queues it for another run.
func (k *Keeper) handleOutcome(t *task, placement *balancer.Placement, o outcome) {
	k.cfg.Logger.WithFields(logrus.Fields{
		"job": t.job.manifest.Job, "item": t.item.ID, "events": t.events, "state": o.state, reporter.FieldReason: o.cause,
		reporter.FieldBackendServer: placement.Backend.ID, "server-version": placement.Backend.Version, "server-load": placement.Load, "failures": t.failures,
	}).Info("item run ended")
	k.items.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", string(o.state)), attribute.String("cause", o.cause)))
	switch {
	case o.state != "":
		text := t.text.String()
		if o.state == StateDeadLettered {
			text = ""
		}
		k.recordResult(t, o.state, text)
	case t.isStopped():
	case o.retryDelay > 0:
		k.cfg.Clock.AfterFunc(o.retryDelay, func() { k.queues.enqueue(t) })
	default:
		k.queues.enqueue(t)
	}
}
