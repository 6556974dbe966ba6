package publisher_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// An outage of the platform breaks the waiting watch; the configuration stays
// in force, and what was accepted meanwhile comes into force afterwards.
func TestOutageDuringWatch(t *testing.T) {
	outages := []platformemulator.Outage{
		platformemulator.OutageDrop,
		platformemulator.OutageHang,
		platformemulator.OutageRefuse,
	}
	for _, outage := range outages {
		t.Run(string(outage), func(t *testing.T) {
			b := newBench()
			server := startPlatform(t, b)
			cut := b.nodeOn("cut", storer.NewClient(storer.ClientConfig{
				Address:      server.Address(),
				CallTimeout:  100 * time.Millisecond,
				WatchTimeout: 100 * time.Millisecond,
				Clock:        clockwork.NewRealClock(),
			}))
			run(t, cut)
			inside, _, _ := newBenchOn(b).node("inside")
			apply(t, inside, "a")
			assertInForce(t, cut, 1)

			assert.NilError(t, server.SetFaults(platformemulator.Faults{Outage: outage}))
			apply(t, inside, "b")
			_, err := cut.Apply(t.Context(), addition("c"), true)
			assert.ErrorIs(t, err, storer.ErrUnavailable)
			assertInForce(t, cut, 1)

			assert.NilError(t, server.SetFaults(platformemulator.Faults{}))
			assertInForce(t, cut, 2)
		})
	}
}

// The platform counts each call: one waiting watch and two writes for each
// revision are all that an entry may cost beside the reads of an apply.
func TestCallsToThePlatform(t *testing.T) {
	b := newBench()
	server := startPlatform(t, b)
	cfg := storer.ClientConfig{Address: server.Address(), Clock: clockwork.NewRealClock()}
	p := b.nodeOn("entry", storer.NewClient(cfg))
	run(t, p)
	apply(t, p, "a")
	apply(t, p, "b")
	assertInForce(t, p, 2)
	stats := server.Stats()
	assert.Assert(t, stats.Watches <= 3, "%+v", stats)
	assert.Equal(t, stats.Writes, int64(4))
}

// An accepted configuration never reverts, whatever the platform or a peer
// says later.
func TestNoRevert(t *testing.T) {
	b := newBench()
	b.network.liar = "behind"
	p, store, j := b.node("entry")
	run(t, p)
	for _, name := range []string{"a", "b", "c"} {
		apply(t, p, name)
	}
	older := newBenchOn(b)
	older.memory = storer.NewMemory(clockwork.NewRealClock())
	behind, _, _ := older.node("behind")
	apply(t, behind, "z")
	b.network.add("behind", behind)

	t.Run("by the head", func(t *testing.T) {
		forge(t, b, 2, `{"workspaces":[]}`)
		forge(t, b, 3, `{"workspaces":[]}`)
		forge(t, b, 4, `{"workspaces":[{"name":"d","rate":1,"burst":1}]}`)
		assertInForce(t, p, 4)
	})
	t.Run("by a peer", func(t *testing.T) {
		p.ObserveRevision("behind", 1)
		p.ObserveRevision("behind", 9) // It sends revision 1.
		waitFor(t, func() bool { return b.network.lies.Load() == 1 })
		forge(t, b, 5, `{"workspaces":[]}`)
		assertInForce(t, p, 5)
	})
	t.Run("by a damaged snapshot or head", func(t *testing.T) {
		putHead(t, b, `{"revision":9,"snapshot":"config/snapshot/8-x-y"}`)
		putHead(t, b, `not JSON`)
		damaged := "config/snapshot/6-" + strings.Repeat("0", 64) + "-forged"
		data := []byte(`{"revision":6,"apply-id":"forged","declaration":{}}`)
		_, err := b.memory.Put(t.Context(), storer.PutRequest{Key: damaged, Value: data})
		assert.NilError(t, err)
		putHead(t, b, `{"revision":6,"snapshot":"`+damaged+`"}`)
		waitFor(t, func() bool { return store.read() == damaged })
		forge(t, b, 7, `{"workspaces":[]}`)
		assertInForce(t, p, 7)
	})
	assert.DeepEqual(t, j.revisions, []int64{1, 2, 3, 4, 5, 7})
}

// A failure domain that is cut off from the platform learns the configuration
// through a peer.
func TestPeerWithoutPlatform(t *testing.T) {
	t.Run("by the announcement of the accepting entry", func(t *testing.T) {
		b := newBench()
		accepting, _, _ := b.node("accepting")
		cut, store, _ := b.node("cut")
		store.down.Store(true)
		run(t, accepting)
		run(t, cut)
		apply(t, accepting, "a")
		assertInForce(t, cut, 1)
		apply(t, accepting, "b")
		assertInForce(t, cut, 2)
	})
	t.Run("by a heartbeat, over an entry that is cut off too", func(t *testing.T) {
		b := newBench()
		accepting, _, _ := b.node("accepting")
		apply(t, accepting, "a")
		near, nearStore, _ := b.node("near")
		far, farStore, j := b.node("far")
		nearStore.down.Store(true)
		farStore.down.Store(true)
		run(t, near)
		run(t, far)
		_, ok := far.Current()
		assert.Assert(t, !ok)
		near.ObserveRevision("accepting", 1)
		assertInForce(t, near, 1)
		far.ObserveRevision("unreachable", 1)
		far.ObserveRevision("near", 1)
		assertInForce(t, far, 1)
		assert.DeepEqual(t, j.revisions, []int64{1})
	})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !condition() {
			return poll.Continue("not yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func startPlatform(t *testing.T, b *bench) *platformemulator.Server {
	t.Helper()
	server, err := platformemulator.New(platformemulator.Config{Address: "127.0.0.1:0", Memory: b.memory})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := server.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return server
}

// newBenchOn shares the store of a bench but not its network.
func newBenchOn(b *bench) *bench {
	other := newBench()
	other.memory = b.memory
	return other
}

// forge stores a snapshot and moves the head to it past all checks.
func forge(t *testing.T, b *bench, revision int64, declaration string) {
	t.Helper()
	data := fmt.Appendf(nil, `{"revision":%d,"apply-id":"forged","title":"","declaration":%s}`, revision, declaration)
	key := fmt.Sprintf("config/snapshot/%d-%x-forged", revision, sha256.Sum256(data))
	_, err := b.memory.Put(t.Context(), storer.PutRequest{Key: key, Value: data})
	assert.NilError(t, err)
	putHead(t, b, fmt.Sprintf(`{"revision":%d,"snapshot":%q}`, revision, key))
}

func putHead(t *testing.T, b *bench, value string) {
	t.Helper()
	head, err := b.memory.Get(t.Context(), headKey)
	assert.Assert(t, err == nil || errors.Is(err, storer.ErrNotFound), "%v", err)
	_, err = b.memory.Put(t.Context(), storer.PutRequest{Key: headKey, Value: []byte(value), ExpectedVersion: head.Version})
	assert.NilError(t, err)
}
