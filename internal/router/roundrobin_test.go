package router

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// Guards against a baseline that skips servers or exceeds their batch bound,
// which would distort comparisons.
func TestRoundRobin(t *testing.T) {
	newRoundRobin := func() *RoundRobin { return NewRoundRobin(newTestRouter().cfg) }

	t.Run("all servers in turn", func(t *testing.T) {
		assertRoundRobin(t, newRoundRobin(), pool(t, newFleet(6, 3)), Query{}, 6)
	})
	t.Run("an excluded server is skipped", func(t *testing.T) {
		assertRoundRobin(t, newRoundRobin(), pool(t, newFleet(2, 1)), Query{Exclude: []string{"engine-0"}}, 1)
	})
	t.Run("batch items need capacity", func(t *testing.T) {
		f := newFleet(2, 1)
		fillBatchHeadroom(t, f, "engine-1")
		assertRoundRobin(t, newRoundRobin(), pool(t, f), Query{Class: registrar.Batch}, 1)
		fillBatchHeadroom(t, f, "engine-0")
		_, err := newRoundRobin().Choose(pool(t, f), Query{Class: registrar.Batch})
		assert.Assert(t, errors.Is(err, ErrNoCapacity))
	})
	t.Run("no server is left", func(t *testing.T) {
		_, err := newRoundRobin().Choose(pool(t, newFleet(1, 1)), Query{Exclude: []string{"engine-0"}})
		assert.Assert(t, errors.Is(err, ErrNoServer))
	})
}

// fillBatchHeadroom fills a server with batch items.
func fillBatchHeadroom(t *testing.T, f *registrar.Fleet, name string) {
	t.Helper()
	s, ok := f.Server(name)
	assert.Assert(t, ok)
	fill(s, registrar.Batch, s.Load().BatchHeadroom())
}

// assertRoundRobin checks that twice as many choices as there are servers select
// each server twice.
func assertRoundRobin(t *testing.T, r *RoundRobin, p *registrar.Pool, q Query, servers int) {
	t.Helper()
	counts := map[string]int{}
	for range 2 * servers {
		d, err := r.Choose(p, q)
		assert.NilError(t, err)
		assert.Equal(t, d.Reason, ReasonRoundRobin)
		counts[d.Server.Name()]++
	}
	assert.Equal(t, len(counts), servers)
	for name, n := range counts {
		assert.Equal(t, n, 2, name)
	}
}
