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

// A board is the table of the open jobs that this instance knows.
type jobTable struct {
	shards [jobShards]jobShard
}

type jobShard struct {
	mu   sync.Mutex
	jobs map[scheduler.Key]*job
}

func newJobTable() *jobTable {
	b := &jobTable{}
	for i := range b.shards {
		b.shards[i].jobs = make(map[scheduler.Key]*job)
	}
	return b
}

func (b *jobTable) shard(k scheduler.Key) *jobShard {
	return &b.shards[maphash.Comparable(jobHashSeed, k)%jobShards]
}

// add returns the job of an index entry, which is new or known.
func (b *jobTable) add(open OpenJob, now time.Time) (j *job, added bool) {
	shard := b.shard(open.key())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if j, ok := shard.jobs[open.key()]; ok {
		return j, false
	}
	j = &job{key: open.key(), open: open, indexKey: openKey(open.key()), addedAt: now}
	shard.jobs[j.key] = j
	return j, true
}

func (b *jobTable) get(k scheduler.Key) (j *job, ok bool) {
	shard := b.shard(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	j, ok = shard.jobs[k]
	return j, ok
}

func (b *jobTable) remove(k scheduler.Key) {
	shard := b.shard(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.jobs, k)
}

// known lists the jobs whose index key has a prefix.
func (b *jobTable) withPrefix(prefix string) (jobs []*job) {
	for i := range b.shards {
		shard := &b.shards[i]
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

// running lists the chunks in hand whose claim was made.
func (b *jobTable) activeClaims() (claims []*claim) {
	for i := range b.shards {
		shard := &b.shards[i]
		shard.mu.Lock()
		for _, j := range shard.jobs {
			claims = append(claims, j.claims()...)
		}
		shard.mu.Unlock()
	}
	return claims
}

// A job is an open job with what this instance knows of its chunks.
type job struct {
	key      scheduler.Key
	open     OpenJob
	indexKey string
	addedAt  time.Time

	mu              sync.Mutex
	manifest        *Manifest // Nil until the first chunk is wanted.
	chunks          []chunkView
	claimableChunks int // Chunks that look claimable.
	nextChunk       int // Chunk after the last pick; zero for none.
	listedAt        time.Time
	active          map[int]*claim
}

// A chunkView is what this instance last saw of a chunk.
type chunkView struct {
	claimable bool
	version   int64       // Expected by a claim; zero for a chunk without a record.
	record    ChunkRecord // Of a chunk with a record.
}

// A claim is the right to run a chunk.
type claim struct {
	id      string
	job     *job
	chunk   int
	epoch   int64    // Version of the record that made the claim; zero before, set once under the lock of the job.
	term    int      // Term of the holder's lease in which it was made.
	earlier *Results // Left by earlier holders.

	cancel context.CancelCauseFunc // Ends the items of the chunk.
}

// claims lists the chunks of the job in hand whose claim was made.
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

// confirm notes the epoch of a claim that was made.
func (j *job) confirm(c *claim, epoch int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.epoch = epoch
}

// idle says whether no chunk of the job is in hand.
func (j *job) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.active) == 0
}

// pick takes a claimable chunk and counts it as in hand for c. It takes the one
// after the last pick, and otherwise one at random: instances that work on the
// same job start far apart and then seldom meet. With random picks alone, two
// instances met once for each chunk.
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

// nthClaimable returns the position of a claimable chunk. The caller holds mu.
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

// jump makes the next pick a random one, after another instance was met.
func (j *job) pickRandomNext() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nextChunk = 0
}

// spoil makes the next look at the job list its chunks.
func (j *job) invalidate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.listedAt = time.Time{}
	j.claimableChunks = 0
	j.chunks = nil
}

// submission returns the submission of the manifest that was read last.
func (j *job) submission() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.manifest.Submission
}

// install replaces what is known of the chunks. Chunks in hand are never
// claimable.
func (j *job) setChunks(m Manifest, views []chunkView, now time.Time) (free int) {
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

func (j *job) listed() (at time.Time, free int) {
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

// A pacer bounds how often something is done.
type throttle struct {
	clock Clock

	mu   sync.Mutex
	next time.Time
}

// ready says whether it may be done now, and if so counts it.
func (p *throttle) allow(gap time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(gap)
	return true
}

// hold puts it off.
func (p *throttle) block(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = p.clock.Now().Add(d)
}

// closed says whether it is put off, and until when.
func (p *throttle) blocked() (until time.Time, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next, p.clock.Now().Before(p.next)
}
