package batcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/archiver"
	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

// assertStaleClaimFails claims a chunk with a listing made before the change, and
// checks that nothing runs and no record remains.
func assertStaleClaimFails(t *testing.T, change func(inst *testInstance)) {
	t.Helper()
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", nil)
	assert.NilError(t, inst.holder.renewLease(t.Context()))
	inst.submit(t, 200)
	j, ok := inst.jobs.get(testJob)
	assert.Assert(t, ok)
	assert.NilError(t, inst.inspect(t.Context(), j))
	change(inst)
	_, cancel := context.WithCancelCause(t.Context())
	_, err := inst.claimNext(t.Context(), scheduler.Job{Key: testJob, Lane: "model/lm-desk"}, cancel)
	assert.ErrorIs(t, err, errNoChunk)
	cluster.assertNoKeys(chunkPrefix)
	assert.Assert(t, j.idle())
}

// Guards against an instance that dispatches items of a job because it does not
// know yet that the job has ended.
func TestClaimAfterJobEnded(t *testing.T) {
	t.Run("cancelled", func(t *testing.T) {
		assertStaleClaimFails(t, func(inst *testInstance) {
			manifest, version, err := inst.records.manifest(t.Context(), testJob)
			assert.NilError(t, err)
			manifest.State = Cancelled
			assert.NilError(t, inst.records.updateManifest(t.Context(), manifest, version))
		})
	})
	t.Run("removed", func(t *testing.T) {
		assertStaleClaimFails(t, func(inst *testInstance) {
			assert.NilError(t, inst.records.deleteAnyVersion(t.Context(), jobKey(testJob)))
		})
	})
	t.Run("submitted again", func(t *testing.T) {
		assertStaleClaimFails(t, func(inst *testInstance) {
			assert.NilError(t, inst.records.deleteAnyVersion(t.Context(), jobKey(testJob)))
			inst.submit(t, 200)
		})
	})
}

// Guards against index entries of failed submissions that remain for ever, and
// against deleting the entry of a job that is being submitted again.
func TestOrphanedIndexEntry(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", nil)
	orphan := OpenJob{Workspace: testJob.Workspace, Job: testJob.Job, Lane: "model/lm-desk", AcceptedAt: time.Now().Add(-2 * orphanAge)}
	assertSurveyed := func(left bool) {
		t.Helper()
		j, _ := inst.jobs.add(orphan, time.Now())
		assert.ErrorIs(t, inst.inspect(t.Context(), j), errNoChunk)
		_, err := inst.store.Get(t.Context(), openKey(testJob))
		assert.Equal(t, err == nil, left)
	}
	put := func(open OpenJob) {
		t.Helper()
		assert.NilError(t, inst.records.overwrite(t.Context(), openKey(testJob), encode(open)))
	}
	put(orphan)
	assertSurveyed(false)
	put(orphan)
	again := orphan
	again.AcceptedAt = time.Now()
	put(again) // Before its manifest is written.
	assertSurveyed(true)
	put(orphan)
	manifest := inst.submit(t, 1)
	entry, err := inst.store.Get(t.Context(), openKey(testJob))
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), string(encode(manifest.open())))
}

// Guards against taking over claims of a holder that could not renew its lease
// only because the platform was unavailable.
func TestTakeoverGrace(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", nil)
	inst.holderMonitor.grace = time.Hour
	for range 2 {
		expired, err := inst.holderMonitor.leaseExpired(t.Context(), "gone")
		assert.NilError(t, err)
		assert.Assert(t, !expired)
	}
	assert.Assert(t, inst.holderMonitor.isMissing("gone"))
	inst.holderMonitor.grace = time.Nanosecond
	expired, err := inst.holderMonitor.leaseExpired(t.Context(), "gone")
	assert.NilError(t, err)
	assert.Assert(t, expired)
	inst.holderMonitor.reset()
	assert.Assert(t, !inst.holderMonitor.isMissing("gone"))
}

// Guards against a repair that changes the version of a claimed chunk's record, or
// that misses results not yet in the manifest.
func TestMoveOfChunkRecords(t *testing.T) {
	cluster := newTestCluster(t)
	inst := cluster.addInstance("entry-1", nil)
	manifest := inst.submit(t, 300)
	versions := make([]int64, 3)
	var moves []archiver.Placement
	for i, state := range []ChunkState{ChunkDone, ChunkReleased, ChunkClaimed} {
		record := ChunkRecord{State: state, Claim: newID(), Results: &Results{Claim: "claim", Parts: [][]string{{"a", "b"}}}}
		var err error
		versions[i], err = inst.records.writeChunk(t.Context(), testJob, i, record, 0)
		assert.NilError(t, err)
		moves = append(moves, archiver.Placement{Name: manifest.resultName(i, "claim", 0), Replicas: []string{"a", "c"}})
	}
	assert.NilError(t, inst.Move(t.Context(), manifest.group(), moves))
	entries, err := inst.records.chunks(t.Context(), testJob)
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
	assert.NilError(t, inst.Move(t.Context(), "jobs/w/removed/x", moves))
}
