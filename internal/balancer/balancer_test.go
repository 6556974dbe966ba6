package balancer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

const service = "model"

type rig struct {
	clock *clockwork.FakeClock
	b     *Balancer

	reached bool   // By probes.
	crowded string // Peer that was told.
}

// Probe implements Probe.
func (r *rig) Probe(context.Context, Backend) error {
	if r.reached {
		return nil
	}
	return io.ErrUnexpectedEOF
}

// probe makes the probes that are due.
func (r *rig) probe() {
	for _, d := range r.b.dueProbes() {
		r.b.probe(context.Background(), d)
	}
}

func newRig(ids ...string) *rig {
	r := &rig{clock: clockwork.NewFakeClock()}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r.b = New(Config{Clock: r.clock, FailureDomain: "d1", Probe: r, Logger: logger, Crowded: func(peer string) { r.crowded = peer }})
	var backends []Backend
	for _, id := range ids {
		backends = append(backends, Backend{ID: id, Service: service, Address: id + ":1", FailureDomain: "d1", Slots: 4})
	}
	r.b.Install(backends)
	return r
}

func (r *rig) acquire(t *testing.T, class Class, exclude ...string) *Placement {
	t.Helper()
	p, err := r.b.Acquire(Query{Service: service, Class: class, Exclude: exclude, MaxWait: time.Second})
	assert.NilError(t, err)
	return p
}

func assertRefused(t *testing.T, r *rig, class Class, want error, exclude ...string) {
	t.Helper()
	_, err := r.b.Acquire(Query{Service: service, Class: class, Exclude: exclude, MaxWait: 100 * time.Millisecond})
	assert.ErrorIs(t, err, want)
}

func assertDisplaced(t *testing.T, p *Placement, want bool) {
	t.Helper()
	select {
	case <-p.Displaced():
		assert.Assert(t, want, "batch work was displaced")
	default:
		assert.Assert(t, !want, "batch work was not displaced")
	}
}

// TestChoice guards against servers that get work that they should not.
func TestChoice(t *testing.T) {
	t.Run("the least load", func(t *testing.T) {
		r := newRig("a", "b")
		first := r.acquire(t, Online)
		assert.Assert(t, r.acquire(t, Online).Backend.ID != first.Backend.ID)
	})
	t.Run("load of peers counts", func(t *testing.T) {
		r := newRig("a", "b")
		r.b.SetPeerLoads("peer", []ServerLoad{{Server: "a", Load: Load{Online: 3}}})
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "b")
		r.b.ForgetPeer("peer")
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "a")
	})
	t.Run("a server elsewhere before a wait at home", func(t *testing.T) {
		r := newRig("a")
		r.b.Install([]Backend{
			{ID: "a", Service: service, Slots: 4, FailureDomain: "d1"}, {ID: "b", Service: service, Slots: 4, FailureDomain: "d2"},
		})
		for range 4 {
			assert.Equal(t, r.acquire(t, Online, "b").Backend.ID, "a")
		}
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "b")
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "b")
	})
	t.Run("no leaving server", func(t *testing.T) {
		r := newRig("a")
		r.b.Install([]Backend{{ID: "a", Service: service, Slots: 4, Leaving: true}})
		assertRefused(t, r, Online, ErrNoServer)
	})
	t.Run("no server that was tried", func(t *testing.T) {
		r := newRig("a")
		assertRefused(t, r, Online, ErrNoServer, "a")
	})
	t.Run("no unknown service", func(t *testing.T) {
		_, err := newRig("a").b.Acquire(Query{Service: "other"})
		assert.ErrorIs(t, err, ErrNoServer)
	})
	t.Run("no server whose address belongs to another", func(t *testing.T) {
		r := newRig("a")
		r.acquire(t, Online).Release(OutcomeMisdirected)
		assertRefused(t, r, Online, ErrNoServer)
	})
	t.Run("refused where the wait is too long", func(t *testing.T) {
		r := newRig("a")
		for range 6 {
			r.acquire(t, Online)
		}
		assertRefused(t, r, Online, ErrFull)
	})
}

// TestHealth guards against requests that keep going to a server that fails.
func TestHealth(t *testing.T) {
	t.Run("an unreachable server is avoided until a probe reaches it", func(t *testing.T) {
		r := newRig("a", "b")
		r.acquire(t, Online, "b").Release(OutcomeUnreachable)
		r.clock.Advance(time.Minute)
		r.probe()
		for range 3 {
			assert.Equal(t, r.acquire(t, Online).Backend.ID, "b")
		}
		r.reached = true
		r.clock.Advance(probePause)
		r.probe()
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "a")
	})
	t.Run("a failure domain that is cut off is noticed after two of its servers", func(t *testing.T) {
		r := newRig("a", "b", "c", "d")
		r.b.Install([]Backend{
			{ID: "a", Service: service, Slots: 4, FailureDomain: "d2"},
			{ID: "b", Service: service, Slots: 4, FailureDomain: "d2"},
			{ID: "c", Service: service, Slots: 4, FailureDomain: "d2"},
			{ID: "d", Service: service, Slots: 4, FailureDomain: "d3"},
		})
		r.acquire(t, Online, "b", "c", "d").Release(OutcomeUnreachable)
		r.acquire(t, Online, "a", "c", "d").Release(OutcomeUnreachable)
		for range 4 {
			assert.Equal(t, r.acquire(t, Online).Backend.ID, "d")
		}
		r.reached = true
		r.probe()
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "c")
	})
	t.Run("a server that fails part of its requests is avoided", func(t *testing.T) {
		r := newRig("a", "b")
		for range 2 {
			r.acquire(t, Online, "b").Release(OutcomeFailed)
		}
		for range 3 {
			assert.Equal(t, r.acquire(t, Online).Backend.ID, "b")
		}
	})
	t.Run("a server that loses one answer in twenty is not", func(t *testing.T) {
		r := newRig("a")
		for i := range 100 {
			outcome := OutcomeDone
			if i%20 == 0 {
				outcome = OutcomeLost
			}
			r.acquire(t, Online).Release(outcome)
			r.b.mu.RLock()
			assert.Assert(t, !r.b.pools[service].servers["a"].health.suspected(r.clock.Now()))
			r.b.mu.RUnlock()
		}
	})
	t.Run("a silent server is tried again after a while", func(t *testing.T) {
		r := newRig("a", "b")
		r.acquire(t, Online, "b").Release(OutcomeSilent)
		assert.Equal(t, r.acquire(t, Online).Backend.ID, "b")
		r.clock.Advance(maxSuspicion)
		assert.Equal(t, r.acquire(t, Online, "b").Backend.ID, "a")
	})
	t.Run("a restart under the same ID is a new server", func(t *testing.T) {
		r := newRig("a")
		r.acquire(t, Online).Release(OutcomeMisdirected)
		r.b.Install([]Backend{{ID: "a", Service: service, Slots: 4, StartedAt: 9}})
		r.acquire(t, Online)
	})
	t.Run("the only server is used though it is suspected", func(t *testing.T) {
		r := newRig("a")
		r.acquire(t, Online).Release(OutcomeUnreachable)
		r.acquire(t, Online)
	})
}

// TestBatch guards against batch work that harms online requests.
func TestBatch(t *testing.T) {
	t.Run("it leaves slots free", func(t *testing.T) {
		r := newRig("a")
		r.acquire(t, Batch)
		r.acquire(t, Batch)
		assertRefused(t, r, Batch, ErrFull)
	})
	// Guards against jobs that end late beside servers with free slots.
	t.Run("what is due soon leaves one slot free", func(t *testing.T) {
		r := newRig("a")
		for range 3 {
			_, err := r.b.Acquire(Query{Service: service, Class: Batch, Urgent: true})
			assert.NilError(t, err)
		}
		_, err := r.b.Acquire(Query{Service: service, Class: Batch, Urgent: true})
		assert.ErrorIs(t, err, ErrFull)
	})
	t.Run("the newest is displaced where online work fills the server", func(t *testing.T) {
		r := newRig("a")
		older, newer := r.acquire(t, Batch), r.acquire(t, Batch)
		r.acquire(t, Online)
		r.acquire(t, Online)
		assertDisplaced(t, newer, false)
		r.acquire(t, Online)
		assertDisplaced(t, newer, true)
		assertDisplaced(t, older, false)
	})
	t.Run("it is displaced by online work of peers", func(t *testing.T) {
		r := newRig("a")
		p := r.acquire(t, Batch)
		r.b.SetPeerLoads("peer", []ServerLoad{{Server: "a", Load: Load{Online: 4}}})
		assertDisplaced(t, p, true)
	})
	t.Run("a peer whose batch work is in the way is told", func(t *testing.T) {
		r := newRig("a")
		r.b.SetPeerLoads("peer", []ServerLoad{{Server: "a", Load: Load{Online: 1, Batch: 2}}})
		r.acquire(t, Online)
		assert.Equal(t, r.crowded, "")
		r.acquire(t, Online)
		assert.Equal(t, r.crowded, "peer")
	})
	t.Run("room is announced", func(t *testing.T) {
		r := newRig("a")
		p := r.acquire(t, Batch)
		room := r.b.WaitRoom(service)
		p.Release(OutcomeDone)
		p.Release(OutcomeDone) // Without effect.
		<-room
		assert.Equal(t, len(r.b.LocalLoads()), 0)
	})
}
