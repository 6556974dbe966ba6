package router

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// TestRoundRobin guards against a baseline that leaves out servers or fills
// them beyond their bound, which would make comparisons with it unfair.
func TestRoundRobin(t *testing.T) {
	newTurns := func() *RoundRobin { return NewRoundRobin(newTestRouter().cfg) }

	t.Run("all servers in turn", func(t *testing.T) {
		assertTurns(t, newTurns(), pool(t, newFleet(6, 3)), Query{}, 6)
	})
	t.Run("a tried server is passed over", func(t *testing.T) {
		assertTurns(t, newTurns(), pool(t, newFleet(2, 1)), Query{Exclude: []string{"engine-0"}}, 1)
	})
	t.Run("batch needs room", func(t *testing.T) {
		f := newFleet(2, 1)
		fillBatch(t, f, "engine-1")
		assertTurns(t, newTurns(), pool(t, f), Query{Class: registrar.Batch}, 1)
		fillBatch(t, f, "engine-0")
		_, err := newTurns().Choose(pool(t, f), Query{Class: registrar.Batch})
		assert.Assert(t, errors.Is(err, ErrNoRoom))
	})
	t.Run("no server is left", func(t *testing.T) {
		_, err := newTurns().Choose(pool(t, newFleet(1, 1)), Query{Exclude: []string{"engine-0"}})
		assert.Assert(t, errors.Is(err, ErrNoServer))
	})
}

// fillBatch takes all room for batch items of a server.
func fillBatch(t *testing.T, f *registrar.Fleet, name string) {
	t.Helper()
	s, ok := f.Server(name)
	assert.Assert(t, ok)
	fill(s, registrar.Batch, s.Load().BatchHeadroom())
}

// assertTurns checks that as many choices as there are servers differ, and that
// the next ones repeat them.
func assertTurns(t *testing.T, r *RoundRobin, p *registrar.Pool, q Query, servers int) {
	t.Helper()
	counts := map[string]int{}
	for range 2 * servers {
		d, err := r.Choose(p, q)
		assert.NilError(t, err)
		assert.Equal(t, d.Reason, ReasonTurn)
		counts[d.Server.Name()]++
	}
	assert.Equal(t, len(counts), servers)
	for name, n := range counts {
		assert.Equal(t, n, 2, name)
	}
}
