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

// A fleet is the surroundings of a Heartbeater, recorded.
type fleet struct {
	mu      sync.Mutex
	sent    map[string][]Heartbeat // By peer.
	silent  string                 // A peer whose calls don't return before the end.
	peers   []linker.Peer
	list    []storer.ListedInstance
	listErr error
	loads   map[string][]registrar.PeerLoad
	expires time.Time
	told    map[string]int64 // Revisions by peer.
	lent    map[string][]registrar.LenderAnnouncement
}

func (f *fleet) Call(ctx context.Context, peer string, kind linker.Kind, request, _ any) error {
	f.mu.Lock()
	silent := f.silent == peer
	if kind == linker.KindHeartbeat {
		f.sent[peer] = append(f.sent[peer], request.(Heartbeat))
	}
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (f *fleet) SetPeers(peers []linker.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

func (f *fleet) ListInstances(context.Context) ([]storer.ListedInstance, error) {
	return f.list, f.listErr
}

func (f *fleet) LocalLoads() []registrar.PeerLoad {
	return []registrar.PeerLoad{{Server: "lm-desk-1", Online: 2, Batch: 1}}
}

func (f *fleet) SetPeerLoads(instance string, loads []registrar.PeerLoad, expires time.Time) {
	f.loads[instance], f.expires = loads, expires
}

func (f *fleet) Revision() int64                        { return 11 }
func (f *fleet) ObserveRevision(peer string, rev int64) { f.told[peer] = rev }
func (f *fleet) Lendings() []registrar.LenderAnnouncement {
	return []registrar.LenderAnnouncement{{Shard: 2, Epoch: 5, SlotVersion: 4}}
}
func (f *fleet) SlotVersion() int64 { return 3 }
func (f *fleet) ObserveLendings(peer string, lendings []registrar.LenderAnnouncement, _ int64) {
	f.lent[peer] = lendings
}

func (f *fleet) count(peer string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent[peer])
}

// newFleet returns a Heartbeater of entry-a that knows entry-b from its
// settings.
func newFleet() (*fleet, *Heartbeater, *clockwork.FakeClock, *registrar.Roster) {
	f := &fleet{sent: map[string][]Heartbeat{}, loads: map[string][]registrar.PeerLoad{}}
	f.told, f.lent = map[string]int64{}, map[string][]registrar.LenderAnnouncement{}
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

func awaitCount(t *testing.T, f *fleet, peer string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.count(peer); got < want {
			return poll.Continue("%d heartbeats to %s", got, peer)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against heartbeats that are not sent, wait for a silent peer or pile
// up behind it.
func TestSending(t *testing.T) {
	f, h, clock, roster := newFleet()
	f.silent = "entry-c"
	roster.RecordHeartbeat(registrar.Instance{ID: "entry-c", LinkAddress: "127.0.0.1:3"})
	ctx, cancel := context.WithCancel(context.Background())
	end := h.Start(ctx)
	awaitCount(t, f, "entry-b", 1)
	awaitCount(t, f, "entry-c", 1)
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 2))
	clock.Advance(beatPeriod)
	awaitCount(t, f, "entry-b", 2)
	h.Prod()
	awaitCount(t, f, "entry-b", 3)
	assert.Equal(t, f.count("entry-c"), 1)
	assert.DeepEqual(t, f.sent["entry-b"][0], Heartbeat{
		Instance: "entry-a", FailureDomain: "north-1", LinkAddress: "127.0.0.1:1", Revision: 11,
		Loads: f.LocalLoads(), Lendings: f.Lendings(), Slot: 3,
	})
	cancel()
	assert.NilError(t, <-end)
}

// Guards against what a peer says being lost, or believed of another sender.
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
	t.Run("own", func(t *testing.T) {
		f, h, clock, roster := newFleet()
		assert.NilError(t, handle(t, h, "entry-b"))
		b, _ := roster.Instance("entry-b")
		assert.Equal(t, b.Revision, int64(8))
		assert.Equal(t, b.LinkAddress, "127.0.0.1:9")
		assert.Assert(t, b.Leaving)
		assert.DeepEqual(t, f.loads["entry-b"], []registrar.PeerLoad{{Server: "lm-desk-2", Batch: 4}})
		assert.Equal(t, f.expires, clock.Now().Add(loadsExpiry))
		assert.Equal(t, f.told["entry-b"], int64(8))
		assert.Equal(t, f.lent["entry-b"][0].Epoch, int64(6))
	})
	t.Run("of another", func(t *testing.T) {
		f, h, _, _ := newFleet()
		assert.ErrorContains(t, handle(t, h, "entry-c"), "sent by")
		assert.Equal(t, len(f.told), 0)
	})
}

// Guards against backend servers in the list that are taken for entries, and
// against peers that are dropped while the platform is down.
func TestList(t *testing.T) {
	f, h, _, roster := newFleet()
	f.list = []storer.ListedInstance{
		{ID: "entry-d", Role: storer.RoleEntry, State: storer.InstanceLeaving, LinkAddress: "127.0.0.1:4"},
		{ID: "lm-desk-1", Role: storer.RoleBackendServer, State: storer.InstanceLive},
	}
	assert.NilError(t, h.mergeList(context.Background()))
	assert.DeepEqual(t, f.peers, []linker.Peer{
		{ID: "entry-b", Address: "127.0.0.1:2"}, {ID: "entry-d", Address: "127.0.0.1:4"},
	})
	d, _ := roster.Instance("entry-d")
	assert.Assert(t, d.Leaving)
	f.listErr = errors.New("down")
	assert.Assert(t, h.mergeList(context.Background()) != nil)
	assert.Equal(t, len(roster.Peers()), 2)
}
