package batcher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/archiver"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Guards against lost items, results out of order, and records that remain after
// a job has ended.
func TestJobCompletes(t *testing.T) {
	for _, items := range []int{1, 100, 101, 250} {
		t.Run(fmt.Sprint(items), func(t *testing.T) {
			cluster := newTestCluster(t)
			inst := cluster.addInstance("entry-1", succeed)
			inst.submit(t, items)
			manifest := inst.assertEnds(t, Completed)
			assert.Equal(t, manifest.Counts, Counts{Done: items, Tokens: int64(7 * items)})
			results := inst.assertResults(t, items)
			assert.Equal(t, string(results[0].Body), `{"for":"item-0"}`)
			cluster.assertNoKeys(chunkPrefix, openPrefix, cancelPrefix)
		})
	}
}

// Guards against chunks and results that do not fit into one message, and against
// parts that are lost or out of order.
func TestLargeItems(t *testing.T) {
	large := `"` + strings.Repeat("x", maxResultBytes-2) + `"`
	for name, upload := range map[string]string{
		"items":   strings.ReplaceAll(uploadLines(10), `"lm-desk"`, large),
		"results": uploadLines(10),
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			inst := cluster.addInstance("entry-1", func(context.Context, Item) (ItemResult, error) {
				return ItemResult{StatusCode: 200, Body: []byte(large)}, nil
			})
			_, err := inst.Submit(t.Context(), submission(upload))
			assert.NilError(t, err)
			inst.assertEnds(t, Completed)
			for _, line := range inst.assertResults(t, 10) {
				assert.Equal(t, string(line.Body), large)
			}
			assert.Assert(t, len(cluster.archive.objects) > 2)
			for name, object := range cluster.archive.objects {
				assert.Assert(t, len(object) <= archiver.MaxObjectBytes, "%s has %d bytes", name, len(object))
			}
		})
	}
}

// Guards against a job of the largest size that does not fit into its records,
// and against platform calls that grow faster than the chunks.
func TestLargestJob(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.recheck = 5 * time.Second // Longer than deleting the records takes, as in production.
	var count runCounter
	first := cluster.addInstance("entry-1", count.wrap(succeed))
	cluster.addInstance("entry-2", count.wrap(succeed))
	first.submit(t, MaxItems)
	first.assertEnds(t, Completed)
	first.assertResults(t, MaxItems)
	cluster.assertNoKeys(chunkPrefix, openPrefix)
	cluster.platform.mu.Lock()
	defer cluster.platform.mu.Unlock()
	chunks := MaxItems / chunkItems
	t.Logf("%d item runs, %.2f writes and %.2f reads per chunk", count.total(),
		float64(cluster.platform.writes)/float64(chunks), float64(cluster.platform.reads)/float64(chunks))
	assert.Assert(t, cluster.platform.writes < 4*chunks, "more than a claim, a commit and a delete per chunk: %d", cluster.platform.writes)
	assert.Assert(t, len(cluster.platform.entries[jobKey(testJob)].Value) < 1<<20)
}

// Guards against a failing item that blocks its job, and against tries that are
// counted wrongly.
func TestFailedItems(t *testing.T) {
	cases := []struct {
		name    string
		result  ItemResult
		err     error
		runs    int
		failure string
	}{
		{"error", ItemResult{}, errors.New("connection reset"), maxTries, "connection reset"},
		{"server error", ItemResult{StatusCode: 500, Body: []byte("oops")}, nil, maxTries, "the backend server answered with status 500"},
		{"caller's error", ItemResult{StatusCode: 400, Body: []byte(`{}`)}, nil, 1, "the backend server answered with status 400"},
		{"large answer", ItemResult{StatusCode: 200, Body: make([]byte, maxResultBytes+1)}, nil, 1, "the answer of 262145 bytes is above 262144 bytes"},
		{"quarantine", ItemResult{}, &refuser.Refusal{Code: refuser.RequestQuarantined, Outcome: refuser.NotRun}, maxTries, "request-quarantined (not-run): "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(t)
			var count runCounter
			inst := cluster.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
				if item.CustomID == "item-1" {
					return c.result, c.err
				}
				return succeed(ctx, item)
			}))
			inst.submit(t, 3)
			manifest := inst.assertEnds(t, Completed)
			assert.Equal(t, manifest.Counts.Done, 2)
			assert.Equal(t, manifest.Counts.Failed, 1)
			results := inst.assertResults(t, 3)
			assert.DeepEqual(t, results[1].Failure, &FailureLine{Reason: c.failure, Tries: c.runs})
			assert.Equal(t, count.of("item-1"), c.runs)
		})
	}
	t.Run("panic", func(t *testing.T) {
		cluster := newTestCluster(t)
		inst := cluster.addInstance("entry-1", func(context.Context, Item) (ItemResult, error) { panic("boom") })
		inst.submit(t, 1)
		assert.Equal(t, inst.assertEnds(t, Completed).Counts.Failed, 1)
		assert.Equal(t, inst.assertResults(t, 1)[0].Failure.Reason, "panic: boom")
	})
}

// Guards against a sound item that is given up because several servers crashed while
// they ran it.
func TestServerCrashes(t *testing.T) {
	const crashes = 2 * maxTries
	cluster := newTestCluster(t)
	var count runCounter
	inst := cluster.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
		if count.of("item-0") <= crashes {
			return ItemResult{}, fmt.Errorf("wrapped: %w", ErrServerCrashed)
		}
		return succeed(ctx, item)
	}))
	inst.submit(t, 1)
	assert.Equal(t, inst.assertEnds(t, Completed).Counts.Done, 1)
	assert.Equal(t, count.of("item-0"), crashes+1)
}

// Guards against refusals and preemptions that count as tries, and against a busy
// loop while there is no capacity.
func TestNoCapacity(t *testing.T) {
	for _, refusal := range []error{
		ErrNoCapacity,
		fmt.Errorf("wrapped: %w", ErrPreempted),
		&refuser.Refusal{Code: refuser.NoBackendServer, Outcome: refuser.NotRun},
	} {
		t.Run(refusal.Error(), func(t *testing.T) {
			cluster := newTestCluster(t)
			var hasCapacity atomic.Bool
			var count runCounter
			inst := cluster.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
				if !hasCapacity.Load() {
					return ItemResult{}, refusal
				}
				return succeed(ctx, item)
			}))
			inst.submit(t, 200)
			begun := time.Now()
			eventually(t, "items were refused several times", func() bool { return count.total() > 8 })
			// One item at a time is tried, at least minProbeDelay after each refusal.
			bound := int(time.Since(begun)/minProbeDelay) + 2
			assert.Assert(t, count.total() <= bound, "%d refused runs, at most %d expected", count.total(), bound)
			hasCapacity.Store(true)
			assert.Equal(t, inst.assertEnds(t, Completed).Counts.Done, 200)
			inst.assertResults(t, 200)
		})
	}
}

// Guards against an instance without capacity that keeps a chunk while another has
// capacity, and against the loss of the results that the first instance has.
func TestStalledChunkIsReleased(t *testing.T) {
	cluster := newTestCluster(t)
	var count runCounter
	var done atomic.Int64
	first := cluster.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
		if done.Add(1) > 40 {
			return ItemResult{}, ErrNoCapacity
		}
		return succeed(ctx, item)
	}))
	first.submit(t, 100)
	eventually(t, "the first instance ran out of capacity", func() bool { return done.Load() > 40 })
	second := cluster.addInstance("entry-2", succeed)
	assert.Equal(t, second.assertEnds(t, Completed).Counts.Done, 100)
	second.assertResults(t, 100)
}

// Guards against an invalid job that is accepted in whole or in part, and against
// refusals with the wrong code or outcome.
func TestSubmissionsAreRefused(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", nil)
	good := uploadLines(1)
	cases := []struct {
		name   string
		change func(s *Submission)
		code   refuser.Code
	}{
		{"no items", func(s *Submission) { s.Upload = strings.NewReader("\n") }, refuser.BadRequest},
		{"invalid line", func(s *Submission) { s.Upload = strings.NewReader(good + "x\n") }, refuser.BadRequest},
		{"key in an item", func(s *Submission) { s.Upload = strings.NewReader(strings.ReplaceAll(good, "item-0", "secret-key")) }, refuser.KeyInBody},
		{"route not batchable", func(s *Submission) {
			s.Upload = strings.NewReader(strings.ReplaceAll(good, "/v1/chat/completions", "/services/order"))
		}, refuser.RouteNotBatchable},
		{"invalid job name", func(s *Submission) { s.Job = "../x" }, refuser.BadRequest},
		{"no due time", func(s *Submission) { s.DueIn = 0 }, refuser.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := submission(good)
			c.change(&s)
			_, err := inst.Submit(t.Context(), s)
			assertRefused(t, err, c.code, refuser.NotRun)
		})
	}
	t.Run("no disk instances", func(t *testing.T) {
		cluster.archive.ready = errors.New("one of two disk instances")
		defer func() { cluster.archive.ready = nil }()
		_, err := inst.Submit(t.Context(), submission(good))
		assertRefused(t, err, refuser.StorageUnavailable, refuser.NotRun)
	})
	t.Run("platform unavailable", func(t *testing.T) {
		inst.store.set(func(h *instanceStore) { h.down = true })
		defer inst.store.set(func(h *instanceStore) { h.down = false })
		_, err := inst.Submit(t.Context(), submission(good))
		assertRefused(t, err, refuser.PlatformUnavailable, refuser.NotRun)
	})
	cluster.assertNoKeys(jobPrefix)
	_, err := inst.Status(t.Context(), testJob.Workspace, testJob.Job)
	assertRefused(t, err, refuser.JobNotFound, refuser.NotRun)
}

// Guards against objects and records that remain after the retention time.
func TestExpiry(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", succeed)
	group := inst.submit(t, 150).group()
	inventory, err := inst.Inventory(t.Context(), group)
	assert.NilError(t, err)
	assert.Assert(t, inventory.Known)
	inst.assertEnds(t, Completed)
	cluster.assertNoKeys(openPrefix)

	inventory, err = inst.Inventory(t.Context(), group)
	assert.NilError(t, err)
	assert.Assert(t, inventory.Known && inventory.Final)
	assert.Equal(t, len(inventory.Objects), 2, "the results of two chunks")

	inst.cfg.Retention = time.Nanosecond
	inventory, err = inst.Inventory(t.Context(), group)
	assert.NilError(t, err)
	assert.Assert(t, !inventory.Known)
	cluster.assertNoKeys(jobPrefix)
}
