package jobkeeper

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// newItems returns a keeper and two items that it does not run.
func newItems(t *testing.T) (*Keeper, map[string]*task) {
	t.Helper()
	return newTestCluster().startKeeper(t, "k1"), newJob(manifest("i1", "i2"), Record{}, 0, nil).unfinished
}

// TestMalformedAnswers guards against one job that takes sound servers from all others,
// because each server seems faulty that answers one of its items.
func TestMalformedAnswers(t *testing.T) {
	// answer has an endless answer of a server to an item.
	answer := func(k *Keeper, unfinished *task, server string) (outcome, balancer.Outcome) {
		return k.readEvents(unfinished, balancer.Backend{ID: server}, &endlessStream{data: "x"})
	}
	t.Run("a server that answers several items so is faulty", func(t *testing.T) {
		k, items := newItems(t)
		for _, unfinished := range items {
			_, placement := answer(k, unfinished, "a")
			assert.Equal(t, placement, balancer.OutcomeLost)
		}
	})
	t.Run("servers that answer one item so are not", func(t *testing.T) {
		k, items := newItems(t)
		_, _ = answer(k, items["i1"], "a")
		for _, server := range []string{"b", "c", "a"} {
			_, placement := answer(k, items["i1"], server)
			assert.Equal(t, placement, balancer.OutcomeCancelled, server)
		}
	})
	t.Run("servers that answer all items of a job so are not", func(t *testing.T) {
		k, items := newItems(t)
		_, _ = answer(k, items["i1"], "a")
		_, _ = answer(k, items["i1"], "b")
		_, placement := answer(k, items["i2"], "c")
		assert.Equal(t, placement, balancer.OutcomeCancelled)
	})
	t.Run("the runs of the item become rarer", func(t *testing.T) {
		k, items := newItems(t)
		var delays []time.Duration
		for range 6 {
			o, _ := answer(k, items["i1"], "a")
			delays = append(delays, o.retryDelay)
		}
		const second = time.Second
		assert.DeepEqual(t, delays, []time.Duration{second / 2, second, 2 * second, 4 * second, 8 * second, 8 * second})
	})
}

// TestEventsOfNoAnswer guards against results that are completed and hold events of an
// answer without end, which was cut before it was found too large.
func TestEventsOfNoAnswer(t *testing.T) {
	// cutAnswer is an answer without end that is cut after some events.
	cutAnswer := func(events int) *forwarder.Answer {
		return &forwarder.Answer{Outcome: forwarder.AnswerSucceeded, Status: 200, Stream: &cutStream{endlessStream: endlessStream{data: "x"}, events: events}}
	}
	t.Run("more events than the answer has", func(t *testing.T) {
		c := newTestCluster()
		c.client.queued = []*forwarder.Answer{cutAnswer(5)}
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1"))
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
	t.Run("as many events as the answer has", func(t *testing.T) {
		c := newTestCluster()
		c.client.queued = []*forwarder.Answer{cutAnswer(3)}
		k := c.startKeeper(t, "k1")
		submit(t, k, manifest("i1"))
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
	t.Run("the next owner goes on after them", func(t *testing.T) {
		c := newTestCluster()
		c.client.queued = []*forwarder.Answer{cutAnswer(5)}
		k1, k2 := c.startKeeper(t, "k1"), c.startKeeper(t, "k2")
		submit(t, k1, manifest("i1"))
		j, _ := k1.owned(jobID)
		awaitEvents(t, j, 5)
		k1.Leave()
		assert.NilError(t, k1.save(t.Context(), j, 1))
		c.terms["k1"].set(1, false)
		c.removeFirstMember(t, k2)
		assertResults(t, awaitResults(t, k2, 1), StateCompleted, fullText)
	})
	t.Run("fewer events, of a server that answers another item without end", func(t *testing.T) {
		k, items := newItems(t)
		written, other := items["i1"], items["i2"]
		_, _ = k.readEvents(written, balancer.Backend{ID: "a"}, cutAnswer(2).Stream)
		_, _ = k.readEvents(other, balancer.Backend{ID: "a"}, &endlessStream{data: "x"})
		o, placement := k.readEvents(written, balancer.Backend{ID: "b"}, &itemStream{next: 3})
		assert.Equal(t, o.state, State(""), "completed with the text %q", written.progress().Text)
		assert.Equal(t, placement, balancer.OutcomeDone)
		assert.Equal(t, written.progress().Text, "")
		o, _ = k.readEvents(written, balancer.Backend{ID: "b"}, &itemStream{next: 1})
		assert.Equal(t, o.state, StateCompleted)
		assert.Equal(t, written.progress().Text, fullText)
	})
	t.Run("the text is dropped before the item goes on", func(t *testing.T) {
		k, items := newItems(t)
		written, other := items["i1"], items["i2"]
		_, _ = k.readEvents(written, balancer.Backend{ID: "a"}, cutAnswer(2).Stream)
		_, _ = k.readEvents(other, balancer.Backend{ID: "a"}, &endlessStream{data: "x"})
		assert.Assert(t, k.discardDoubtfulText(written))
		assert.Equal(t, written.progress().After, "")
	})
	t.Run("a whole answer of that server is a result", func(t *testing.T) {
		k, items := newItems(t)
		_, _ = k.readEvents(items["i2"], balancer.Backend{ID: "a"}, &endlessStream{data: "x"})
		o, _ := k.readEvents(items["i1"], balancer.Backend{ID: "a"}, &itemStream{next: 1})
		assert.Equal(t, o.state, StateCompleted)
	})
	t.Run("a job that any server answers so puts no text in doubt", func(t *testing.T) {
		k, items := newItems(t)
		for _, server := range []string{"a", "b"} {
			_, _ = k.readEvents(items["i2"], balancer.Backend{ID: server}, &endlessStream{data: "x"})
		}
		_, _ = k.readEvents(items["i1"], balancer.Backend{ID: "b"}, cutAnswer(2).Stream)
		assert.Assert(t, !k.discardDoubtfulText(items["i1"]))
	})
	t.Run("long before the server answered without end", func(t *testing.T) {
		var endless endlessAnswerSet
		now := time.Now()
		endless.record("a", now)
		assert.Assert(t, !endless.includes(map[string]time.Time{"a": now.Add(-endlessAnswerPeriod - time.Second), "b": now}))
	})
}

// A cutStream is an answer without end whose connection is lost after some events.
type cutStream struct {
	endlessStream
	events int
}

func (s *cutStream) Next() (forwarder.Event, error) {
	if s.endlessStream.events == s.events {
		return forwarder.Event{}, &sender.Failure{Cause: sender.CauseConnectionLost, Dispatched: true, Err: io.ErrUnexpectedEOF}
	}
	return s.endlessStream.Next()
}

// awaitEvents waits until the unfinished items of a job have received n events.
func awaitEvents(t *testing.T, j *job, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		j.mu.Lock()
		defer j.mu.Unlock()
		if events := j.checkpoint().events; events < n {
			return poll.Continue("%d events instead of %d", events, n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
