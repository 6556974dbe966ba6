// Package throttler keeps the requests that all instances together send to a backend
// server within the limit that the server states. Each instance decides for itself: a
// few instances hold the limit of a server, and count the requests that the others of
// them report.
package throttler

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// shardCount is the number of shards of the server table.
	shardCount = 16
	// minHolders is the number of instances that may use the limit of one server. A
	// higher limit has one more for each request per second. All holders may send a
	// request at once, before they hear of each other's.
	minHolders = 4
	// unreportedTime is the time in which a request of a holder may be unknown to the
	// others.
	unreportedTime = 450 * time.Millisecond
	// unreportedBase and unreportedPerRate bound the requests that all holders
	// together may send in unreportedTime beyond the limit, as a number and as a
	// multiple of the limit. With the burst they stay below the excess in four seconds
	// that the requirements allow: five requests and twice the limit.
	unreportedBase    = 3.0
	unreportedPerRate = 1.0
	// peerTimeout is the time without a report after which a holder counts as silent.
	// It covers three reports.
	peerTimeout = time.Second
	// burstBase and burstPerRate are the number of requests that a server may get at
	// once, as a number and as a multiple of the limit: callers come in waves.
	burstBase    = 1.5
	burstPerRate = 1.0
	// reserve is the part of the burst that work that can wait leaves to other work.
	reserve = 0.5
	// minRate is the lowest rate, in requests per second, that is assumed: without any
	// request nobody would learn that the limit has ended.
	minRate = 0.2
	// maxDebtTime bounds the debt from requests that were reported late, as the time in
	// which the limit pays it off.
	maxDebtTime = 4 * time.Second
	// endRetention is how long the end of a limit is reported to peers.
	endRetention = 5 * time.Second
	// limitRetention is how long a limit counts that no answer has confirmed.
	limitRetention = 10 * time.Minute
)

// A Server is one start of a backend server.
type Server struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	StartedAt int64 // In Unix milliseconds.
}

// A Statement is what the answer of a server says about its limit.
type Statement struct {
	Limited bool
	Rate    float64   // Requests per second that the server takes from all instances together; only if Limited.
	SentAt  time.Time // When the request was sent.
}

// A Report is what an instance tells its peers about the limit of a server.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Server  Server
	Limited bool    // False for a while after the limit has ended.
	Rate    float64 // Requests per second.
	AgeMs   int64   // Time since the latest answer that stated it.
	Sent    uint64  // Requests that the instance has sent since it learned of a limit of the server.
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Config holds the settings and dependencies of a throttler.
type Config struct {
	Instance string // ID of this instance.
	Clock    Clock
	Logger   logrus.FieldLogger
}

// A Throttler holds the limits of all backend servers.
type Throttler struct {
	cfg    Config
	shards [shardCount]shard

	mu      sync.RWMutex
	members []string // IDs of all instances, this one included; empty until they are known.
	// membersVersion grows with each change of members.
	membersVersion int
	heardAt        map[string]time.Time // Time of the last report, by instance ID.
}

type shard struct {
	mu     sync.Mutex
	limits map[Server]*limit
}

// New returns a throttler that knows of no limit and no instance.
func New(cfg Config) *Throttler {
	t := &Throttler{cfg: cfg, heardAt: map[string]time.Time{}}
	for i := range t.shards {
		t.shards[i].limits = map[Server]*limit{}
	}
	return t
}

func (t *Throttler) shard(server Server) *shard {
	return &t.shards[xxhash.Sum64String(server.ID)%shardCount]
}

// SetMembers sets the IDs of the other instances.
func (t *Throttler) SetMembers(peers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = append(slices.Clone(peers), t.cfg.Instance)
	t.membersVersion++
	for id := range t.heardAt {
		if !slices.Contains(peers, id) {
			delete(t.heardAt, id)
		}
	}
}

// Record records what an answer of a server says about its limit. An answer without a
// limit ends it only if its request was sent after the limit was last stated: answers
// on several connections may overtake each other.
func (t *Throttler) Record(server Server, s Statement) {
	now := t.cfg.Clock.Now()
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.limits[server]
	switch {
	case s.Limited:
		if l == nil {
			l = newLimit(now)
			sh.limits[server] = l
		}
		t.begin(server, l, s.Rate, now, "answer")
	case l != nil && l.limited && s.SentAt.After(l.statedAt):
		t.end(server, l, now, "answer")
	}
}

// begin records that an answer has stated a limit. The caller holds the lock of the shard.
func (t *Throttler) begin(server Server, l *limit, rate float64, at time.Time, source string) {
	changed := !l.limited || l.rate != max(rate, minRate)
	l.setRate(rate, at, t.cfg.Clock.Now())
	if changed {
		t.log(server, l).WithFields(logrus.Fields{"source": source, "holders": t.holdersOf(server, l)}).Info("backend server states a limit")
	}
}

// end records that an answer has stated no limit. The caller holds the lock of the shard.
func (t *Throttler) end(server Server, l *limit, at time.Time, source string) {
	l.limited, l.statedAt = false, at
	t.log(server, l).WithField("source", source).Info("limit of a backend server has ended")
}

func (t *Throttler) log(server Server, l *limit) *logrus.Entry {
	return t.cfg.Logger.WithFields(logrus.Fields{
		"backend-server": server.ID, "rate": l.rate, "sent": l.sent, "sent-by-peers": l.sentByPeers, "room": l.level,
	})
}

// Wait returns the time until a server takes another request within its limit, as far
// as this instance knows. Work that can wait leaves a part of the burst to other work.
func (t *Throttler) Wait(server Server, canWait bool) time.Duration {
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.limits[server]
	if l == nil || !l.limited {
		return 0
	}
	return t.waitOf(server, l, canWait)
}

// waitOf returns the time until a server with a limit takes more work. The caller holds
// the lock of the shard.
func (t *Throttler) waitOf(server Server, l *limit, canWait bool) time.Duration {
	need := 1.0
	if canWait {
		need += reserve * (l.burst() - 1)
	}
	t.refill(server, l)
	return max(l.wait(need, t.share(server, l)), l.paceWait(t.cfg.Clock.Now()))
}

// Rate returns the requests per second that are this instance's part of a server's
// limit; zero if the server has no limit or others hold it.
func (t *Throttler) Rate(server Server) float64 {
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.limits[server]
	if l == nil || !l.limited {
		return 0
	}
	holders := t.holdersOf(server, l)
	if !slices.Contains(holders, t.cfg.Instance) {
		return 0
	}
	return l.rate / float64(len(holders))
}

// Take counts a request that is sent to a server.
func (t *Throttler) Take(server Server) {
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.limits[server]
	if l == nil {
		return
	}
	t.refill(server, l)
	l.sent++
	l.spend(1)
	l.recordOwn(t.cfg.Clock.Now())
}

// refill brings the room under a limit up to date. The caller holds the lock of the shard.
func (t *Throttler) refill(server Server, l *limit) {
	l.refill(t.share(server, l), t.cfg.Clock.Now())
}

// Report returns what this instance knows of the limits of servers.
func (t *Throttler) Report() (reports []Report) {
	now := t.cfg.Clock.Now()
	for i := range t.shards {
		reports = t.shards[i].appendReports(reports, now)
	}
	return reports
}

func (s *shard) appendReports(reports []Report, now time.Time) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server, l := range s.limits {
		age := now.Sub(l.statedAt)
		if age > limitRetention {
			delete(s.limits, server)
			continue
		}
		if l.limited || age < endRetention {
			reports = append(reports, Report{Server: server, Limited: l.limited, Rate: l.rate, AgeMs: age.Milliseconds(), Sent: l.sent})
		}
	}
	return reports
}

// ApplyReports applies the report of a peer. Incarnation identifies the start of the
// peer, whose counts begin at zero.
func (t *Throttler) ApplyReports(peer, incarnation string, reports []Report) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	t.heardAt[peer] = now
	t.mu.Unlock()
	for _, r := range reports {
		t.applyReport(peer, incarnation, r, now)
	}
}

func (t *Throttler) applyReport(peer, incarnation string, r Report, now time.Time) {
	sh := t.shard(r.Server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.limits[r.Server]
	if l == nil {
		if !r.Limited {
			return
		}
		l = newLimit(now)
		sh.limits[r.Server] = l
	}
	statedAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	switch {
	case !statedAt.After(l.statedAt):
	case r.Limited:
		t.begin(r.Server, l, r.Rate, statedAt, peer)
	case l.limited:
		t.end(r.Server, l, statedAt, peer)
	}
	t.refill(r.Server, l)
	l.recordPeer(peer, incarnation, r.Sent)
}
