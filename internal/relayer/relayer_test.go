package relayer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A pair is two relayers: a, which makes the calls, and its peer b.
type pair struct {
	clock            *clockwork.FakeClock
	store            *storeemulator.Store
	a, b             *Relayer
	aCutOff, bCutOff bool
	loseAnswers      bool // Answers from b to a are lost.
	handler          linker.Handler
	peers            []string
}

// StorePeers implements Peers.
func (p *pair) StorePeers() []string { return p.peers }

// A fakeStore is the store as seen by one instance, which can be cut off from it.
type fakeStore struct {
	*storeemulator.Store
	cutOff *bool
	calls  int
}

func (g *fakeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	g.calls++
	if *g.cutOff {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return g.Store.Get(ctx, key)
}

func (g *fakeStore) Commit(ctx context.Context, t storer.Transaction) (int64, error) {
	g.calls++
	if *g.cutOff {
		return 0, storer.ErrUnavailable
	}
	return g.Store.Commit(ctx, t)
}

type fakeLinks struct {
	p    *pair
	self string
}

func (l fakeLinks) Handle(_ linker.Kind, h linker.Handler) {
	if l.self == "b" {
		l.p.handler = h
	}
}

func (l fakeLinks) Call(ctx context.Context, _ string, _ linker.Kind, request, response any) error {
	payload, err := linker.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := l.p.handler.Handle(ctx, l.self, payload)
	if err != nil {
		return linker.ErrRemote
	}
	if l.p.loseAnswers {
		return linker.ErrUnknownEffect
	}
	return linker.Unmarshal(answer, response)
}

func newPair() (*pair, *fakeStore) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := &pair{clock: clockwork.NewFakeClock(), peers: []string{"b"}}
	p.store = storeemulator.New(p.clock)
	direct := &fakeStore{Store: p.store, cutOff: &p.aCutOff}
	p.a = newRelayer(Config{Direct: direct, Links: fakeLinks{p, "a"}, Clock: p.clock, Logger: logger, Meter: noop.Meter{}})
	p.b = newRelayer(Config{Direct: &fakeStore{Store: p.store, cutOff: &p.bCutOff}, Links: fakeLinks{p, "b"}, Clock: p.clock, Logger: logger, Meter: noop.Meter{}})
	p.a.SetPeers(p)
	return p, direct
}

func newRelayer(cfg Config) *Relayer {
	r, err := New(cfg)
	if err != nil {
		panic(err)
	}
	return r
}

var write = storer.Transaction{Expect: []storer.Precondition{{Key: "k"}}, Writes: []storer.Write{{Key: "k", Value: []byte("v")}}}

func assertCommit(t *testing.T, r *Relayer, want error) {
	t.Helper()
	_, err := r.Commit(t.Context(), write)
	if want == nil {
		assert.NilError(t, err)
		return
	}
	assert.ErrorIs(t, err, want)
}

// TestRelay guards against calls that fail although a peer reaches the store, and
// against writes that are made twice or wrongly reported to have had no effect.
func TestRelay(t *testing.T) {
	t.Run("directly", func(t *testing.T) {
		p, _ := newPair()
		p.bCutOff = true
		assertCommit(t, p.a, nil)
	})
	t.Run("through the peer", func(t *testing.T) {
		p, _ := newPair()
		p.aCutOff = true
		assertCommit(t, p.a, nil)
		entry, err := p.a.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, string(entry.Value), "v")
		assertCommit(t, p.a, storer.ErrConflict)
		_, err = p.a.Get(t.Context(), "missing")
		assert.ErrorIs(t, err, storer.ErrNotFound)
	})
	t.Run("both are cut off", func(t *testing.T) {
		p, _ := newPair()
		p.aCutOff, p.bCutOff = true, true
		assertCommit(t, p.a, storer.ErrUnavailable)
	})
	t.Run("the answer of the peer is lost", func(t *testing.T) {
		p, _ := newPair()
		p.aCutOff, p.loseAnswers = true, true
		assertCommit(t, p.a, storer.ErrUnknownEffect)
	})
	t.Run("no peer", func(t *testing.T) {
		p, direct := newPair()
		p.aCutOff, p.peers = true, nil
		assertCommit(t, p.a, storer.ErrUnavailable)
		calls := direct.calls
		assertCommit(t, p.a, storer.ErrUnavailable)
		assert.Equal(t, direct.calls, calls, "a direct call was made before directRetryInterval had passed")
		p.clock.Advance(directRetryInterval)
		p.aCutOff = false
		assertCommit(t, p.a, nil)
	})
	t.Run("leases", func(t *testing.T) {
		p, _ := newPair()
		lease, err := p.a.GrantLease(t.Context(), time.Second)
		assert.NilError(t, err)
		_, err = p.a.RenewLease(t.Context(), lease)
		assert.NilError(t, err)
		_, err = p.a.RenewLease(t.Context(), storer.Lease{ID: 99, TTL: time.Second})
		assert.ErrorIs(t, err, storer.ErrLeaseExpired)
	})
}
