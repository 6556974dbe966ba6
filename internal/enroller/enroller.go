// Package enroller registers this instance in the platform's store under a lease, and
// tracks the other instances by their entries.
package enroller

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// leaseTTL is how long an instance counts as present after its last renewal. It is
	// longer than the restart of a killed process, and long enough for a failure domain
	// that is cut off for about six seconds to keep its jobs.
	leaseTTL = 8500 * time.Millisecond
	// renewInterval allows five renewals within leaseTTL.
	renewInterval = 1500 * time.Millisecond
	// retryInterval is the delay before a failed call is retried.
	retryInterval = 400 * time.Millisecond
	// maxEntryWrites limits the writes of the own entry in one step: the first one may
	// expect another version than the entry has.
	maxEntryWrites = 2
	// absentRetention is how long the quota share of an instance whose entry expired
	// without notice is reserved for it. The instance may be cut off from the store and
	// still serve its callers.
	absentRetention = 12 * time.Second
	// entriesPollInterval is the time between two checks whether the entries of all
	// instances have been received.
	entriesPollInterval = 30 * time.Millisecond
	// ReenrollGrace is how long an instance whose lease expired during a store outage
	// has to enroll again.
	ReenrollGrace = 3 * time.Second
)

// A Member is an instance of the system.
type Member struct {
	ID            string `cbor:"id"`
	Incarnation   string `cbor:"incarnation"` // Random ID, new at each start.
	LinkAddress   string `cbor:"link-address"`
	FailureDomain string `cbor:"failure-domain"`
	Leaving       bool   `cbor:"leaving"`    // It is draining and hands over its jobs.
	StartedMs     int64  `cbor:"started-ms"` // Unix time at the start of the incarnation.
}

// A Store is the part of the platform's store that an enroller needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
}

// Config holds the settings and dependencies of an enroller.
type Config struct {
	Self   Member
	Prefix string // Key prefix of the entries of all instances.
	Store  Store
	Clock  storer.Clock
	Logger logrus.FieldLogger
	// Changed is called after each change of the membership. Calls are serialized.
	Changed func(m Membership)
	// Enrolled is called after each enrollment. What this instance owned may have been
	// taken over since the last one. Nil means that nothing depends on it.
	Enrolled func()
}

// A Membership is the set of known instances.
type Membership struct {
	Peers []Member // Without this instance; sorted by ID.
	// Absent are instances whose entries expired without notice. They may only be cut
	// off from the store, so links to them and their share of all contracts are kept
	// while they send reports and for absentRetention afterwards.
	Absent []Member
	// PreviousIncarnation is the entry of this instance's previous incarnation; nil if
	// there was none when the entries were first received.
	PreviousIncarnation *Member
}

// An Enroller maintains this instance's entry and the membership.
type Enroller struct {
	cfg Config

	mu                  sync.Mutex
	self                Member
	entriesApplied      bool    // ApplyEntries was called.
	previousIncarnation *Member // See Membership.
	// lease is kept until it ends, also while the effect of a write of the entry is
	// unknown: all writes of the entry are bound to it, so none that takes effect late
	// binds the entry to a lease that nobody renews.
	lease storer.Lease
	// entryVersion is the last known version of the own entry; zero if it was absent.
	// Each write of the entry expects it, so at most one of the writes that expect the
	// same version takes effect.
	entryVersion int64
	enrolled     bool // The entry at entryVersion is self, bound to lease.
	term         int  // Number of enrollments.
	peers        map[string]Member
	absent       map[string]Member    // By ID.
	lastAliveAt  map[string]time.Time // When an absent instance's entry expired or its last report arrived.

	notifyMu sync.Mutex // Serializes calls of Changed.
	wake     chan struct{}
}

// New returns an enroller that is not enrolled yet.
func New(cfg Config) *Enroller {
	return &Enroller{
		cfg:         cfg,
		self:        cfg.Self,
		peers:       map[string]Member{},
		absent:      map[string]Member{},
		lastAliveAt: map[string]time.Time{},
		wake:        make(chan struct{}, 1),
	}
}

// Start enrolls this instance and renews its lease until the context ends. It then
// removes the entry.
func (e *Enroller) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		for ctx.Err() == nil {
			waiter.Pause(ctx, e.cfg.Clock, e.step(ctx), e.wake)
		}
		ended <- e.removeEntry(context.WithoutCancel(ctx))
	})
	return ended
}

// step enrolls or renews, and returns the time until the next step.
func (e *Enroller) step(ctx context.Context) time.Duration {
	e.expireAbsent()
	e.mu.Lock()
	lease, enrolled, entriesApplied := e.lease, e.enrolled, e.entriesApplied
	e.mu.Unlock()
	if !entriesApplied {
		return entriesPollInterval // Enrolling would overwrite the entry of the previous incarnation.
	}
	if enrolled {
		renewed, err := e.cfg.Store.RenewLease(ctx, lease)
		switch {
		case err == nil:
			e.mu.Lock()
			e.lease = renewed
			e.mu.Unlock()
			return renewInterval
		case !errors.Is(err, storer.ErrLeaseExpired):
			return retryInterval
		}
		e.cfg.Logger.WithField("lease", lease.ID).Warn("lease expired; enrolling again")
		e.mu.Lock()
		e.enrolled, e.lease, e.entryVersion = false, storer.Lease{}, 0 // The entry ended with the lease.
		e.mu.Unlock()
	}
	if err := e.enroll(ctx); err != nil {
		if ctx.Err() == nil {
			e.cfg.Logger.WithError(err).Warn("failed to enroll; retrying")
		}
		return retryInterval
	}
	return renewInterval
}

func (e *Enroller) key() string { return e.cfg.Prefix + e.cfg.Self.ID }

// enroll writes the entry of this instance.
func (e *Enroller) enroll(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "enroll") }()
	lease, err := e.ensureLease(ctx)
	if err != nil {
		return err
	}
	e.mu.Lock()
	self := e.self
	e.mu.Unlock()
	version, err := e.writeEntry(ctx, self, lease)
	if err != nil {
		return err
	}
	if !e.beginTerm(self, version) {
		return nil
	}
	e.cfg.Logger.WithFields(logrus.Fields{"lease": lease.ID, "leaving": self.Leaving, "version": version}).Info("enrolled")
	if e.cfg.Enrolled != nil {
		e.cfg.Enrolled()
	}
	return nil
}

// beginTerm records that the entry at a version is self. It returns false if Leave was
// called, or the entry was found changed, meanwhile: the next step writes it again.
func (e *Enroller) beginTerm(self Member, version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.entryVersion > version
	e.entryVersion = max(e.entryVersion, version)
	e.enrolled = !changed && e.self == self
	if e.enrolled {
		e.term++
	}
	return e.enrolled
}

// writeEntry writes the entry and returns its version. It writes it again if the entry
// had another version than expected.
func (e *Enroller) writeEntry(ctx context.Context, self Member, lease storer.Lease) (version int64, err error) {
	value, err := encode(self)
	if err != nil {
		return 0, err
	}
	for range maxEntryWrites {
		e.mu.Lock()
		expected := e.entryVersion
		e.mu.Unlock()
		version, err = e.cfg.Store.Commit(ctx, storer.Transaction{
			Expect: []storer.Precondition{{Key: e.key(), Version: expected}},
			Writes: []storer.Write{{Key: e.key(), Value: value, LeaseID: lease.ID}},
		})
		if errors.Is(err, storer.ErrLeaseExpired) {
			e.dropLease()
		}
		if !errors.Is(err, storer.ErrConflict) {
			return version, err
		}
		version, err = e.resolveConflict(ctx, value, lease)
		if !errors.Is(err, storer.ErrConflict) {
			return version, err
		}
	}
	return 0, err
}

// ensureLease returns the current lease, renewed unless most of its time is left, or a
// new one if there is none or it has ended.
func (e *Enroller) ensureLease(ctx context.Context) (lease storer.Lease, err error) {
	e.mu.Lock()
	lease = e.lease
	e.mu.Unlock()
	if lease.Live(e.cfg.Clock.Now().Add(leaseTTL / 2)) {
		return lease, nil
	}
	if lease.ID != 0 {
		lease, err = e.cfg.Store.RenewLease(ctx, lease)
	}
	if lease.ID == 0 || errors.Is(err, storer.ErrLeaseExpired) {
		lease, err = e.cfg.Store.GrantLease(ctx, leaseTTL)
	}
	if err != nil {
		return storer.Lease{}, err
	}
	e.mu.Lock()
	e.lease = lease
	e.mu.Unlock()
	return lease, nil
}

func (e *Enroller) dropLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = storer.Lease{}
}

// resolveConflict reads the entry after a write of it conflicted. It returns its
// version if the entry is what was written, by an earlier write whose answer was lost.
// Otherwise the next write expects that version.
func (e *Enroller) resolveConflict(ctx context.Context, value []byte, lease storer.Lease) (version int64, err error) {
	entry, err := e.cfg.Store.Get(ctx, e.key())
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return 0, err
	}
	if err == nil && entry.LeaseID == lease.ID && bytes.Equal(entry.Value, value) {
		return entry.Version, nil
	}
	e.mu.Lock()
	e.entryVersion = entry.Version
	e.mu.Unlock()
	e.cfg.Logger.WithFields(logrus.Fields{"version": entry.Version, "entry-lease": entry.LeaseID, "lease": lease.ID}).Warn("the entry of this instance has changed; writing it again")
	return 0, storer.ErrConflict
}

// Term returns the number of the current enrollment and whether its lease is
// certainly valid. While the lease is valid, no other instance may take over what
// this one owns.
func (e *Enroller) Term() (term int, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.enrolled && e.lease.Live(e.cfg.Clock.Now())
}

func encode(m Member) ([]byte, error) { return encoder.Marshal(m) }

// Leave announces to the other instances that this one is draining.
func (e *Enroller) Leave() {
	e.mu.Lock()
	e.self.Leaving = true
	e.enrolled = false
	e.mu.Unlock()
	e.wakeUp()
}

func (e *Enroller) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// removeEntry removes the entry that this instance wrote. A removal that takes effect
// late leaves the entry of the next incarnation alone.
func (e *Enroller) removeEntry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, retryInterval)
	defer cancel()
	e.mu.Lock()
	version := e.entryVersion
	e.mu.Unlock()
	if version == 0 {
		return nil
	}
	_, err := e.cfg.Store.Commit(ctx, storer.Transaction{
		Expect: []storer.Precondition{{Key: e.key(), Version: version}},
		Remove: []string{e.key()},
	})
	if errors.Is(err, storer.ErrConflict) {
		return nil // The entry is gone already, or another writer's.
	}
	return merry.Prepend(err, "remove entry")
}

// ApplyEntries updates the membership from the entries of all instances.
func (e *Enroller) ApplyEntries(c follower.Snapshot) {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	e.checkOwnEntry(c)
	present := map[string]bool{}
	for _, entry := range c.Entries {
		var m Member
		if err := encoder.Unmarshal(entry.Value, &m); err != nil || m.ID != strings.TrimPrefix(entry.Key, e.cfg.Prefix) {
			e.cfg.Logger.WithField("key", entry.Key).Warn("ignoring invalid instance entry")
			continue
		}
		present[m.ID] = true
		if m.ID == e.cfg.Self.ID && m.Incarnation != e.cfg.Self.Incarnation && !e.entriesApplied {
			e.previousIncarnation = &m
		}
		if m.ID != e.cfg.Self.ID {
			e.peers[m.ID] = m
			delete(e.absent, m.ID)
		}
	}
	e.entriesApplied = true
	for id, m := range e.peers {
		if present[id] {
			continue
		}
		delete(e.peers, id)
		if !m.Leaving {
			e.absent[id] = m
			e.lastAliveAt[id] = now
		}
	}
	e.mu.Unlock()
	e.notifyChanged()
}

// checkOwnEntry compares the own entry with a snapshot. While it is absent or another
// writer's, other instances may take over what this one owns, also if its lease is
// valid. The caller holds e.mu.
func (e *Enroller) checkOwnEntry(c follower.Snapshot) {
	var version int64
	for _, entry := range c.Entries {
		if entry.Key == e.key() {
			version = entry.Version
		}
	}
	if max(c.Version, version) < e.entryVersion || version == e.entryVersion {
		return
	}
	e.entryVersion = version
	if !e.enrolled {
		return
	}
	e.enrolled = false
	e.cfg.Logger.WithFields(logrus.Fields{"version": version, "lease": e.lease.ID}).Warn("the entry of this instance is absent or another writer's; enrolling again")
	e.wakeUp()
}

// MarkAlive records that an instance has sent a report.
func (e *Enroller) MarkAlive(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.absent[id]; ok {
		e.lastAliveAt[id] = e.cfg.Clock.Now()
	}
}

// expireAbsent removes absent instances that have sent no report for absentRetention.
func (e *Enroller) expireAbsent() {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	expired := false
	for id := range e.absent {
		if now.Sub(e.lastAliveAt[id]) > absentRetention {
			delete(e.absent, id)
			expired = true
		}
	}
	e.mu.Unlock()
	if expired {
		e.notifyChanged()
	}
}

func (e *Enroller) notifyChanged() {
	e.notifyMu.Lock()
	defer e.notifyMu.Unlock()
	m := e.Membership()
	e.cfg.Logger.WithFields(logrus.Fields{"peers": len(m.Peers), "absent": len(m.Absent)}).Info("membership changed")
	e.cfg.Changed(m)
}

// Membership returns the current membership.
func (e *Enroller) Membership() Membership {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := Membership{PreviousIncarnation: e.previousIncarnation}
	for _, peer := range e.peers {
		m.Peers = append(m.Peers, peer)
	}
	slices.SortFunc(m.Peers, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	for _, member := range e.absent {
		m.Absent = append(m.Absent, member)
	}
	return m
}
