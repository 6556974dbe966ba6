package balancer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

const service = "model"

type fixture struct {
	clock *clockwork.FakeClock
	b     *Balancer

	probeSucceeds  bool                 // Result of Probe.
	reachable      func(id string) bool // Servers that probes reach in any case; nil for none.
	probeRefused   bool                 // Result of Probe unless it succeeds.
	contentionPeer string               // Last peer passed to OnBatchContention.
}

// Probe implements Probe.
func (f *fixture) Probe(_ context.Context, b Backend) error {
	if f.probeSucceeds || f.reachable != nil && f.reachable(b.ID) {
		return nil
	}
	if f.probeRefused {
		return ErrRefused
	}
	return io.ErrUnexpectedEOF
}

// runDueProbes runs the probes that are due.
func (f *fixture) runDueProbes() {
	for _, d := range f.b.dueProbes() {
		f.b.probe(context.Background(), d)
	}
}

func newFixture(ids ...string) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.b = New(Config{Clock: f.clock, FailureDomain: "d1", Probe: f, Logger: logger, OnBatchContention: func(peer string) { f.contentionPeer = peer }})
	var backends []Backend
	for _, id := range ids {
		backends = append(backends, Backend{ID: id, Service: service, Address: id + ":1", FailureDomain: "d1", Slots: 4})
	}
	f.b.Install(backends)
	return f
}

func (f *fixture) acquire(t *testing.T, class Class, exclude ...string) *Placement {
	t.Helper()
	p, err := f.b.Acquire(Query{Service: service, Class: class, Exclude: exclude, MaxWait: time.Second})
	assert.NilError(t, err)
	return p
}

func assertRefused(t *testing.T, f *fixture, class Class, want error, exclude ...string) {
	t.Helper()
	_, err := f.b.Acquire(Query{Service: service, Class: class, Exclude: exclude, MaxWait: 100 * time.Millisecond})
	assert.ErrorIs(t, err, want)
}

func assertPreempted(t *testing.T, p *Placement, want bool) {
	t.Helper()
	select {
	case <-p.Preempted():
		assert.Assert(t, want, "batch work was preempted")
	default:
		assert.Assert(t, !want, "batch work was not preempted")
	}
}

// TestChoice guards against work being placed on the wrong server.
func TestChoice(t *testing.T) {
	t.Run("the least load", func(t *testing.T) {
		f := newFixture("a", "b")
		first := f.acquire(t, Online)
		assert.Assert(t, f.acquire(t, Online).Backend.ID != first.Backend.ID)
	})
	t.Run("the load of peers is included", func(t *testing.T) {
		f := newFixture("a", "b")
		f.b.SetPeerLoads("peer", []ServerLoad{{Server: "a", Load: Load{Online: 3}}})
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
		f.b.ForgetPeer("peer")
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "a")
	})
	t.Run("a free server of another domain is preferred to a full one", func(t *testing.T) {
		f := newFixture("a")
		f.b.Install([]Backend{
			{ID: "a", Service: service, Slots: 4, FailureDomain: "d1"}, {ID: "b", Service: service, Slots: 4, FailureDomain: "d2"},
		})
		for range 4 {
			assert.Equal(t, f.acquire(t, Online, "b").Backend.ID, "a")
		}
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
	})
	t.Run("no leaving server", func(t *testing.T) {
		f := newFixture("a")
		f.b.Install([]Backend{{ID: "a", Service: service, Slots: 4, Leaving: true}})
		assertRefused(t, f, Online, ErrNoServer)
	})
	t.Run("no server that says that it leaves, until it has started again", func(t *testing.T) {
		f := newFixture("a")
		f.b.RecordLeaving(throttler.Server{ID: "a"})
		assertRefused(t, f, Online, ErrNoServer)
		a := Backend{ID: "a", Service: service, Slots: 4}
		f.b.Install(nil)
		f.b.Install([]Backend{a})
		assertRefused(t, f, Online, ErrNoServer)
		assert.DeepEqual(t, f.b.Leavers(), []throttler.Server{{ID: "a"}})
		a.StartedAt = 9
		f.b.Install([]Backend{a})
		f.acquire(t, Online)
		f.clock.Advance(leaverRetention + 1)
		assert.Equal(t, len(f.b.Leavers()), 0)
	})
	t.Run("no server that was tried", func(t *testing.T) {
		f := newFixture("a")
		assertRefused(t, f, Online, ErrNoServer, "a")
	})
	t.Run("an unknown service is refused", func(t *testing.T) {
		_, err := newFixture("a").b.Acquire(Query{Service: "other"})
		assert.ErrorIs(t, err, ErrNoServer)
	})
	t.Run("no server whose address belongs to another", func(t *testing.T) {
		f := newFixture("a")
		f.acquire(t, Online).Release(OutcomeMisdirected)
		assertRefused(t, f, Online, ErrNoServer)
	})
	t.Run("refused if the expected wait is too long", func(t *testing.T) {
		f := newFixture("a")
		for range 6 {
			f.acquire(t, Online)
		}
		assertRefused(t, f, Online, ErrFull)
	})
}

// TestHealth guards against requests that are still sent to a failing server.
func TestHealth(t *testing.T) {
	t.Run("an unreachable server is avoided until a probe reaches it", func(t *testing.T) {
		f := newFixture("a", "b")
		f.reachable = func(id string) bool { return id == "b" }
		f.acquire(t, Online, "b").Release(OutcomeUnreachable)
		f.clock.Advance(time.Minute)
		f.runDueProbes()
		for range 3 {
			assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
		}
		f.probeSucceeds = true
		f.clock.Advance(probeRetryDelay)
		f.runDueProbes()
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "a")
	})
	t.Run("a partitioned failure domain is detected after two unreachable servers", func(t *testing.T) {
		f := newFixture("a", "b", "c", "d")
		f.b.Install([]Backend{
			{ID: "a", Service: service, Slots: 4, FailureDomain: "d2"},
			{ID: "b", Service: service, Slots: 4, FailureDomain: "d2"},
			{ID: "c", Service: service, Slots: 4, FailureDomain: "d2"},
			{ID: "d", Service: service, Slots: 4, FailureDomain: "d3"},
		})
		f.acquire(t, Online, "b", "c", "d").Release(OutcomeUnreachable)
		f.acquire(t, Online, "a", "c", "d").Release(OutcomeUnreachable)
		for range 4 {
			assert.Equal(t, f.acquire(t, Online).Backend.ID, "d")
		}
		f.probeSucceeds = true
		f.runDueProbes()
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "c")
	})
	t.Run("a server with consecutive failures is avoided", func(t *testing.T) {
		f := newFixture("a", "b")
		for range 2 {
			f.acquire(t, Online, "b").Release(OutcomeFailed)
		}
		for range 3 {
			assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
		}
	})
	t.Run("a server that loses one response in twenty is not avoided", func(t *testing.T) {
		f := newFixture("a")
		for i := range 100 {
			outcome := OutcomeDone
			if i%20 == 0 {
				outcome = OutcomeLost
			}
			f.acquire(t, Online).Release(outcome)
			f.b.mu.RLock()
			assert.Assert(t, !f.b.pools[service].servers["a"].health.suspected(f.clock.Now()))
			f.b.mu.RUnlock()
		}
	})
	t.Run("a silent server is tried again after the suspicion expires", func(t *testing.T) {
		f := newFixture("a", "b")
		f.acquire(t, Online, "b").Release(OutcomeSilent)
		assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
		f.clock.Advance(maxSuspicion)
		assert.Equal(t, f.acquire(t, Online, "b").Backend.ID, "a")
	})
	t.Run("a restart under the same ID is a new server", func(t *testing.T) {
		f := newFixture("a")
		f.acquire(t, Online).Release(OutcomeMisdirected)
		f.b.Install([]Backend{{ID: "a", Service: service, Slots: 4, StartedAt: 9}})
		f.acquire(t, Online)
	})
	t.Run("the only server is used even if it is suspected", func(t *testing.T) {
		f := newFixture("a")
		f.acquire(t, Online).Release(OutcomeUnreachable)
		f.acquire(t, Online)
	})
}

// TestBatch guards against batch work that harms online requests.
func TestBatch(t *testing.T) {
	t.Run("batch work leaves slots free", func(t *testing.T) {
		f := newFixture("a")
		f.acquire(t, Batch)
		f.acquire(t, Batch)
		assertRefused(t, f, Batch, ErrFull)
	})
	// Guards against jobs that are late although servers have free slots.
	t.Run("urgent batch work leaves one slot free", func(t *testing.T) {
		f := newFixture("a")
		for range 3 {
			_, err := f.b.Acquire(Query{Service: service, Class: Batch, Urgent: true})
			assert.NilError(t, err)
		}
		_, err := f.b.Acquire(Query{Service: service, Class: Batch, Urgent: true})
		assert.ErrorIs(t, err, ErrFull)
	})
	t.Run("batch work pauses after an online request was refused", func(t *testing.T) {
		f := newFixture("a", "b")
		for range 4 {
			f.acquire(t, Online, "b")
		}
		assertRefused(t, f, Online, ErrFull, "b")
		assertRefused(t, f, Batch, ErrFull)
		f.clock.Advance(batchPause)
		f.acquire(t, Batch)
	})
	t.Run("the newest is preempted when online requests fill the server", func(t *testing.T) {
		f := newFixture("a")
		older, newer := f.acquire(t, Batch), f.acquire(t, Batch)
		f.acquire(t, Online)
		f.acquire(t, Online)
		assertPreempted(t, newer, false)
		f.acquire(t, Online)
		assertPreempted(t, newer, true)
		assertPreempted(t, older, false)
	})
	t.Run("batch work is preempted by online requests of peers", func(t *testing.T) {
		f := newFixture("a")
		p := f.acquire(t, Batch)
		f.b.SetPeerLoads("peer", []ServerLoad{{Server: "a", Load: Load{Online: 4}}})
		assertPreempted(t, p, true)
	})
	t.Run("a peer with batch work on a full server is reported", func(t *testing.T) {
		f := newFixture("a")
		f.b.SetPeerLoads("peer", []ServerLoad{{Server: "a", Load: Load{Online: 1, Batch: 2}}})
		f.acquire(t, Online)
		assert.Equal(t, f.contentionPeer, "")
		f.acquire(t, Online)
		assert.Equal(t, f.contentionPeer, "peer")
	})
	t.Run("freed capacity is signalled", func(t *testing.T) {
		f := newFixture("a")
		p := f.acquire(t, Batch)
		freed := f.b.WaitCapacity(service)
		p.Release(OutcomeDone)
		p.Release(OutcomeDone) // A second release has no effect.
		<-freed
		assert.Equal(t, len(f.b.LocalLoads()), 0)
	})
}
