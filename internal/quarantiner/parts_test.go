package quarantiner

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// allCrash judges that every server crashed.
type allCrash struct{}

func (allCrash) Survived(string, time.Time) bool { return false }
func (allCrash) Crashed(string, time.Time) bool  { return true }

// A partsTest is the quarantines of one instance.
type partsTest struct {
	*Parts
	tracker *retrier.Parts
	clock   *clockwork.FakeClock
	store   *storeemulator.Store
}

func newPartsTest(store PartStore, memory *storeemulator.Store, clock *clockwork.FakeClock) *partsTest {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	tracker := retrier.NewParts(retrier.PartsConfig{Clock: clock, Judge: allCrash{}, Logger: logger})
	return &partsTest{
		Parts:   NewParts(PartsConfig{Prefix: "q/", Store: store, Tracker: tracker, Clock: clock, Logger: logger}),
		tracker: tracker, clock: clock, store: memory,
	}
}

// read applies the quarantines in the store.
func (p *partsTest) read(t *testing.T) {
	t.Helper()
	l, err := p.store.List(t.Context(), "q/")
	assert.NilError(t, err)
	p.ApplyEntries(follower.Snapshot{Entries: l.Entries, Version: l.Version})
}

func (p *partsTest) crash(servers ...string) {
	for _, server := range servers {
		p.tracker.RecordLoss([]retrier.PartDigest{deadly}, server, "request to "+server)
		p.clock.Advance(time.Second)
	}
}

func (p *partsTest) assertState(t *testing.T, want retrier.PartState) {
	t.Helper()
	state, _ := p.tracker.State([]retrier.PartDigest{deadly})
	assert.Equal(t, state, want)
}

// A hookedStore calls a function before a lease is granted.
type hookedStore struct {
	*storeemulator.Store
	beforeGrant func()
}

func (s *hookedStore) GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	s.beforeGrant()
	return s.Store.GrantLease(ctx, ttl)
}

var deadly = retrier.DigestPart("s", "deadly")

// TestParts guards against quarantines that end with a restart of all instances, that
// outlive an answer, or that two instances try at once.
func TestParts(t *testing.T) {
	quarantined := func(t *testing.T) (a, b *partsTest) {
		clock := clockwork.NewFakeClock()
		store := storeemulator.New(clock)
		a, b = newPartsTest(store, store, clock), newPartsTest(store, store, clock)
		a.crash("s1", "s2", "s3")
		a.sync(t.Context())
		a.read(t)
		b.read(t)
		return a, b
	}
	t.Run("an instance that starts later knows the quarantine", func(t *testing.T) {
		_, b := quarantined(t)
		b.assertState(t, retrier.PartQuarantined)
	})
	t.Run("an answer ends it everywhere", func(t *testing.T) {
		a, b := quarantined(t)
		a.clock.Advance(time.Millisecond)
		a.tracker.RecordAnswer([]retrier.PartDigest{deadly})
		a.sync(t.Context())
		a.read(t)
		b.read(t)
		a.assertState(t, retrier.PartSound)
		b.assertState(t, retrier.PartSound)
	})
	t.Run("one instance tries it", func(t *testing.T) {
		a, b := quarantined(t)
		assert.Assert(t, !a.Begin(t.Context(), deadly), "before it is due")
		a.clock.Advance(time.Minute)
		assert.Assert(t, a.Begin(t.Context(), deadly))
		assert.Assert(t, !b.Begin(t.Context(), deadly), "a second instance")
		assert.Assert(t, !a.Begin(t.Context(), deadly), "a second request")
		b.read(t)
		b.assertState(t, retrier.PartQuarantined)
	})
	t.Run("one instance tries it if the other learns of it meanwhile", func(t *testing.T) {
		a, b := quarantined(t)
		a.clock.Advance(time.Minute)
		b.cfg.Store = &hookedStore{Store: b.store, beforeGrant: func() {
			assert.Assert(t, a.Begin(t.Context(), deadly))
			b.read(t)
		}}
		assert.Assert(t, !b.Begin(t.Context(), deadly))
	})
	t.Run("none tries it while the store is away", func(t *testing.T) {
		a, _ := quarantined(t)
		a.clock.Advance(time.Minute)
		a.store.SetFault(func(string) storeemulator.Fault { return storeemulator.Down })
		assert.Assert(t, !a.Begin(t.Context(), deadly))
	})
	t.Run("an unreadable entry is ignored", func(t *testing.T) {
		a, _ := quarantined(t)
		for _, key := range []string{"q/zz", "q/00", "q/" + retrier.DigestPart("s", "other").String()} {
			_, err := a.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte("x")}}})
			assert.NilError(t, err)
		}
		a.read(t)
		a.assertState(t, retrier.PartQuarantined)
	})
}
