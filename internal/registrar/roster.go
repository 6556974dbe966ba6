package registrar

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the roster.
const (
	// liveTimeout allows three heartbeats, sent every 500 ms, to be lost.
	liveTimeout = 2 * time.Second
	// forgetTimeout keeps an instance that the platform does not list as long
	// as it may merely be late in the list.
	forgetTimeout = 30 * time.Second
)

// rosterShards is the number of locks of a Roster.
const rosterShards = 16

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// A Roster is the set of entry instances that this process knows: from its
// settings, from the platform's list, which lags, and from heartbeats.
type Roster struct {
	clock  Clock
	self   string
	seed   maphash.Seed
	shards [rosterShards]rosterShard
}

// A rosterShard holds the members whose IDs hash to it.
type rosterShard struct {
	mu      sync.Mutex
	members map[string]*member
}

// A member is an instance with the sources that named it.
type member struct {
	instance Instance
	settings bool // Named in the settings: never forgotten.
	listed   bool // In the platform's last list.
	listLeft bool // The list says that it leaves.
	saidLeft bool // It said so itself.
	added    time.Time
}

// NewRoster returns a roster with this process's own instance and the
// instances that its settings name.
func NewRoster(clock Clock, self Instance, seeds []Instance) *Roster {
	r := &Roster{clock: clock, self: self.ID, seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].members = make(map[string]*member)
	}
	for _, instance := range append([]Instance{self}, seeds...) {
		r.update(instance.ID, func(m *member) {
			m.instance = instance
			m.settings = true
		})
	}
	return r
}

// Merge takes over the platform's list of entry instances. An instance that
// is missing stays while heartbeats come from it, because the list lags.
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
		r.shards[i].forget(listed, now)
	}
}

// RecordHeartbeat takes over what an instance says about itself.
func (r *Roster) RecordHeartbeat(instance Instance) {
	now := r.clock.Now()
	r.update(instance.ID, func(m *member) { m.heartbeat(instance, now) })
}

// SetLeaving marks this process's own instance as leaving.
func (r *Roster) SetLeaving() {
	r.update(r.self, func(m *member) { m.saidLeft = true })
}

// Confirm records the revision that is in force in this process.
func (r *Roster) Confirm(revision int64) {
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

// Live returns the instances from which heartbeats come, and this process's
// own, sorted by ID.
func (r *Roster) Live() []Instance {
	now := r.clock.Now()
	return slices.DeleteFunc(r.Instances(), func(i Instance) bool {
		return i.ID != r.self && !isLive(i.LastSeen, now)
	})
}

// isLive tells whether a heartbeat at seen is recent.
func isLive(seen, now time.Time) bool {
	return !seen.IsZero() && now.Sub(seen) <= liveTimeout
}

// update changes a member, which is added if it is not known.
func (r *Roster) update(id string, change func(*member)) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		m = &member{instance: Instance{ID: id}, added: r.clock.Now()}
		s.members[id] = m
	}
	change(m)
}

// shard returns the shard of an ID.
func (r *Roster) shard(id string) *rosterShard {
	return &r.shards[maphash.String(r.seed, id)%rosterShards]
}

// forget drops the members that no source names any more.
func (s *rosterShard) forget(listed map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.members {
		m.listed = listed[id]
		m.listLeft = m.listLeft && m.listed
		if !m.settings && !m.listed && now.Sub(m.lastNamed()) > forgetTimeout {
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

// lastNamed is the last time at which the member was added or heard.
func (m *member) lastNamed() time.Time {
	if m.instance.LastSeen.After(m.added) {
		return m.instance.LastSeen
	}
	return m.added
}

// merge takes over a row of the platform's list. What the instance said about
// itself in a recent heartbeat is newer than the list.
func (m *member) merge(listed Instance, now time.Time) {
	m.listLeft = listed.Leaving
	if isLive(m.instance.LastSeen, now) {
		return
	}
	m.instance.FailureDomain = listed.FailureDomain
	m.instance.LinkAddress = listed.LinkAddress
	m.instance.HTTPAddress = listed.HTTPAddress
	m.instance.Disk = listed.Disk
}

// heartbeat takes over what the instance says about itself. The confirmed
// revision is taken as it is: a restarted instance starts below the one that
// it confirmed before.
func (m *member) heartbeat(said Instance, now time.Time) {
	m.saidLeft = said.Leaving
	m.instance.FailureDomain = said.FailureDomain
	m.instance.Revision = said.Revision
	m.instance.Disk = said.Disk
	m.instance.LastSeen = now
	if said.LinkAddress != "" {
		m.instance.LinkAddress = said.LinkAddress
	}
	if said.HTTPAddress != "" {
		m.instance.HTTPAddress = said.HTTPAddress
	}
}

// snapshot returns the instance as its users see it.
func (m *member) snapshot() Instance {
	instance := m.instance
	instance.Leaving = m.listLeft || m.saidLeft
	return instance
}
