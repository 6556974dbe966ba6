package router

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

func newFleet(servers, domains int) *registrar.Fleet {
	d := declarer.Declaration{}
	for i := range domains {
		region := "north"
		if i > 1 {
			region = "south"
		}
		d.FailureDomains = append(d.FailureDomains, declarer.FailureDomain{Name: fmt.Sprintf("d%d", i), Region: region})
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, declarer.BackendServer{
			Name: fmt.Sprintf("engine-%d", i), Kind: declarer.Engine, FailureDomain: fmt.Sprintf("d%d", i%domains),
			Models: []string{"desk"}, Capacity: 8, BatchBound: 8,
		})
	}
	f := registrar.NewFleet(clockwork.NewFakeClock())
	f.Install(d)
	return f
}

func newTestRouter() *Router {
	return New(Config{FailureDomain: "d0", Region: "north", Random: rand.New(rand.NewPCG(1, 2))})
}

func pool(t testing.TB, f *registrar.Fleet) *registrar.Pool {
	t.Helper()
	p, ok := f.Pool("model/desk")
	assert.Assert(t, ok)
	return p
}

func server(t testing.TB, f *registrar.Fleet, name string) *registrar.Server {
	t.Helper()
	s, ok := f.Server(name)
	assert.Assert(t, ok)
	return s
}

func choose(t testing.TB, r *Router, f *registrar.Fleet, q Query) Decision {
	t.Helper()
	d, err := r.Choose(pool(t, f), q)
	assert.NilError(t, err)
	return d
}

func assertRefused(t *testing.T, r *Router, f *registrar.Fleet, q Query, want error) {
	t.Helper()
	_, err := r.Choose(pool(t, f), q)
	assert.ErrorIs(t, err, want)
}

func fill(s *registrar.Server, class registrar.Class, n int) {
	for range n {
		s.Begin(class)
	}
}

func TestChoose(t *testing.T) {
	prompt := Query{Prefix: "you are a helpful desk"}

	// Guards against prefixes that move between servers without load, which
	// makes the prefix caches of the engines useless.
	t.Run("entries of a failure domain agree on affinity", func(t *testing.T) {
		f := newFleet(8, 2)
		first := choose(t, newTestRouter(), f, prompt)
		assert.Equal(t, first.FailureDomain, "d0")
		assert.Equal(t, choose(t, New(Config{FailureDomain: "d0"}), f, prompt).Server, first.Server)
	})

	// Guards against one popular prefix that overloads one server.
	t.Run("a server above the load bound is skipped", func(t *testing.T) {
		f := newFleet(8, 2)
		first := choose(t, newTestRouter(), f, prompt)
		fill(first.Server, registrar.Online, 3)
		next := choose(t, newTestRouter(), f, prompt)
		assert.Assert(t, next.Server != first.Server)
		assert.Equal(t, next.Reason, ReasonNextOnRing)
	})

	// Guards against batch items that cost online requests their prefix cache.
	t.Run("batch load does not move online requests", func(t *testing.T) {
		f := newFleet(8, 2)
		first := choose(t, newTestRouter(), f, prompt)
		fill(first.Server, registrar.Batch, 8)
		assert.Equal(t, choose(t, newTestRouter(), f, prompt).Server, first.Server)
	})

	// Guards against requests to leaving, unhealthy, reserved or excluded servers.
	t.Run("only candidates are selected", func(t *testing.T) {
		f := newFleet(4, 1)
		server(t, f, "engine-0").SetHealthy(false)
		server(t, f, "engine-1").SetLeaving(registrar.LeavingByList, true)
		assert.Assert(t, server(t, f, "engine-2").Reserve())
		r := newTestRouter()
		for _, q := range []Query{{}, prompt, {Class: registrar.Batch}} {
			for range 20 {
				assert.Equal(t, choose(t, r, f, q).Server.Name(), "engine-3")
			}
		}
		assertRefused(t, r, f, Query{Exclude: []string{"engine-3"}}, ErrNoServer)
		assertRefused(t, r, f, Query{Class: registrar.Batch, Exclude: []string{"engine-3"}}, ErrNoCapacity)
	})

	// Guards against unnecessary traffic between failure domains and regions.
	t.Run("own domain, own region, other regions", func(t *testing.T) {
		f := newFleet(3, 3)
		r := newTestRouter()
		for _, want := range []string{"d0", "d1", "d2"} {
			d := choose(t, r, f, Query{})
			assert.Equal(t, d.FailureDomain, want)
			fill(d.Server, registrar.Online, 8)
		}
	})

	// Guards against batch items on servers that are full of online requests.
	t.Run("batch items need capacity", func(t *testing.T) {
		f := newFleet(2, 1)
		fill(server(t, f, "engine-0"), registrar.Online, 8)
		r := newTestRouter()
		assert.Equal(t, choose(t, r, f, Query{Class: registrar.Batch}).Server.Name(), "engine-1")
		fill(server(t, f, "engine-1"), registrar.Batch, 8)
		assertRefused(t, r, f, Query{Class: registrar.Batch}, ErrNoCapacity)
	})

	// Guards against a suspect request that runs beside others.
	t.Run("a suspect gets the server with the lowest load", func(t *testing.T) {
		f := newFleet(2, 1)
		fill(server(t, f, "engine-0"), registrar.Online, 1)
		r := newTestRouter()
		assert.Equal(t, choose(t, r, f, Query{Isolated: true}).Server.Name(), "engine-1")
		server(t, f, "engine-1").SetHealthy(false)
		assert.Equal(t, choose(t, r, f, Query{Isolated: true}).Server.Name(), "engine-0")
		assert.Assert(t, server(t, f, "engine-0").Reserve())
		assertRefused(t, r, f, Query{Isolated: true}, ErrNoServer)
	})

	// Guards against suspects of two entries on one server, whose crash would
	// count against both.
	t.Run("entries divide the servers for suspects", func(t *testing.T) {
		f := newFleet(4, 2)
		at := func(index int) *Router {
			return New(Config{FailureDomain: "d0", Region: "north", EntryPosition: func() (int, int) { return index, 2 }})
		}
		fill(server(t, f, "engine-0"), registrar.Online, 2)
		fill(server(t, f, "engine-2"), registrar.Online, 1)
		assert.Equal(t, choose(t, at(0), f, Query{Isolated: true}).Server.Name(), "engine-2")
		assert.Equal(t, choose(t, at(1), f, Query{Isolated: true}).Server.Name(), "engine-1")
		server(t, f, "engine-1").SetHealthy(false)
		assert.Equal(t, choose(t, at(1), f, Query{Isolated: true}).Server.Name(), "engine-3")
		server(t, f, "engine-3").SetHealthy(false)
		assert.Equal(t, choose(t, at(1), f, Query{Isolated: true}).Server.Name(), "engine-2")
	})
}

// Measures whether the cost per decision grows with the fleet.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		f := newFleet(n, 10)
		r := New(Config{FailureDomain: "d0", Region: "north"})
		p := pool(b, f)
		for _, q := range []Query{{Prefix: "you are a helpful desk"}, {}, {Class: registrar.Batch}} {
			name := fmt.Sprintf("servers=%d/prefix=%t/batch=%t", n, q.Prefix != "", q.Class == registrar.Batch)
			b.Run(name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					d, err := r.Choose(p, q)
					if err != nil {
						b.Fatal(err)
					}
					d.Server.Begin(registrar.Online)
					d.Server.End(registrar.Online)
				}
			})
		}
	}
}
