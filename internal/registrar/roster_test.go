package registrar

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func newTestRoster() (*Roster, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	seeds := []Instance{{ID: "seed", LinkAddress: "127.0.0.1:1"}}
	return NewRoster(clock, Instance{ID: "self"}, seeds), clock
}

// assertIDs checks the IDs of instances in their order, separated by spaces.
func assertIDs(t *testing.T, instances []Instance, want string) {
	t.Helper()
	var ids []string
	for _, instance := range instances {
		ids = append(ids, instance.ID)
	}
	assert.Equal(t, strings.Join(ids, " "), want)
}

// Guards against removing instances because the platform's list lags, and against
// keeping dead ones.
func TestRosterMembers(t *testing.T) {
	r, clock := newTestRoster()
	r.Merge([]Instance{{ID: "listed"}, {ID: "self", LinkAddress: "elsewhere"}})
	r.RecordHeartbeat(Instance{ID: "early"})
	assertIDs(t, r.Instances(), "early listed seed self")
	assertIDs(t, r.Peers(), "early listed seed")
	assert.Equal(t, r.Self().LinkAddress, "")

	for range 20 {
		clock.Advance(liveTimeout)
		r.RecordHeartbeat(Instance{ID: "early"})
		r.Merge(nil)
	}
	assertIDs(t, r.Instances(), "early seed self")
	clock.Advance(unlistedTimeout + time.Second)
	r.Merge(nil)
	assertIDs(t, r.Instances(), "seed self")
}

// Guards against silent instances that count as live.
func TestRosterLive(t *testing.T) {
	r, clock := newTestRoster()
	assertIDs(t, r.Live(), "self")
	r.RecordHeartbeat(Instance{ID: "seed", Revision: 4})
	clock.Advance(liveTimeout)
	assertIDs(t, r.Live(), "seed self")
	clock.Advance(time.Millisecond)
	assertIDs(t, r.Live(), "self")
}

// Guards against a lagging list that overrides what an instance reports about
// itself, and against losing its leaving state.
func TestRosterSources(t *testing.T) {
	instance := func(r *Roster) Instance {
		i, ok := r.Instance("seed")
		assert.Assert(t, ok)
		return i
	}
	t.Run("address", func(t *testing.T) {
		r, clock := newTestRoster()
		r.Merge([]Instance{{ID: "seed", LinkAddress: "127.0.0.1:2"}})
		assert.Equal(t, instance(r).LinkAddress, "127.0.0.1:2")
		r.RecordHeartbeat(Instance{ID: "seed", LinkAddress: "127.0.0.1:3", Revision: 7})
		r.Merge([]Instance{{ID: "seed", LinkAddress: "127.0.0.1:2"}})
		assert.Equal(t, instance(r).LinkAddress, "127.0.0.1:3")
		assert.Equal(t, instance(r).Revision, int64(7))
		clock.Advance(liveTimeout + time.Second)
		r.Merge([]Instance{{ID: "seed", LinkAddress: "127.0.0.1:4"}})
		assert.Equal(t, instance(r).LinkAddress, "127.0.0.1:4")
	})
	t.Run("leaving", func(t *testing.T) {
		r, _ := newTestRoster()
		r.Merge([]Instance{{ID: "seed", Leaving: true}})
		assert.Assert(t, instance(r).Leaving)
		r.Merge([]Instance{{ID: "seed"}})
		r.RecordHeartbeat(Instance{ID: "seed", Leaving: true})
		assert.Assert(t, instance(r).Leaving)
		r.SetLeaving()
		assert.Assert(t, r.Self().Leaving)
	})
}
