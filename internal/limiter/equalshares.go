package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// ReasonEqualShare means that the request was admitted from the entry's fixed
// share.
const ReasonEqualShare Reason = "equal-share"

const equalShardCount = 16

// EqualShares gives each entry the same fixed share of each rate and burst,
// without a lender. It is the baseline for measurements.
type EqualShares struct {
	clock   Clock
	entries float64 // At least 1.
	shards  [equalShardCount]equalShard
}

type equalShard struct {
	mu      sync.Mutex
	buckets map[string]*equalBucket // By workspace.
}

// An equalBucket starts empty, so that a restarted entry does not admit
// another burst.
type equalBucket struct {
	rate     float64 // Tokens per second.
	burst    float64 // At least 1, so that small workspaces are not refused altogether.
	tokens   float64
	filledAt time.Time
}

// NewEqualShares returns the limiter of one of the given number of entries.
func NewEqualShares(clock Clock, entries int) *EqualShares {
	return &EqualShares{clock: clock, entries: float64(max(1, entries))}
}

// Install applies the workspaces of a declaration.
func (e *EqualShares) Install(d declarer.Declaration) {
	now := e.clock.Now()
	declared := make([]map[string]*equalBucket, equalShardCount)
	for i := range declared {
		declared[i] = make(map[string]*equalBucket)
	}
	for _, w := range d.Workspaces {
		declared[ShardOf(w.Name, equalShardCount)][w.Name] = &equalBucket{
			rate: w.Rate / e.entries, burst: max(1, float64(w.Burst)/e.entries), filledAt: now,
		}
	}
	for i := range e.shards {
		e.shards[i].replace(declared[i], now)
	}
}

// replace installs new buckets and keeps the tokens of workspaces that
// remain.
func (s *equalShard) replace(buckets map[string]*equalBucket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range buckets {
		if old, ok := s.buckets[name]; ok {
			old.advance(now)
			b.tokens = min(old.tokens, b.burst)
		}
	}
	s.buckets = buckets
}

// Admit decides whether a request of a workspace may run.
func (e *EqualShares) Admit(_ context.Context, workspace string) Decision {
	s := &e.shards[ShardOf(workspace, equalShardCount)]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[workspace]
	if !ok {
		return Decision{Reason: ReasonUnknownWorkspace}
	}
	b.advance(e.clock.Now())
	if b.tokens < 1-tokenEpsilon {
		return Decision{Reason: ReasonExceeded, RetryAfter: seconds((1 - b.tokens) / b.rate)}
	}
	b.tokens = max(0, b.tokens-1)
	return Decision{Admitted: true, Reason: ReasonEqualShare}
}

func (b *equalBucket) advance(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
}
