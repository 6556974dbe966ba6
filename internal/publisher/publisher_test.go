package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const headKey = "config/head"

// A faultyStore is a store with injected faults.
type faultyStore struct {
	*storer.Memory
	down    atomic.Bool
	mu      sync.Mutex
	headPut func(put func() (storer.Entry, error)) (storer.Entry, error) // Handles the next head write only.
	lastGet string                                                       // Key of the last read.
}

func (s *faultyStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if s.down.Load() {
		return storer.Entry{}, storer.ErrUnavailable
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastGet = key
	}()
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) lastRead() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastGet
}

func (s *faultyStore) Watch(ctx context.Context, key string, afterVersion int64) (storer.Entry, error) {
	if s.down.Load() {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return s.Memory.Watch(ctx, key, afterVersion)
}

// interceptHeadPut passes the next head write to handle.
func (s *faultyStore) interceptHeadPut(handle func(put func() (storer.Entry, error)) (storer.Entry, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headPut = handle
}

func (s *faultyStore) Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error) {
	if s.down.Load() {
		return storer.Entry{}, storer.ErrUnavailable
	}
	put := func() (storer.Entry, error) { return s.Memory.Put(context.WithoutCancel(ctx), r) }
	s.mu.Lock()
	handle := s.headPut
	if r.Key == headKey {
		s.headPut = nil
	}
	s.mu.Unlock()
	if handle == nil || r.Key != headKey {
		return put()
	}
	return handle(put)
}

// A fakeNetwork connects publishers and encodes messages as links do.
type fakeNetwork struct {
	mu             sync.Mutex
	publishers     map[string]*publisher.Publisher
	stalePeer      string       // Peer that sends its snapshot even if its revision is not above the requested one.
	staleResponses atomic.Int64 // Snapshots that stalePeer sent.
	silentPeers    []string     // Peers that answer nothing.
}

func (n *fakeNetwork) add(id string, p *publisher.Publisher) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishers[id] = p
}

// An endpoint is one instance's side of a network.
type endpoint struct {
	network *fakeNetwork
	id      string
}

func (e endpoint) Peers() (peers []linker.Peer) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	for id := range e.network.publishers {
		if id != e.id {
			peers = append(peers, linker.Peer{ID: id})
		}
	}
	return peers
}

func (e endpoint) Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error {
	e.network.mu.Lock()
	target := e.network.publishers[peer]
	e.network.mu.Unlock()
	if slices.Contains(e.network.silentPeers, peer) {
		<-ctx.Done()
		return linker.ErrUnknownEffect
	}
	if target == nil {
		return linker.ErrUnreachable
	}
	handler := target.SnapshotHandler()
	if kind == linker.KindSnapshotRequest {
		handler = target.SnapshotRequestHandler()
	}
	if peer == e.network.stalePeer && kind == linker.KindSnapshotRequest {
		request = struct{}{}
		defer e.network.staleResponses.Add(1)
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	encoded, err := handler.Handle(ctx, e.id, payload)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, response)
}

// An installLog records the revisions that a subscriber installs.
type installLog struct {
	mu        sync.Mutex
	revisions []int64
}

func (l *installLog) Install(s publisher.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revisions = append(l.revisions, s.Revision)
}

// A testDeployment holds publishers that share a store and a network.
type testDeployment struct {
	memory  *storer.Memory
	network *fakeNetwork
}

func newTestDeployment() *testDeployment {
	return &testDeployment{
		memory:  storer.NewMemory(clockwork.NewRealClock()),
		network: &fakeNetwork{publishers: map[string]*publisher.Publisher{}},
	}
}

// newPublisher adds a publisher whose store can fail for it alone.
func (d *testDeployment) newPublisher(id string) (*publisher.Publisher, *faultyStore, *installLog) {
	store := &faultyStore{Memory: d.memory}
	p := d.newPublisherWithStore(id, store)
	j := &installLog{}
	p.Subscribe(j)
	return p, store, j
}

func (d *testDeployment) newPublisherWithStore(id string, store publisher.Store) *publisher.Publisher {
	logger, _ := logtest.NewNullLogger()
	logger.SetLevel(logrus.ErrorLevel)
	p := publisher.New(publisher.Config{
		Store:          store,
		Peers:          endpoint{network: d.network, id: id},
		Clock:          clockwork.NewRealClock(),
		Logger:         logger,
		ApplyTimeout:   2 * time.Second,
		MinBackoff:     5 * time.Millisecond,
		MaxBackoff:     20 * time.Millisecond,
		PeerFetchDelay: 20 * time.Millisecond,
	})
	d.network.add(id, p)
	return p
}

func start(t *testing.T, p *publisher.Publisher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
}

// addition returns a release note that adds a workspace.
func addition(name string) declarer.ReleaseNote {
	n := declarer.ReleaseNote{File: "note.toml", Title: "add " + name}
	n.Added.Workspaces = []declarer.Workspace{{Name: name, Rate: 1, Burst: 1}}
	return n
}

func apply(t *testing.T, p *publisher.Publisher, name string) publisher.Result {
	t.Helper()
	result, err := p.Apply(t.Context(), addition(name), false)
	assert.NilError(t, err)
	return result
}

// assertWorkspaces reads the head of the platform and checks its revision and
// workspaces, which differ if an apply took effect twice or not at all.
func assertWorkspaces(t *testing.T, d *testDeployment, revision int64, names ...string) {
	t.Helper()
	logger, _ := logtest.NewNullLogger()
	reader := publisher.New(publisher.Config{
		Store:  d.memory,
		Peers:  endpoint{network: &fakeNetwork{}},
		Clock:  clockwork.NewRealClock(),
		Logger: logger,
	})
	start(t, reader)
	assertInForce(t, reader, revision)
	s, _ := reader.Current()
	var present []string
	for _, w := range s.Declaration.Workspaces {
		present = append(present, w.Name)
	}
	slices.Sort(names)
	assert.DeepEqual(t, present, names)
}

func assertInForce(t *testing.T, p *publisher.Publisher, revision int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, _ := p.Current()
		if s.Revision < revision {
			return poll.Continue("revision %d is in force", s.Revision)
		}
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
	s, _ := p.Current()
	assert.Equal(t, s.Revision, revision)
}

func assertFault(t *testing.T, err error, expected string) {
	t.Helper()
	var faults *declarer.FaultsError
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	assert.Equal(t, fmt.Sprint(faults.Faults), "["+expected+"]")
}
