// Package follower keeps a local copy of the keys with a prefix in the
// platform's store. It lists them once and then watches for changes. When the
// store is unreachable it accepts snapshots from other instances.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// watchTimeout is the duration of one watch. A pending watch counts as one
	// call, so it is as long as the platform allows.
	watchTimeout = 30 * time.Second
	// minRetry and maxRetry bound the backoff after a failed call. maxRetry leaves
	// three attempts within the two seconds in which servers re-register.
	minRetry = 100 * time.Millisecond
	maxRetry = 700 * time.Millisecond
	// peerCheckInterval is the interval of checks whether a peer still follows the
	// store for this instance.
	peerCheckInterval = 300 * time.Millisecond
	// staleTimeout is how long a peer may know of a change before this instance no
	// longer waits for it to arrive. It exceeds CoalesceDelay plus an exchange with a
	// peer, and leaves time to list the keys within the two seconds in which changes
	// must arrive.
	staleTimeout = 800 * time.Millisecond
	// confirmLifetime is how long a confirmation by Confirm serves further callers.
	confirmLifetime = 100 * time.Millisecond
)

// errStale means that a watch was cancelled because a peer knew of later changes.
var errStale = merry.Sentinel("the watch is stale")

// A Store is the part of the platform's store that a follower needs.
type Store interface {
	List(ctx context.Context, prefix string) (storer.Listing, error)
	// Watch waits for changes after a version. It returns the version that the
	// changes are complete up to.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []storer.Change, version int64, err error)
}

// A Snapshot is the entries with a prefix at one version of the store.
type Snapshot struct {
	Entries   []storer.Entry `cbor:"entries"`
	Version   int64          `cbor:"version"`
	ChangedAt int64          `cbor:"changed-at"` // Version of the last change with the prefix; at most Version.
}

// A Turn is the place of an instance among those that follow the store.
type Turn struct {
	Index int // From 0; below Count.
	Count int // At least 1.
}

// A Config holds the parameters of a Follower.
type Config struct {
	Name   string // Used in log lines.
	Prefix string
	Store  Store
	Clock  storer.Clock
	Logger logrus.FieldLogger
	// RemovalGrace is how long keys that disappeared during an outage of the store
	// are kept after the outage, so that their owners can write them again.
	RemovalGrace time.Duration
	// CoalesceDelay is the delay before the next watch after a change, so that
	// changes in quick succession cost one call.
	CoalesceDelay time.Duration
	// UsePeerSnapshots reports whether to rely on snapshots from a peer that
	// follows the store, which saves the calls of an own watch. Nil means never.
	UsePeerSnapshots func() bool
	// CheckInterval is the interval of checks, by one of the instances that follow the
	// store at a time, whether a pending watch has missed changes; zero means never.
	CheckInterval time.Duration
	// Turn returns the turn of this instance. Nil means that it follows the store alone.
	Turn func() Turn
	// OnChange is called after each change, never concurrently.
	OnChange func(snapshot Snapshot)
}

// A Follower keeps a local copy of the keys with a prefix.
type Follower struct {
	cfg Config

	mu            sync.Mutex
	entries       map[string]storer.Entry
	version       int64 // Version of the store; zero before the first listing.
	changedAt     int64 // Version of the last known change with the prefix.
	connected     bool
	confirmedAt   time.Time // When the store last answered a listing or a watch, or a peer sent a snapshot; zero before.
	watchSentAt   time.Time // When the last watch was sent.
	listedAt      time.Time // When Confirm last asked the store.
	outage        bool      // A call failed and the store has not been listed since.
	reconnectedAt time.Time // End of the last outage; zero during an outage and before the first.
	// awaited is the version of a change that a peer knows of and that has not
	// arrived; it has arrived when awaited <= version.
	awaited      int64
	awaitedSince time.Time
	cancelWatch  context.CancelFunc   // Cancels the watch in progress; nil between watches.
	removeAt     map[string]time.Time // Keys in their removal grace, with its end.
	usingPeer    bool                 // Snapshots of a peer replace the watch, as UsePeerSnapshots asks for.
	mustList     bool                 // Snapshots of peers did not arrive; the store is listed before they are used again.

	wake chan struct{} // Interrupts the pause between checks of peers.

	notifyMu sync.Mutex // Held during OnChange, so that calls are serialized.
}

// New returns a follower without any keys.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, entries: map[string]storer.Entry{}, removeAt: map[string]time.Time{}, wake: make(chan struct{}, 1)}
}

// Start follows the store until the context ends, which the channel reports.
func (f *Follower) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		f.run(ctx)
		ended <- nil
	})
	return ended
}

func (f *Follower) run(ctx context.Context) {
	delay := minRetry
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			delay = minRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errStale) {
			continue
		}
		f.markDisconnected(err)
		waiter.Pause(ctx, f.cfg.Clock, delay, nil)
		delay = min(2*delay, maxRetry)
	}
}

// step lists the keys, or waits for changes once they have been listed.
func (f *Follower) step(ctx context.Context) error {
	if f.updateUsingPeer() {
		waiter.Pause(ctx, f.cfg.Clock, peerCheckInterval, f.wake)
		return nil
	}
	after, listed := f.position()
	if !listed {
		listing, err := f.cfg.Store.List(ctx, f.cfg.Prefix)
		if err != nil {
			return err
		}
		f.replace(listing)
		return nil
	}
	changes, version, missed, err := f.watch(ctx, after)
	if missed != nil {
		f.replace(*missed)
		return nil
	}
	if errors.Is(err, storer.ErrHistoryLost) {
		f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": after}).Warn("change history unavailable, listing again")
		f.mu.Lock()
		f.connected = false
		f.mu.Unlock()
		return nil
	}
	if _, listed := f.position(); err != nil && !listed {
		return errStale
	}
	if err != nil {
		return err
	}
	f.apply(changes, version)
	if len(changes) > 0 {
		waiter.Pause(ctx, f.cfg.Clock, f.cfg.CoalesceDelay, nil)
	}
	return nil
}

// watch waits for changes. ObservePeerVersion cancels it when a peer knows of
// changes that it should have delivered. If a check finds such changes, watch returns
// the listing that has them.
func (f *Follower) watch(ctx context.Context, after int64) (changes []storer.Change, version int64, missed *storer.Listing, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelWatch = cancel
	f.watchSentAt = f.cfg.Clock.Now()
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.cancelWatch = nil
		f.mu.Unlock()
	}()
	var checks conc.WaitGroup
	if f.cfg.CheckInterval > 0 {
		checks.Go(func() {
			missed = f.checkWatch(ctx)
			cancel()
		})
	}
	changes, version, err = f.cfg.Store.Watch(ctx, f.cfg.Prefix, after, f.watchDuration())
	cancel()
	checks.Wait()
	if err == nil {
		missed = nil
	}
	return changes, version, missed, err
}

// checkWatch lists the keys in the turns of this instance until the context ends, or
// until the listing has changes that the pending watch should have delivered. It
// returns that listing. A watch that was begun before a peer was known to follow the
// store stays pending but is not checked: reports of that peer tell what it missed.
func (f *Follower) checkWatch(ctx context.Context) *storer.Listing {
	for {
		waiter.Pause(ctx, f.cfg.Clock, f.untilCheck(), nil)
		if ctx.Err() != nil {
			return nil
		}
		if f.cfg.UsePeerSnapshots != nil && f.cfg.UsePeerSnapshots() {
			continue // The instances that follow the store check their watches.
		}
		listing, err := f.cfg.Store.List(ctx, f.cfg.Prefix)
		if err != nil {
			continue // A call without an answer ends the watch; a refusal says nothing about it.
		}
		if f.isMissing(listing) {
			f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": f.Version(), "listed-version": listing.Version}).
				Warn("the watch has missed changes")
			return &listing
		}
		f.markConfirmed()
	}
}

func (f *Follower) markConfirmed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = f.cfg.Clock.Now()
}

// Confirm lists the keys, unless it did so within confirmLifetime, and applies changes
// that have not arrived. After a nil error the copy has all changes that the store had
// accepted confirmLifetime before the call.
func (f *Follower) Confirm(ctx context.Context) (err error) {
	defer func() { err = merry.Prependf(err, "confirm copy of %q", f.cfg.Prefix) }()
	asked := f.cfg.Clock.Now()
	f.mu.Lock()
	recent := isRecent(f.listedAt, asked, confirmLifetime)
	f.mu.Unlock()
	if recent {
		return nil
	}
	listing, err := f.cfg.Store.List(ctx, f.cfg.Prefix)
	if err != nil {
		return err
	}
	if f.isMissing(listing) {
		f.replace(listing)
	}
	f.markConfirmed()
	f.mu.Lock()
	f.listedAt = asked
	f.mu.Unlock()
	return nil
}

// isRecent reports whether less than d has passed since at, by the monotonic clock and
// by the time of day: the monotonic clock does not count the time in which the machine
// was suspended.
func isRecent(at, now time.Time, d time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < d && now.Round(0).Sub(at.Round(0)).Abs() < d
}

// untilCheck returns the time until the next turn of this instance. The turns begin
// when the watch is sent, which is after the same change at all instances.
func (f *Follower) untilCheck() time.Duration {
	turn := Turn{Count: 1}
	if f.cfg.Turn != nil {
		turn = f.cfg.Turn()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	first, period := time.Duration(turn.Index+1)*f.cfg.CheckInterval, time.Duration(turn.Count)*f.cfg.CheckInterval
	pending := f.cfg.Clock.Now().Sub(f.watchSentAt)
	if pending < first {
		return first - pending
	}
	return period - (pending-first)%period
}

// isMissing reports whether a listing has changes that the copy lacks.
func (f *Follower) isMissing(l storer.Listing) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Version < f.version {
		return false
	}
	present := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		present[e.Key] = true
		if f.entries[e.Key].Version < e.Version {
			return true
		}
	}
	for key := range f.entries {
		if _, scheduled := f.removeAt[key]; !present[key] && !scheduled {
			return true
		}
	}
	return false
}

// ObservePeerVersion records the version of the last change with the prefix that
// a peer knows of. If that change does not arrive within staleTimeout, the keys are
// listed again: a watch may hang on a dead connection, and snapshots of peers may
// get lost on the way.
func (f *Follower) ObservePeerVersion(changedAt int64) {
	f.mu.Lock()
	now := f.cfg.Clock.Now()
	if f.awaited <= f.version {
		f.awaited, f.awaitedSince = changedAt, now
	}
	waiting := f.usingPeer || f.connected && f.cancelWatch != nil
	stale := waiting && f.awaited > f.version && now.Sub(f.awaitedSince) >= staleTimeout
	fields := logrus.Fields{"follows": f.cfg.Name, "version": f.version, "peer-version": f.awaited, "behind-ms": now.Sub(f.awaitedSince).Milliseconds(), "using-peers": f.usingPeer}
	cancelWatch := f.cancelWatch
	if stale {
		f.awaitedSince = now
		f.connected, f.usingPeer, f.mustList = false, false, true
	}
	f.mu.Unlock()
	if !stale {
		return
	}
	f.cfg.Logger.WithFields(fields).Warn("changes that peers know of do not arrive; listing again")
	if cancelWatch != nil {
		cancelWatch()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// updateUsingPeer decides whether the next changes come from a peer. Until the
// follower has a first version it uses the store, and also while snapshots of peers
// do not arrive.
func (f *Follower) updateUsingPeer() bool {
	usePeer := f.cfg.UsePeerSnapshots != nil && f.cfg.UsePeerSnapshots()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usingPeer = usePeer && f.version > 0 && !f.mustList
	return f.usingPeer
}

// position returns the version to watch from, and whether a watch can continue
// from the present entries or they must be listed first.
func (f *Follower) position() (version int64, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.connected
}

// watchDuration shortens the watch so that it ends when the removal grace of a
// key ends.
func (f *Follower) watchDuration() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := watchTimeout
	now := f.cfg.Clock.Now()
	for _, at := range f.removeAt {
		d = min(d, max(at.Sub(now), time.Millisecond))
	}
	return d.Round(time.Millisecond)
}

func (f *Follower) markDisconnected(err error) {
	f.mu.Lock()
	wasConnected := f.connected
	f.connected = false
	f.outage = true
	version := f.version
	watched := f.cfg.Clock.Now().Sub(f.watchSentAt)
	f.reconnectedAt = time.Time{}
	f.mu.Unlock()
	if wasConnected {
		f.cfg.Logger.WithError(err).WithFields(logrus.Fields{"follows": f.cfg.Name, "version": version, "watched-ms": watched.Milliseconds()}).Warn("platform store lost")
	}
}

// replace applies a listing. Keys that disappeared during an outage are kept for
// RemovalGrace. A listing that is older than a snapshot of a peer only shows that the
// store is in reach; the watch continues from the snapshot.
func (f *Follower) replace(l storer.Listing) {
	f.mu.Lock()
	first := f.version == 0
	now := f.cfg.Clock.Now()
	f.connected, f.mustList = true, false
	f.confirmedAt = now
	if f.outage {
		f.outage, f.reconnectedAt = false, now
	}
	if l.Version < f.version {
		version := f.version
		f.mu.Unlock()
		f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": version, "listed-version": l.Version}).Info("listing is older than the snapshot of a peer")
		return
	}
	f.version = l.Version
	present := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		present[e.Key] = true
		f.put(e)
	}
	for key := range f.entries {
		if !present[key] {
			f.remove(key, now)
		}
	}
	n := len(f.entries)
	f.mu.Unlock()
	f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": l.Version, "keys": n, "first": first}).Info("platform store listed")
	f.notifyChanged()
}

func (f *Follower) put(e storer.Entry) {
	delete(f.removeAt, e.Key)
	f.changedAt = max(f.changedAt, e.Version)
	if known, ok := f.entries[e.Key]; !ok || known.Version < e.Version {
		f.entries[e.Key] = e
	}
}

// remove removes a key, or schedules its removal if an outage has just ended and
// its owner may write it again.
func (f *Follower) remove(key string, now time.Time) {
	due := f.reconnectedAt.Add(f.cfg.RemovalGrace)
	if f.cfg.RemovalGrace > 0 && now.Before(due) {
		if _, ok := f.entries[key]; ok {
			f.removeAt[key] = due
		}
		return
	}
	delete(f.entries, key)
	delete(f.removeAt, key)
}

func (f *Follower) apply(changes []storer.Change, version int64) {
	f.mu.Lock()
	now := f.cfg.Clock.Now()
	f.confirmedAt = now
	changed := false
	for _, c := range changes {
		changed = true
		f.changedAt = max(f.changedAt, c.Version)
		switch {
		case !c.Removed:
			f.put(c.Entry)
		case f.entries[c.Key].Version < c.Version:
			f.remove(c.Key, now)
		}
	}
	for key, at := range f.removeAt {
		if !now.Before(at) {
			delete(f.entries, key)
			delete(f.removeAt, key)
			changed = true
		}
	}
	f.version = max(f.version, version)
	f.mu.Unlock()
	if changed {
		f.notifyChanged()
	}
}

func (f *Follower) notifyChanged() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.cfg.OnChange(f.Snapshot())
}

// Snapshot returns the current entries and versions.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot := Snapshot{Version: f.version, ChangedAt: f.changedAt, Entries: make([]storer.Entry, 0, len(f.entries))}
	for _, e := range f.entries {
		snapshot.Entries = append(snapshot.Entries, e)
	}
	return snapshot
}

// Version returns the version of the store that the entries reflect.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ChangedAt returns the version of the last known change with the prefix.
func (f *Follower) ChangedAt() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt
}

// ConfirmedAge returns the time since the entries were last confirmed, by an answer of
// the store or a snapshot of a peer; zero before the first.
func (f *Follower) ConfirmedAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return 0
	}
	return f.cfg.Clock.Now().Sub(f.confirmedAt)
}

// Connected reports whether the entries come directly from the store.
func (f *Follower) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connected && !f.usingPeer
}

// OfferSnapshot replaces the entries by the snapshot of another instance, if it
// is newer and this follower is not connected to the store. It reports whether
// it did so.
func (f *Follower) OfferSnapshot(snapshot Snapshot) bool {
	f.mu.Lock()
	if f.connected && !f.usingPeer || snapshot.Version <= f.version {
		f.mu.Unlock()
		return false
	}
	f.version, f.mustList = snapshot.Version, false
	f.confirmedAt = f.cfg.Clock.Now()
	f.changedAt = max(f.changedAt, snapshot.ChangedAt)
	f.entries = make(map[string]storer.Entry, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		f.entries[e.Key] = e
	}
	f.removeAt = map[string]time.Time{}
	f.mu.Unlock()
	f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": snapshot.Version, "keys": len(snapshot.Entries)}).Info("applied the snapshot of a peer")
	f.notifyChanged()
	return true
}
