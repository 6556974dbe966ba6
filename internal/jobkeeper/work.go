package jobkeeper

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
)

const (
	// itemFirstByte is the longest wait for the first event of an item. Items
	// queue at engines behind online requests.
	itemFirstByte = 3 * time.Second
	// itemLifetime is the time that an engine is given for one run of an item.
	itemLifetime = 30 * time.Second
	// maxDeaths is the number of engines that may die while they run an item
	// before it waits for the end of its job's time.
	maxDeaths = 2
	// failurePause is the time before an item that failed is run again.
	failurePause = 500 * time.Millisecond
)

// A work is an item that has to be run. One goroutine at a time runs it.
type work struct {
	job  *job
	item *Item

	mu       sync.Mutex
	cancel   context.CancelFunc // Of the run under way; nil between runs.
	stopped  bool               // The job was ended.
	text     strings.Builder    // Data of the events so far.
	events   int
	after    string // ID of the last event.
	failures int    // Answers that say that the item failed.
	deaths   int    // Runs that ended with a lost connection before any event.
}

// stop ends the run under way and all later ones.
func (w *work) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.cancel != nil {
		w.cancel()
	}
}

func (w *work) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// An outcome says what follows a run of an item.
type outcome struct {
	state State         // Set when the item is finished.
	again time.Duration // Pause before the next run otherwise.
	cause string
}

// run runs an item on a server until it is finished, fails or is displaced.
func (k *Keeper) run(ctx context.Context, w *work, route *steerer.Route, service string, placement *balancer.Placement) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.begin(cancel) {
		placement.Release(balancer.OutcomeDone)
		return outcome{cause: "stopped"}
	}
	defer w.end()
	displaced := false
	watched := make(chan struct{})
	k.running.Go(func() {
		defer close(watched)
		select {
		case <-placement.Displaced():
			displaced = true
			cancel()
		case <-ctx.Done():
		}
	})
	o, released := k.exchange(ctx, w, route, service, placement)
	cancel()
	<-watched
	if displaced && o.state == "" {
		o, released = outcome{cause: "displaced"}, balancer.OutcomeDone
	}
	placement.Release(released)
	return o
}

// progress is how far the item is.
func (w *work) progress() Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Progress{After: w.after, Events: w.events, Text: w.text.String()}
}

// add takes the next event.
func (w *work) add(event forwarder.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.events > 0 {
		w.text.WriteByte('\n')
	}
	w.text.Write(sender.EventData(event.Raw))
	w.events++
	w.after = event.ID
}

func (w *work) begin(cancel context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.cancel = cancel
	return true
}

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = nil
}

// exchange sends the item and reads its events.
func (k *Keeper) exchange(ctx context.Context, w *work, route *steerer.Route, service string, placement *balancer.Placement) (outcome, balancer.Outcome) {
	m := &w.job.manifest
	answer, err := k.cfg.Engines.Send(ctx, forwarder.Attempt{
		Request: &forwarder.Request{
			ID:        w.item.ID,
			Workspace: m.Workspace,
			Route:     route,
			Service:   service,
			Method:    "POST",
			Host:      m.Host,
			Target:    w.item.Target,
			Header:    w.item.Header,
			Body:      w.item.Body,
		},
		Backend:          placement.Backend,
		Remaining:        itemLifetime,
		FirstByteTimeout: itemFirstByte,
		LastEventID:      w.after,
		Batch:            true,
	})
	if err != nil {
		return k.afterError(w, err)
	}
	switch answer.Verdict {
	case forwarder.VerdictRejected:
		return outcome{state: StateDeadLettered, cause: "rejected"}, balancer.OutcomeDone
	case forwarder.VerdictMisdirected:
		return outcome{cause: "misdirected"}, balancer.OutcomeMisdirected
	case forwarder.VerdictNotRun:
		return outcome{cause: "server-full"}, balancer.OutcomeFull
	case forwarder.VerdictFailed:
		return k.afterFailure(w, route, answer), balancer.OutcomeDone // The item is at fault more often than the server.
	}
	if answer.Stream == nil {
		return outcome{again: failurePause, cause: "no-stream"}, balancer.OutcomeDone
	}
	defer answer.Stream.Close()
	return k.collect(w, answer.Stream)
}

func (k *Keeper) afterFailure(w *work, route *steerer.Route, answer *forwarder.Answer) outcome {
	w.failures++
	if answer.Status == statusInternal && w.failures >= max(route.MaxAttempts, 1) {
		return outcome{state: StateDeadLettered, cause: "failed"}
	}
	return outcome{again: failurePause, cause: "server-failed"}
}

// statusInternal is the status with which a server says that an item failed.
const statusInternal = 500

func (k *Keeper) afterError(w *work, err error) (outcome, balancer.Outcome) {
	var failure *sender.Failure
	if !errors.As(err, &failure) {
		return outcome{again: failurePause, cause: "malformed"}, balancer.OutcomeLost
	}
	o := outcome{cause: string(failure.Cause)}
	switch failure.Cause {
	case sender.CauseCancelled:
		return o, balancer.OutcomeDone
	case sender.CauseDial:
		return o, balancer.OutcomeUnreachable
	case sender.CauseBusy:
		return o, balancer.OutcomeFull
	case sender.CauseSilent:
		return o, balancer.OutcomeSilent
	}
	if w.events == 0 {
		w.deaths++
	}
	o.again = failurePause
	return o, balancer.OutcomeLost
}

// collect reads the events that the item lacks.
func (k *Keeper) collect(w *work, stream forwarder.Stream) (outcome, balancer.Outcome) {
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return outcome{state: StateCompleted}, balancer.OutcomeDone
		}
		if err != nil {
			return k.afterError(w, err)
		}
		w.add(event)
	}
}

// settleWork does what follows a run.
func (k *Keeper) settleWork(w *work, placement *balancer.Placement, o outcome) {
	k.cfg.Logger.WithFields(logrus.Fields{
		"job": w.job.manifest.Job, "item": w.item.ID, "events": w.events, "state": o.state, reporter.FieldReason: o.cause,
		reporter.FieldBackendServer: placement.Backend.ID, "server-load": placement.Load, "failures": w.failures,
	}).Info("item run ended")
	k.items.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", string(o.state)), attribute.String("cause", o.cause)))
	switch {
	case o.state != "":
		text := w.text.String()
		if o.state == StateDeadLettered {
			text = ""
		}
		k.finished(w, o.state, text)
	case w.isStopped():
	case o.again > 0:
		k.cfg.Clock.AfterFunc(o.again, func() { k.pumps.add(w) })
	default:
		k.pumps.add(w)
	}
}
