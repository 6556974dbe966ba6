package enroller

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const prefix = "member/"

type fixture struct {
	store *storeemulator.Store
	e     *Enroller
	stop  func()

	mu   sync.Mutex
	last Membership
}

func startEnroller(t *testing.T) *fixture {
	t.Helper()
	clock := clockwork.NewRealClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &fixture{store: storeemulator.New(clock)}
	r.e = New(Config{
		Self: Member{ID: "a", Incarnation: "a1"}, Prefix: prefix, Store: r.store, Clock: clock, Logger: logger,
		Changed: func(m Membership) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.last = m
		},
	})
	r.e.ApplyEntries(follower.Snapshot{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := r.e.Start(ctx)
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			cancel()
			assert.NilError(t, <-ended)
		})
	}
	t.Cleanup(r.stop)
	return r
}

func awaitTerm(t *testing.T, r *fixture, term int, held bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n, h := r.e.Term(); n != term || h != held {
			return poll.Continue("term %d, held %t", n, h)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// applyEntries passes the entries in the store to the enroller.
func (r *fixture) applyEntries(t *testing.T) Membership {
	t.Helper()
	l, err := r.store.List(t.Context(), prefix)
	assert.NilError(t, err)
	r.e.ApplyEntries(follower.Snapshot{Entries: l.Entries, Version: l.Version})
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

func (r *fixture) putEntry(t *testing.T, m Member) {
	t.Helper()
	value, err := encode(m)
	assert.NilError(t, err)
	_, err = r.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: prefix + m.ID, Value: value}}})
	assert.NilError(t, err)
}

func (r *fixture) removeEntry(t *testing.T, id string) {
	t.Helper()
	_, err := r.store.Commit(t.Context(), storer.Transaction{Remove: []string{prefix + id}})
	assert.NilError(t, err)
}

func assertMembership(t *testing.T, m Membership, peers, absent int) {
	t.Helper()
	assert.Equal(t, len(m.Peers), peers, "peers")
	assert.Equal(t, len(m.Absent), absent, "absent")
}

// TestTerm guards against instances that still act as the owner of jobs after their
// lease has expired.
func TestTerm(t *testing.T) {
	r := startEnroller(t)
	awaitTerm(t, r, 1, true)
	t.Run("a new lease starts a new term", func(t *testing.T) {
		r.store.ExpireLeases()
		awaitTerm(t, r, 2, true)
	})
	t.Run("the entry is removed when the instance stops", func(t *testing.T) {
		r.stop()
		_, err := r.store.Get(t.Context(), prefix+"a")
		assert.ErrorIs(t, err, storer.ErrNotFound)
	})
}

// TestMembership guards against instances that lose their share of the contracts when
// they are cut off from the store, and against ones that keep it after they have left.
func TestMembership(t *testing.T) {
	r := startEnroller(t)
	awaitTerm(t, r, 1, true)
	r.putEntry(t, Member{ID: "b", Incarnation: "b1"})
	r.putEntry(t, Member{ID: "c", Incarnation: "c1"})
	assertMembership(t, r.applyEntries(t), 2, 0)
	t.Run("an instance whose entry expires is absent", func(t *testing.T) {
		r.removeEntry(t, "b")
		assertMembership(t, r.applyEntries(t), 1, 1)
	})
	t.Run("an absent instance returns", func(t *testing.T) {
		r.putEntry(t, Member{ID: "b", Incarnation: "b2"})
		assertMembership(t, r.applyEntries(t), 2, 0)
	})
	t.Run("an instance that leaves is not absent", func(t *testing.T) {
		r.putEntry(t, Member{ID: "c", Incarnation: "c1", Leaving: true})
		assertMembership(t, r.applyEntries(t), 2, 0)
		r.removeEntry(t, "c")
		assertMembership(t, r.applyEntries(t), 1, 0)
	})
	t.Run("an entry of another writer is ignored", func(t *testing.T) {
		_, err := r.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: prefix + "d", Value: []byte("{")}}})
		assert.NilError(t, err)
		assertMembership(t, r.applyEntries(t), 1, 0)
	})
}

// TestPreviousIncarnation guards against an instance that overwrites the entry of its
// previous incarnation before it has read it.
func TestPreviousIncarnation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	store := storeemulator.New(clock)
	var last Membership
	e := New(Config{
		Self: Member{ID: "a", Incarnation: "a2"}, Prefix: prefix, Store: store, Clock: clock, Logger: logger,
		Changed: func(m Membership) { last = m },
	})
	assert.Equal(t, e.step(t.Context()), entriesPollInterval)
	value, err := encode(Member{ID: "a", Incarnation: "a1", StartedMs: clock.Now().UnixMilli()})
	assert.NilError(t, err)
	e.ApplyEntries(follower.Snapshot{Entries: []storer.Entry{{Key: prefix + "a", Value: value}}})
	assert.Equal(t, last.PreviousIncarnation.Incarnation, "a1")
	assert.Equal(t, last.PreviousIncarnation.StartedMs, clock.Now().UnixMilli())
	assert.Equal(t, e.step(t.Context()), renewInterval)
	e.ApplyEntries(follower.Snapshot{})
	assert.Equal(t, last.PreviousIncarnation.Incarnation, "a1")
}
