package retrier

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DeathsToQuarantine is the number of servers that a request may take down.
const DeathsToQuarantine = 2

const (
	// suspectShards is the number of parts of the table of suspects.
	suspectShards = 16
	// quarantineTime is how long a request is refused, and how long a single
	// death is remembered.
	quarantineTime = 10 * time.Minute
	// sameDeath is the time within which reports on one server mean the same
	// death. Peers report it late by a link's delay; a model engine needs
	// longer than this to load its weights again.
	sameDeath = 2 * time.Second
	// maxSuspectsPerShard bounds the memory for suspects.
	maxSuspectsPerShard = 1024
)

// A Notice tells other entries what this entry learned about a request.
type Notice struct {
	Digest string `cbor:"digest" json:"digest"` // Content digest of the request.
	// Server died while the request was in flight on it; empty for an
	// acquittal.
	Server string `cbor:"server" json:"server"`
	// Deaths is the number of deaths that the reporting entry knows of.
	Deaths int `cbor:"deaths" json:"deaths"`
	// Acquitted means that the request ran to its end after a death.
	Acquitted bool `cbor:"acquitted" json:"acquitted"`
}

// An Announcer tells the other entries.
type Announcer interface {
	Announce(n Notice)
}

// A Suspicion is what is known about a request content.
type Suspicion struct {
	Deaths      int
	Quarantined bool
	Until       time.Time // End of the quarantine or of the suspicion.
}

// RunAlone reports whether the request may run only on a server without other
// requests, so that another death is surely its own.
func (s Suspicion) RunAlone() bool {
	return s.Deaths > 0 && !s.Quarantined
}

// A Content is what makes two requests the same for the suspicion and for
// idempotency keys.
type Content struct {
	Target string // Name of the pool.
	Method string
	Path   string
	Query  string
	Type   string // Content type.
	Body   []byte
}

// Digest is the hexadecimal SHA-256 of the content.
func (c Content) Digest() string {
	h := sha256.New()
	for _, part := range []string{c.Target, c.Method, c.Path, c.Query, c.Type} {
		h.Write([]byte(part))
		h.Write([]byte{0}) // A part holds no zero byte, so that parts cannot run together.
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

type suspects struct {
	shards [suspectShards]suspectShard
}

type suspectShard struct {
	mu      sync.Mutex
	records map[string]*suspectRecord // By content digest.
}

type suspectRecord struct {
	deaths      []serverDeath
	quarantined bool
	until       time.Time
}

type serverDeath struct {
	server string
	at     time.Time
}

func (s *suspects) init() {
	for i := range s.shards {
		s.shards[i].records = map[string]*suspectRecord{}
	}
}

func (s *suspects) shard(digest string) *suspectShard {
	return &s.shards[xxhash.Sum64String(digest)%suspectShards]
}

// RecordDeath counts the death of a server against a request that was in
// flight on it, and announces it.
func (r *Retrier) RecordDeath(digest, server string) Suspicion {
	now := r.cfg.Clock.Now()
	s, isNew := r.suspects.shard(digest).record(digest, server, now)
	if isNew {
		r.announce(Notice{Digest: digest, Server: server, Deaths: s.Deaths})
	}
	return s
}

func (r *Retrier) announce(n Notice) {
	if r.cfg.Announcer != nil {
		r.cfg.Announcer.Announce(n)
	}
}

// Learn takes over a notice of another entry.
func (r *Retrier) Learn(n Notice) {
	now := r.cfg.Clock.Now()
	shard := r.suspects.shard(n.Digest)
	if n.Acquitted {
		shard.acquit(n.Digest)
		return
	}
	shard.record(n.Digest, n.Server, now)
	if n.Deaths >= DeathsToQuarantine {
		shard.quarantine(n.Digest, now.Add(quarantineTime), now)
	}
}

// LearnQuarantine takes over a quarantine that another entry recorded.
func (r *Retrier) LearnQuarantine(digest string, until time.Time) {
	r.suspects.shard(digest).quarantine(digest, until, r.cfg.Clock.Now())
}

// Suspicion is what is known about a request content.
func (r *Retrier) Suspicion(digest string) Suspicion {
	return r.suspects.shard(digest).suspicion(digest, r.cfg.Clock.Now())
}

// Acquit drops a suspicion after the request ran to its end, and announces it:
// a content that many callers send would otherwise add up deaths that other
// requests caused. A quarantine stays.
func (r *Retrier) Acquit(digest string) {
	if r.suspects.shard(digest).acquit(digest) {
		r.announce(Notice{Digest: digest, Acquitted: true})
	}
}

func (s *suspectShard) record(digest, server string, now time.Time) (_ Suspicion, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.open(digest, now)
	known := slices.ContainsFunc(rec.deaths, func(d serverDeath) bool {
		return d.server == server && now.Sub(d.at) < sameDeath
	})
	if known {
		return rec.suspicion(), false
	}
	rec.deaths = append(rec.deaths, serverDeath{server: server, at: now})
	rec.quarantined = rec.quarantined || len(rec.deaths) >= DeathsToQuarantine
	rec.until = later(rec.until, now.Add(quarantineTime))
	return rec.suspicion(), true
}

func (s *suspectShard) quarantine(digest string, until, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.After(now) {
		return
	}
	rec := s.open(digest, now)
	rec.quarantined = true
	rec.until = later(rec.until, until)
}

func (s *suspectShard) suspicion(digest string, now time.Time) Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[digest]
	if !ok || !rec.until.After(now) {
		return Suspicion{}
	}
	return rec.suspicion()
}

func (s *suspectShard) acquit(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[digest]
	if !ok || rec.quarantined {
		return false
	}
	delete(s.records, digest)
	return true
}

// open finds or adds the record of a digest. A record whose time is over
// starts anew.
func (s *suspectShard) open(digest string, now time.Time) *suspectRecord {
	rec, ok := s.records[digest]
	if ok && rec.until.After(now) {
		return rec
	}
	s.makeRoom(now)
	rec = &suspectRecord{}
	s.records[digest] = rec
	return rec
}

// makeRoom drops expired records and, if the shard is still full, the one that
// ends first.
func (s *suspectShard) makeRoom(now time.Time) {
	first := ""
	for digest, rec := range s.records {
		if !rec.until.After(now) {
			delete(s.records, digest)
			continue
		}
		if first == "" || rec.until.Before(s.records[first].until) {
			first = digest
		}
	}
	if len(s.records) >= maxSuspectsPerShard {
		delete(s.records, first)
	}
}

func (r *suspectRecord) suspicion() Suspicion {
	return Suspicion{Deaths: max(len(r.deaths), 1), Quarantined: r.quarantined, Until: r.until}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
