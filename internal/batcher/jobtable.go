package batcher

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

const jobShards = 32

var jobHashSeed = maphash.MakeSeed()

// A jobTable holds the open jobs that this instance knows.
type jobTable struct {
	shards [jobShards]jobShard
}

type jobShard struct {
	mu   sync.Mutex
	jobs map[scheduler.Key]*job
}

func newJobTable() *jobTable {
	t := &jobTable{}
	for i := range t.shards {
		t.shards[i].jobs = make(map[scheduler.Key]*job)
	}
	return t
}

func (t *jobTable) shard(k scheduler.Key) *jobShard {
	return &t.shards[maphash.Comparable(jobHashSeed, k)%jobShards]
}

// add returns the job of an index entry, and whether it was added now.
func (t *jobTable) add(open OpenJob, now time.Time) (j *job, added bool) {
	shard := t.shard(open.key())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if j, ok := shard.jobs[open.key()]; ok {
		return j, false
	}
	j = &job{key: open.key(), open: open, indexKey: openKey(open.key()), addedAt: now}
	shard.jobs[j.key] = j
	return j, true
}

func (t *jobTable) get(k scheduler.Key) (j *job, ok bool) {
	shard := t.shard(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	j, ok = shard.jobs[k]
	return j, ok
}

func (t *jobTable) remove(k scheduler.Key) {
	shard := t.shard(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.jobs, k)
}

// withPrefix lists the jobs whose index key starts with prefix.
func (t *jobTable) withPrefix(prefix string) (jobs []*job) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, j := range shard.jobs {
			if strings.HasPrefix(j.indexKey, prefix) {
				jobs = append(jobs, j)
			}
		}
		shard.mu.Unlock()
	}
	return jobs
}

// activeClaims lists the confirmed claims of all jobs.
func (t *jobTable) activeClaims() (claims []*claim) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, j := range shard.jobs {
			claims = append(claims, j.claims()...)
		}
		shard.mu.Unlock()
	}
	return claims
}

// A job is an open job with the state of its chunks as known to this instance.
type job struct {
	key      scheduler.Key
	open     OpenJob
	indexKey string
	addedAt  time.Time

	mu              sync.Mutex
	manifest        *Manifest // Nil until the job is first inspected.
	chunks          []chunkView
	claimableChunks int // Number of chunks that look claimable.
	nextChunk       int // Chunk after the last pick; zero if there is none.
	listedAt        time.Time
	active          map[int]*claim
}

// A chunkView is the last known state of a chunk.
type chunkView struct {
	claimable bool
	version   int64       // Version of the record; zero for a chunk without a record.
	record    ChunkRecord // Zero for a chunk without a record.
}

// A claim is the exclusive right to commit a chunk.
type claim struct {
	id      string
	job     *job
	chunk   int
	epoch   int64    // Version of the record that made the claim; zero until confirmed. Set once under job.mu.
	term    int      // Lease term of the holder when the claim was made.
	earlier *Results // Results of earlier holders.

	cancel context.CancelCauseFunc // Cancels the items of the chunk.
}

// claims lists the confirmed claims of the job.
func (j *job) claims() (claims []*claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.active {
		if c.epoch != 0 {
			claims = append(claims, c)
		}
	}
	return claims
}

// confirm records the epoch of a claim after its write succeeded.
func (j *job) confirm(c *claim, epoch int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.epoch = epoch
}

// idle reports whether the job has no active chunk.
func (j *job) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.active) == 0
}

// pick selects a claimable chunk and makes it active for c. It prefers the chunk
// after the last pick and otherwise picks at random, so that instances working on
// the same job start far apart and rarely conflict. With random picks alone, two
// instances conflicted once per chunk.
func (j *job) pick(c *claim) (view chunkView, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.claimableChunks == 0 {
		return chunkView{}, false
	}
	i := j.nextChunk
	if i <= 0 || i >= len(j.chunks) || !j.chunks[i].claimable {
		i = j.nthClaimable(rand.IntN(j.claimableChunks))
	}
	j.chunks[i].claimable = false
	j.claimableChunks--
	j.nextChunk = i + 1
	c.job, c.chunk = j, i
	if j.active == nil {
		j.active = make(map[int]*claim)
	}
	j.active[i] = c
	return j.chunks[i], true
}

// nthClaimable returns the index of the nth claimable chunk. The caller holds mu.
func (j *job) nthClaimable(n int) (i int) {
	for i = range j.chunks {
		if !j.chunks[i].claimable {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return i
}

// pickRandomNext makes the next pick random, after a conflict with another
// instance.
func (j *job) pickRandomNext() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nextChunk = 0
}

// invalidate discards the known state of the chunks, so that they are listed
// again.
func (j *job) invalidate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.listedAt = time.Time{}
	j.claimableChunks = 0
	j.chunks = nil
}

// submission returns the submission ID of the last manifest read.
func (j *job) submission() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.manifest.Submission
}

// setChunks replaces the known state of the chunks. Active chunks are never
// claimable.
func (j *job) setChunks(m Manifest, views []chunkView, now time.Time) (claimable int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for chunk := range j.active {
		if chunk < len(views) {
			views[chunk].claimable = false
		}
	}
	j.manifest = &m
	j.chunks = views
	j.listedAt = now
	j.claimableChunks = 0
	for _, view := range views {
		if view.claimable {
			j.claimableChunks++
		}
	}
	return j.claimableChunks
}

func (j *job) listed() (at time.Time, claimable int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.listedAt, j.claimableChunks
}

func (j *job) removeClaim(c *claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.active, c.chunk)
}

func (j *job) hasClaim(chunk int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, ok := j.active[chunk]
	return ok
}

// A throttle limits how often an operation runs.
type throttle struct {
	clock Clock

	mu   sync.Mutex
	next time.Time
}

// allow reports whether the operation may run now; if so, the next one may run
// after gap.
func (t *throttle) allow(gap time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.next) {
		return false
	}
	t.next = now.Add(gap)
	return true
}

// block disallows the operation for d.
func (t *throttle) block(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = t.clock.Now().Add(d)
}

// blocked reports whether the operation is disallowed, and until when.
func (t *throttle) blocked() (until time.Time, blocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.clock.Now().Before(t.next)
}
