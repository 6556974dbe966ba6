package prover

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	// afterLeaving is the time for which a leaving server is watched once it
	// must get nothing more.
	afterLeaving = 2 * time.Second
	// drainTokens make streams that run on for seconds after SIGTERM.
	drainTokens = 1000
)

// Guards against work that goes to a backend server that is leaving.
func TestLeavingServersGetNoWork(t *testing.T) {
	b := startBench(t, benchConfig{engines: 2, workspaces: ample})
	key := b.keys["packing"]
	leaving := []string{"engine-a1", "engine-b1", "service-a"}
	assertOK(t, b.mustCall("entry-a1", submit(key, "drafts", batchItems("drafts", 2000, 100))))
	stop := b.startTraffic(key)
	defer stop()
	tester.Eventually(t, patience, "work reaches all servers", func() error {
		for _, server := range b.BackendServers {
			if len(b.received(server.Name).Requests) == 0 {
				return errors.New(server.Name)
			}
		}
		return nil
	})
	b.listLeaving("engine-a1")
	b.listLeaving("service-a")
	b.fault("engine-b1", engineemulator.Fault{Leaving: true})
	quiet := time.Now().Add(inForceLimit)

	tester.Eventually(t, patience, "work goes on elsewhere", func() error {
		for _, server := range []string{"engine-a2", "engine-b2", "service-b"} {
			if !b.lastReceived(server).After(quiet.Add(afterLeaving)) {
				return errors.New(server)
			}
		}
		return nil
	})
	for _, server := range leaving {
		t.Run(server, func(t *testing.T) {
			last := b.lastReceived(server)
			assert.Assert(t, !last.After(quiet), "got work %s too late", last.Sub(quiet))
			t.Logf("last work %s after the notice", last.Sub(quiet)+inForceLimit)
		})
	}
}

// startTraffic makes streams and lookups through all entries until stop.
func (b *bench) startTraffic(key string) (stop func()) {
	var wait conc.WaitGroup
	var stopped atomic.Bool
	for n := range 12 {
		wait.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				r := chat(key, fmt.Sprintf("traffic-%d-%d", n, i), 20, true)
				if n%4 == 0 {
					r = get(key, fmt.Sprintf("/services/label/labels/%d", i))
				}
				_, _ = b.call(b.Entries[n%2].ID, r)
			}
		})
	}
	return sync.OnceFunc(func() {
		stopped.Store(true)
		wait.Wait()
	})
}

// listLeaving lets the platform's list call a backend server leaving.
func (b *bench) listLeaving(server string) {
	b.t.Helper()
	row := b.BackendServer(server).Row()
	row.State = storer.InstanceLeaving
	assert.NilError(b.t, b.Platform.SetInstance(b.t.Context(), row))
}

func (b *bench) lastReceived(server string) (last time.Time) {
	b.t.Helper()
	for _, r := range b.received(server).Requests {
		if r.At.After(last) {
			last = r.At
		}
	}
	return last
}

// Guards against a shutdown that cuts streams or calls, loses a batch job, or
// ends with an error.
func TestShutdownCutsNothing(t *testing.T) {
	b := startBench(t, benchConfig{domains: 3, workspaces: ample}) // Results need two disks without the one that leaves.
	key := b.keys["packing"]
	const items = 300
	assertOK(t, b.mustCall("entry-a1", submit(key, "orders", batchItems("orders", items, 100))))
	calls := b.startBalanced("entry-a1", key)
	tester.Eventually(t, patience, "a chunk runs, and calls", func() error {
		for _, r := range b.receivedByAll() {
			if r.Contains("orders-item") && len(b.placed("service-a")) > 0 {
				return nil
			}
		}
		return errors.New("no item or no order")
	})
	var streams []*openStream
	for n := range 4 {
		streams = append(streams, b.openStream("entry-a1", chat(key, fmt.Sprintf("drain-%d", n), drainTokens, true)))
	}
	process := b.Entry("entry-a1").Process()
	assert.NilError(t, process.Terminate())

	t.Run("streams end whole", func(t *testing.T) {
		assert.Assert(t, streams[0].running(), "the stream ended before the signal")
		for n, s := range streams {
			body := s.awaitEnd(t)
			assertWholeStream(t, answer{status: http.StatusOK, body: body}, fmt.Sprintf("drain-%d-%d", n, drainTokens-1))
		}
	})
	t.Run("calls end whole", func(t *testing.T) { calls.assertServed(t) })
	t.Run("exit code", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		state, err := process.WaitExit(ctx)
		assert.NilError(t, err)
		assert.Equal(t, state.ExitCode(), 0)
	})
	t.Run("the job goes on elsewhere", func(t *testing.T) {
		b.awaitJob("entry-b1", key, "orders", "completed")
		assertResults(t, b.mustCall("entry-b1", get(key, "/v1/batches/orders/results")), "orders", items)
	})
}

// Guards against an entry that cannot be ended at once by a second signal.
func TestSecondSignalExitsAtOnce(t *testing.T) {
	b := startBench(t, benchConfig{workspaces: ample})
	s := b.openStream("entry-a1", chat(b.keys["packing"], "endless", endlessTokens, true))
	process := b.Entry("entry-a1").Process()
	assert.NilError(t, process.Terminate())
	tester.Eventually(t, patience, "the entry leaves", func() error {
		if b.isReady("entry-a1") {
			return errors.New("ready")
		}
		return nil
	})
	assert.Assert(t, process.Running() && s.running())
	start := time.Now()
	assert.NilError(t, process.Signal(syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	state, err := process.WaitExit(ctx)
	assert.NilError(t, err)
	took := time.Since(start)
	assert.Assert(t, took < time.Second, "exited after %s", took)
	assert.Assert(t, state.ExitCode() != 0, "cut requests are reported as success")
}

func (b *bench) isReady(entry string) bool {
	a, err := b.call(entry, request{method: http.MethodGet, path: "/readyz"})
	return err == nil && a.status == http.StatusOK
}

// A balancedTraffic is calls through a balancer that sends nothing more to an
// entry once the entry is not ready.
type balancedTraffic struct {
	wait   conc.WaitGroup
	mu     sync.Mutex
	served int
	failed []string
}

func (b *bench) startBalanced(entry, key string) *balancedTraffic {
	calls := &balancedTraffic{}
	for n := range 4 {
		calls.wait.Go(func() {
			for i := 0; b.isReady(entry); i++ {
				r := order(key, fmt.Sprintf("balanced-%d-%d", n, i))
				a, err := b.call(entry, r)
				calls.count(a, err)
			}
		})
	}
	return calls
}

func (c *balancedTraffic) count(a answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && a.status == http.StatusOK && strings.Contains(a.body, "balanced-") {
		c.served++
		return
	}
	c.failed = append(c.failed, fmt.Sprint(err, a.status, a.body))
}

func (c *balancedTraffic) assertServed(t testing.TB) {
	t.Helper()
	c.wait.Wait()
	assert.Assert(t, c.served > 0)
	assert.Equal(t, len(c.failed), 0, "%v", c.failed)
}
