package retrier

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashesToQuarantine is the number of server crashes after which a request is
// quarantined.
const CrashesToQuarantine = 2

const (
	suspectShards = 16
	// quarantineDuration is how long a quarantined request is refused, and how
	// long a request stays suspect after one crash.
	quarantineDuration = 10 * time.Minute
	// sameCrashWindow is the time within which reports about one server count as
	// one crash. Reports of peers arrive with the delay of a link; a restarted
	// engine needs longer than this to load its weights.
	sameCrashWindow = 2 * time.Second
	// maxSuspectsPerShard bounds the memory for suspects.
	maxSuspectsPerShard = 1024
)

// A Notice reports a crash or a cleared suspicion to other entries.
type Notice struct {
	Digest string `cbor:"digest" json:"digest"` // Content digest of the request.
	// Server crashed while the request was in flight on it. Empty if Cleared.
	Server string `cbor:"server" json:"server"`
	// Crashes is the number of crashes that the reporting entry has counted.
	Crashes int `cbor:"deaths" json:"deaths"`
	// Cleared means that the request ran to its end after a crash.
	Cleared bool `cbor:"acquitted" json:"acquitted"`
}

// An Announcer sends notices to the other entries.
type Announcer interface {
	Announce(n Notice)
}

// A CrashJudge tells apart servers that crashed and servers that only dropped a
// connection.
type CrashJudge interface {
	// Survived reports whether a server that dropped a connection at the given time
	// has not crashed.
	Survived(server string, at time.Time) bool
}

// A Suspicion is the state of a request content that may crash servers.
type Suspicion struct {
	Crashes     int
	Quarantined bool
	Until       time.Time // End of the quarantine or of the suspicion.
}

// NeedsIsolation reports whether the request may run only on a server without
// other requests, so that another crash must be caused by it.
func (s Suspicion) NeedsIsolation() bool {
	return s.Crashes > 0 && !s.Quarantined
}

// A Content identifies a request. Requests with the same content share their
// suspicion, and may share an idempotency key.
type Content struct {
	Scope       string // Pool or workspace that the request belongs to.
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Digest returns the hexadecimal SHA-256 of the content.
func (c Content) Digest() string {
	h := sha256.New()
	for _, part := range []string{c.Scope, c.Method, c.Path, c.Query, c.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0}) // Separates the parts, which contain no zero bytes.
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
	crashes     []serverCrash
	quarantined bool // By a notice of another entry; the crashes counted here may quarantine it too.
	until       time.Time
}

// isQuarantined reports whether the request is not to run again.
func (r *suspectRecord) isQuarantined() bool {
	return r.quarantined || len(r.crashes) >= CrashesToQuarantine
}

// forgetSurvivors removes the servers that have not crashed.
func (r *suspectRecord) forgetSurvivors(judge CrashJudge) {
	if judge != nil {
		r.crashes = slices.DeleteFunc(r.crashes, func(c serverCrash) bool { return judge.Survived(c.server, c.at) })
	}
}

type serverCrash struct {
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

// RecordCrash counts the crash of a server against a request that was in flight
// on it, and announces it to other entries.
func (r *Retrier) RecordCrash(digest, server string) Suspicion {
	now := r.cfg.Clock.Now()
	s, added := r.suspects.shard(digest).recordCrash(digest, server, now)
	if added {
		r.announce(Notice{Digest: digest, Server: server, Crashes: s.Crashes})
	}
	return s
}

func (r *Retrier) announce(n Notice) {
	if r.cfg.Announcer != nil {
		r.cfg.Announcer.Announce(n)
	}
}

// ApplyNotice applies a notice of another entry.
func (r *Retrier) ApplyNotice(n Notice) {
	now := r.cfg.Clock.Now()
	shard := r.suspects.shard(n.Digest)
	if n.Cleared {
		shard.clearSuspicion(n.Digest)
		return
	}
	shard.recordCrash(n.Digest, n.Server, now)
	if n.Crashes >= CrashesToQuarantine {
		shard.quarantine(n.Digest, now.Add(quarantineDuration), now)
	}
}

// ApplyQuarantine applies a quarantine that another entry recorded.
func (r *Retrier) ApplyQuarantine(digest string, until time.Time) {
	r.suspects.shard(digest).quarantine(digest, until, r.cfg.Clock.Now())
}

// Suspicion returns the suspicion against a request content.
func (r *Retrier) Suspicion(digest string) Suspicion {
	return r.suspects.shard(digest).suspicion(digest, r.cfg.Judge, r.cfg.Clock.Now())
}

// ClearSuspicion drops a suspicion after the request ran to its end, and announces
// it. Otherwise a content that many callers send would accumulate crashes that
// other requests caused. A quarantine stays in force.
func (r *Retrier) ClearSuspicion(digest string) {
	if r.suspects.shard(digest).clearSuspicion(digest) {
		r.announce(Notice{Digest: digest, Cleared: true})
	}
}

func (s *suspectShard) recordCrash(digest, server string, now time.Time) (_ Suspicion, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.getOrCreate(digest, now)
	duplicate := slices.ContainsFunc(rec.crashes, func(c serverCrash) bool {
		return c.server == server && now.Sub(c.at) < sameCrashWindow
	})
	if duplicate {
		return rec.suspicion(), false
	}
	rec.crashes = append(rec.crashes, serverCrash{server: server, at: now})
	rec.until = later(rec.until, now.Add(quarantineDuration))
	return rec.suspicion(), true
}

func (s *suspectShard) quarantine(digest string, until, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.After(now) {
		return
	}
	rec := s.getOrCreate(digest, now)
	rec.quarantined = true
	rec.until = later(rec.until, until)
}

func (s *suspectShard) suspicion(digest string, judge CrashJudge, now time.Time) Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[digest]
	if !ok || !rec.until.After(now) {
		return Suspicion{}
	}
	rec.forgetSurvivors(judge)
	if len(rec.crashes) == 0 && !rec.quarantined {
		delete(s.records, digest)
		return Suspicion{}
	}
	return rec.suspicion()
}

func (s *suspectShard) clearSuspicion(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[digest]
	if !ok || rec.isQuarantined() {
		return false
	}
	delete(s.records, digest)
	return true
}

// getOrCreate returns the record of a digest. It replaces an expired one.
func (s *suspectShard) getOrCreate(digest string, now time.Time) *suspectRecord {
	rec, ok := s.records[digest]
	if ok && rec.until.After(now) {
		return rec
	}
	s.evict(now)
	rec = &suspectRecord{}
	s.records[digest] = rec
	return rec
}

// evict drops expired records and, if the shard is still full, the one that
// expires first.
func (s *suspectShard) evict(now time.Time) {
	earliest := ""
	for digest, rec := range s.records {
		if !rec.until.After(now) {
			delete(s.records, digest)
			continue
		}
		if earliest == "" || rec.until.Before(s.records[earliest].until) {
			earliest = digest
		}
	}
	if len(s.records) >= maxSuspectsPerShard {
		delete(s.records, earliest)
	}
}

func (r *suspectRecord) suspicion() Suspicion {
	return Suspicion{Crashes: max(len(r.crashes), 1), Quarantined: r.isQuarantined(), Until: r.until}
}

func later(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}
