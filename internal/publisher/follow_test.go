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

// Guards against an instance that loses its configuration when a platform outage
// breaks its watch, or that misses revisions accepted during the outage.
func TestOutageDuringWatch(t *testing.T) {
	outages := []platformemulator.Outage{
		platformemulator.OutageDrop,
		platformemulator.OutageHang,
		platformemulator.OutageRefuse,
	}
	for _, outage := range outages {
		t.Run(string(outage), func(t *testing.T) {
			d := newTestDeployment()
			server := startPlatform(t, d)
			isolated := d.newPublisherWithStore("cut", storer.NewClient(storer.ClientConfig{
				Address:      server.Address(),
				CallTimeout:  100 * time.Millisecond,
				WatchTimeout: 100 * time.Millisecond,
				Clock:        clockwork.NewRealClock(),
			}))
			start(t, isolated)
			connected, _, _ := newDeploymentWithStoreOf(d).newPublisher("inside")
			apply(t, connected, "a")
			assertInForce(t, isolated, 1)

			assert.NilError(t, server.SetFaults(platformemulator.Faults{Outage: outage}))
			apply(t, connected, "b")
			_, err := isolated.Apply(t.Context(), addition("c"), true)
			assert.ErrorIs(t, err, storer.ErrUnavailable)
			assertInForce(t, isolated, 1)

			assert.NilError(t, server.SetFaults(platformemulator.Faults{}))
			assertInForce(t, isolated, 2)
		})
	}
}

// Guards against excess calls to the platform, which counts each one: an entry
// may make one long-polling watch and two writes for each revision beside the
// reads of an apply.
func TestCallsToThePlatform(t *testing.T) {
	d := newTestDeployment()
	server := startPlatform(t, d)
	cfg := storer.ClientConfig{Address: server.Address(), Clock: clockwork.NewRealClock()}
	p := d.newPublisherWithStore("entry", storer.NewClient(cfg))
	start(t, p)
	apply(t, p, "a")
	apply(t, p, "b")
	assertInForce(t, p, 2)
	stats := server.Stats()
	assert.Assert(t, stats.Watches <= 3, "%+v", stats)
	assert.Equal(t, stats.Writes, int64(4))
}

// Guards against a revert to an older revision because of a stale or damaged
// head, snapshot or peer answer.
func TestNoRevert(t *testing.T) {
	d := newTestDeployment()
	d.network.stalePeer = "behind"
	p, store, j := d.newPublisher("entry")
	start(t, p)
	for _, name := range []string{"a", "b", "c"} {
		apply(t, p, name)
	}
	separate := newDeploymentWithStoreOf(d)
	separate.memory = storer.NewMemory(clockwork.NewRealClock())
	behind, _, _ := separate.newPublisher("behind")
	apply(t, behind, "z")
	d.network.add("behind", behind)

	t.Run("head with a lower or equal revision", func(t *testing.T) {
		putSnapshot(t, d, 2, `{"workspaces":[]}`)
		putSnapshot(t, d, 3, `{"workspaces":[]}`)
		putSnapshot(t, d, 4, `{"workspaces":[{"name":"d","rate":1,"burst":1}]}`)
		assertInForce(t, p, 4)
	})
	t.Run("peer sends an older snapshot", func(t *testing.T) {
		p.ObserveRevision("behind", 1)
		p.ObserveRevision("behind", 9) // The peer sends revision 1.
		waitFor(t, func() bool { return d.network.staleResponses.Load() == 1 })
		putSnapshot(t, d, 5, `{"workspaces":[]}`)
		assertInForce(t, p, 5)
	})
	t.Run("damaged snapshot or head", func(t *testing.T) {
		putHead(t, d, `{"revision":9,"snapshot":"config/snapshot/8-x-y"}`)
		putHead(t, d, `not JSON`)
		damaged := "config/snapshot/6-" + strings.Repeat("0", 64) + "-forged"
		data := []byte(`{"revision":6,"apply-id":"forged","declaration":{}}`)
		_, err := d.memory.Put(t.Context(), storer.PutRequest{Key: damaged, Value: data})
		assert.NilError(t, err)
		putHead(t, d, `{"revision":6,"snapshot":"`+damaged+`"}`)
		waitFor(t, func() bool { return store.lastRead() == damaged })
		putSnapshot(t, d, 7, `{"workspaces":[]}`)
		assertInForce(t, p, 7)
	})
	assert.DeepEqual(t, j.revisions, []int64{1, 2, 3, 4, 5, 7})
}

// Guards against a failure domain that gets no new configuration from its peers
// while it is cut off from the platform.
func TestPeerWithoutPlatform(t *testing.T) {
	t.Run("announcement by the accepting entry", func(t *testing.T) {
		d := newTestDeployment()
		accepting, _, _ := d.newPublisher("accepting")
		isolated, store, _ := d.newPublisher("cut")
		store.down.Store(true)
		start(t, accepting)
		start(t, isolated)
		apply(t, accepting, "a")
		assertInForce(t, isolated, 1)
		apply(t, accepting, "b")
		assertInForce(t, isolated, 2)
	})
	t.Run("heartbeat of an entry that is cut off as well", func(t *testing.T) {
		d := newTestDeployment()
		accepting, _, _ := d.newPublisher("accepting")
		apply(t, accepting, "a")
		near, nearStore, _ := d.newPublisher("near")
		far, farStore, j := d.newPublisher("far")
		nearStore.down.Store(true)
		farStore.down.Store(true)
		start(t, near)
		start(t, far)
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

// Guards against a revision that is not in force in 18 s at an instance that is cut
// off from the platform, because peers that were lost with a rack are asked for it.
func TestSilentPeers(t *testing.T) {
	d := newTestDeployment()
	accepting, _, _ := d.newPublisher("accepting")
	apply(t, accepting, "a")
	isolated, store, _ := d.newPublisher("cut")
	store.down.Store(true)
	for n := range 12 {
		d.network.silentPeers = append(d.network.silentPeers, fmt.Sprintf("lost-%d", n))
	}
	start(t, isolated)
	for _, peer := range d.network.silentPeers {
		isolated.ObserveRevision(peer, 1)
	}
	time.Sleep(100 * time.Millisecond) // The first peer is being asked.
	isolated.ObserveRevision("accepting", 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := isolated.Current(); !ok {
			return poll.Continue("no configuration")
		}
		return poll.Success()
	}, poll.WithTimeout(18*time.Second))
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

func startPlatform(t *testing.T, d *testDeployment) *platformemulator.Server {
	t.Helper()
	server, err := platformemulator.New(platformemulator.Config{Address: "127.0.0.1:0", Memory: d.memory})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := server.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return server
}

// newDeploymentWithStoreOf shares the store of a deployment but not its network.
func newDeploymentWithStoreOf(d *testDeployment) *testDeployment {
	other := newTestDeployment()
	other.memory = d.memory
	return other
}

// putSnapshot stores a snapshot and moves the head to it without the checks of
// Apply.
func putSnapshot(t *testing.T, d *testDeployment, revision int64, declaration string) {
	t.Helper()
	data := fmt.Appendf(nil, `{"revision":%d,"apply-id":"forged","title":"","declaration":%s}`, revision, declaration)
	key := fmt.Sprintf("config/snapshot/%d-%x-forged", revision, sha256.Sum256(data))
	_, err := d.memory.Put(t.Context(), storer.PutRequest{Key: key, Value: data})
	assert.NilError(t, err)
	putHead(t, d, fmt.Sprintf(`{"revision":%d,"snapshot":%q}`, revision, key))
}

func putHead(t *testing.T, d *testDeployment, value string) {
	t.Helper()
	head, err := d.memory.Get(t.Context(), headKey)
	assert.Assert(t, err == nil || errors.Is(err, storer.ErrNotFound), "%v", err)
	_, err = d.memory.Put(t.Context(), storer.PutRequest{Key: headKey, Value: []byte(value), ExpectedVersion: head.Version})
	assert.NilError(t, err)
}
