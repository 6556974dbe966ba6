// Package scheduler decides which batch job supplies the next chunk. It does no
// I/O.
//
// Workspaces share the capacity of a lane by usage: the workspace with the least
// usage goes first. Usage is counted in tokens and decays exponentially. Within a
// workspace the job with the earliest latest start time goes first. A job that is
// about to miss its due time takes precedence over fair sharing, but only while
// the usage of its workspace exceeds the least usage by no more than an
// allowance, so that many urgent jobs of one workspace do not starve the others.
package scheduler

import (
	"hash/maphash"
	"sync"
	"time"
)

// A Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// Defaults of a Config.
const (
	// DefaultHalfLife makes an hour-old imbalance negligible, so that a
	// workspace is not held back for usage earlier in the night.
	DefaultHalfLife = 10 * time.Minute
	// DefaultUrgentAllowance is about 40 seconds of one entry's work at the
	// planned peak (410,000 tokens/s over 350 entries).
	DefaultUrgentAllowance = 50_000
	// DefaultItemTokens is assumed for an item until the first results of the
	// workspace are known.
	DefaultItemTokens = 500
	// DefaultItemTime is assumed for an item until the first chunk of the lane
	// has ended.
	DefaultItemTime = 100 * time.Millisecond
)

// A Config holds the parameters of a Scheduler. Zero fields take the defaults.
type Config struct {
	Clock           Clock
	HalfLife        time.Duration // Usage decays to half after this time.
	UrgentAllowance float64       // Tokens by which the usage of a workspace with urgent jobs may exceed that of the least served one.
	Policy          Policy        // Default: a FairPolicy with UrgentAllowance.
}

// A Key identifies a job.
type Key struct {
	Workspace string
	Job       string
}

// A Job is an unfinished batch job.
type Job struct {
	Key
	Lane       string // Capacity that the items of the job share, such as "model/lm-desk".
	AcceptedAt time.Time
	Due        time.Time // When the last result should be available.
	Remaining  int       // Items not known to be finished.
}

// A Reason says why a job was chosen.
type Reason string

// The reasons of a Decision.
const (
	DueSoon   Reason = "due-soon"   // The job would be late if it started later.
	FairShare Reason = "fair-share" // The workspace has the least usage.
)

// A Decision is the job chosen for the next chunk.
type Decision struct {
	Job      Job
	Reason   Reason
	Estimate float64 // Tokens charged in advance; corrected by Settle.
}

// A Scheduler chooses among the jobs that were added to it. Each lane and each
// account has its own lock.
type Scheduler struct {
	cfg      Config
	accounts accounts
	shards   [laneShards]laneShard
}

const laneShards = 8

type laneShard struct {
	mu    sync.RWMutex
	lanes map[string]*lane
}

var hashSeed = maphash.MakeSeed()

// New returns a Scheduler without jobs.
func New(cfg Config) *Scheduler {
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	if cfg.UrgentAllowance <= 0 {
		cfg.UrgentAllowance = DefaultUrgentAllowance
	}
	if cfg.Policy == nil {
		cfg.Policy = FairPolicy{UrgentAllowance: cfg.UrgentAllowance}
	}
	s := &Scheduler{cfg: cfg}
	s.accounts.halfLife = cfg.HalfLife
	for i := range s.shards {
		s.shards[i].lanes = make(map[string]*lane)
	}
	return s
}

// Add adds a job. For a known job it updates only the due time: the scheduler's
// count of remaining items is more recent than the caller's listing.
func (s *Scheduler) Add(j Job) {
	s.lane(j.Lane).add(j, s.cfg.Clock.Now())
}

// Remove removes a job; an unknown job is ignored.
func (s *Scheduler) Remove(laneName string, k Key) {
	s.lane(laneName).remove(k)
}

// Delay excludes a job from scheduling until the given time.
func (s *Scheduler) Delay(laneName string, k Key, until time.Time) {
	s.lane(laneName).delay(k, until)
}

// SetRemaining corrects the number of unfinished items of a job.
func (s *Scheduler) SetRemaining(laneName string, k Key, items int) {
	s.lane(laneName).setRemaining(k, items)
}

// Next chooses the job that supplies the next chunk of the lane, and charges its
// workspace in advance for the items of that chunk.
func (s *Scheduler) Next(laneName string, chunkItems int) (d Decision, ok bool) {
	now := s.cfg.Clock.Now()
	d, ok = s.lane(laneName).next(now, chunkItems)
	if !ok {
		return d, false
	}
	items := min(chunkItems, max(d.Job.Remaining, 1))
	d.Estimate = s.accounts.get(d.Job.Workspace).reserve(now, items)
	return d, true
}

// Settle replaces the advance charge of a decision by the actual tokens.
func (s *Scheduler) Settle(d Decision, items int, tokens float64) {
	s.accounts.get(d.Job.Workspace).settle(s.cfg.Clock.Now(), d.Estimate, items, tokens)
}

// ObserveItemTime records how long a chunk of the lane took per item. The time
// is that of one entry, so start times are pessimistic for a job that many
// entries work on; the urgent allowance limits the effect on other workspaces.
func (s *Scheduler) ObserveItemTime(laneName string, perItem time.Duration) {
	s.lane(laneName).observeItemTime(perItem)
}

// NextWake returns when the first delayed job of the lane becomes ready.
func (s *Scheduler) NextWake(laneName string) (at time.Time, ok bool) {
	return s.lane(laneName).nextWake()
}

// Usage returns the decayed usage of a workspace in tokens.
func (s *Scheduler) Usage(workspace string) float64 {
	return s.accounts.get(workspace).usage(s.cfg.Clock.Now())
}

// Jobs returns the number of known jobs.
func (s *Scheduler) Jobs() (n int) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.RLock()
		for _, l := range shard.lanes {
			n += l.size()
		}
		shard.mu.RUnlock()
	}
	return n
}

func (s *Scheduler) lane(name string) *lane {
	shard := &s.shards[maphash.String(hashSeed, name)%laneShards]
	shard.mu.RLock()
	l, ok := shard.lanes[name]
	shard.mu.RUnlock()
	if ok {
		return l
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if l, ok = shard.lanes[name]; ok {
		return l
	}
	l = newLane(&s.accounts, s.cfg.Policy)
	shard.lanes[name] = l
	return l
}
