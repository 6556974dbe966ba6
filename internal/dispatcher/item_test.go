package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// An itemRun is a batch item that runs in the background.
type itemRun struct {
	done   chan struct{}
	result ItemResult
	err    error
}

func (r *rig) startItem(i Item) *itemRun {
	run := &itemRun{done: make(chan struct{})}
	go func() {
		defer close(run.done)
		run.result, run.err = r.RunItem(context.Background(), i)
	}()
	return run
}

// startItems starts n long-running items in order and waits until each runs.
func (r *rig) startItems(t *testing.T, n int) []*itemRun {
	t.Helper()
	var runs []*itemRun
	for i := range n {
		runs = append(runs, r.startItem(item(fmt.Sprint("marker:b-", i), 100000)))
		waitFor(t, "the item to run", func() bool { return r.running() == i+1 })
	}
	return runs
}

func (i *itemRun) ended() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

func assertPreempted(t *testing.T, i *itemRun) {
	t.Helper()
	waitFor(t, "the item to be preempted", i.ended)
	assert.ErrorIs(t, i.err, ErrPreempted)
}

// startStream starts a long online stream and returns a function that ends it.
func (r *rig) startStream(t *testing.T, n int) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	first := make(chan struct{})
	once := sync.OnceFunc(func() { close(first) })
	wg.Go(func() {
		w := &recordingWriter{onNext: once}
		_ = r.Dispatch(ctx, completion(fmt.Sprint("marker:online-", n), 100000, true), w)
	})
	<-first
	return func() {
		cancel()
		wg.Wait()
	}
}

func TestRunItem(t *testing.T) {
	// Guards against items without an answer and tokens that are not counted.
	t.Run("an item is answered and its tokens are counted", func(t *testing.T) {
		r := newRig(t, 1, 0)
		result, err := r.RunItem(context.Background(), item("marker:b-1", 10))
		assert.NilError(t, err)
		assert.Equal(t, result.Tokens, 13) // 10 for the answer, 3 for the prompt.
		assert.Equal(t, countTokens([]byte("12345678"), []byte("1234")), 3)
		stream := []byte("data: {\"usage\":null}\n\ndata: {\"usage\":{\"total_tokens\":42}}\n\ndata: [DONE]\n\n")
		assert.Equal(t, countTokens(nil, stream), 42)
	})

	// Guards against batch items that run without capacity, without a permit or on
	// a route that is not batchable.
	t.Run("no capacity, no permit, no batch route", func(t *testing.T) {
		r := newRig(t, 1, 0)
		r.permits.refused = true
		_, err := r.RunItem(context.Background(), item("marker:b-1", 10))
		assert.ErrorIs(t, err, ErrNoCapacity)
		r.permits.refused = false
		i := item("marker:b-1", 10)
		i.Route.Batch = false
		_, err = r.RunItem(context.Background(), i)
		var refusal *refuser.Refusal
		assert.Assert(t, errors.As(err, &refusal) && refusal.Code == refuser.RouteNotBatchable)
		runs := r.startItems(t, 4)
		_, err = r.RunItem(context.Background(), item("marker:b-9", 10))
		assert.ErrorIs(t, err, ErrNoCapacity)
		assertReceived(t, r, "b-9", 0)
		r.PreemptForPeer("engine-0")
		assertPreempted(t, runs[3])
		r.tracker.preemptAll("engine-0")
	})

	// Guards against batch items that slow down an online request, and against
	// preempting more of them than needed.
	t.Run("online requests preempt the newest items", func(t *testing.T) {
		r := newRig(t, 1, 0)
		runs := r.startItems(t, 3)
		end := r.startStream(t, 1)
		assert.Assert(t, !runs[2].ended(), "an item was preempted although the engine had free capacity")
		end2 := r.startStream(t, 2)
		assertPreempted(t, runs[2])
		assert.Assert(t, !runs[0].ended() && !runs[1].ended())
		waitFor(t, "the engine to drop the item", func() bool { return r.running() == 4 })
		assert.Equal(t, len(r.preemptionRequests), 0)

		r.fleet.SetPeerLoads("entry-2", nil, time.Now().Add(time.Hour))
		s, _ := r.fleet.Server("engine-0")
		r.fleet.SetPeerLoads("entry-2", peerBatch(3), time.Now().Add(time.Hour))
		assert.Equal(t, s.Load().BatchExcess(), 3)
		end3 := r.startStream(t, 3)
		assert.Equal(t, <-r.preemptionRequests, "engine-0", "the peers were not asked to preempt")
		assertPreempted(t, runs[0])
		assertPreempted(t, runs[1])
		end()
		end2()
		end3()
	})

	// Guards against a baseline that still preempts items, which would hide the
	// effect of preemption in comparisons.
	t.Run("the no-preemption baseline keeps items", func(t *testing.T) {
		r := newRig(t, 1, 0)
		r.cfg.Preemptor = NoPreemption{}
		runs := r.startItems(t, 3)
		end, end2 := r.startStream(t, 1), r.startStream(t, 2)
		r.PreemptForPeer("engine-0")
		assert.Assert(t, !runs[0].ended() && !runs[1].ended() && !runs[2].ended())
		assert.Equal(t, len(r.preemptionRequests), 0)
		end()
		end2()
		r.tracker.preemptAll("engine-0")
	})

	// Guards against items that stay on an engine that became overloaded because
	// several entries sent it online requests between two load reports.
	t.Run("online load reported by a peer preempts items", func(t *testing.T) {
		r := newRig(t, 1, 0)
		runs := r.startItems(t, 3)
		online := []registrar.PeerLoad{{Server: "engine-0", Online: 2}}
		r.fleet.SetPeerLoads("entry-2", online, time.Now().Add(time.Hour))
		r.PreemptExcess("engine-0")
		assertPreempted(t, runs[2])
		assert.Assert(t, !runs[0].ended() && !runs[1].ended(), "too many items were preempted")
		r.tracker.preemptAll("engine-0")
	})

	// Guards against a race: the online request comes after the item was added to
	// the load and before it was tracked, and cannot preempt it.
	t.Run("an item that was not tracked yet is preempted too", func(t *testing.T) {
		r := newRig(t, 1, 0)
		pool, _ := r.fleet.Pool("model/desk")
		p := &placement{}
		assert.NilError(t, r.placeShared(item("marker:b-1", 10), pool, p))
		for range 4 {
			p.server.Begin(registrar.Online)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		r.tracker.add("engine-0", cancel)
		r.recheck(p, cancel)
		assert.ErrorIs(t, context.Cause(ctx), ErrPreempted)
	})

	// Guards against items that continue after their permit went to another entry.
	t.Run("an expired permit cancels the item", func(t *testing.T) {
		r := newRig(t, 1, 0)
		r.permits.set(time.Now().Add(100 * time.Millisecond))
		run := r.startItem(item("marker:b-1", 100000))
		waitFor(t, "the item to run", func() bool { return r.running() == 1 })
		r.permits.set(time.Now().Add(200 * time.Millisecond))
		assertPreempted(t, run)
	})

	// Guards against a sound item that is not placed again because engines crashed while
	// they ran it.
	t.Run("an item under which engines crashed is placed again, alone", func(t *testing.T) {
		const crashes = 3
		r := newRig(t, crashes+1, 0)
		for _, e := range r.engines {
			e.SetFault(engineemulator.Fault{CrashOn: "unlucky"})
		}
		for range crashes {
			_, err := r.RunItem(context.Background(), item("marker:unlucky", 10))
			assert.ErrorIs(t, err, ErrServerCrashed)
		}
		assertReceived(t, r, "unlucky", crashes)
		for _, e := range r.engines {
			e.SetFault(engineemulator.Fault{})
		}
		waitFor(t, "the crashed requests to end", func() bool { return r.running() == 0 })
		beside := r.startItem(item("marker:beside", 2000))
		waitFor(t, "the other item to run", func() bool { return r.running() == 1 })
		_, err := r.RunItem(context.Background(), item("marker:unlucky", 10))
		assert.ErrorIs(t, err, ErrNoCapacity, "it runs beside another item")
		<-beside.done
		assert.NilError(t, beside.err)
		result, err := r.RunItem(context.Background(), item("marker:unlucky", 10))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Contains(result.Body, []byte("unlucky-9")), "%s", result.Body)
	})
}
