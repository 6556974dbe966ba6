package balancer

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// fakeThrottle implements Throttle. A server without an entry has no limit.
type fakeThrottle struct {
	room  map[string]int // Work that each server takes, by ID.
	taken int
}

const (
	limitWait = 200 * time.Millisecond
	limitRate = 5.0
)

func (f *fakeThrottle) Wait(server throttler.Server, canWait bool) time.Duration {
	room, limited := f.room[server.ID]
	if !limited || room > 1 || room == 1 && !canWait {
		return 0
	}
	return limitWait
}

func (f *fakeThrottle) Rate(server throttler.Server) float64 {
	if _, limited := f.room[server.ID]; limited {
		return limitRate
	}
	return 0
}

func (f *fakeThrottle) Take(server throttler.Server) {
	f.taken++
	if _, limited := f.room[server.ID]; limited {
		f.room[server.ID]--
	}
}

func newLimitFixture(room map[string]int, ids ...string) (*fixture, *fakeThrottle) {
	f := newFixture(ids...)
	throttle := &fakeThrottle{room: room}
	f.b.cfg.Throttle = throttle
	return f, throttle
}

func assertLimited(t *testing.T, f *fixture, class Class, after time.Duration) {
	t.Helper()
	_, err := f.b.Acquire(Query{Service: service, Class: class, MaxWait: time.Second})
	var limited *LimitedError
	assert.Assert(t, errors.As(err, &limited), "%v", err)
	assert.Equal(t, limited.RetryAfter, after)
}

// TestLimits guards against work that is sent beyond the limit of a server, and against
// callers that are told to return together.
func TestLimits(t *testing.T) {
	t.Run("a server without room is not chosen", func(t *testing.T) {
		f, throttle := newLimitFixture(map[string]int{"a": 2}, "a", "b")
		for range 2 {
			assert.Equal(t, f.acquire(t, Online, "b").Backend.ID, "a")
		}
		for range 5 {
			assert.Equal(t, f.acquire(t, Online).Backend.ID, "b")
		}
		assert.Equal(t, throttle.room["a"], 0)
	})
	t.Run("work is counted once", func(t *testing.T) {
		f, throttle := newLimitFixture(nil, "a")
		f.acquire(t, Online)
		f.acquire(t, Batch)
		assert.Equal(t, throttle.taken, 2)
	})
	t.Run("a refusal is not counted", func(t *testing.T) {
		f, throttle := newLimitFixture(map[string]int{"a": 0}, "a")
		assertLimited(t, f, Online, limitWait)
		assert.Equal(t, throttle.taken, 0)
	})
	t.Run("refused callers return one after the other", func(t *testing.T) {
		f, _ := newLimitFixture(map[string]int{"a": 0, "b": 0}, "a", "b")
		assertLimited(t, f, Batch, limitWait)
		assertLimited(t, f, Online, limitWait)
		assertLimited(t, f, Online, limitWait+100*time.Millisecond)
		for range 20 {
			_, _ = f.b.Acquire(Query{Service: service, Class: Online})
		}
		assertLimited(t, f, Online, maxReturnDelay)
		f.clock.Advance(time.Minute)
		assertLimited(t, f, Online, limitWait)
	})
	t.Run("batch items leave room to online requests", func(t *testing.T) {
		f, _ := newLimitFixture(map[string]int{"a": 1}, "a")
		assertLimited(t, f, Batch, limitWait)
		f.acquire(t, Online)
	})
	t.Run("an unreachable server is no resort while others have limits", func(t *testing.T) {
		f, _ := newLimitFixture(map[string]int{"a": 0}, "a", "b")
		f.acquire(t, Online, "a").Release(OutcomeUnreachable)
		assertLimited(t, f, Online, limitWait)
	})
}
