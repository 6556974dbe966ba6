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

// Guards against lost items, results out of order, and records that stay after
// the end of a job.
func TestJobRunsToItsEnd(t *testing.T) {
	for _, items := range []int{1, 100, 101, 250} {
		t.Run(fmt.Sprint(items), func(t *testing.T) {
			f := newTestCluster(t)
			m := f.addInstance("entry-1", succeed)
			m.submit(t, items)
			manifest := m.assertEnds(t, Completed)
			assert.Equal(t, manifest.Counts, Counts{Done: items, Tokens: int64(7 * items)})
			results := m.assertResults(t, items)
			assert.Equal(t, string(results[0].Body), `{"for":"item-0"}`)
			f.assertNoKeys(chunkPrefix, openPrefix, cancelPrefix)
		})
	}
}

// Guards against items and results that do not fit into one message, and against
// parts that are lost or out of order.
func TestLargeItems(t *testing.T) {
	large := `"` + strings.Repeat("x", maxResultBytes-2) + `"`
	for name, upload := range map[string]string{
		"items":   strings.ReplaceAll(uploadLines(10), `"lm-desk"`, large),
		"results": uploadLines(10),
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestCluster(t)
			m := f.addInstance("entry-1", func(context.Context, Item) (ItemResult, error) {
				return ItemResult{StatusCode: 200, Body: []byte(large)}, nil
			})
			_, err := m.Submit(t.Context(), submission(upload))
			assert.NilError(t, err)
			m.assertEnds(t, Completed)
			for _, line := range m.assertResults(t, 10) {
				assert.Equal(t, string(line.Body), large)
			}
			assert.Assert(t, len(f.archive.objects) > 2)
			for name, object := range f.archive.objects {
				assert.Assert(t, len(object) <= archiver.MaxObjectBytes, "%s has %d bytes", name, len(object))
			}
		})
	}
}

// Guards against a job of the largest size that does not fit into its records,
// and against platform calls that grow faster than the chunks.
func TestLargestJob(t *testing.T) {
	f := newTestCluster(t)
	f.recheck = 5 * time.Second // Longer than the deletion of the records, as in service.
	var count runCounter
	first := f.addInstance("entry-1", count.wrap(succeed))
	f.addInstance("entry-2", count.wrap(succeed))
	first.submit(t, MaxItems)
	first.assertEnds(t, Completed)
	first.assertResults(t, MaxItems)
	f.assertNoKeys(chunkPrefix, openPrefix)
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	chunks := MaxItems / chunkItems
	t.Logf("%d item runs, %.2f writes and %.2f reads per chunk", count.total(),
		float64(f.platform.writes)/float64(chunks), float64(f.platform.reads)/float64(chunks))
	assert.Assert(t, f.platform.writes < 4*chunks, "claim, commit and delete of each chunk, and some more: %d", f.platform.writes)
	assert.Assert(t, len(f.platform.entries[jobKey(testJob)].Value) < 1<<20)
}

// Guards against an item that holds up its job, and against tries that are not
// counted or counted where there was none.
func TestItemsThatAreNotDone(t *testing.T) {
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
			f := newTestCluster(t)
			var count runCounter
			m := f.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
				if item.CustomID == "item-1" {
					return c.result, c.err
				}
				return succeed(ctx, item)
			}))
			m.submit(t, 3)
			manifest := m.assertEnds(t, Completed)
			assert.Equal(t, manifest.Counts.Done, 2)
			assert.Equal(t, manifest.Counts.Failed, 1)
			results := m.assertResults(t, 3)
			assert.DeepEqual(t, results[1].Failure, &FailureLine{Reason: c.failure, Tries: c.runs})
			assert.Equal(t, count.of("item-1"), c.runs)
		})
	}
	t.Run("panic", func(t *testing.T) {
		f := newTestCluster(t)
		m := f.addInstance("entry-1", func(context.Context, Item) (ItemResult, error) { panic("boom") })
		m.submit(t, 1)
		assert.Equal(t, m.assertEnds(t, Completed).Counts.Failed, 1)
		assert.Equal(t, m.assertResults(t, 1)[0].Failure.Reason, "panic: boom")
	})
}

// Guards against refusals and yields that count as tries, and against a worker
// that spins while there is no room.
func TestNoCapacity(t *testing.T) {
	for _, refusal := range []error{
		ErrNoCapacity,
		fmt.Errorf("wrapped: %w", ErrYielded),
		&refuser.Refusal{Code: refuser.NoBackendServer, Outcome: refuser.NotRun},
	} {
		t.Run(refusal.Error(), func(t *testing.T) {
			f := newTestCluster(t)
			var room atomic.Bool
			var count runCounter
			m := f.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
				if !room.Load() {
					return ItemResult{}, refusal
				}
				return succeed(ctx, item)
			}))
			m.submit(t, 200)
			begun := time.Now()
			eventually(t, "items were refused several times", func() bool { return count.total() > 8 })
			// The pause is at least 20 ms after each refusal, for one item at a time.
			bound := int(time.Since(begun)/minProbeDelay) + 2
			assert.Assert(t, count.total() <= bound, "%d refused runs, at most %d expected", count.total(), bound)
			room.Store(true)
			assert.Equal(t, m.assertEnds(t, Completed).Counts.Done, 200)
			m.assertResults(t, 200)
		})
	}
}

// Guards against a chunk that is kept by an instance without room while another
// has room, and against the loss of the results that the first one has.
func TestStalledChunkIsReleased(t *testing.T) {
	f := newTestCluster(t)
	var count runCounter
	var done atomic.Int64
	first := f.addInstance("entry-1", count.wrap(func(ctx context.Context, item Item) (ItemResult, error) {
		if done.Add(1) > 40 {
			return ItemResult{}, ErrNoCapacity
		}
		return succeed(ctx, item)
	}))
	first.submit(t, 100)
	eventually(t, "the first instance ran out of room", func() bool { return done.Load() > 40 })
	second := f.addInstance("entry-2", succeed)
	assert.Equal(t, second.assertEnds(t, Completed).Counts.Done, 100)
	second.assertResults(t, 100)
}

// Guards against a job that is accepted in pieces, twice or with other content.
func TestSubmissionsAreRefused(t *testing.T) {
	f := newTestCluster(t)
	m := f.addInstance("entry-1", nil)
	good := uploadLines(1)
	cases := []struct {
		name   string
		change func(s *Submission)
		code   refuser.Code
	}{
		{"no items", func(s *Submission) { s.Upload = strings.NewReader("\n") }, refuser.BadRequest},
		{"bad line", func(s *Submission) { s.Upload = strings.NewReader(good + "x\n") }, refuser.BadRequest},
		{"key in an item", func(s *Submission) { s.Upload = strings.NewReader(strings.ReplaceAll(good, "item-0", "secret-key")) }, refuser.KeyInBody},
		{"route", func(s *Submission) {
			s.Upload = strings.NewReader(strings.ReplaceAll(good, "/v1/chat/completions", "/services/order"))
		}, refuser.RouteNotBatchable},
		{"job name", func(s *Submission) { s.Job = "../x" }, refuser.BadRequest},
		{"no time", func(s *Submission) { s.DueIn = 0 }, refuser.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := submission(good)
			c.change(&s)
			_, err := m.Submit(t.Context(), s)
			assertRefused(t, err, c.code, refuser.NotRun)
		})
	}
	t.Run("no disks", func(t *testing.T) {
		f.archive.ready = errors.New("one of two")
		defer func() { f.archive.ready = nil }()
		_, err := m.Submit(t.Context(), submission(good))
		assertRefused(t, err, refuser.StorageUnavailable, refuser.NotRun)
	})
	t.Run("no platform", func(t *testing.T) {
		m.store.set(func(h *instanceStore) { h.down = true })
		defer m.store.set(func(h *instanceStore) { h.down = false })
		_, err := m.Submit(t.Context(), submission(good))
		assertRefused(t, err, refuser.PlatformUnavailable, refuser.NotRun)
	})
	f.assertNoKeys(jobPrefix)
	_, err := m.Status(t.Context(), testJob.Workspace, testJob.Job)
	assertRefused(t, err, refuser.JobNotFound, refuser.NotRun)
}

// Guards against objects and records that stay after the retention time.
func TestExpiry(t *testing.T) {
	f := newTestCluster(t)
	m := f.addInstance("entry-1", succeed)
	group := m.submit(t, 150).group()
	inventory, err := m.Inventory(t.Context(), group)
	assert.NilError(t, err)
	assert.Assert(t, inventory.Known)
	m.assertEnds(t, Completed)
	f.assertNoKeys(openPrefix)

	inventory, err = m.Inventory(t.Context(), group)
	assert.NilError(t, err)
	assert.Assert(t, inventory.Known && inventory.Final)
	assert.Equal(t, len(inventory.Objects), 2, "the results of two chunks")

	m.cfg.Retention = time.Nanosecond
	inventory, err = m.Inventory(t.Context(), group)
	assert.NilError(t, err)
	assert.Assert(t, !inventory.Known)
	f.assertNoKeys(jobPrefix)
}
