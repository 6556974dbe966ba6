package publisher_test

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A head write whose answer is lost may have taken effect, may never do so, or
// may do so later. In each case the release note must be accepted exactly once.
func TestLostAnswerOfHeadWrite(t *testing.T) {
	lost := func(storer.Entry, error) (storer.Entry, error) { return storer.Entry{}, storer.ErrUnknownEffect }

	t.Run("in effect", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) { return lost(put()) })
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, b, 2, "a", "b")
	})
	t.Run("never in effect", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		store.onHeadPut(func(func() (storer.Entry, error)) (storer.Entry, error) { return lost(storer.Entry{}, nil) })
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, b, 2, "a", "b")
	})
	t.Run("late, after the apply is over", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		var late func() (storer.Entry, error)
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			late = put
			return lost(storer.Entry{}, nil)
		})
		apply(t, p, "b")
		_, err := late()
		assert.ErrorIs(t, err, storer.ErrConflict)
		assertWorkspaces(t, b, 2, "a", "b")
	})
	t.Run("late, just before the second write", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		store.onHeadPut(func(late func() (storer.Entry, error)) (storer.Entry, error) {
			store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
				_, err := late()
				assert.NilError(t, err)
				return put()
			})
			return lost(storer.Entry{}, nil)
		})
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, b, 2, "a", "b")
	})
	t.Run("late, after another release note", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		other, _, _ := b.node("other")
		var late func() (storer.Entry, error)
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			late = put
			apply(t, other, "c")
			return lost(storer.Entry{}, nil)
		})
		assert.Equal(t, apply(t, p, "b").Revision, int64(3))
		_, err := late()
		assert.ErrorIs(t, err, storer.ErrConflict)
		assertWorkspaces(t, b, 3, "a", "b", "c")
	})
	t.Run("in effect and then built upon by others", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		other, _, _ := b.node("other")
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			_, err := put()
			assert.NilError(t, err)
			apply(t, other, "c")
			apply(t, other, "d")
			return lost(storer.Entry{}, nil)
		})
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, b, 4, "a", "b", "c", "d")
	})
	t.Run("in doubt while the platform is away", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			store.down.Store(true)
			return lost(put())
		})
		result, err := p.Apply(t.Context(), addition("b"), false)
		assert.ErrorIs(t, err, publisher.ErrInDoubt)
		assert.Equal(t, result.Revision, int64(2))
		assertWorkspaces(t, b, 2, "a", "b")
	})
}

// Operators act at the same time through different entries; none of their
// release notes may be lost or overwrite what its author has not seen.
func TestRacingApplies(t *testing.T) {
	t.Run("all that still apply are accepted", func(t *testing.T) {
		b := newBench()
		racers := pool.New().WithErrors()
		names := []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}
		for _, name := range names {
			p, _, _ := b.node(name)
			racers.Go(func() error {
				_, err := p.Apply(t.Context(), addition(name), false)
				return err
			})
		}
		assert.NilError(t, racers.Wait())
		assertWorkspaces(t, b, int64(len(names)), names...)
	})
	t.Run("of two that add the same one gets the fault", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		other, _, _ := b.node("other")
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			apply(t, other, "b")
			return put()
		})
		_, err := p.Apply(t.Context(), addition("b"), false)
		assertFault(t, err, "note.toml: added.workspace.b: exists already")
		assertWorkspaces(t, b, 2, "a", "b")
	})
	t.Run("a change to what another has changed meanwhile is refused", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		other, _, _ := b.node("other")
		store.onHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			_, err := other.Apply(t.Context(), change("a", 7), false)
			assert.NilError(t, err)
			return put()
		})
		_, err := p.Apply(t.Context(), change("a", 9), false)
		assertFault(t, err, "note.toml: workspace.a: was changed by another release note up to revision 2")
		assertWorkspaces(t, b, 2, "a")
	})
}

// An apply that is refused must leave the platform as it was.
func TestRefusedApplies(t *testing.T) {
	t.Run("dry run", func(t *testing.T) {
		b, p, _ := withOneRevision(t)
		result, err := p.Apply(t.Context(), addition("b"), true)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(result.Revision, result.Changes), "2 [{added workspace b}]")
		assertWorkspaces(t, b, 1, "a")
	})
	t.Run("platform away", func(t *testing.T) {
		b, p, store := withOneRevision(t)
		store.down.Store(true)
		_, err := p.Apply(t.Context(), addition("b"), false)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assertWorkspaces(t, b, 1, "a")
	})
	t.Run("head behind the configuration in force", func(t *testing.T) {
		b, p, _ := withOneRevision(t)
		entry, err := b.memory.Get(t.Context(), headKey)
		assert.NilError(t, err)
		assert.NilError(t, b.memory.Delete(t.Context(), headKey, entry.Version))
		_, err = p.Apply(t.Context(), addition("b"), false)
		assert.ErrorIs(t, err, publisher.ErrHeadBehind)
	})
	t.Run("fields of a newer version", func(t *testing.T) {
		b := newBench()
		p, _, _ := b.node("entry")
		forge(t, b, 1, `{"workspaces":[{"name":"a","rate":1,"burst":1}],"later":1}`)
		run(t, p)
		assertInForce(t, p, 1)
		_, err := p.Apply(t.Context(), addition("b"), false)
		assert.ErrorContains(t, err, "later")
	})
}

func withOneRevision(t *testing.T) (*bench, *publisher.Publisher, *faultyStore) {
	t.Helper()
	b := newBench()
	p, store, _ := b.node("entry")
	apply(t, p, "a")
	return b, p, store
}

// change is a release note that changes the rate of a workspace.
func change(name string, rate float64) declarer.ReleaseNote {
	n := declarer.ReleaseNote{File: "note.toml", Title: "change " + name}
	n.Changed.Workspaces = []declarer.Workspace{{Name: name, Rate: rate, Burst: 1}}
	return n
}
