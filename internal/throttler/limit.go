package throttler

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/ranker"
)

// never is the wait of an instance that does not hold the limit of a server.
const never = time.Duration(math.MaxInt64)

// A limit is the limit of one backend server and what has been sent under it. Its
// fields are guarded by the lock of its shard.
type limit struct {
	limited  bool
	rate     float64   // Requests per second of all instances together; the last one if not limited.
	statedAt time.Time // When the latest answer stated the limit, or its end.

	// level is the number of requests that the holders in reach may send now. It is
	// negative when they have sent too many.
	level    float64
	filledAt time.Time
	sent     uint64             // Requests of this instance.
	recent   []time.Time        // Times of those within unreportedTime, oldest first.
	peers    map[string]peerUse // By instance ID.
	// sentByPeers are the requests of peers that were counted.
	sentByPeers uint64

	holders        []string // Computed from the members of membersVersion and holdersRate.
	membersVersion int
	holdersRate    float64
}

// A peerUse is what a peer has reported about its requests to a server.
type peerUse struct {
	incarnation string
	sent        uint64
}

func newLimit(now time.Time) *limit {
	return &limit{filledAt: now, peers: map[string]peerUse{}, membersVersion: -1}
}

func (l *limit) setRate(rate float64, at, now time.Time) {
	if !l.limited {
		l.level, l.filledAt = 0, now
	}
	l.limited, l.rate, l.statedAt = true, max(rate, minRate), at
}

// refill adds what a share of the limit allows since the last time.
func (l *limit) refill(share float64, now time.Time) {
	if elapsed := now.Sub(l.filledAt); elapsed > 0 {
		l.level = min(l.level+share*l.rate*elapsed.Seconds(), l.burst())
		l.filledAt = now
	}
}

func (l *limit) burst() float64 { return burstBase + burstPerRate*l.rate }

func (l *limit) spend(n float64) {
	l.level = max(l.level-n, -l.rate*maxDebtTime.Seconds())
}

// wait returns the time until the level reaches a number of requests.
func (l *limit) wait(need, share float64) time.Duration {
	switch {
	case share == 0:
		return never
	case l.level >= need:
		return 0
	}
	return max(time.Duration((need-l.level)/(share*l.rate)*float64(time.Second)), time.Millisecond)
}

// recordOwn records the time of a request of this instance.
func (l *limit) recordOwn(now time.Time) {
	l.recent = append(slices.DeleteFunc(l.recent, func(at time.Time) bool { return now.Sub(at) >= unreportedTime }), now)
}

// paceWait returns the time until this instance has sent few enough requests that the
// other holders may not know of.
func (l *limit) paceWait(now time.Time) time.Duration {
	others := len(l.holders) - 1
	if others <= 0 {
		return 0
	}
	allowed := int(max(1, (unreportedBase+unreportedPerRate*l.rate)/float64(others)))
	if len(l.recent) < allowed {
		return 0
	}
	return max(0, l.recent[len(l.recent)-allowed].Add(unreportedTime).Sub(now))
}

// recordPeer counts the requests that a peer has sent since its last report.
func (l *limit) recordPeer(peer, incarnation string, sent uint64) {
	last, known := l.peers[peer]
	l.peers[peer] = peerUse{incarnation: incarnation, sent: sent}
	if known && last.incarnation != incarnation {
		last.sent = 0
	}
	if !known || sent <= last.sent {
		return
	}
	l.sentByPeers += sent - last.sent
	l.spend(float64(sent - last.sent))
}

// share returns the part of a server's limit that this instance shares with the
// holders it hears. A silent holder may still send its own part.
func (t *Throttler) share(server Server, l *limit) float64 {
	holders := t.holdersOf(server, l)
	if !slices.Contains(holders, t.cfg.Instance) {
		return 0
	}
	now := t.cfg.Clock.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	heard := 0
	for _, id := range holders {
		at, ok := t.heardAt[id]
		if id == t.cfg.Instance || ok && now.Sub(at) < peerTimeout {
			heard++
		}
	}
	return float64(heard) / float64(len(holders))
}

// holdersOf returns the instances that may send to a server while it is limited: those
// with the highest hashes.
func (t *Throttler) holdersOf(server Server, l *limit) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if l.membersVersion == t.membersVersion && l.holdersRate == l.rate {
		return l.holders
	}
	l.membersVersion, l.holdersRate = t.membersVersion, l.rate
	l.holders = ranker.Highest(server.ID, t.members, minHolders+int(l.rate))
	return l.holders
}
