// Package follower keeps a copy of the keys below a prefix of the platform's
// store. It lists them once and then waits for changes. Where the store cannot
// be reached it takes over the copy of another instance.
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
	// watchTime is how long one watch waits. A waiting watch counts as one call,
	// so it is as long as the platform allows.
	watchTime = 30 * time.Second
	// minRetry and maxRetry bound the pause after a failed call. The longest
	// leaves three tries within the two seconds in which servers re-register.
	minRetry = 100 * time.Millisecond
	// delegatePause is the time between two looks whether a peer still follows the
	// store for this instance.
	delegatePause = 300 * time.Millisecond
	maxRetry      = 700 * time.Millisecond
	// staleAfter is how long a peer may know of a change before this instance takes
	// its own watch for dead. It is above the pause after changes and an exchange
	// with a peer, and leaves time within the two seconds that changes have.
	staleAfter = 800 * time.Millisecond
)

// errStale means that a watch was ended because a peer knew of later changes.
var errStale = merry.Sentinel("the watch is stale")

// A Store is the part of the platform's store that a follower needs.
type Store interface {
	List(ctx context.Context, prefix string) (storer.Listing, error)
	// Watch waits for changes after a version. It returns the version up to
	// which the changes are complete.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []storer.Change, version int64, err error)
}

// A Copy is the keys below a prefix at one version of the store.
type Copy struct {
	Entries   []storer.Entry `cbor:"entries"`
	Version   int64          `cbor:"version"`
	ChangedAt int64          `cbor:"changed-at"` // Version of the last change below the prefix; at most Version.
}

// A Config says what is followed.
type Config struct {
	Name   string // For the log.
	Prefix string
	Store  Store
	Clock  storer.Clock
	Logger logrus.FieldLogger
	// HoldRemovals is how long a key that vanished while the store was away is
	// kept after the return of the store; its owner may write it again.
	HoldRemovals time.Duration
	// Gather is the pause after changes, so that those that come close together
	// cost one call.
	Gather time.Duration
	// Delegates reports whether the copy is taken from a peer that follows the
	// store, which saves the calls of a watch of its own. Nil means never.
	Delegates func() bool
	// Changed is called after each change of the copy, never concurrently.
	Changed func(c Copy)
}

// A Follower holds a copy.
type Follower struct {
	cfg Config

	mu         sync.Mutex
	entries    map[string]storer.Entry
	version    int64 // Of the store; zero before the first listing.
	changedAt  int64 // Version of the last change below the prefix that is known.
	connected  bool
	away       bool      // The store was lost and has not been listed since.
	returnedAt time.Time // When the store came back last; zero before the first loss.
	// peersChangedAt is the highest version of a change that a peer has known of.
	peersChangedAt int64
	behind         time.Time            // Since when a peer has known of a later change; zero while none does.
	cut            context.CancelFunc   // Ends the watch under way; nil between watches.
	held           map[string]time.Time // Keys that are removed at a time.
	delegating     bool                 // The copy comes from a peer by choice.

	notify sync.Mutex // Held during Changed, so that calls come in order.
}

// New returns a follower without a copy.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, entries: map[string]storer.Entry{}, held: map[string]time.Time{}}
}

// Start follows the store until the context ends. The channel reports the end.
func (f *Follower) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		f.follow(ctx)
		ended <- nil
	})
	return ended
}

func (f *Follower) follow(ctx context.Context) {
	pause := minRetry
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			pause = minRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errStale) {
			continue
		}
		f.lost(err)
		waiter.Pause(ctx, f.cfg.Clock, pause, nil)
		pause = min(2*pause, maxRetry)
	}
}

// step lists the keys, or waits for changes where a copy is there.
func (f *Follower) step(ctx context.Context) error {
	if f.delegate() {
		waiter.Pause(ctx, f.cfg.Clock, delegatePause, nil)
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
	changes, version, err := f.watch(ctx, after)
	if errors.Is(err, storer.ErrHistoryLost) {
		f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": after}).Warn("history lost, listing anew")
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
		waiter.Pause(ctx, f.cfg.Clock, f.cfg.Gather, nil)
	}
	return nil
}

// watch waits for changes. Observe ends it where a peer knows of changes that it
// should have brought.
func (f *Follower) watch(ctx context.Context, after int64) ([]storer.Change, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cut = cancel
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
	}()
	return f.cfg.Store.Watch(ctx, f.cfg.Prefix, after, f.nextWait())
}

// Observe takes over up to which version a peer knows of changes below the
// prefix. A watch that does not bring them for long hangs on a connection that
// carries nothing any more: it is ended, and the keys are listed anew.
func (f *Follower) Observe(changedAt int64) {
	f.mu.Lock()
	now := f.cfg.Clock.Now()
	f.peersChangedAt = max(f.peersChangedAt, changedAt)
	switch {
	case !f.connected || f.delegating || f.peersChangedAt <= f.version:
		f.behind = time.Time{}
	case f.behind.IsZero():
		f.behind = now
	}
	cut := f.cut
	stale := !f.behind.IsZero() && now.Sub(f.behind) >= staleAfter && cut != nil
	version := f.version
	if stale {
		f.connected = false
		f.behind = time.Time{}
	}
	f.mu.Unlock()
	if stale {
		f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": version, "peer-version": changedAt}).Warn("watch is stale, listing anew")
		cut()
	}
}

// delegate decides whether the next changes come from a peer. The first copy is
// listed from the store.
func (f *Follower) delegate() bool {
	delegates := f.cfg.Delegates != nil && f.cfg.Delegates()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delegating = delegates && f.version > 0
	return f.delegating
}

// position is the version after which to watch, and whether the copy can be
// continued by a watch.
func (f *Follower) position() (version int64, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.connected
}

// nextWait ends a watch when a held key is due.
func (f *Follower) nextWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := watchTime
	now := f.cfg.Clock.Now()
	for _, at := range f.held {
		d = min(d, max(at.Sub(now), time.Millisecond))
	}
	return d.Round(time.Millisecond)
}

func (f *Follower) lost(err error) {
	f.mu.Lock()
	was := f.connected
	f.connected = false
	f.away = true
	version := f.version
	f.returnedAt = time.Time{}
	f.mu.Unlock()
	if was {
		f.cfg.Logger.WithError(err).WithFields(logrus.Fields{"follows": f.cfg.Name, "version": version}).Warn("platform store lost")
	}
}

// replace takes over a listing. Keys that vanished while the store was away are
// held for a while.
func (f *Follower) replace(l storer.Listing) {
	f.mu.Lock()
	first := f.version == 0
	now := f.cfg.Clock.Now()
	f.connected = true
	if f.away {
		f.away, f.returnedAt = false, now
	}
	f.version = l.Version
	present := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		present[e.Key] = true
		f.put(e)
	}
	for key := range f.entries {
		if !present[key] {
			f.drop(key, now)
		}
	}
	n := len(f.entries)
	f.mu.Unlock()
	f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": l.Version, "keys": n, "first": first}).Info("platform store listed")
	f.changed()
}

func (f *Follower) put(e storer.Entry) {
	delete(f.held, e.Key)
	f.changedAt = max(f.changedAt, e.Version)
	if known, ok := f.entries[e.Key]; !ok || known.Version < e.Version {
		f.entries[e.Key] = e
	}
}

// drop removes a key, or holds it where its owner may be about to write it
// again.
func (f *Follower) drop(key string, now time.Time) {
	due := f.returnedAt.Add(f.cfg.HoldRemovals)
	if f.cfg.HoldRemovals > 0 && now.Before(due) {
		if _, ok := f.entries[key]; ok {
			f.held[key] = due
		}
		return
	}
	delete(f.entries, key)
	delete(f.held, key)
}

func (f *Follower) apply(changes []storer.Change, version int64) {
	f.mu.Lock()
	now := f.cfg.Clock.Now()
	changed := false
	for _, c := range changes {
		changed = true
		f.changedAt = max(f.changedAt, c.Version)
		switch {
		case !c.Removed:
			f.put(c.Entry)
		case f.entries[c.Key].Version < c.Version:
			f.drop(c.Key, now)
		}
	}
	for key, at := range f.held {
		if !now.Before(at) {
			delete(f.entries, key)
			delete(f.held, key)
			changed = true
		}
	}
	f.version = max(f.version, version)
	f.mu.Unlock()
	if changed {
		f.changed()
	}
}

func (f *Follower) changed() {
	f.notify.Lock()
	defer f.notify.Unlock()
	f.cfg.Changed(f.Copy())
}

// Copy is the present copy.
func (f *Follower) Copy() Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Copy{Version: f.version, ChangedAt: f.changedAt, Entries: make([]storer.Entry, 0, len(f.entries))}
	for _, e := range f.entries {
		c.Entries = append(c.Entries, e)
	}
	return c
}

// Version is the version of the store that the copy reflects.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ChangedAt is the version of the last change below the prefix that is known.
func (f *Follower) ChangedAt() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt
}

// Connected reports whether the copy comes from the store itself.
func (f *Follower) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connected && !f.delegating
}

// Offer takes over the copy of another instance if it is newer and the own one
// does not come from the store. It reports whether it did.
func (f *Follower) Offer(c Copy) bool {
	f.mu.Lock()
	if f.connected && !f.delegating || c.Version <= f.version {
		f.mu.Unlock()
		return false
	}
	f.version = c.Version
	f.changedAt = max(f.changedAt, c.ChangedAt)
	f.entries = make(map[string]storer.Entry, len(c.Entries))
	for _, e := range c.Entries {
		f.entries[e.Key] = e
	}
	f.held = map[string]time.Time{}
	f.mu.Unlock()
	f.cfg.Logger.WithFields(logrus.Fields{"follows": f.cfg.Name, "version": c.Version, "keys": len(c.Entries)}).Info("copy of a peer taken over")
	f.changed()
	return true
}
