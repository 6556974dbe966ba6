package follower

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

type rig struct {
	store *storeemulator.Store
	f     *Follower

	delegates atomic.Bool
}

// start follows "k/" with a real clock.
func start(t *testing.T, hold time.Duration, keys ...string) *rig {
	t.Helper()
	clock := clockwork.NewRealClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &rig{store: storeemulator.New(clock)}
	r.put(t, keys...)
	r.f = New(Config{Name: "test", Prefix: "k/", Store: r.store, Clock: clock, Logger: logger, HoldRemovals: hold, Delegates: r.delegates.Load, Changed: func(Copy) {}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := r.f.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return r
}

func (r *rig) put(t *testing.T, keys ...string) {
	t.Helper()
	for _, key := range keys {
		_, err := r.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: key}}})
		assert.NilError(t, err)
	}
}

func (r *rig) remove(t *testing.T, key string) {
	t.Helper()
	_, err := r.store.Commit(t.Context(), storer.Transaction{Remove: []string{key}})
	assert.NilError(t, err)
}

func (r *rig) setDown(down bool) {
	r.store.SetFault(func(string) storeemulator.Fault {
		if down {
			return storeemulator.Down
		}
		return storeemulator.None
	})
}

func awaitKeys(t *testing.T, f *Follower, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := len(f.Copy().Entries); got != n {
			return poll.Continue("%d keys instead of %d", got, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestFollow guards against copies that miss changes.
func TestFollow(t *testing.T) {
	t.Run("listing and changes", func(t *testing.T) {
		r := start(t, 0, "k/a", "other")
		awaitKeys(t, r.f, 1)
		r.put(t, "k/b")
		awaitKeys(t, r.f, 2)
		r.remove(t, "k/a")
		awaitKeys(t, r.f, 1)
	})
	t.Run("history lost", func(t *testing.T) {
		r := start(t, 0, "k/a")
		awaitKeys(t, r.f, 1)
		r.setDown(true)
		r.setDown(false)
		r.put(t, "k/b")
		r.store.Compact()
		awaitKeys(t, r.f, 2)
	})
	t.Run("changes during an outage", func(t *testing.T) {
		r := start(t, 0, "k/a")
		awaitKeys(t, r.f, 1)
		r.store.SetFault(func(operation string) storeemulator.Fault {
			if operation == "commit" {
				return storeemulator.None
			}
			return storeemulator.Down
		})
		r.put(t, "k/b")
		r.setDown(false)
		awaitKeys(t, r.f, 2)
	})
}

// TestHold guards against servers that are dropped because their entries lapsed
// while the store was away.
func TestHold(t *testing.T) {
	const hold = 300 * time.Millisecond
	r := start(t, hold, "k/a", "k/b")
	awaitKeys(t, r.f, 2)
	r.store.SetFault(func(operation string) storeemulator.Fault {
		if operation == "commit" {
			return storeemulator.None
		}
		return storeemulator.Down
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.f.Connected() {
			return poll.Continue("the outage is not noticed")
		}
		return poll.Success()
	})
	r.remove(t, "k/a")
	r.setDown(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.f.Connected() {
			return poll.Continue("the return is not noticed")
		}
		return poll.Success()
	})
	assert.Equal(t, len(r.f.Copy().Entries), 2)
	awaitKeys(t, r.f, 1)
}

// TestOffer guards against copies of peers that take the place of newer ones.
func TestOffer(t *testing.T) {
	offered := Copy{Entries: []storer.Entry{{Key: "k/p", Version: 90}}, Version: 90}
	t.Run("refused while the store is there", func(t *testing.T) {
		r := start(t, 0, "k/a")
		awaitKeys(t, r.f, 1)
		assert.Assert(t, !r.f.Offer(offered))
	})
	t.Run("taken from a peer that follows the store for this instance", func(t *testing.T) {
		r := start(t, 0, "k/a")
		awaitKeys(t, r.f, 1)
		r.delegates.Store(true)
		r.put(t, "k/b") // Ends the watch under way.
		awaitKeys(t, r.f, 2)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if r.f.Connected() {
				return poll.Continue("the store is still followed")
			}
			return poll.Success()
		})
		calls := r.store.Calls("watch")
		assert.Assert(t, r.f.Offer(offered))
		assert.Equal(t, r.store.Calls("watch"), calls)
	})
	t.Run("taken where the store is away", func(t *testing.T) {
		r := start(t, 0)
		r.setDown(true)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if r.f.Connected() {
				return poll.Continue("the outage is not noticed")
			}
			return poll.Success()
		})
		assert.Assert(t, r.f.Offer(offered))
		assert.Assert(t, !r.f.Offer(offered))
		assert.Equal(t, r.f.Version(), int64(90))
	})
}

// A silentStore serves watches that bring nothing while it is silent, as over a
// connection that something between the two ends has lost track of.
type silentStore struct {
	*storeemulator.Store
	silent atomic.Bool
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, storer.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// TestSilentWatch guards against an instance that works with an old copy because
// its watch hangs, though a peer knows of later changes (soak, seeds 10 and 31: a
// withdrawn key worked for half a minute).
func TestSilentWatch(t *testing.T) {
	clock := clockwork.NewRealClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &rig{store: storeemulator.New(clock)}
	r.put(t, "k/a")
	silent := &silentStore{Store: r.store}
	silent.silent.Store(true)
	r.f = New(Config{Name: "test", Prefix: "k/", Store: silent, Clock: clock, Logger: logger, HoldRemovals: time.Minute, Changed: func(Copy) {}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := r.f.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	awaitKeys(t, r.f, 1)
	r.put(t, "k/b", "k/c")
	r.remove(t, "k/a")
	listing, err := r.store.List(t.Context(), "k/")
	assert.NilError(t, err)
	began := clock.Now()
	for len(r.f.Copy().Entries) != 2 && clock.Since(began) < 5*time.Second {
		r.f.Observe(listing.Version)
		r.f.Observe(0) // Of a peer whose watch hangs too (soak, seed 51).
		time.Sleep(20 * time.Millisecond)
	}
	took := clock.Since(began)
	assert.Assert(t, took >= staleAfter && took < 2*staleAfter, "listed after %v", took)
	t.Run("what vanished is not held, the store was there", func(t *testing.T) {
		awaitKeys(t, r.f, 2)
	})
	t.Run("a peer that knows nothing later ends no watch", func(t *testing.T) {
		r.f.Observe(listing.Version)
		time.Sleep(2 * staleAfter)
		r.f.Observe(listing.Version)
		assert.Assert(t, r.f.Connected())
	})
}
