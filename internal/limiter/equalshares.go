package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// ReasonEqualShare means that the request was admitted with a token of the
// entry's fixed share.
const ReasonEqualShare Reason = "equal-share"

const equalShards = 16

// EqualShares gives each entry the same fixed part of each rate and burst. It
// asks no lender and exists to be measured against.
type EqualShares struct {
	clock   Clock
	entries float64 // Above zero.
	shards  [equalShards]equalShard
}

type equalShard struct {
	mu      sync.Mutex
	buckets map[string]*equalBucket // By workspace.
}

// An equalBucket starts empty, so that a restarted entry admits no second
// burst.
type equalBucket struct {
	rate   float64 // Tokens a second.
	burst  float64 // At least 1; else small workspaces would get nothing.
	level  float64
	filled time.Time
}

// NewEqualShares returns the shares of one of the given number of entries.
func NewEqualShares(clock Clock, entries int) *EqualShares {
	return &EqualShares{clock: clock, entries: float64(max(1, entries))}
}

// Install takes over the workspaces of a declaration.
func (e *EqualShares) Install(d declarer.Declaration) {
	now := e.clock.Now()
	declared := make([]map[string]*equalBucket, equalShards)
	for i := range declared {
		declared[i] = make(map[string]*equalBucket)
	}
	for _, w := range d.Workspaces {
		declared[ShardOf(w.Name, equalShards)][w.Name] = &equalBucket{
			rate: w.Rate / e.entries, burst: max(1, float64(w.Burst)/e.entries), filled: now,
		}
	}
	for i := range e.shards {
		e.shards[i].replace(declared[i], now)
	}
}

// replace keeps the tokens of workspaces that stay.
func (s *equalShard) replace(buckets map[string]*equalBucket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range buckets {
		if old, ok := s.buckets[name]; ok {
			old.settle(now)
			b.level = min(old.level, b.burst)
		}
	}
	s.buckets = buckets
}

// Admit decides whether a request of a workspace may run.
func (e *EqualShares) Admit(_ context.Context, workspace string) Decision {
	s := &e.shards[ShardOf(workspace, equalShards)]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[workspace]
	if !ok {
		return Decision{Reason: ReasonUnknownWorkspace}
	}
	b.settle(e.clock.Now())
	if b.level < 1-tokenEpsilon {
		return Decision{Reason: ReasonExceeded, RetryAfter: seconds((1 - b.level) / b.rate)}
	}
	b.level = max(0, b.level-1)
	return Decision{Admitted: true, Reason: ReasonEqualShare}
}

func (b *equalBucket) settle(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
}
