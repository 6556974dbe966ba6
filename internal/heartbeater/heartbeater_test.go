package heartbeater

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A fakeFleet implements all dependencies of a Heartbeater and records calls.
type fakeFleet struct {
	mu                sync.Mutex
	sent              map[string][]Heartbeat // By peer.
	unresponsive      string                 // A peer whose calls block until their context ends.
	peers             []linker.Peer
	instances         []storer.ListedInstance
	instancesErr      error
	loads             map[string][]registrar.PeerLoad
	loadsExpireAt     time.Time
	observedRevisions map[string]int64 // By peer.
	observedLendings  map[string][]registrar.LenderAnnouncement
}

func (f *fakeFleet) Call(ctx context.Context, peer string, kind linker.Kind, request, _ any) error {
	f.mu.Lock()
	unresponsive := f.unresponsive == peer
	if kind == linker.KindHeartbeat {
		f.sent[peer] = append(f.sent[peer], request.(Heartbeat))
	}
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (f *fakeFleet) SetPeers(peers []linker.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

func (f *fakeFleet) ListInstances(context.Context) ([]storer.ListedInstance, error) {
	return f.instances, f.instancesErr
}

func (f *fakeFleet) LocalLoads() []registrar.PeerLoad {
	return []registrar.PeerLoad{{Server: "lm-desk-1", Online: 2, Batch: 1}}
}

func (f *fakeFleet) SetPeerLoads(instance string, loads []registrar.PeerLoad, expires time.Time) {
	f.loads[instance], f.loadsExpireAt = loads, expires
}

func (f *fakeFleet) Revision() int64                        { return 11 }
func (f *fakeFleet) ObserveRevision(peer string, rev int64) { f.observedRevisions[peer] = rev }
func (f *fakeFleet) Lendings() []registrar.LenderAnnouncement {
	return []registrar.LenderAnnouncement{{Shard: 2, Epoch: 5, SlotVersion: 4}}
}
func (f *fakeFleet) SlotVersion() int64 { return 3 }
func (f *fakeFleet) ObserveLendings(peer string, lendings []registrar.LenderAnnouncement, _ int64) {
	f.observedLendings[peer] = lendings
}

func (f *fakeFleet) count(peer string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent[peer])
}

// newTestHeartbeater returns a Heartbeater of entry-a with entry-b as a seed in
// its roster.
func newTestHeartbeater() (*fakeFleet, *Heartbeater, *clockwork.FakeClock, *registrar.Roster) {
	f := &fakeFleet{sent: map[string][]Heartbeat{}, loads: map[string][]registrar.PeerLoad{}}
	f.observedRevisions, f.observedLendings = map[string]int64{}, map[string][]registrar.LenderAnnouncement{}
	clock := clockwork.NewFakeClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	self := registrar.Instance{ID: "entry-a", FailureDomain: "north-1", LinkAddress: "127.0.0.1:1"}
	roster := registrar.NewRoster(clock, self, []registrar.Instance{{ID: "entry-b", LinkAddress: "127.0.0.1:2"}})
	h := New(Config{
		Clock: clock, Logger: logger, Roster: roster, Links: f, Lister: f, Loads: f, Revisions: f, Lendings: f,
	})
	return f, h, clock, roster
}

func awaitCount(t *testing.T, f *fakeFleet, peer string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.count(peer); got < want {
			return poll.Continue("%d heartbeats to %s", got, peer)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against heartbeats that are not sent, are delayed by an unresponsive
// peer or pile up for it.
func TestSending(t *testing.T) {
	f, h, clock, roster := newTestHeartbeater()
	f.unresponsive = "entry-c"
	roster.RecordHeartbeat(registrar.Instance{ID: "entry-c", LinkAddress: "127.0.0.1:3"})
	ctx, cancel := context.WithCancel(context.Background())
	done := h.Start(ctx)
	awaitCount(t, f, "entry-b", 1)
	awaitCount(t, f, "entry-c", 1)
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 2))
	clock.Advance(heartbeatInterval)
	awaitCount(t, f, "entry-b", 2)
	h.SendNow()
	awaitCount(t, f, "entry-b", 3)
	assert.Equal(t, f.count("entry-c"), 1)
	assert.DeepEqual(t, f.sent["entry-b"][0], Heartbeat{
		Instance: "entry-a", FailureDomain: "north-1", LinkAddress: "127.0.0.1:1", Revision: 11,
		Loads: f.LocalLoads(), Lendings: f.Lendings(), Slot: 3,
	})
	cancel()
	assert.NilError(t, <-done)
}

// Guards against losing reported state, and against accepting a heartbeat that
// was sent by another instance.
func TestReceiving(t *testing.T) {
	handle := func(t *testing.T, h *Heartbeater, sender string) error {
		payload, err := linker.Marshal(Heartbeat{
			Instance: "entry-b", LinkAddress: "127.0.0.1:9", Revision: 8, Leaving: true,
			Loads:    []registrar.PeerLoad{{Server: "lm-desk-2", Batch: 4}},
			Lendings: []registrar.LenderAnnouncement{{Shard: 1, Epoch: 6}},
		})
		assert.NilError(t, err)
		_, err = h.Handle(context.Background(), sender, payload)
		return err
	}
	t.Run("sent by its instance", func(t *testing.T) {
		f, h, clock, roster := newTestHeartbeater()
		assert.NilError(t, handle(t, h, "entry-b"))
		b, _ := roster.Instance("entry-b")
		assert.Equal(t, b.Revision, int64(8))
		assert.Equal(t, b.LinkAddress, "127.0.0.1:9")
		assert.Assert(t, b.Leaving)
		assert.DeepEqual(t, f.loads["entry-b"], []registrar.PeerLoad{{Server: "lm-desk-2", Batch: 4}})
		assert.Equal(t, f.loadsExpireAt, clock.Now().Add(loadLifetime))
		assert.Equal(t, f.observedRevisions["entry-b"], int64(8))
		assert.Equal(t, f.observedLendings["entry-b"][0].Epoch, int64(6))
	})
	t.Run("sent by another instance", func(t *testing.T) {
		f, h, _, _ := newTestHeartbeater()
		assert.ErrorContains(t, handle(t, h, "entry-c"), "sent by")
		assert.Equal(t, len(f.observedRevisions), 0)
	})
}

// Guards against treating backend servers in the list as entries, and against
// dropping peers while the platform is down.
func TestList(t *testing.T) {
	f, h, _, roster := newTestHeartbeater()
	f.instances = []storer.ListedInstance{
		{ID: "entry-d", Role: storer.RoleEntry, State: storer.InstanceLeaving, LinkAddress: "127.0.0.1:4"},
		{ID: "lm-desk-1", Role: storer.RoleBackendServer, State: storer.InstanceLive},
	}
	assert.NilError(t, h.refreshList(context.Background()))
	assert.DeepEqual(t, f.peers, []linker.Peer{
		{ID: "entry-b", Address: "127.0.0.1:2"}, {ID: "entry-d", Address: "127.0.0.1:4"},
	})
	d, _ := roster.Instance("entry-d")
	assert.Assert(t, d.Leaving)
	f.instancesErr = errors.New("down")
	assert.Assert(t, h.refreshList(context.Background()) != nil)
	assert.Equal(t, len(roster.Peers()), 2)
}
