package leaser

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// emptyMembership lists no instance.
type emptyMembership struct{}

func (emptyMembership) Live() []registrar.Instance { return nil }

// An entry is a Leaser with real links.
type entry struct {
	leaser *Leaser
	links  *linker.Linker
}

func newEntry(t *testing.T, a *linker.Authority, store Store, id string) *entry {
	t.Helper()
	credentials, err := a.Issue(id)
	assert.NilError(t, err)
	cfg, err := credentials.TLS()
	assert.NilError(t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	links, err := linker.New(linker.Config{
		InstanceID: id, ListenAddress: "127.0.0.1:0", TLS: cfg, Clock: clock, Logger: logger,
	})
	assert.NilError(t, err)
	e := &entry{links: links, leaser: New(Config{
		InstanceID: id, Clock: clock, Logger: logger, Store: store, Caller: links, Membership: emptyMembership{},
	})}
	e.leaser.Install(testDeclaration())
	e.leaser.Register(links)
	ctx, cancel := context.WithCancel(context.Background())
	ends := []<-chan error{links.Start(ctx), e.leaser.Start(ctx)}
	t.Cleanup(func() {
		cancel()
		for _, end := range ends {
			assert.NilError(t, <-end)
		}
	})
	return e
}

// Guards against messages that cannot be encoded or sent over real links:
// borrowing, permits, returning and promising between two instances.
func TestOverLinks(t *testing.T) {
	authority, err := linker.NewAuthority(time.Now())
	assert.NilError(t, err)
	store := instanceStore{fakeStore: newFakeStore(clockwork.NewRealClock())}
	a := newEntry(t, authority, store, "entry-a")
	await(t, "lender", func() bool { return len(a.leaser.Lendings()) == 2 })
	b := newEntry(t, authority, store, "entry-b")
	a.links.SetPeers([]linker.Peer{{ID: "entry-b", Address: b.links.Address()}})
	b.links.SetPeers([]linker.Peer{{ID: "entry-a", Address: a.links.Address()}})
	b.leaser.ObserveLendings("entry-a", a.leaser.Lendings(), a.leaser.SlotVersion())

	t.Run("tokens", func(t *testing.T) {
		await(t, "token", func() bool {
			return b.leaser.Borrower().Admit(context.Background(), "large").Reason == limiter.ReasonLent
		})
	})
	t.Run("permits", func(t *testing.T) {
		await(t, "permit", func() bool {
			_, ok := b.leaser.Borrower().AcquirePermit(testEngine)
			return ok
		})
		assert.Assert(t, a.leaser.lender.Free(limiter.EngineSubject(testEngine)) < 5)
	})
	t.Run("promise", func(t *testing.T) {
		var answer PromiseAnswer
		r := PromiseRequest{Shard: 1, Epoch: epochOf(&simInstance{leaser: a.leaser}, 1), Table: b.leaser.SlotVersion(), Term: promiseDuration}
		assert.NilError(t, a.links.Call(context.Background(), "entry-b", linker.KindPromise, r, &answer))
		assert.Assert(t, answer.Promised)
	})
	t.Run("return", func(t *testing.T) {
		b.leaser.Borrower().ReturnAll(context.Background())
		assert.Equal(t, a.leaser.lender.Free(limiter.EngineSubject(testEngine)), 5.0)
	})
	t.Run("not sent", func(t *testing.T) {
		_, err := b.leaser.Borrow(context.Background(), &limiter.Batch{Lender: "entry-c"})
		assert.ErrorIs(t, err, limiter.ErrNotSent)
	})
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("no %s yet", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}
