// Package scheduler decides which batch job gives the next chunk. It does no
// I/O.
//
// Workspaces share the capacity of a lane by work done: the workspace that was
// served least comes first. Work is counted in tokens and decays, so that old
// work is forgotten. Within a workspace the job that has to start first comes
// first. A job that is about to be late goes before the fair order, but only
// while its workspace is at most an allowance ahead of the least served one, so
// that many urgent jobs of one workspace do not displace the others.
package scheduler

import (
	"hash/maphash"
	"sync"
	"time"
)

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Defaults of a Config.
const (
	// DefaultHalfLife forgets an hour-old imbalance almost wholly, so that a
	// workspace is not held back for work done in an earlier part of the night.
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
	HalfLife        time.Duration // Work done counts half after this time.
	UrgentAllowance float64       // Tokens by which a workspace with urgent jobs may run ahead of the least served.
	Order           Order         // A FairOrder with the UrgentAllowance by default.
}

// A Key names a job.
type Key struct {
	Workspace string
	Job       string
}

// A Job is an unfinished batch job.
type Job struct {
	Key
	Lane       string // What the items of the job share room in, such as "model/lm-desk".
	AcceptedAt time.Time
	Due        time.Time // When the last result should be there.
	Remaining  int       // Items that are not known to be finished.
}

// A Reason says why a job was chosen.
type Reason string

// The reasons of a Decision.
const (
	DueSoon   Reason = "due-soon"   // The job would be late if it started later.
	FairShare Reason = "fair-share" // The workspace was served least.
)

// A Decision is the choice of a job for the next chunk.
type Decision struct {
	Job      Job
	Reason   Reason
	Estimate float64 // Tokens charged in advance; Settle corrects them.
}

// A Scheduler chooses among the jobs that it was told of. Lanes and accounts
// have locks of their own.
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

var seed = maphash.MakeSeed()

// New returns a Scheduler without jobs.
func New(cfg Config) *Scheduler {
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	if cfg.UrgentAllowance <= 0 {
		cfg.UrgentAllowance = DefaultUrgentAllowance
	}
	if cfg.Order == nil {
		cfg.Order = FairOrder{UrgentAllowance: cfg.UrgentAllowance}
	}
	s := &Scheduler{cfg: cfg}
	s.accounts.halfLife = cfg.HalfLife
	for i := range s.shards {
		s.shards[i].lanes = make(map[string]*lane)
	}
	return s
}

// Add makes a job known. For a known job it changes the due time alone: what
// remains is known better here than to the caller's listing.
func (s *Scheduler) Add(j Job) {
	s.lane(j.Lane).add(j, s.cfg.Clock.Now())
}

// Remove forgets a job.
func (s *Scheduler) Remove(laneName string, k Key) {
	s.lane(laneName).remove(k)
}

// Park leaves a job out until the given time.
func (s *Scheduler) Park(laneName string, k Key, until time.Time) {
	s.lane(laneName).park(k, until)
}

// SetRemaining corrects the number of unfinished items of a job.
func (s *Scheduler) SetRemaining(laneName string, k Key, items int) {
	s.lane(laneName).setRemaining(k, items)
}

// Next chooses the job that gives the next chunk of the lane, and charges its
// workspace for the items of that chunk in advance.
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

// Settle replaces the advance charge of a decision by the work done.
func (s *Scheduler) Settle(d Decision, items int, tokens float64) {
	s.accounts.get(d.Job.Workspace).settle(s.cfg.Clock.Now(), d.Estimate, items, tokens)
}

// ObservePace takes in how long a chunk of the lane took per item. It is the
// pace of one entry, so the estimates are pessimistic for a job that many
// entries work on; the allowance bounds what that can do to others.
func (s *Scheduler) ObservePace(laneName string, perItem time.Duration) {
	s.lane(laneName).observePace(perItem)
}

// NextWake returns when the first parked job of the lane comes back.
func (s *Scheduler) NextWake(laneName string) (at time.Time, ok bool) {
	return s.lane(laneName).nextWake()
}

// Served returns the decayed work done of a workspace in tokens.
func (s *Scheduler) Served(workspace string) float64 {
	return s.accounts.get(workspace).served(s.cfg.Clock.Now())
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
	shard := &s.shards[maphash.String(seed, name)%laneShards]
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
	l = newLane(&s.accounts, s.cfg.Order)
	shard.lanes[name] = l
	return l
}
