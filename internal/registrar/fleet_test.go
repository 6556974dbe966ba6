package registrar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

func declaration(engines int) declarer.Declaration {
	d := declarer.Declaration{FailureDomains: []declarer.FailureDomain{
		{Name: "a", Region: "north"},
		{Name: "b", Region: "north"},
	}}
	for i := range engines {
		d.BackendServers = append(d.BackendServers, declarer.BackendServer{
			Name:          fmt.Sprintf("engine-%d", i),
			Kind:          declarer.Engine,
			Address:       fmt.Sprintf("127.0.0.1:%d", 9000+i),
			FailureDomain: string(rune('a' + i%2)),
			Models:        []string{"desk"},
			Capacity:      8,
			BatchBound:    4,
		})
	}
	return d
}

func newTestFleet(engines int) (*Fleet, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	f := NewFleet(clock)
	f.Install(declaration(engines))
	return f, clock
}

func mustServer(t *testing.T, f *Fleet, name string) *Server {
	t.Helper()
	s, ok := f.Server(name)
	assert.Assert(t, ok, "server %s", name)
	return s
}

// assertSums checks that the load of each group is the sum over its candidates.
func assertSums(t *testing.T, f *Fleet) {
	t.Helper()
	pool, ok := f.Pool("model/desk")
	assert.Assert(t, ok)
	for _, g := range pool.Groups {
		var want GroupLoad
		for _, s := range g.Candidates() {
			load := s.Load()
			want.Online += load.Online
			want.Batch += load.Batch
			want.Capacity += load.Capacity
		}
		assert.Equal(t, g.Load(), want)
	}
}

func TestFleet(t *testing.T) {
	// Guards against a new revision that resets the count of requests in flight and
	// so overloads the servers that run them.
	t.Run("install keeps the load of unchanged servers", func(t *testing.T) {
		f, _ := newTestFleet(4)
		s := mustServer(t, f, "engine-1")
		s.Begin(Online)
		f.Install(declaration(3))
		assert.Equal(t, mustServer(t, f, "engine-1").Load().Online, 1)
		assertSums(t, f)
		s.End(Online)
		assertSums(t, f)
	})

	// Guards against new requests to a server that was removed from the
	// configuration.
	t.Run("a removed server is not a candidate", func(t *testing.T) {
		f, _ := newTestFleet(4)
		s := mustServer(t, f, "engine-3")
		f.Install(declaration(3))
		assert.Assert(t, !s.Eligible())
		_, ok := f.Server("engine-3")
		assert.Assert(t, !ok)
	})

	// Guards against one source that clears the report of another.
	t.Run("a probe does not override the instance list", func(t *testing.T) {
		f, _ := newTestFleet(2)
		s := mustServer(t, f, "engine-0")
		s.SetLeaving(LeavingByList, true)
		s.SetLeaving(LeavingByProbe, false)
		assert.Assert(t, !s.Eligible())
		assertSums(t, f)
		s.SetLeaving(LeavingByList, false)
		assert.Assert(t, s.Eligible())
		assertSums(t, f)
	})

	// Guards against the loads of a lost instance that never expire, and against
	// reports that add up instead of replacing each other.
	t.Run("peer loads are replaced and expire", func(t *testing.T) {
		f, clock := newTestFleet(2)
		s := mustServer(t, f, "engine-0")
		expires := clock.Now().Add(time.Second)
		f.SetPeerLoads("entry-2", []PeerLoad{{Server: "engine-0", Online: 3, Batch: 1}}, expires)
		f.SetPeerLoads("entry-2", []PeerLoad{{Server: "engine-0", Online: 2}}, expires)
		assert.Equal(t, s.Load().Total(), 2)
		assertSums(t, f)
		clock.Advance(2 * time.Second)
		assert.Equal(t, len(f.LocalLoads()), 0)
		assert.Equal(t, s.Load().Total(), 0)
		assertSums(t, f)
	})

	// Guards against batch items beyond the batch bound or the capacity of a server.
	t.Run("batch uses only the capacity that online requests leave", func(t *testing.T) {
		f, _ := newTestFleet(1)
		s := mustServer(t, f, "engine-0")
		for range 6 {
			s.Begin(Online)
		}
		assert.Assert(t, s.TryBeginBatch())
		assert.Assert(t, s.TryBeginBatch())
		assert.Assert(t, !s.TryBeginBatch())
		assert.Equal(t, s.Begin(Online).BatchExcess(), 1)
	})

	// Guards against a suspect request that runs concurrently with others.
	t.Run("a reserved server becomes idle", func(t *testing.T) {
		f, _ := newTestFleet(1)
		s := mustServer(t, f, "engine-0")
		s.Begin(Online)
		assert.Assert(t, s.Reserve())
		assert.Assert(t, !s.Reserve())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.ErrorIs(t, s.WaitIdle(ctx), context.Canceled)
		s.End(Online)
		assert.NilError(t, s.WaitIdle(context.Background()))
	})
}

// Guards against group sums that diverge from the servers when loads, states and
// declarations change concurrently.
func TestFleetConcurrently(t *testing.T) {
	f, clock := newTestFleet(6)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for round := range 200 {
				s, ok := f.Server(fmt.Sprintf("engine-%d", (i+round)%6))
				if !ok {
					continue
				}
				s.Begin(Online)
				s.SetHealthy(round%3 != 0)
				f.SetPeerLoads(fmt.Sprintf("entry-%d", i), []PeerLoad{{Server: s.Name(), Online: round}}, clock.Now().Add(time.Hour))
				if round%50 == 0 {
					f.Install(declaration(4 + round%3))
				}
				s.End(Online)
			}
		})
	}
	wg.Wait()
	f.Install(declaration(6))
	assertSums(t, f)
}
