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

// A faultyStore is a store whose head writes and calls can fail.
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

func (s *faultyStore) read() string {
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

// onHeadPut lets handle carry out the next head write.
func (s *faultyStore) onHeadPut(handle func(put func() (storer.Entry, error)) (storer.Entry, error)) {
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

// A network connects publishers; it encodes messages as links do.
type network struct {
	mu    sync.Mutex
	nodes map[string]*publisher.Publisher
	liar  string       // Answers a request for a snapshot with any that it has.
	lies  atomic.Int64 // How often it did.
}

func (n *network) add(id string, p *publisher.Publisher) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = p
}

// A port is one instance's side of a network.
type port struct {
	network *network
	id      string
}

func (p port) Peers() (peers []linker.Peer) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for id := range p.network.nodes {
		if id != p.id {
			peers = append(peers, linker.Peer{ID: id})
		}
	}
	return peers
}

func (p port) Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error {
	p.network.mu.Lock()
	node := p.network.nodes[peer]
	p.network.mu.Unlock()
	if node == nil {
		return linker.ErrUnreachable
	}
	handler := node.SnapshotHandler()
	if kind == linker.KindSnapshotRequest {
		handler = node.SnapshotRequestHandler()
	}
	if peer == p.network.liar && kind == linker.KindSnapshotRequest {
		request = struct{}{}
		defer p.network.lies.Add(1)
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler.Handle(ctx, p.id, payload)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(answer, response)
}

// A journal records the revisions that a subscriber is told of.
type journal struct {
	mu        sync.Mutex
	revisions []int64
}

func (j *journal) Install(s publisher.Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revisions = append(j.revisions, s.Revision)
}

// A bench holds publishers that share a store and a network.
type bench struct {
	memory  *storer.Memory
	network *network
}

func newBench() *bench {
	return &bench{
		memory:  storer.NewMemory(clockwork.NewRealClock()),
		network: &network{nodes: map[string]*publisher.Publisher{}},
	}
}

// node adds a publisher with a store that can fail for it alone.
func (b *bench) node(id string) (*publisher.Publisher, *faultyStore, *journal) {
	store := &faultyStore{Memory: b.memory}
	p := b.nodeOn(id, store)
	j := &journal{}
	p.Subscribe(j)
	return p, store, j
}

func (b *bench) nodeOn(id string, store publisher.Store) *publisher.Publisher {
	logger, _ := logtest.NewNullLogger()
	logger.SetLevel(logrus.ErrorLevel)
	p := publisher.New(publisher.Config{
		Store:        store,
		Peers:        port{network: b.network, id: id},
		Clock:        clockwork.NewRealClock(),
		Logger:       logger,
		ApplyTimeout: 2 * time.Second,
		MinBackoff:   5 * time.Millisecond,
		MaxBackoff:   20 * time.Millisecond,
		PeerGrace:    20 * time.Millisecond,
	})
	b.network.add(id, p)
	return p
}

func run(t *testing.T, p *publisher.Publisher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
}

// addition is a release note that adds a workspace.
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
// workspaces: an apply that took effect twice or not at all shows in either.
func assertWorkspaces(t *testing.T, b *bench, revision int64, names ...string) {
	t.Helper()
	logger, _ := logtest.NewNullLogger()
	reader := publisher.New(publisher.Config{
		Store:  b.memory,
		Peers:  port{network: &network{}},
		Clock:  clockwork.NewRealClock(),
		Logger: logger,
	})
	run(t, reader)
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
