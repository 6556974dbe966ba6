package quarantiner

import (
	"context"
	"encoding/hex"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// partTTL is the lease time of a stored quarantine. Quarantines expire by lease, so
	// that no clocks are compared.
	partTTL = 10 * time.Minute
	// syncRetryDelay is the time between two attempts to store quarantines.
	syncRetryDelay = time.Second
)

// A PartStore is the part of the platform's store that Parts needs.
type PartStore interface {
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
}

// A PartLister lists the quarantines in the store.
type PartLister interface {
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
}

// A PartTracker decides which parts of prompts are quarantined. *retrier.Parts
// implements it.
type PartTracker interface {
	ApplyStored(stored []retrier.StoredPart)
	Changed() <-chan struct{}
	StartTrial(part retrier.PartDigest) (retrier.StoredPart, bool)
	Unstored() (store []retrier.StoredPart, remove []retrier.PartDigest)
}

// A PartsConfig holds the dependencies of Parts.
type PartsConfig struct {
	Prefix  string // Key prefix of the quarantines.
	Store   PartStore
	Lister  PartLister // Nil if ApplyEntries is called with each change.
	Tracker PartTracker
	Clock   storer.Clock
	Logger  logrus.FieldLogger
}

// Parts keeps quarantined parts of prompts in the platform's store, so that they
// outlive restarts and reach instances that hear no peer. A quarantine in the store
// also decides which single request of the fleet may try the part again.
type Parts struct {
	cfg PartsConfig

	mu sync.Mutex
	// versions are the versions of the stored quarantines that the tracker knows.
	versions map[retrier.PartDigest]int64
}

// A storedQuarantine is the value of a quarantine in the store.
type storedQuarantine struct {
	Crashes int `cbor:"crashes"` // Crashes and trials so far.
}

// NewParts returns a Parts that knows of no stored quarantine.
func NewParts(cfg PartsConfig) *Parts {
	return &Parts{cfg: cfg, versions: map[retrier.PartDigest]int64{}}
}

// Start stores and removes quarantines until the context ends.
func (p *Parts) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			waiter.Pause(ctx, p.cfg.Clock, p.sync(ctx), p.cfg.Tracker.Changed())
		}
		done <- nil
	}()
	return done
}

// sync stores new quarantines and removes those whose parts were answered. It returns
// the time until the next sync.
func (p *Parts) sync(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.list(ctx)
	versions := p.knownVersions()
	store, remove := p.cfg.Tracker.Unstored()
	next := syncInterval
	for _, q := range store {
		if err := p.write(ctx, q, versions[q.Part]); err != nil {
			next = syncRetryDelay
		}
	}
	for _, d := range remove {
		if err := p.remove(ctx, d, versions[d]); err != nil {
			next = syncRetryDelay
		}
	}
	return next
}

// list applies the quarantines in the store if nobody else does.
func (p *Parts) list(ctx context.Context) {
	if p.cfg.Lister == nil {
		return
	}
	entries, err := p.cfg.Lister.List(ctx, p.cfg.Prefix)
	if err != nil {
		p.cfg.Logger.WithError(err).Debug("listing quarantined parts in the platform failed")
		return
	}
	p.ApplyEntries(follower.Snapshot{Entries: entries})
}

// Begin implements forwarder.Trials. It replaces the quarantine that the tracker knows,
// so that of several instances one succeeds.
func (p *Parts) Begin(ctx context.Context, part retrier.PartDigest) bool {
	version := p.knownVersions()[part]
	q, ok := p.cfg.Tracker.StartTrial(part)
	return ok && p.write(ctx, q, version) == nil
}

// ApplyEntries applies the quarantines in the store.
func (p *Parts) ApplyEntries(c follower.Snapshot) {
	versions := map[retrier.PartDigest]int64{}
	var stored []retrier.StoredPart
	for _, e := range c.Entries {
		q, err := p.decode(e)
		if err != nil {
			p.cfg.Logger.WithError(err).WithField("key", e.Key).Warn("ignoring invalid quarantine")
			continue
		}
		versions[q.Part] = e.Version
		stored = append(stored, q)
	}
	p.cfg.Tracker.ApplyStored(stored)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = versions
}

func (p *Parts) decode(e storer.Entry) (q retrier.StoredPart, err error) {
	digest, err := hex.DecodeString(strings.TrimPrefix(e.Key, p.cfg.Prefix))
	if err != nil {
		return q, err
	}
	if len(digest) != len(q.Part) {
		return q, merry.Errorf("digest of %d bytes", len(digest))
	}
	copy(q.Part[:], digest)
	var value storedQuarantine
	if err := encoder.Unmarshal(e.Value, &value); err != nil {
		return q, err
	}
	q.Crashes = value.Crashes
	return q, nil
}

func (p *Parts) key(d retrier.PartDigest) string { return p.cfg.Prefix + d.String() }

// knownVersions returns the versions of the stored quarantines. The tracker knows all
// of them; it may know later ones.
func (p *Parts) knownVersions() map[retrier.PartDigest]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.versions)
}

// write stores a quarantine in the place of the one with a version, zero if there is
// none.
func (p *Parts) write(ctx context.Context, q retrier.StoredPart, replaced int64) (err error) {
	defer func() { p.log("store", q.Part, q.Crashes, err) }()
	lease, err := p.cfg.Store.GrantLease(ctx, partTTL)
	if err != nil {
		return err
	}
	value, err := encoder.Marshal(storedQuarantine{Crashes: q.Crashes})
	if err != nil {
		return err
	}
	_, err = p.cfg.Store.Commit(ctx, storer.Transaction{
		Expect: []storer.Precondition{{Key: p.key(q.Part), Version: replaced}},
		Writes: []storer.Write{{Key: p.key(q.Part), Value: value, LeaseID: lease.ID}},
	})
	return err
}

func (p *Parts) remove(ctx context.Context, d retrier.PartDigest, version int64) (err error) {
	defer func() { p.log("remove", d, 0, err) }()
	_, err = p.cfg.Store.Commit(ctx, storer.Transaction{
		Expect: []storer.Precondition{{Key: p.key(d), Version: version}},
		Remove: []string{p.key(d)},
	})
	return err
}

// log logs a call. A conflict means that another instance was faster.
func (p *Parts) log(operation string, d retrier.PartDigest, crashes int, err error) {
	logger := p.cfg.Logger.WithFields(logrus.Fields{"operation": operation, "part": d.String(), "crashes": crashes})
	switch {
	case err == nil:
		logger.Info("quarantine of a part of prompts changed in the store")
	case errors.Is(err, storer.ErrConflict):
		logger.Info("quarantine of a part of prompts was changed by another instance")
	default:
		logger.WithError(err).Warn("failed to change the quarantine of a part of prompts in the store")
	}
}
