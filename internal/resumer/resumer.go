// Package resumer knows at which server version a stream began, so that it goes on
// there when its caller takes it up again, also at another instance. While several
// versions may have begun streams, each instance notifies a few peers of the streams that
// begin at it. The versions that have served within a minute are kept in the platform's
// store, for instances that restart.
package resumer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// shardCount is the number of shards of the stream table.
	shardCount = 16
	// streamRetention is how long a caller may take up a stream after it has begun.
	streamRetention = time.Minute
	// askTimeout is the longest wait for peers that may know a stream.
	askTimeout = 250 * time.Millisecond
	// notifyTimeout is the timeout of a call that notifies a peer of streams.
	notifyTimeout = 400 * time.Millisecond
	// maxNotifications is the maximum number of calls, notifyRetryDelay apart, that notify
	// a peer of streams.
	maxNotifications = 3
	notifyRetryDelay = 300 * time.Millisecond
	// notifyDelay is the time in which streams are gathered before peers are notified.
	notifyDelay = 5 * time.Millisecond
	// maxIDBytes is the size of an ID up to which it is kept as it is.
	maxIDBytes = 256
	// pruneInterval is the time between two removals of old streams.
	pruneInterval = 10 * time.Second
)

// A Origin identifies the servers that can go on with a stream.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

// A Stream is a stream that has begun.
type Stream struct {
	_      struct{} `cbor:",toarray"`
	ID     string   // ID of the caller's attempt whose answer brought the first event.
	Origin Origin   // Of the first event.
}

// A Message notifies a peer of streams, or asks it for one. The response has the streams
// that were asked for, as far as the peer knows them.
type Message struct {
	Begun []Stream `cbor:"begun,omitempty"`
	Ask   string   `cbor:"ask,omitempty"` // ID of a stream.
}

// Links are the links to the peers. *linker.Linker implements it.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// A Store is the part of the platform's store that a resumer needs.
type Store interface {
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
}

// Config holds the settings and dependencies of a resumer.
type Config struct {
	Instance string // ID of this instance.
	Prefix   string // Prefix of the keys of versions that have served within originRetention.
	Links    Links
	Store    Store
	// Current brings the list of servers up to date, and reports whether it is.
	Current func(ctx context.Context) bool
	Clock   storer.Clock
	Logger  logrus.FieldLogger
}

// A Resumer finds the origin of streams.
type Resumer struct {
	cfg      Config
	shards   [shardCount]shard
	history  history
	outbox   outbox
	replicas replicaSet
	group    conc.WaitGroup
}

type shard struct {
	mu      sync.Mutex
	streams map[string]knownStream // By ID.
}

// A knownStream is a stream that began at this instance or that a peer has reported.
type knownStream struct {
	origin  Origin
	began   bool // At this instance.
	knownAt time.Time
}

// New returns a resumer and registers its message handler. It must be called before the
// links start.
func New(cfg Config) *Resumer {
	r := &Resumer{cfg: cfg}
	for i := range r.shards {
		r.shards[i].streams = map[string]knownStream{}
	}
	r.history.init()
	r.outbox.init()
	cfg.Links.Handle(linker.KindStream, linker.HandlerFunc(r.handle))
	return r
}

// Start notifies peers of streams, and keeps the versions in the store, until the context
// ends.
func (r *Resumer) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var loops conc.WaitGroup
	loops.Go(func() { r.notifyLoop(ctx) })
	loops.Go(func() { r.storeLoop(ctx) })
	loops.Go(func() {
		for ctx.Err() == nil {
			waiter.Pause(ctx, r.cfg.Clock, pruneInterval, nil)
			r.prune()
		}
	})
	go func() {
		defer close(ended)
		loops.Wait()
		r.group.Wait()
		ended <- nil
	}()
	return ended
}

// SetMembers sets the IDs of the other instances.
func (r *Resumer) SetMembers(peers []string) {
	grown := r.replicas.set(peers, r.cfg.Instance)
	r.history.wake()
	if grown {
		for _, service := range r.history.mixed(r.now()) {
			r.notifyAll(service)
		}
	}
}

// SetOrigins sets the origins of the servers that are listed.
func (r *Resumer) SetOrigins(listed []Origin) {
	for _, service := range r.history.observe(listed, r.now()) {
		r.notifyAll(service) // Until now its only version was known without asking.
	}
}

// RecordBeginning records a stream whose first event is passed to the caller. Services
// are those that the route may go to.
func (r *Resumer) RecordBeginning(s Stream, services []string) {
	s.ID = boundedID(s.ID)
	r.record(s, true)
	if _, only := r.history.only(services, r.now()); !only {
		r.outbox.add(s, r.replicas.of(s.ID))
	}
}

// Find returns the origin of the stream that a caller takes up, if it is known.
// Services are those that the route may go to; ID is empty if the caller does not name
// the stream.
func (r *Resumer) Find(ctx context.Context, id string, services []string) (origin Origin, known bool) {
	id = boundedID(id)
	if id != "" {
		if origin, known = r.local(id); known {
			return origin, true
		}
	}
	if _, only := r.history.only(services, r.now()); only && r.cfg.Current(ctx) {
		if origin, known = r.history.only(services, r.now()); known {
			return origin, true
		}
	}
	if id == "" {
		return Origin{}, false
	}
	return r.ask(ctx, id)
}

// boundedID returns an ID, or the digest of one that is too long to be kept.
func boundedID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

func (r *Resumer) now() time.Time { return r.cfg.Clock.Now() }

func (r *Resumer) shard(id string) *shard { return &r.shards[xxhash.Sum64String(id)%shardCount] }

func (r *Resumer) record(s Stream, began bool) {
	sh := r.shard(s.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.streams[s.ID] = knownStream{origin: s.Origin, began: began, knownAt: r.now()}
}

func (r *Resumer) local(id string) (Origin, bool) {
	sh := r.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, ok := sh.streams[id]
	return s.origin, ok
}

func (r *Resumer) prune() {
	now := r.now()
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for id, s := range sh.streams {
			if now.Sub(s.knownAt) > streamRetention {
				delete(sh.streams, id)
			}
		}
		sh.mu.Unlock()
	}
}

// begunHere returns the streams of a service that began at this instance.
func (r *Resumer) begunHere(service string) (streams []Stream) {
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for id, s := range sh.streams {
			if s.began && s.origin.Service == service {
				streams = append(streams, Stream{ID: id, Origin: s.origin})
			}
		}
		sh.mu.Unlock()
	}
	return streams
}
