package registrar

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type rosterClock struct {
	now time.Time
}

func (c *rosterClock) Now() time.Time          { return c.now }
func (c *rosterClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTestRoster() (*Roster, *rosterClock) {
	clock := &rosterClock{now: time.Unix(1000, 0)}
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

// Guards against instances that vanish because the platform's list lags, and
// against dead ones that stay.
func TestRosterMembers(t *testing.T) {
	r, clock := newTestRoster()
	r.Merge([]Instance{{ID: "listed"}, {ID: "self", LinkAddress: "elsewhere"}})
	r.RecordHeartbeat(Instance{ID: "early"})
	assertIDs(t, r.Instances(), "early listed seed self")
	assertIDs(t, r.Peers(), "early listed seed")
	assert.Equal(t, r.Self().LinkAddress, "")

	for range 20 {
		clock.advance(liveTimeout)
		r.RecordHeartbeat(Instance{ID: "early"})
		r.Merge(nil)
	}
	assertIDs(t, r.Instances(), "early seed self")
	clock.advance(forgetTimeout + time.Second)
	r.Merge(nil)
	assertIDs(t, r.Instances(), "seed self")
}

// Guards against silent instances that count as live.
func TestRosterLive(t *testing.T) {
	r, clock := newTestRoster()
	assertIDs(t, r.Live(), "self")
	r.RecordHeartbeat(Instance{ID: "seed", Revision: 4})
	clock.advance(liveTimeout)
	assertIDs(t, r.Live(), "seed self")
	clock.advance(time.Millisecond)
	assertIDs(t, r.Live(), "self")
}

// Guards against a lagging list that overrides what an instance says about
// itself, and against a leaving instance that counts as staying.
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
		clock.advance(liveTimeout + time.Second)
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
