package batcher

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Guards against a job that never ends, or has two results for an item, when an
// instance fails after storing results and before committing them.
func TestHolderKilledBeforeCommit(t *testing.T) {
	cluster := newTestCluster(t)
	var count runCounter
	var first *testInstance
	killed := make(chan struct{})
	var once sync.Once
	cluster.archive.stored = func(name string) {
		if !strings.Contains(name, "/out-") {
			return
		}
		once.Do(func() {
			first.store.set(func(h *instanceStore) { h.down = true })
			first.stop()
			close(killed)
		})
	}
	first = cluster.addInstance("entry-1", count.wrap(succeed))
	first.submit(t, 100)
	<-killed
	second := cluster.addInstance("entry-2", count.wrap(succeed))
	assert.Equal(t, second.assertEnds(t, Completed).Counts.Done, 100)
	second.assertResults(t, 100)
	assert.Equal(t, count.total(), 200, "both instances ran the items")
}

// Guards against a late commit by a holder that was paused until its lease expired
// and another instance took over the chunk.
func TestPausedHolderIsFenced(t *testing.T) {
	cluster := newTestCluster(t)
	gate := make(chan struct{})
	var stuck atomic.Int64
	first := cluster.addInstance("entry-1", func(context.Context, Item) (ItemResult, error) {
		stuck.Add(1)
		<-gate
		return ItemResult{StatusCode: 200, Body: []byte(`"late"`)}, nil
	})
	first.submit(t, 10)
	eventually(t, "the first instance runs items", func() bool { return stuck.Load() > 0 })
	resume := make(chan struct{})
	first.store.set(func(h *instanceStore) { h.paused = resume })

	second := cluster.addInstance("entry-2", succeed)
	second.assertEnds(t, Completed)
	first.store.set(func(h *instanceStore) { h.paused = nil })
	close(resume)
	close(gate)
	eventually(t, "the first instance has abandoned its chunk", func() bool { return first.activeChunks.Load() == 0 })
	for i, line := range second.assertResults(t, 10) {
		assert.Assert(t, string(line.Body) != `"late"`, "item %d", i)
	}
	cluster.assertNoKeys(chunkPrefix, openPrefix)
}

// Guards against losing the results of a holder whose lease expired during an
// outage of the platform, when no other instance took over the chunk.
func TestHolderCommitsAfterOutage(t *testing.T) {
	cluster := newTestCluster(t)
	gate := make(chan struct{})
	var count runCounter
	inst := cluster.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
		<-gate
		return succeed(ctx, item)
	}))
	inst.submit(t, 10)
	eventually(t, "items run", func() bool { return count.total() > 0 })
	inst.store.set(func(h *instanceStore) { h.down = true })
	eventually(t, "the lease has expired", func() bool {
		_, live := inst.holder.current()
		return !live
	})
	close(gate) // The active chunk keeps running while the platform is unavailable.
	eventually(t, "all items have run", func() bool { return count.total() == 10 })
	inst.store.set(func(h *instanceStore) { h.down = false })
	assert.Equal(t, inst.assertEnds(t, Completed).Counts.Done, 10)
	inst.assertResults(t, 10)
	assert.Equal(t, count.total(), 10, "no item ran twice")
}

// Guards against two holders of the same chunk when claims race, also when the
// response to a claim is lost.
func TestConcurrentClaims(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		t.Run(map[bool]string{false: "responses arrive", true: "responses are lost"}[lossy], func(t *testing.T) {
			cluster := newTestCluster(t)
			var wins atomic.Int64
			var wg sync.WaitGroup
			for i := range 16 {
				inst := cluster.addInstance("entry", nil)
				var losses atomic.Int64
				inst.store.loseResponse = func(storer.PutRequest) (bool, bool) {
					return lossy && losses.Add(1) == 1, i%2 == 0
				}
				wg.Go(func() {
					record := ChunkRecord{State: ChunkClaimed, Holder: inst.holder.id, Claim: newID()}
					_, err := inst.records.writeChunk(t.Context(), testJob, 0, record, 0)
					if err == nil {
						wins.Add(1)
						return
					}
					assert.Check(t, errors.Is(err, storer.ErrConflict))
				})
			}
			wg.Wait()
			assert.Equal(t, wins.Load(), int64(1))
		})
	}
}

// Guards against chunk writes that are treated as failed, or made twice, when
// their responses are lost.
func TestLostResponsesOfChunkWrites(t *testing.T) {
	for _, made := range []bool{true, false} {
		t.Run(map[bool]string{true: "write made", false: "write not made"}[made], func(t *testing.T) {
			cluster := newTestCluster(t)
			var count runCounter
			inst := cluster.addInstance("entry-1", nil)
			lost := make(map[string]bool)
			var mu sync.Mutex
			inst.store.loseResponse = func(r storer.PutRequest) (bool, bool) {
				mu.Lock()
				defer mu.Unlock()
				key := r.Key + string(r.Value)
				first := strings.HasPrefix(r.Key, "batch/") && !lost[key]
				lost[key] = true
				return first, made
			}
			inst.cfg.Runner = count.wrap(succeed)
			ctx, cancel := context.WithCancel(t.Context())
			done := inst.Start(ctx)
			inst.submit(t, 250)
			assert.Equal(t, inst.assertEnds(t, Completed).Counts.Done, 250)
			inst.assertResults(t, 250)
			assert.Equal(t, count.total(), 250)
			cancel()
			assert.NilError(t, <-done)
		})
	}
}

// Guards against a job that is refused although it was accepted, or accepted
// twice, when the response to the write of its manifest is lost.
func TestLostResponseOfManifest(t *testing.T) {
	for _, made := range []bool{true, false} {
		t.Run(map[bool]string{true: "write made", false: "write not made"}[made], func(t *testing.T) {
			cluster := newTestCluster(t)
			inst := cluster.addInstance("entry-1", nil)
			var losses atomic.Int64
			inst.store.loseResponse = func(r storer.PutRequest) (bool, bool) {
				return strings.HasPrefix(r.Key, jobPrefix) && losses.Add(1) == 1, made
			}
			manifest := inst.submit(t, 10)
			status, err := inst.Status(t.Context(), testJob.Workspace, testJob.Job)
			assert.NilError(t, err)
			assert.Equal(t, status.Submission, manifest.Submission)
		})
	}
}

// Guards against a refusal with outcome not-run when a write with a lost response
// may have created the job.
func TestUnresolvedManifestIsInDoubt(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", nil)
	inst.store.loseResponse = func(r storer.PutRequest) (bool, bool) {
		lost := strings.HasPrefix(r.Key, jobPrefix)
		if lost {
			inst.store.set(func(h *instanceStore) { h.down = true })
		}
		return lost, true
	}
	_, err := inst.Submit(t.Context(), submission(uploadLines(10)))
	assertRefused(t, err, refuser.InDoubt, refuser.Unknown)

	other := cluster.addInstance("entry-2", nil) // Submitting again resolves the outcome.
	manifest := other.submit(t, 10)
	assert.Equal(t, manifest.Items, 10)
}

// Guards against a job that runs twice after it was submitted again, and against
// accepting other items under the same name.
func TestResubmitThroughAnotherInstance(t *testing.T) {
	cluster := newTestCluster(t)
	var count runCounter
	first := cluster.addInstance("entry-1", count.wrap(succeed))
	second := cluster.addInstance("entry-2", count.wrap(succeed))
	manifest := first.submit(t, 150)
	spaced := strings.ReplaceAll(uploadLines(150), `","url"`, `" , "url"`)
	again, err := second.Submit(t.Context(), submission(spaced))
	assert.NilError(t, err)
	assert.Equal(t, again.Submission, manifest.Submission)
	assert.Equal(t, again.Due, manifest.Due)
	_, err = second.Submit(t.Context(), submission(uploadLines(151)))
	assertRefused(t, err, refuser.JobConflict, refuser.NotRun)
	second.assertEnds(t, Completed)
	second.submit(t, 150) // Also after the job has ended.
	assert.Equal(t, count.total(), 150)

	t.Run("at the same time", func(t *testing.T) {
		cluster := newTestCluster(t)
		submissions := make([]string, 8)
		var wg sync.WaitGroup
		for i := range submissions {
			inst := cluster.addInstance("entry", nil)
			wg.Go(func() { submissions[i] = inst.submit(t, 120).Submission })
		}
		wg.Wait()
		for _, s := range submissions {
			assert.Equal(t, s, submissions[0])
		}
	})
}

// Guards against items that run after a cancellation, and against losing results
// that were finished before.
func TestCancelWhileRunning(t *testing.T) {
	cluster := newTestCluster(t)
	var started atomic.Int64
	slow := func(ctx context.Context, item Item) (ItemResult, error) {
		if started.Add(1) <= 30 {
			return succeed(ctx, item)
		}
		<-ctx.Done()
		return ItemResult{}, ctx.Err()
	}
	first := cluster.addInstance("entry-1", slow)
	second := cluster.addInstance("entry-2", slow)
	first.submit(t, 1000)
	eventually(t, "both instances run items", func() bool {
		return started.Load() > 40 && first.activeChunks.Load() > 0 && second.activeChunks.Load() > 0
	})
	manifest, err := first.Cancel(t.Context(), testJob.Workspace, testJob.Job)
	assert.NilError(t, err)
	assert.Equal(t, manifest.State, Cancelled)

	manifest = second.assertEnds(t, Cancelled)
	eventually(t, "no chunk is active", func() bool { return first.activeChunks.Load()+second.activeChunks.Load() == 0 })
	runs := started.Load()
	assert.Equal(t, manifest.Counts, Counts{Done: 30, Cancelled: 970, Tokens: 30 * 7})
	assert.Equal(t, len(second.readResults(t)), 30)
	cluster.assertNoKeys(chunkPrefix, openPrefix, cancelPrefix)

	again, err := second.Cancel(t.Context(), testJob.Workspace, testJob.Job)
	assert.NilError(t, err)
	assert.Equal(t, again.EndedAt, manifest.EndedAt)
	assert.Equal(t, started.Load(), runs, "no item was started after the cancellation")
}

// Guards against a cancelled job that waits forever for a failed holder, and
// against a late commit by that holder.
func TestCancelWithLostHolder(t *testing.T) {
	cluster := newTestCluster(t)
	var running atomic.Int64
	gate := make(chan struct{})
	defer close(gate)
	first := cluster.addInstance("entry-1", func(context.Context, Item) (ItemResult, error) {
		running.Add(1)
		<-gate
		return ItemResult{StatusCode: 200}, nil
	})
	first.submit(t, 10)
	eventually(t, "items run", func() bool { return running.Load() > 0 })
	first.store.set(func(h *instanceStore) { h.down = true })
	second := cluster.addInstance("entry-2", succeed)
	_, err := second.Cancel(t.Context(), testJob.Workspace, testJob.Job)
	assert.NilError(t, err)
	assert.Equal(t, second.assertEnds(t, Cancelled).Counts.Cancelled, 10)
	assert.Equal(t, len(second.readResults(t)), 0)
}

// Guards against claims that remain after a graceful stop until their lease
// expires, and against losing partial results of an active chunk.
func TestStopReleasesClaims(t *testing.T) {
	cluster := newTestCluster(t)
	var count runCounter
	first := cluster.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
		if strings.HasSuffix(item.CustomID, "7") {
			<-ctx.Done()
			return ItemResult{}, ctx.Err()
		}
		return succeed(ctx, item)
	}))
	first.submit(t, 100)
	eventually(t, "all items were started", func() bool { return count.total() == 100 })
	first.stop()
	cluster.assertNoKeys(holderPrefix)
	entries, err := first.records.chunks(t.Context(), testJob)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Record.State, ChunkReleased)
	assert.Equal(t, entries[0].Record.Results.Counts.Done, 90)

	second := cluster.addInstance("entry-2", count.wrap(succeed))
	assert.Equal(t, second.assertEnds(t, Completed).Counts.Done, 100)
	second.assertResults(t, 100)
	assert.Equal(t, count.total(), 110, "only the ten unfinished items ran again")
}

// Guards against a call rate that grows with the number of jobs while the platform
// is unavailable.
func TestOutageDoesNotSpin(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", succeed)
	failedCalls := func() (n int) {
		inst.store.set(func(h *instanceStore) { n = h.failedCalls })
		return n
	}
	inst.store.set(func(h *instanceStore) { h.down = true })
	begun := time.Now()
	for _, name := range strings.Fields("a b c d e f g h i j k l m n o p q r s t u v w x y z") {
		inst.AddOpenJob(OpenJob{Workspace: "w", Job: name, Lane: "model/lm-desk", Due: time.Now(), Items: 100})
	}
	eventually(t, "several calls have failed", func() bool { return failedCalls() > 10 })
	calls := failedCalls()
	bound := 5 + 2*int(time.Since(begun)/inst.cfg.PollPeriod) // Calls of the finder, the holder and runChunks.
	assert.Assert(t, calls <= bound, "%d calls, at most %d expected", calls, bound)
	inst.store.set(func(h *instanceStore) { h.down = false })
	inst.submit(t, 100)
	inst.assertEnds(t, Completed)
}

// Guards against a write that the platform refuses and that is repeated until it counts as
// a lost answer, so that callers submit the job again for ever.
func TestRefusedRecords(t *testing.T) {
	for name, prefix := range map[string]string{"the entry": openKey(testJob), "the manifest": jobKey(testJob)} {
		t.Run(name, func(t *testing.T) {
			inst := newTestCluster(t).addInstance("entry-1", succeed)
			inst.store.set(func(s *instanceStore) { s.refuse = prefix })
			_, err := inst.Submit(t.Context(), submission(uploadLines(1)))
			assertRefused(t, err, refuser.BadRequest, refuser.NotRun)
			inst.store.set(func(s *instanceStore) { assert.Equal(t, s.refused, 1) })
		})
	}
}
