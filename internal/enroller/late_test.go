package enroller

import (
	"context"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A lateStore carries out a transaction late and loses its answer.
type lateStore struct {
	*storeemulator.Store

	mu       sync.Mutex
	postpone bool // The next transaction is postponed.
	late     *storer.Transaction
}

func (s *lateStore) Commit(ctx context.Context, t storer.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.postpone {
		s.postpone, s.late = false, &t
		return 0, storer.ErrUnknownEffect
	}
	return s.Store.Commit(ctx, t)
}

func (s *lateStore) postponeNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postpone = true
}

// carryOut carries out the postponed transaction, if its conditions still hold.
func (s *lateStore) carryOut(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	assert.Assert(t, late != nil, "no transaction was postponed")
	_, _ = s.Store.Commit(t.Context(), *late)
}

// assertEntry checks that the entry of an instance is present, and bound to the lease
// that the instance renews.
func assertEntry(t *testing.T, r *fixture, incarnation string) {
	t.Helper()
	entry, err := r.store.Get(t.Context(), prefix+"a")
	assert.NilError(t, err)
	var m Member
	assert.NilError(t, cbor.Unmarshal(entry.Value, &m))
	assert.Equal(t, m.Incarnation, incarnation)
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	assert.Equal(t, entry.LeaseID, r.e.lease.ID, "the entry is bound to a lease that nobody renews")
}

// TestLateWrites guards against instances without an entry whose jobs nobody takes over,
// and against two owners of a job, after the store carries out a write of an entry late.
func TestLateWrites(t *testing.T) {
	t.Run("an enrollment", func(t *testing.T) {
		r := startEnroller(t, func(s *lateStore) { s.postponeNext() })
		awaitTerm(t, r, 1)
		r.late.carryOut(t)
		assertEntry(t, r, "a1")
	})
	t.Run("an enrollment, before it is repeated", func(t *testing.T) {
		r := startEnroller(t, func(s *lateStore) { s.postponeNext() })
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			r.late.mu.Lock()
			defer r.late.mu.Unlock()
			if r.late.late == nil {
				return poll.Continue("the instance has not enrolled")
			}
			return poll.Success()
		})
		r.late.carryOut(t)
		awaitTerm(t, r, 1)
		assertEntry(t, r, "a1")
	})
	t.Run("an announcement that the instance leaves", func(t *testing.T) {
		r := startEnroller(t)
		awaitTerm(t, r, 1)
		r.late.postponeNext()
		r.e.Leave()
		awaitTerm(t, r, 2)
		r.late.carryOut(t)
		assertEntry(t, r, "a1")
	})
	t.Run("the removal by the previous incarnation", func(t *testing.T) {
		r := startEnroller(t)
		awaitTerm(t, r, 1)
		r.late.postponeNext()
		r.cancel()
		assert.ErrorIs(t, <-r.ended, storer.ErrUnknownEffect)
		next := r.startIncarnation(t, "a2")
		awaitTerm(t, next, 1)
		r.late.carryOut(t)
		assertEntry(t, next, "a2")
	})
}

// TestChangedEntry guards against instances that hold their lease, find their entry
// absent or overwritten, and go on as the owners of their jobs.
func TestChangedEntry(t *testing.T) {
	t.Run("absent", func(t *testing.T) {
		r := startEnroller(t)
		awaitTerm(t, r, 1)
		r.removeEntry(t, "a")
		r.applyEntries(t)
		awaitTerm(t, r, 2)
		assertEntry(t, r, "a1")
	})
	t.Run("overwritten by a late write of an earlier build", func(t *testing.T) {
		r := startEnroller(t)
		awaitTerm(t, r, 1)
		r.putEntry(t, Member{ID: "a", Incarnation: "a0"})
		r.applyEntries(t)
		awaitTerm(t, r, 2)
		assertEntry(t, r, "a1")
	})
	t.Run("a snapshot from before the enrollment", func(t *testing.T) {
		r := startEnroller(t)
		awaitTerm(t, r, 1)
		r.e.mu.Lock()
		r.e.checkOwnEntry(follower.Snapshot{Version: 1})
		held := r.e.enrolled
		r.e.mu.Unlock()
		assert.Assert(t, held, "an old snapshot ended the term")
	})
	t.Run("each enrollment is reported", func(t *testing.T) {
		r := startEnroller(t)
		awaitTerm(t, r, 1)
		r.store.ExpireLeases()
		awaitTerm(t, r, 2)
		assert.Equal(t, r.enrollments.Load(), int64(2))
	})
}
