package enroller

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
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
	store       *storeemulator.Store
	late        *lateStore // Wraps store.
	e           *Enroller
	cancel      context.CancelFunc
	ended       <-chan error
	enrollments atomic.Int64 // Calls of Enrolled.

	mu   sync.Mutex
	last Membership
}

// startEnroller starts the first incarnation of an instance, after the functions have
// prepared its store.
func startEnroller(t *testing.T, prepare ...func(*lateStore)) *fixture {
	t.Helper()
	store := storeemulator.New(clockwork.NewRealClock())
	r := &fixture{store: store, late: &lateStore{Store: store}}
	for _, f := range prepare {
		f(r.late)
	}
	return r.startIncarnation(t, "a1")
}

// startIncarnation starts an incarnation of the instance on the same store.
func (r *fixture) startIncarnation(t *testing.T, incarnation string) *fixture {
	t.Helper()
	clock := clockwork.NewRealClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	next := &fixture{store: r.store, late: r.late}
	next.e = New(Config{
		Self: Member{ID: "a", Incarnation: incarnation}, Prefix: prefix, Store: next.late, Clock: clock, Logger: logger,
		Enrolled: func() { next.enrollments.Add(1) },
		Changed: func(m Membership) {
			next.mu.Lock()
			defer next.mu.Unlock()
			next.last = m
		},
	})
	next.applyEntries(t)
	ctx, cancel := context.WithCancel(context.Background())
	next.cancel, next.ended = cancel, next.e.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-next.ended) // Nil after it was read once.
	})
	return next
}

func (r *fixture) stop(t *testing.T) {
	t.Helper()
	r.cancel()
	assert.NilError(t, <-r.ended)
}

func awaitTerm(t *testing.T, r *fixture, term int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n, held := r.e.Term(); n != term || !held {
			return poll.Continue("term %d, held %t", n, held)
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
	awaitTerm(t, r, 1)
	t.Run("a new lease starts a new term", func(t *testing.T) {
		r.store.ExpireLeases()
		awaitTerm(t, r, 2)
	})
	t.Run("the entry is removed when the instance stops", func(t *testing.T) {
		r.stop(t)
		_, err := r.store.Get(t.Context(), prefix+"a")
		assert.ErrorIs(t, err, storer.ErrNotFound)
	})
}

// TestMembership guards against instances that lose their share of the contracts when
// they are cut off from the store, and against ones that keep it after they have left.
func TestMembership(t *testing.T) {
	r := startEnroller(t)
	awaitTerm(t, r, 1)
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
