package retrier

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

type announced struct {
	notices []Notice
}

func (a *announced) Announce(n Notice) {
	a.notices = append(a.notices, n)
}

func newTestRetrier() (*Retrier, *clockwork.FakeClock, *announced) {
	clock := clockwork.NewFakeClock()
	told := &announced{}
	return New(Config{Clock: clock, Announcer: told}), clock, told
}

func assertDecision(t *testing.T, r *Retrier, a Attempt, want Decision) {
	t.Helper()
	a.Route = "desk"
	if a.Number == 0 {
		a.Number = 1
	}
	if a.Remaining == 0 {
		a.Remaining = time.Second
	}
	assert.DeepEqual(t, r.Decide(a), want)
}

func assertSuspicion(t *testing.T, r *Retrier, digest string, deaths int, quarantined bool) {
	t.Helper()
	s := r.Suspicion(digest)
	assert.Equal(t, s.Deaths, deaths)
	assert.Equal(t, s.Quarantined, quarantined)
	assert.Equal(t, s.RunAlone(), deaths > 0 && !quarantined)
}

// Guards against second runs of calls that may run once, and against refusals
// that claim not-run for a request that was handed over.
func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		attempt Attempt
		want    Decision
	}{
		{"a dial failure is retried", Attempt{Phase: BeforeDispatch}, Decision{true, ReasonRetry, refuser.NotRun}},
		{"one after dispatch is not", Attempt{Phase: Dispatched}, Decision{false, ReasonNotIdempotent, refuser.Unknown}},
		{"idempotent ones are", Attempt{Phase: Dispatched, Idempotent: true}, Decision{true, ReasonRetry, refuser.Unknown}},
		{
			"not after the first byte",
			Attempt{Phase: FirstByteSent, Idempotent: true},
			Decision{false, ReasonFirstByte, refuser.Unknown},
		},
		{
			"not after the deadline",
			Attempt{Phase: Dispatched, Idempotent: true, Remaining: -1},
			Decision{false, ReasonDeadline, refuser.Unknown},
		},
		{
			"not without end",
			Attempt{Phase: BeforeDispatch, Number: maxAttempts},
			Decision{false, ReasonAttempts, refuser.NotRun},
		},
		{
			"an earlier dispatch counts",
			Attempt{Phase: BeforeDispatch, Number: maxAttempts, HandedOver: true},
			Decision{false, ReasonAttempts, refuser.Unknown},
		},
		{"an ended run is told", Attempt{Phase: Dispatched, Ended: true}, Decision{false, ReasonNotIdempotent, refuser.Ran}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, _, _ := newTestRetrier()
			assertDecision(t, r, c.attempt, c.want)
		})
	}

	// Guards against retries that double the load of a failing fleet.
	t.Run("the budget is a tenth of the requests", func(t *testing.T) {
		r, _, _ := newTestRetrier()
		failed := Attempt{Phase: Dispatched, Idempotent: true}
		for range reserveRetries {
			assertDecision(t, r, failed, Decision{true, ReasonRetry, refuser.Unknown})
		}
		retries := 0
		for range 200 {
			r.CountRequest("desk")
			a := failed
			a.Route, a.Number, a.Remaining = "desk", 1, time.Second
			if r.Decide(a).Retry {
				retries++
			}
		}
		assert.Equal(t, retries, 20)
	})
}

func TestSuspects(t *testing.T) {
	// Guards against a request that takes down one server after the other.
	t.Run("two deaths quarantine for ten minutes", func(t *testing.T) {
		r, clock, told := newTestRetrier()
		r.RecordDeath("x", "engine-1")
		assertSuspicion(t, r, "x", 1, false)
		r.RecordDeath("x", "engine-2")
		assertSuspicion(t, r, "x", 2, true)
		r.Acquit("x")
		assertSuspicion(t, r, "x", 2, true)
		assert.DeepEqual(t, told.notices, []Notice{
			{Digest: "x", Server: "engine-1", Deaths: 1},
			{Digest: "x", Server: "engine-2", Deaths: 2},
		})
		clock.Advance(quarantineTime)
		assertSuspicion(t, r, "x", 0, false)
	})

	// Guards against one death that counts twice because two requests with the
	// same content, or two entries, report it.
	t.Run("one death counts once", func(t *testing.T) {
		r, _, told := newTestRetrier()
		r.RecordDeath("x", "engine-1")
		r.RecordDeath("x", "engine-1")
		r.Learn(Notice{Digest: "x", Server: "engine-1", Deaths: 1})
		assertSuspicion(t, r, "x", 1, false)
		assert.Equal(t, len(told.notices), 1)
	})

	// Guards against a label lookup that is refused because it was in flight
	// when servers died for another reason.
	t.Run("an answered request is acquitted", func(t *testing.T) {
		r, _, told := newTestRetrier()
		peer, _, _ := newTestRetrier()
		r.RecordDeath("x", "engine-1")
		r.Acquit("x")
		r.RecordDeath("x", "engine-2")
		assertSuspicion(t, r, "x", 1, false)
		for _, n := range told.notices {
			peer.Learn(n)
		}
		assertSuspicion(t, peer, "x", 1, false)
	})

	// Guards against a caller that finds an entry which has not heard of it.
	t.Run("peers' words count", func(t *testing.T) {
		r, clock, _ := newTestRetrier()
		r.Learn(Notice{Digest: "x", Server: "engine-1", Deaths: 2})
		assertSuspicion(t, r, "x", 1, true)
		r.LearnQuarantine("y", clock.Now().Add(time.Minute))
		assertSuspicion(t, r, "y", 1, true)
	})

	// Guards against unbounded memory under many deaths.
	t.Run("the table is bounded", func(t *testing.T) {
		r, _, _ := newTestRetrier()
		for i := range 2 * maxSuspectsPerShard {
			r.suspects.shards[0].record(fmt.Sprint(i), "engine-1", r.cfg.Clock.Now())
		}
		assert.Assert(t, len(r.suspects.shards[0].records) <= maxSuspectsPerShard)
	})
}
