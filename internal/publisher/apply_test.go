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

// Guards against a release note that is dropped or applied twice when the answer
// to its head write is lost: the write may have taken effect, may never do so,
// or may do so later.
func TestLostAnswerOfHeadWrite(t *testing.T) {
	lost := func(storer.Entry, error) (storer.Entry, error) { return storer.Entry{}, storer.ErrUnknownEffect }

	t.Run("write took effect", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) { return lost(put()) })
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, d, 2, "a", "b")
	})
	t.Run("write never takes effect", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		store.interceptHeadPut(func(func() (storer.Entry, error)) (storer.Entry, error) { return lost(storer.Entry{}, nil) })
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, d, 2, "a", "b")
	})
	t.Run("write delayed until after the apply", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		var late func() (storer.Entry, error)
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			late = put
			return lost(storer.Entry{}, nil)
		})
		apply(t, p, "b")
		_, err := late()
		assert.ErrorIs(t, err, storer.ErrConflict)
		assertWorkspaces(t, d, 2, "a", "b")
	})
	t.Run("write delayed until just before its repetition", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		store.interceptHeadPut(func(late func() (storer.Entry, error)) (storer.Entry, error) {
			store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
				_, err := late()
				assert.NilError(t, err)
				return put()
			})
			return lost(storer.Entry{}, nil)
		})
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, d, 2, "a", "b")
	})
	t.Run("write delayed until after another release note", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		other, _, _ := d.newPublisher("other")
		var late func() (storer.Entry, error)
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			late = put
			apply(t, other, "c")
			return lost(storer.Entry{}, nil)
		})
		assert.Equal(t, apply(t, p, "b").Revision, int64(3))
		_, err := late()
		assert.ErrorIs(t, err, storer.ErrConflict)
		assertWorkspaces(t, d, 3, "a", "b", "c")
	})
	t.Run("write took effect and other revisions followed", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		other, _, _ := d.newPublisher("other")
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			_, err := put()
			assert.NilError(t, err)
			apply(t, other, "c")
			apply(t, other, "d")
			return lost(storer.Entry{}, nil)
		})
		assert.Equal(t, apply(t, p, "b").Revision, int64(2))
		assertWorkspaces(t, d, 4, "a", "b", "c", "d")
	})
	t.Run("in doubt during a platform outage", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			store.down.Store(true)
			return lost(put())
		})
		result, err := p.Apply(t.Context(), addition("b"), false)
		assert.ErrorIs(t, err, publisher.ErrInDoubt)
		assert.Equal(t, result.Revision, int64(2))
		assertWorkspaces(t, d, 2, "a", "b")
	})
}

// Guards against concurrent applies through different entries that lose a
// release note or overwrite a change that its author has not seen.
func TestRacingApplies(t *testing.T) {
	t.Run("release notes without conflicts are all accepted", func(t *testing.T) {
		d := newTestDeployment()
		racers := pool.New().WithErrors()
		names := []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}
		for _, name := range names {
			p, _, _ := d.newPublisher(name)
			racers.Go(func() error {
				_, err := p.Apply(t.Context(), addition(name), false)
				return err
			})
		}
		assert.NilError(t, racers.Wait())
		assertWorkspaces(t, d, int64(len(names)), names...)
	})
	t.Run("the second of two that add the same workspace is refused", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		other, _, _ := d.newPublisher("other")
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			apply(t, other, "b")
			return put()
		})
		_, err := p.Apply(t.Context(), addition("b"), false)
		assertFault(t, err, "note.toml: added.workspace.b: exists already")
		assertWorkspaces(t, d, 2, "a", "b")
	})
	t.Run("a change to a workspace that was changed concurrently is refused", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		other, _, _ := d.newPublisher("other")
		store.interceptHeadPut(func(put func() (storer.Entry, error)) (storer.Entry, error) {
			_, err := other.Apply(t.Context(), change("a", 7), false)
			assert.NilError(t, err)
			return put()
		})
		_, err := p.Apply(t.Context(), change("a", 9), false)
		assertFault(t, err, "note.toml: workspace.a: was changed by another release note up to revision 2")
		assertWorkspaces(t, d, 2, "a")
	})
}

// Guards against a refused apply or a dry run that changes the configuration.
func TestRefusedApplies(t *testing.T) {
	t.Run("dry run", func(t *testing.T) {
		d, p, _ := withOneRevision(t)
		result, err := p.Apply(t.Context(), addition("b"), true)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(result.Revision, result.Changes), "2 [{added workspace b}]")
		assertWorkspaces(t, d, 1, "a")
	})
	t.Run("platform outage", func(t *testing.T) {
		d, p, store := withOneRevision(t)
		store.down.Store(true)
		_, err := p.Apply(t.Context(), addition("b"), false)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assertWorkspaces(t, d, 1, "a")
	})
	t.Run("head behind the configuration in force", func(t *testing.T) {
		d, p, _ := withOneRevision(t)
		entry, err := d.memory.Get(t.Context(), headKey)
		assert.NilError(t, err)
		assert.NilError(t, d.memory.Delete(t.Context(), headKey, entry.Version))
		_, err = p.Apply(t.Context(), addition("b"), false)
		assert.ErrorIs(t, err, publisher.ErrHeadBehind)
	})
	t.Run("fields of a newer version", func(t *testing.T) {
		d := newTestDeployment()
		p, _, _ := d.newPublisher("entry")
		putSnapshot(t, d, 1, `{"workspaces":[{"name":"a","rate":1,"burst":1}],"later":1}`)
		start(t, p)
		assertInForce(t, p, 1)
		_, err := p.Apply(t.Context(), addition("b"), false)
		assert.ErrorContains(t, err, "later")
	})
}

func withOneRevision(t *testing.T) (*testDeployment, *publisher.Publisher, *faultyStore) {
	t.Helper()
	d := newTestDeployment()
	p, store, _ := d.newPublisher("entry")
	apply(t, p, "a")
	return d, p, store
}

// change returns a release note that changes the rate of a workspace.
func change(name string, rate float64) declarer.ReleaseNote {
	n := declarer.ReleaseNote{File: "note.toml", Title: "change " + name}
	n.Changed.Workspaces = []declarer.Workspace{{Name: name, Rate: rate, Burst: 1}}
	return n
}
