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

const boardShards = 32

var boardSeed = maphash.MakeSeed()

// A board is the table of the open jobs that this instance knows.
type board struct {
	shards [boardShards]boardShard
}

type boardShard struct {
	mu   sync.Mutex
	jobs map[scheduler.Key]*job
}

func newBoard() *board {
	b := &board{}
	for i := range b.shards {
		b.shards[i].jobs = make(map[scheduler.Key]*job)
	}
	return b
}

func (b *board) shard(k scheduler.Key) *boardShard {
	return &b.shards[maphash.Comparable(boardSeed, k)%boardShards]
}

// add returns the job of an index entry, which is new or known.
func (b *board) add(open OpenJob, now time.Time) (j *job, added bool) {
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

func (b *board) get(k scheduler.Key) (j *job, ok bool) {
	shard := b.shard(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	j, ok = shard.jobs[k]
	return j, ok
}

func (b *board) remove(k scheduler.Key) {
	shard := b.shard(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.jobs, k)
}

// known lists the jobs whose index key has a prefix.
func (b *board) known(prefix string) (jobs []*job) {
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
func (b *board) running() (claims []*claim) {
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

	mu       sync.Mutex
	manifest *Manifest // Nil until the first chunk is wanted.
	chunks   []chunkView
	free     int // Chunks that look claimable.
	next     int // Chunk after the last pick; zero for none.
	listedAt time.Time
	inHand   map[int]*claim
}

// A chunkView is what this instance last saw of a chunk.
type chunkView struct {
	claimable bool
	version   int64       // Expected by a claim; zero for a chunk without a record.
	record    ChunkRecord // Of a chunk with a record.
}

// A claim is the right to run a chunk.
type claim struct {
	id     string
	job    *job
	chunk  int
	epoch  int64    // Version of the record that made the claim; zero before, set once under the lock of the job.
	term   int      // Term of the holder's lease in which it was made.
	before *Results // Left by earlier holders.

	cancel context.CancelCauseFunc // Ends the items of the chunk.
}

// claims lists the chunks of the job in hand whose claim was made.
func (j *job) claims() (claims []*claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.inHand {
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
	return len(j.inHand) == 0
}

// pick takes a claimable chunk and counts it as in hand for c. It takes the one
// after the last pick, and otherwise one at random: instances that work on the
// same job start far apart and then seldom meet. With random picks alone, two
// instances met once for each chunk.
func (j *job) pick(c *claim) (view chunkView, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.free == 0 {
		return chunkView{}, false
	}
	i := j.next
	if i <= 0 || i >= len(j.chunks) || !j.chunks[i].claimable {
		i = j.nthFree(rand.IntN(j.free))
	}
	j.chunks[i].claimable = false
	j.free--
	j.next = i + 1
	c.job, c.chunk = j, i
	if j.inHand == nil {
		j.inHand = make(map[int]*claim)
	}
	j.inHand[i] = c
	return j.chunks[i], true
}

// nthFree returns the position of a claimable chunk. The caller holds mu.
func (j *job) nthFree(n int) (i int) {
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
func (j *job) jump() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = 0
}

// spoil makes the next look at the job list its chunks.
func (j *job) spoil() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.listedAt = time.Time{}
	j.free = 0
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
func (j *job) install(m Manifest, views []chunkView, now time.Time) (free int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for chunk := range j.inHand {
		if chunk < len(views) {
			views[chunk].claimable = false
		}
	}
	j.manifest = &m
	j.chunks = views
	j.listedAt = now
	j.free = 0
	for _, view := range views {
		if view.claimable {
			j.free++
		}
	}
	return j.free
}

func (j *job) listed() (at time.Time, free int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.listedAt, j.free
}

func (j *job) letGo(c *claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.inHand, c.chunk)
}

func (j *job) holds(chunk int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, ok := j.inHand[chunk]
	return ok
}

// A pacer bounds how often something is done.
type pacer struct {
	clock Clock

	mu   sync.Mutex
	next time.Time
}

// ready says whether it may be done now, and if so counts it.
func (p *pacer) ready(gap time.Duration) bool {
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
func (p *pacer) hold(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = p.clock.Now().Add(d)
}

// closed says whether it is put off, and until when.
func (p *pacer) closed() (until time.Time, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next, p.clock.Now().Before(p.next)
}
