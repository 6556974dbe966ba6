// Package admitter decides whether a batch job fits the limit of its workspace on
// tokens that wait on a batch route. It answers the load of a workspace that submits
// more batch work than the fleet finishes: what fits is accepted, the rest is refused
// at once with the time after which it may fit.
//
// Each instance accepts some jobs by itself: by the reports of all instances, together
// at most headroomFraction of what is left of the limit in headroomWindow, or in all the
// time in which some instances are silent. Beyond that the balance of a workspace, which lives in the platform's store, is written
// together with each accepted job, so that submissions at several instances cannot
// exceed the limit together. It is an upper bound: finished items are only taken off
// when the job records are counted again.
package admitter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	// maxBalanceAge is the age from which on a balance is counted again. It bounds how
	// long jobs that were accepted without it are missing in it.
	maxBalanceAge = 3 * time.Second
	// headroomFraction is the part of what is left of a limit that all instances
	// together may use by themselves in one headroomWindow. The limit holds but for what
	// waits two windows earlier and grows to the limit meanwhile.
	headroomFraction = 0.25
	// headroomWindow is the time in which all instances know of a job that one of them
	// has accepted: three exchanges of reports in a large fleet.
	headroomWindow = time.Second
	// recountInterval is the time in which a count that left no room is used again
	// without another one.
	recountInterval = 250 * time.Millisecond
	// minRateInterval is the shortest time between two counts from which the rate of
	// finished tokens follows. Results are written every two seconds.
	minRateInterval = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a job that does not fit.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// defaultRetryAfter is used while the rate of finished tokens is not known.
	defaultRetryAfter = time.Second
	// retrySpread is the range, as a fraction of the Retry-After, over which callers
	// that were refused at the same time are spread.
	retrySpread = 0.25
	// maxSubjectsPerShard bounds the memory for counts.
	maxSubjectsPerShard = 1024
)

// A Limit is the number of tokens of a workspace that may wait on a batch route.
type Limit struct {
	Workspace string
	Route     string
	Tokens    int64 // More than zero.
}

// A Balance is the stored upper bound of the tokens of a workspace that wait on a
// batch route.
type Balance struct {
	Waiting   int64     `cbor:"waiting"`
	CountedAt time.Time `cbor:"counted-at"` // Of the count that it started from.
	Policy    int64     `cbor:"policy"`     // Version of the policy in force when it was written.
}

// A Count is the state of a workspace's jobs on a batch route, from their records.
type Count struct {
	Waiting  int64 // Tokens of accepted items without a result.
	Finished int64 // Tokens of items with a result. It shrinks when expired jobs are removed.
	At       time.Time
}

// A Waiting is the number of tokens that wait on a batch route in the jobs of one
// instance.
type Waiting struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Route     string
	Tokens    int64
}

// A FleetView is what the reports of all instances tell about a workspace on a route.
type FleetView struct {
	Instances int   // This one included.
	Waiting   int64 // Tokens that wait in the jobs of all instances.
	// Known reports whether all instances have reported since this one started.
	Known bool
	// Complete reports whether the last report of each instance is recent. While some
	// instances are silent, Waiting includes what they reported last.
	Complete bool
}

// A Decision says whether a job fits.
type Decision struct {
	Fits       bool
	RetryAfter time.Duration // Until it may fit; zero if it never does.
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// An Admitter remembers the last count of each workspace and route.
type Admitter struct {
	clock  Clock
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	subjects map[string]*subject // By workspace and route.
}

// A subject is a workspace on a batch route.
type subject struct {
	count Count
	base  Count   // The count from which the next rate follows.
	rate  float64 // Finished tokens per second; zero if not known.

	headroom headroom
}

// A headroom counts the tokens that were accepted without the balance.
type headroom struct {
	windowStart    time.Time
	used, previous int64 // In the current window and in the one before.
}

// New returns an admitter without counts.
func New(clock Clock) *Admitter {
	a := &Admitter{clock: clock}
	for i := range a.shards {
		a.shards[i].subjects = map[string]*subject{}
	}
	return a
}

func (l Limit) key() string { return l.Workspace + "/" + l.Route }

func (a *Admitter) shard(l Limit) *shard {
	return &a.shards[xxhash.Sum64String(l.key())%shardCount]
}

// NeedsCount reports whether the records have to be counted before a job of the given
// size is decided on.
func (a *Admitter) NeedsCount(l Limit, b Balance, policy, tokens int64) bool {
	age := a.clock.Now().Sub(b.CountedAt)
	return b.Policy != policy || age < 0 || age > maxBalanceAge || b.Waiting+tokens+acceptedSince(l, b.Waiting, age) > l.Tokens
}

// TakeHeadroom reports whether a job may be accepted without the balance, and counts
// its tokens if so.
func (a *Admitter) TakeHeadroom(l Limit, v FleetView, tokens int64) bool {
	if !v.Known {
		return false
	}
	allowed := headroomFraction * float64(l.Tokens-v.Waiting) / float64(v.Instances)
	now := a.clock.Now()
	s := a.shard(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.subject(l).headroom
	if v.Complete {
		h.advance(now)
	}
	if float64(h.previous+h.used+tokens) > allowed {
		return false
	}
	h.used += tokens
	return true
}

func (h *headroom) advance(now time.Time) {
	elapsed := now.Sub(h.windowStart)
	switch {
	case elapsed < 0, elapsed >= 2*headroomWindow:
		*h = headroom{windowStart: now}
	case elapsed >= headroomWindow:
		*h = headroom{windowStart: h.windowStart.Add(headroomWindow), previous: h.used}
	}
}

// acceptedSince returns an upper bound of the tokens that all instances accepted without
// the balance in a period after waiting tokens waited.
func acceptedSince(l Limit, waiting int64, period time.Duration) int64 {
	windows := 1 + int64(period/headroomWindow)
	return windows * int64(headroomFraction*float64(l.Tokens-waiting))
}

// IsFull decides on a job that a recent count has no room for. It reports false if
// there is no such count.
func (a *Admitter) IsFull(l Limit, tokens int64) (d Decision, full bool) {
	if tokens > l.Tokens {
		return Decision{}, true
	}
	now := a.clock.Now()
	s := a.shard(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.subjects[l.key()]
	if !ok || now.Sub(known.count.At) >= recountInterval {
		return Decision{}, false
	}
	d = known.decide(l, known.count.Waiting, tokens)
	return d, !d.Fits
}

// Decide decides on a job of the given size while at most waiting tokens wait.
func (a *Admitter) Decide(l Limit, waiting, tokens int64) Decision {
	s := a.shard(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.subjects[l.key()]
	if !ok {
		known = &subject{}
	}
	return known.decide(l, waiting, tokens)
}

func (s *subject) decide(l Limit, waiting, tokens int64) Decision {
	excess := waiting + tokens - l.Tokens
	switch {
	case excess <= 0:
		return Decision{Fits: true}
	case tokens > l.Tokens:
		return Decision{}
	}
	wait := defaultRetryAfter
	if s.rate > 0 {
		wait = time.Duration(float64(excess) / s.rate * float64(time.Second))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return Decision{RetryAfter: wait + time.Duration(retrySpread*rand.Float64()*float64(wait))}
}

// RecordCount records a count.
func (a *Admitter) RecordCount(l Limit, c Count) {
	s := a.shard(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.subject(l)
	known.count = c
	known.headroom = headroom{windowStart: c.At} // The count includes what was accepted without the balance.
	if known.base.At.IsZero() {
		known.base = c
	}
	elapsed := c.At.Sub(known.base.At)
	if elapsed < minRateInterval {
		return
	}
	known.rate = max(0, float64(c.Finished-known.base.Finished)/elapsed.Seconds())
	known.base = c
}

// subject returns the state of a workspace on a route. The caller holds s.mu.
func (s *shard) subject(l Limit) *subject {
	known, ok := s.subjects[l.key()]
	if !ok {
		s.makeRoom()
		known = &subject{}
		s.subjects[l.key()] = known
	}
	return known
}

// makeRoom drops counts while the shard is full.
func (s *shard) makeRoom() {
	for key := range s.subjects {
		if len(s.subjects) < maxSubjectsPerShard {
			return
		}
		delete(s.subjects, key)
	}
}
