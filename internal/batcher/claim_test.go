package batcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/archiver"
	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

// assertStaleClaimFails claims a chunk with a listing that was made before the change, and
// checks that nothing is run and no record stays.
func assertStaleClaimFails(t *testing.T, change func(m *testInstance)) {
	t.Helper()
	f := newTestCluster(t)
	m := f.addInstance("entry-1", nil)
	assert.NilError(t, m.holder.renewLease(t.Context()))
	m.submit(t, 200)
	j, ok := m.jobs.get(testJob)
	assert.Assert(t, ok)
	assert.NilError(t, m.inspect(t.Context(), j))
	change(m)
	_, cancel := context.WithCancelCause(t.Context())
	_, err := m.claimNext(t.Context(), scheduler.Job{Key: testJob, Lane: "model/lm-desk"}, cancel)
	assert.ErrorIs(t, err, errNoChunk)
	f.assertNoKeys(chunkPrefix)
	assert.Assert(t, j.idle())
}

// Guards against items that are dispatched after their job has ended, by an
// instance that does not know it yet.
func TestClaimAfterJobEnded(t *testing.T) {
	t.Run("cancelled", func(t *testing.T) {
		assertStaleClaimFails(t, func(m *testInstance) {
			manifest, version, err := m.records.manifest(t.Context(), testJob)
			assert.NilError(t, err)
			manifest.State = Cancelled
			assert.NilError(t, m.records.updateManifest(t.Context(), manifest, version))
		})
	})
	t.Run("removed", func(t *testing.T) {
		assertStaleClaimFails(t, func(m *testInstance) { assert.NilError(t, m.records.deleteAnyVersion(t.Context(), jobKey(testJob))) })
	})
	t.Run("submitted anew", func(t *testing.T) {
		assertStaleClaimFails(t, func(m *testInstance) {
			assert.NilError(t, m.records.deleteAnyVersion(t.Context(), jobKey(testJob)))
			m.submit(t, 200)
		})
	})
}

// Guards against index entries of failed submissions that stay for ever, and
// against the removal of the entry of a job that is being submitted again.
func TestOrphanedIndexEntry(t *testing.T) {
	f := newTestCluster(t)
	m := f.addInstance("entry-1", nil)
	orphan := OpenJob{Workspace: testJob.Workspace, Job: testJob.Job, Lane: "model/lm-desk", AcceptedAt: time.Now().Add(-2 * orphanAge)}
	assertSurveyed := func(left bool) {
		t.Helper()
		j, _ := m.jobs.add(orphan, time.Now())
		assert.ErrorIs(t, m.inspect(t.Context(), j), errNoChunk)
		_, err := m.store.Get(t.Context(), openKey(testJob))
		assert.Equal(t, err == nil, left)
	}
	put := func(open OpenJob) {
		t.Helper()
		assert.NilError(t, m.records.overwrite(t.Context(), openKey(testJob), encode(open)))
	}
	put(orphan)
	assertSurveyed(false)
	put(orphan)
	again := orphan
	again.AcceptedAt = time.Now()
	put(again) // Before its manifest is written.
	assertSurveyed(true)
	put(orphan)
	manifest := m.submit(t, 1)
	entry, err := m.store.Get(t.Context(), openKey(testJob))
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), string(encode(manifest.open())))
}

// Guards against a takeover from a holder that could not renew its lease only
// because the platform was away.
func TestTakeoverGrace(t *testing.T) {
	f := newTestCluster(t)
	m := f.addInstance("entry-1", nil)
	m.holderMonitor.grace = time.Hour
	for range 2 {
		lapsed, err := m.holderMonitor.lapsed(t.Context(), "gone")
		assert.NilError(t, err)
		assert.Assert(t, !lapsed)
	}
	assert.Assert(t, m.holderMonitor.isMissing("gone"))
	m.holderMonitor.grace = time.Nanosecond
	lapsed, err := m.holderMonitor.lapsed(t.Context(), "gone")
	assert.NilError(t, err)
	assert.Assert(t, lapsed)
	m.holderMonitor.reset()
	assert.Assert(t, !m.holderMonitor.isMissing("gone"))
}

// Guards against a repair that breaks the epoch of a claim, or that misses
// results that are not in the manifest yet.
func TestMoveOfChunkRecords(t *testing.T) {
	f := newTestCluster(t)
	m := f.addInstance("entry-1", nil)
	manifest := m.submit(t, 300)
	versions := make([]int64, 3)
	var moves []archiver.Placement
	for i, state := range []ChunkState{ChunkDone, ChunkReleased, ChunkClaimed} {
		record := ChunkRecord{State: state, Claim: newID(), Results: &Results{Claim: "claim", Parts: [][]string{{"a", "b"}}}}
		var err error
		versions[i], err = m.records.writeChunk(t.Context(), testJob, i, record, 0)
		assert.NilError(t, err)
		moves = append(moves, archiver.Placement{Name: manifest.resultName(i, "claim", 0), Replicas: []string{"a", "c"}})
	}
	assert.NilError(t, m.Move(t.Context(), manifest.group(), moves))
	entries, err := m.records.chunks(t.Context(), testJob)
	assert.NilError(t, err)
	for _, e := range entries {
		replicas := e.Record.Results.Parts[0]
		if e.Record.State == ChunkClaimed {
			assert.Equal(t, e.Version, versions[e.Chunk])
			assert.DeepEqual(t, replicas, []string{"a", "b"})
			continue
		}
		assert.DeepEqual(t, replicas, []string{"a", "c"})
	}
	assert.NilError(t, m.Move(t.Context(), "jobs/w/removed/x", moves))
}
