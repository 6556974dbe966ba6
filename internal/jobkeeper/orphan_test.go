package jobkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// firstSuccessor returns the instance of two that succeeds another one.
func firstSuccessor(of, a, b string) string {
	if xxhash.Sum64String(of+"\x00"+a) > xxhash.Sum64String(of+"\x00"+b) {
		return a
	}
	return b
}

// idThat returns an ID with a property.
func idThat(t *testing.T, has func(id string) bool) string {
	t.Helper()
	for n := range 10_000 {
		if id := fmt.Sprintf("m%d", n); has(id) {
			return id
		}
	}
	t.Fatal("no ID has the property")
	return ""
}

// A lostSuccessor is a job of k1, which is gone. Its successor was lost before it took the
// job over and is still in the membership.
type lostSuccessor struct {
	cluster   *testCluster
	survivor  *Keeper // It saw that k1 vanished, and succeeds the lost successor.
	joined    string  // It succeeds k1 after the lost successor, and joins after k1 vanished.
	successor enroller.Member
}

func newLostSuccessor(t *testing.T) lostSuccessor {
	t.Helper()
	c := newTestCluster()
	c.client.hold = make(chan struct{})
	owner := c.startKeeper(t, "k1")
	survivor := c.startKeeper(t, "k2")
	joined := idThat(t, func(id string) bool { return firstSuccessor("k1", id, "k2") == id })
	successor := enroller.Member{ID: idThat(t, func(id string) bool {
		return firstSuccessor("k1", id, joined) == id && firstSuccessor(id, joined, "k2") == "k2"
	})}
	submit(t, owner, manifest("i1"))
	c.terms["k1"].set(1, false)
	survivor.SetMembers(enroller.Membership{Peers: []enroller.Member{c.members["k1"], successor}})
	_, err := c.store.Commit(t.Context(), storer.Transaction{Remove: []string{"member/k1"}})
	assert.NilError(t, err)
	survivor.SetMembers(enroller.Membership{Peers: []enroller.Member{successor}})
	return lostSuccessor{cluster: c, survivor: survivor, joined: joined, successor: successor}
}

// TestLostSuccessor guards against jobs that are left lying until the scan of the minute
// when the successor of their owner is lost before its entry ends (site jhwca-cellars,
// review/7).
func TestLostSuccessor(t *testing.T) {
	t.Run("the next successor has joined after the owner vanished", func(t *testing.T) {
		l := newLostSuccessor(t)
		joined := l.cluster.startKeeper(t, l.joined)
		awaitScan(t, joined)
		firstScan := time.Now()
		joined.SetMembers(enroller.Membership{Peers: []enroller.Member{l.cluster.members["k2"], l.successor}})
		l.survivor.SetMembers(enroller.Membership{Peers: []enroller.Member{l.cluster.members[l.joined], l.successor}})
		awaitScanAfter(t, joined, firstScan)
		joined.SetMembers(enroller.Membership{Peers: []enroller.Member{l.cluster.members["k2"]}})
		l.survivor.SetMembers(enroller.Membership{Peers: []enroller.Member{l.cluster.members[l.joined]}})
		awaitOwnedByOne(t, l.survivor, joined)
	})
	t.Run("the next successor is lost without a scan", func(t *testing.T) {
		l := newLostSuccessor(t)
		next := enroller.Member{ID: l.joined}
		l.survivor.SetMembers(enroller.Membership{Peers: []enroller.Member{next, l.successor}})
		l.survivor.SetMembers(enroller.Membership{Peers: []enroller.Member{next}})
		awaitOwnedByOne(t, l.survivor)
	})
}

// TestOrphanSet guards against takeovers of jobs that their successors are taking over, and
// against repeated takeovers that fail.
func TestOrphanSet(t *testing.T) {
	now := time.Now()
	s := orphanSet{}
	assertScan := func(t *testing.T, version int64, after time.Duration, wantDue, wantWaiting bool) {
		t.Helper()
		s.beginScan()
		assert.Equal(t, s.find(jobID, version, orphanTakeoverDelay, now.Add(after)), wantDue)
		assert.Equal(t, s.endScan(now.Add(after)), wantWaiting)
	}
	t.Run("a new orphan waits", func(t *testing.T) { assertScan(t, 1, 0, false, true) })
	t.Run("it is due after the delay", func(t *testing.T) { assertScan(t, 1, orphanTakeoverDelay, true, false) })
	t.Run("it waits again after a write", func(t *testing.T) { assertScan(t, 2, orphanTakeoverDelay, false, true) })
	t.Run("an unusable one is tried once", func(t *testing.T) {
		at := now.Add(2 * orphanTakeoverDelay)
		s.beginScan()
		assert.Assert(t, s.find(jobID, 2, orphanTakeoverDelay, at))
		assert.Equal(t, s.markUnusable(jobID, at), at)
		s.endScan(at)
		assertScan(t, 2, 3*orphanTakeoverDelay, false, false)
	})
	t.Run("its successor tries it in each scan", func(t *testing.T) {
		at := now.Add(4 * orphanTakeoverDelay)
		s.beginScan()
		assert.Assert(t, s.find(jobID, 2, 0, at))
		assert.Equal(t, s.markUnusable(jobID, at), now.Add(2*orphanTakeoverDelay))
		assert.Assert(t, !s.endScan(at))
	})
	t.Run("one that has gone is forgotten", func(t *testing.T) {
		s.beginScan()
		assert.Assert(t, !s.endScan(now))
		assert.Equal(t, len(s.known), 0)
	})
}
