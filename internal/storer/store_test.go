package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// store has the common methods of Memory and Client.
type store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
	Delete(ctx context.Context, key string, expectedVersion int64) error
	Watch(ctx context.Context, key string, afterVersion int64) (storer.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
	RevokeLease(ctx context.Context, id int64) error
	ListInstances(ctx context.Context) ([]storer.ListedInstance, error)
}

// Guards against differences between Memory and Client, which would make tests
// with Memory meaningless for the platform.
func TestStores(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		testStore(t, storer.NewMemory(clock), clock)
	})
	t.Run("client", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		testStore(t, startClient(t, clock), clock)
	})
}

func testStore(t *testing.T, s store, clock *clockwork.FakeClock) {
	t.Run("of two writes with the same expected version one conflicts", func(t *testing.T) {
		first := put(t, s, "a/%2F b?", "1", 0)
		second := put(t, s, "a/%2F b?", "2", first.Version)
		_, err := s.Put(t.Context(), storer.PutRequest{Key: "a/%2F b?", Value: []byte("3"), ExpectedVersion: first.Version})
		assertConflict(t, err, &second)
		_, err = s.Put(t.Context(), storer.PutRequest{Key: "a/absent", ExpectedVersion: 1})
		assertConflict(t, err, nil)
		assert.Assert(t, second.Version > first.Version)
	})
	t.Run("versions increase across keys and deletes", func(t *testing.T) {
		first := put(t, s, "b/1", "", 0)
		other := put(t, s, "b/2", "", 0)
		assert.ErrorIs(t, s.Delete(t.Context(), "b/1", other.Version), storer.ErrConflict)
		assert.NilError(t, s.Delete(t.Context(), "b/1", first.Version))
		assert.ErrorIs(t, s.Delete(t.Context(), "b/1", first.Version), storer.ErrNotFound)
		again := put(t, s, "b/1", "", 0)
		assert.Assert(t, again.Version > other.Version)
	})
	t.Run("a list is sorted and limited to the prefix", func(t *testing.T) {
		for _, key := range []string{"c/2", "c/10", "d/1"} {
			put(t, s, key, key, 0)
		}
		entries, err := s.List(t.Context(), "c/")
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(keys(entries)), "[c/10 c/2]")
	})
	t.Run("a watch waits for the next version", func(t *testing.T) {
		watch := pool.NewWithResults[storer.Entry]().WithErrors()
		watch.Go(func() (storer.Entry, error) { return s.Watch(t.Context(), "e", 0) })
		first := put(t, s, "e", "1", 0)
		seen, err := watch.Wait()
		assert.NilError(t, err)
		assert.DeepEqual(t, seen, []storer.Entry{first})
	})
	t.Run("a watch reports that the key was deleted", func(t *testing.T) {
		entry := put(t, s, "f", "1", 0)
		assert.NilError(t, s.Delete(t.Context(), "f", entry.Version))
		_, err := s.Watch(t.Context(), "f", entry.Version)
		assert.ErrorIs(t, err, storer.ErrNotFound)
	})
	t.Run("a watch ends with its context", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := s.Watch(ctx, "never", 0)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
	t.Run("a paused holder cannot write after its lease expired", func(t *testing.T) { testExpiredLease(t, s, clock) })
	t.Run("a renewed lease stays valid and a revoked one ends", func(t *testing.T) { testRenewal(t, s, clock) })
	t.Run("a value that is too large has no effect", func(t *testing.T) {
		_, err := s.Put(t.Context(), storer.PutRequest{Key: "large", Value: make([]byte, storer.MaxValueBytes+1)})
		assert.ErrorIs(t, err, storer.ErrValueTooLarge)
		put(t, s, "large", string(make([]byte, storer.MaxValueBytes)), 0)
	})
}

// Guards against a holder that is paused until its lease has expired and then
// writes under it, and against a successor that does not get the key.
func testExpiredLease(t *testing.T, s store, clock *clockwork.FakeClock) {
	lease, err := s.GrantLease(t.Context(), 10*time.Second)
	assert.NilError(t, err)
	held, err := s.Put(t.Context(), storer.PutRequest{Key: "lender/0", Value: []byte("a"), LeaseID: lease.ID})
	assert.NilError(t, err)
	watch := pool.New().WithErrors()
	watch.Go(func() error {
		_, err := s.Watch(t.Context(), "lender/0", held.Version)
		return err
	})

	clock.Advance(10*time.Second - 1)
	assert.Assert(t, lease.Live(clock.Now()))
	_, err = s.Get(t.Context(), "lender/0")
	assert.NilError(t, err)

	clock.Advance(1)
	assert.Assert(t, !lease.Live(clock.Now()))
	assert.ErrorIs(t, watch.Wait(), storer.ErrNotFound)
	_, err = s.RenewLease(t.Context(), lease)
	assert.ErrorIs(t, err, storer.ErrLeaseExpired)
	successor := put(t, s, "lender/0", "b", 0)
	_, err = s.Put(t.Context(), storer.PutRequest{Key: "lender/0", ExpectedVersion: successor.Version, LeaseID: lease.ID})
	assert.ErrorIs(t, err, storer.ErrLeaseExpired)
	_, err = s.Put(t.Context(), storer.PutRequest{Key: "lender/0", ExpectedVersion: held.Version})
	assertConflict(t, err, &successor)
}

func testRenewal(t *testing.T, s store, clock *clockwork.FakeClock) {
	lease, err := s.GrantLease(t.Context(), 10*time.Second)
	assert.NilError(t, err)
	_, err = s.Put(t.Context(), storer.PutRequest{Key: "lender/1", LeaseID: lease.ID})
	assert.NilError(t, err)
	for range 5 {
		clock.Advance(6 * time.Second)
		lease, err = s.RenewLease(t.Context(), lease)
		assert.NilError(t, err)
		assert.Equal(t, lease.ExpiresAt, clock.Now().Add(10*time.Second))
	}
	_, err = s.Get(t.Context(), "lender/1")
	assert.NilError(t, err)
	assert.NilError(t, s.RevokeLease(t.Context(), lease.ID))
	assert.NilError(t, s.RevokeLease(t.Context(), lease.ID))
	_, err = s.Get(t.Context(), "lender/1")
	assert.ErrorIs(t, err, storer.ErrNotFound)
}

// Guards against lost updates and duplicate versions, which would break all
// claims and leases built on the store.
func TestMemoryUnderContention(t *testing.T) {
	m := storer.NewMemory(clockwork.NewRealClock())
	var won atomic.Int64
	writers := pool.New()
	for range 8 {
		writers.Go(func() {
			for version := range int64(500) {
				entry, err := m.Get(t.Context(), "counter")
				if err != nil && !errors.Is(err, storer.ErrNotFound) {
					panic(err)
				}
				value := fmt.Appendf(nil, "%d", version)
				if _, err := m.Put(t.Context(), storer.PutRequest{Key: "counter", Value: value, ExpectedVersion: entry.Version}); err == nil {
					won.Add(1)
				}
			}
		})
	}
	writers.Wait()
	entry, err := m.Get(t.Context(), "counter")
	assert.NilError(t, err)
	assert.Equal(t, entry.Version, won.Load())
}

// Guards against calls that outlive their deadline when the platform accepts
// connections but never answers, and against a write reported as without effect.
func TestUnresponsivePlatform(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	client := storer.NewClient(storer.ClientConfig{
		Address:      ln.Addr().String(),
		CallTimeout:  50 * time.Millisecond,
		WatchTimeout: 50 * time.Millisecond,
		Clock:        clockwork.NewRealClock(),
	})
	t.Run("read", func(t *testing.T) {
		_, err := client.Get(t.Context(), "a")
		assert.ErrorIs(t, err, storer.ErrUnavailable)
	})
	t.Run("write", func(t *testing.T) {
		_, err := client.Put(t.Context(), storer.PutRequest{Key: "a"})
		assert.ErrorIs(t, err, storer.ErrUnknownEffect)
	})
	t.Run("watch", func(t *testing.T) {
		_, err := client.Watch(t.Context(), "a", 0)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
	})
	t.Run("cancelled before the call", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := client.Put(ctx, storer.PutRequest{Key: "a"})
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assert.ErrorIs(t, err, context.Canceled)
	})
}

func startClient(t *testing.T, clock *clockwork.FakeClock) *storer.Client {
	t.Helper()
	s, err := platformemulator.New(platformemulator.Config{Address: "127.0.0.1:0", Clock: clock})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := s.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return storer.NewClient(storer.ClientConfig{Address: s.Address(), ClientID: "entry-1", Clock: clock})
}

func put(t *testing.T, s store, key, value string, expectedVersion int64) storer.Entry {
	t.Helper()
	r := storer.PutRequest{Key: key, Value: []byte(value), ExpectedVersion: expectedVersion}
	entry, err := s.Put(t.Context(), r)
	assert.NilError(t, err)
	return entry
}

func assertConflict(t *testing.T, err error, current *storer.Entry) {
	t.Helper()
	assert.ErrorIs(t, err, storer.ErrConflict)
	var conflict *storer.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Current, current)
}

func keys(entries []storer.Entry) (keys []string) {
	for _, entry := range entries {
		keys = append(keys, entry.Key)
	}
	return keys
}
