package registrar

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// liveTimeout allows three heartbeats, sent every 500 ms, to be lost.
	liveTimeout = 2 * time.Second
	// unlistedTimeout is how long an instance without heartbeats is kept although
	// the platform does not list it, because the list lags.
	unlistedTimeout = 30 * time.Second
)

// rosterShardCount is the number of locks of a Roster.
const rosterShardCount = 16

// A Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// A Roster is the set of entry instances that this process knows from its
// settings, from the platform's list, which lags, and from heartbeats.
type Roster struct {
	clock  Clock
	self   string
	seed   maphash.Seed
	shards [rosterShardCount]rosterShard
}

// A rosterShard holds the members whose IDs hash to it.
type rosterShard struct {
	mu      sync.Mutex
	members map[string]*member
}

// A member is an instance with the sources that reported it.
type member struct {
	instance        Instance
	fromSettings    bool // Named in the settings; never removed.
	listed          bool // In the platform's last list.
	listedLeaving   bool // The list reports it as leaving.
	reportedLeaving bool // Its own heartbeat reports it as leaving.
	addedAt         time.Time
}

// NewRoster returns a Roster with this process's own instance and the instances
// named in its settings.
func NewRoster(clock Clock, self Instance, seeds []Instance) *Roster {
	r := &Roster{clock: clock, self: self.ID, seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].members = make(map[string]*member)
	}
	for _, instance := range append([]Instance{self}, seeds...) {
		r.update(instance.ID, func(m *member) {
			m.instance = instance
			m.fromSettings = true
		})
	}
	return r
}

// Merge applies the platform's list of entry instances. An instance that is
// missing is kept while it sends heartbeats, because the list lags.
func (r *Roster) Merge(list []Instance) {
	listed := make(map[string]bool, len(list))
	now := r.clock.Now()
	for _, instance := range list {
		listed[instance.ID] = true
		if instance.ID != r.self {
			r.update(instance.ID, func(m *member) { m.merge(instance, now) })
		}
	}
	for i := range r.shards {
		r.shards[i].expire(listed, now)
	}
}

// RecordHeartbeat applies what an instance reports about itself.
func (r *Roster) RecordHeartbeat(instance Instance) {
	now := r.clock.Now()
	r.update(instance.ID, func(m *member) { m.recordHeartbeat(instance, now) })
}

// SetLeaving marks this process's own instance as leaving.
func (r *Roster) SetLeaving() {
	r.update(r.self, func(m *member) { m.reportedLeaving = true })
}

// ConfirmRevision records the revision that this process has installed.
func (r *Roster) ConfirmRevision(revision int64) {
	r.update(r.self, func(m *member) { m.instance.Revision = revision })
}

// Self returns this process's own instance.
func (r *Roster) Self() Instance {
	instance, _ := r.Instance(r.self)
	return instance
}

// Instance returns one known instance.
func (r *Roster) Instance(id string) (instance Instance, ok bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return Instance{}, false
	}
	return m.snapshot(), true
}

// Instances returns the known instances, sorted by ID.
func (r *Roster) Instances() []Instance {
	var instances []Instance
	for i := range r.shards {
		instances = r.shards[i].appendTo(instances)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return instances
}

// Peers returns the known instances without this process's own, sorted by ID.
func (r *Roster) Peers() []Instance {
	return slices.DeleteFunc(r.Instances(), func(i Instance) bool { return i.ID == r.self })
}

// Live returns the instances with a recent heartbeat, and this process's own,
// sorted by ID.
func (r *Roster) Live() []Instance {
	now := r.clock.Now()
	return slices.DeleteFunc(r.Instances(), func(i Instance) bool {
		return i.ID != r.self && !isLive(i.LastSeen, now)
	})
}

// isLive reports whether a heartbeat at seen is recent.
func isLive(seen, now time.Time) bool {
	return !seen.IsZero() && now.Sub(seen) <= liveTimeout
}

// update changes a member, which is added if it is unknown.
func (r *Roster) update(id string, change func(*member)) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		m = &member{instance: Instance{ID: id}, addedAt: r.clock.Now()}
		s.members[id] = m
	}
	change(m)
}

func (r *Roster) shard(id string) *rosterShard {
	return &r.shards[maphash.String(r.seed, id)%rosterShardCount]
}

// expire removes the members that no source reports any more.
func (s *rosterShard) expire(listed map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.members {
		m.listed = listed[id]
		m.listedLeaving = m.listedLeaving && m.listed
		if !m.fromSettings && !m.listed && now.Sub(m.lastReferenced()) > unlistedTimeout {
			delete(s.members, id)
		}
	}
}

// appendTo appends copies of the shard's instances.
func (s *rosterShard) appendTo(instances []Instance) []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		instances = append(instances, m.snapshot())
	}
	return instances
}

// lastReferenced returns when the member was added or sent its last heartbeat,
// whichever is later.
func (m *member) lastReferenced() time.Time {
	if m.instance.LastSeen.After(m.addedAt) {
		return m.instance.LastSeen
	}
	return m.addedAt
}

// merge applies what the platform's list says about the instance. A recent
// heartbeat takes precedence, because it is newer than the list.
func (m *member) merge(listed Instance, now time.Time) {
	m.listedLeaving = listed.Leaving
	if isLive(m.instance.LastSeen, now) {
		return
	}
	m.instance.FailureDomain = listed.FailureDomain
	m.instance.LinkAddress = listed.LinkAddress
	m.instance.HTTPAddress = listed.HTTPAddress
	m.instance.Disk = listed.Disk
}

// recordHeartbeat applies what the instance reports about itself. The confirmed
// revision may decrease, because a restarted instance starts below the one that
// it confirmed before.
func (m *member) recordHeartbeat(reported Instance, now time.Time) {
	m.reportedLeaving = reported.Leaving
	m.instance.FailureDomain = reported.FailureDomain
	m.instance.Revision = reported.Revision
	m.instance.Disk = reported.Disk
	m.instance.LastSeen = now
	if reported.LinkAddress != "" {
		m.instance.LinkAddress = reported.LinkAddress
	}
	if reported.HTTPAddress != "" {
		m.instance.HTTPAddress = reported.HTTPAddress
	}
}

// snapshot returns a copy of the instance with its leaving state.
func (m *member) snapshot() Instance {
	instance := m.instance
	instance.Leaving = m.listedLeaving || m.reportedLeaving
	return instance
}
