package jobkeeper

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// testRetention is longer than two scans of the records, and much shorter than the time
// after which items expire.
const testRetention = 3 * time.Second

// startRetaining starts a keeper with testRetention that knows the members.
func startRetaining(t *testing.T) (*testCluster, *Keeper) {
	t.Helper()
	c := newTestCluster()
	c.retention = testRetention
	k := c.startKeeper(t, "k1")
	k.SetMembers(enroller.Membership{})
	return c, k
}

// oldManifest returns a job that was submitted long before its retention began.
func oldManifest(items ...string) Manifest {
	m := manifest(items...)
	m.SubmittedAt = time.Now().Add(-3 * testRetention)
	return m
}

// awaitWholeScan waits until a keeper has scanned all records, from now on.
func awaitWholeScan(t *testing.T, k *Keeper) {
	t.Helper()
	for range 2 { // The next scan begins when the one before has ended.
		at := time.Now()
		k.requestSweep()
		awaitScanAfter(t, k, at)
	}
}

// isStored reports whether the store has a record of the job.
func isStored(t *testing.T, k *Keeper) bool {
	t.Helper()
	_, _, err := k.readRecord(t.Context(), jobID)
	if err != nil {
		assert.ErrorIs(t, err, storer.ErrNotFound)
	}
	return err == nil
}

// awaitRemoval waits until the record of the job, and all else of it, is gone.
func awaitRemoval(t *testing.T, c *testCluster, k *Keeper) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		k.requestSweep()
		if _, owned := k.owned(jobID); owned || isStored(t, k) {
			return poll.Continue("the job is still there")
		}
		return poll.Success()
	}, poll.WithTimeout(3*testRetention), poll.WithDelay(100*time.Millisecond))
	for _, prefix := range []string{"batch/", "end/"} {
		listing, err := c.store.List(t.Context(), prefix)
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Entries), 0, "%v", listing.Entries)
	}
}

// TestRetention guards against open jobs that are removed because they are old (site
// lh-order-desk, review/8), and against jobs that need no more work and stay for ever.
func TestRetention(t *testing.T) {
	t.Run("an open job is kept", func(t *testing.T) {
		c := newTestCluster()
		c.retention = testRetention
		hold := make(chan struct{})
		c.client.hold = hold
		k := c.startKeeper(t, "k1")
		k.SetMembers(enroller.Membership{})
		submit(t, k, oldManifest("i1"))
		awaitWholeScan(t, k)
		assert.Equal(t, read(t, k).Total, 1)
		assert.Assert(t, isStored(t, k), "an open job was removed")
		close(hold)
		assertResults(t, awaitResults(t, k, 1), StateCompleted, fullText)
	})
	t.Run("an old job is kept when it is done, and then removed", func(t *testing.T) {
		c, k := startRetaining(t)
		submit(t, k, oldManifest("i1"))
		awaitResults(t, k, 1)
		awaitWholeScan(t, k)
		assert.Equal(t, len(read(t, k).Results), 1)
		awaitRemoval(t, c, k)
	})
	t.Run("an old job is kept when its caller ends it, and then removed", func(t *testing.T) {
		c, k := startRetaining(t)
		c.client.hold = make(chan struct{})
		submit(t, k, oldManifest("i1"))
		assert.Assert(t, k.End(t.Context(), workspace, jobID) == nil)
		assert.Assert(t, k.End(t.Context(), workspace, jobID) == nil)
		awaitWholeScan(t, k)
		assert.Equal(t, read(t, k).Total, 1)
		awaitRemoval(t, c, k)
	})
	t.Run("a job that was ended or done at an earlier build is removed", func(t *testing.T) {
		c, k := startRetaining(t)
		c.storeJob(t, oldManifest("i1"))
		c.put(t, "end/"+jobID, []byte(workspace))
		k.markEnded(jobID)
		awaitRemoval(t, c, k)
		c.storeJob(t, oldManifest("i1"), Result{Item: "i1", State: StateCompleted})
		record, _, err := k.readRecord(t.Context(), jobID)
		assert.NilError(t, err)
		record.Done = true
		value, err := encoder.Marshal(record)
		assert.NilError(t, err)
		c.put(t, "batch/"+recordKey(jobID), value)
		awaitRemoval(t, c, k)
	})
	t.Run("a job without owner that cannot be used is removed", func(t *testing.T) {
		c, k := startRetaining(t)
		c.storeJob(t, manifest("i1"))
		c.put(t, "batch/"+manifestKey(jobID, 0), []byte{0xff})
		awaitWholeScan(t, k)
		assert.Assert(t, isStored(t, k), "removed before its retention had ended")
		awaitRemoval(t, c, k)
	})
	t.Run("a job that another instance removes leaves the memory of its owner", func(t *testing.T) {
		c, k := startRetaining(t)
		submit(t, k, manifest("i1"))
		awaitResults(t, k, 1)
		_, err := c.store.Commit(t.Context(), storer.Transaction{Remove: []string{"batch/" + recordKey(jobID)}})
		assert.NilError(t, err)
		awaitWholeScan(t, k)
		_, owned := k.owned(jobID)
		assert.Assert(t, !owned, "the owner still holds the job")
	})
}

// TestDropLostJobs guards against an owner that drops a job which was accepted after a
// listing of the records had begun.
func TestDropLostJobs(t *testing.T) {
	c := newTestCluster()
	c.client.hold = make(chan struct{})
	k := c.startKeeper(t, "k1")
	awaitScan(t, k)
	listing, err := c.store.List(t.Context(), "batch/run/")
	assert.NilError(t, err)
	submit(t, k, manifest("i1"))
	k.dropLostJobs(listing)
	_, owned := k.owned(jobID)
	assert.Assert(t, owned)
}

// TestRemovalOfChangedJob guards against results that are removed although the record of
// their job has changed since it was read.
func TestRemovalOfChangedJob(t *testing.T) {
	c := newTestCluster()
	c.storeJob(t, manifest("i1"))
	k := c.startKeeper(t, "k1")
	record, version, err := k.readRecord(t.Context(), jobID)
	assert.NilError(t, err)
	record.Segments = 2 * maxRemovals
	for n := range record.Segments {
		c.put(t, "batch/"+segmentKey(jobID, n), []byte{0x80})
	}
	assertSegments := func(t *testing.T, want int) {
		t.Helper()
		listing, err := c.store.List(t.Context(), "batch/"+segmentPrefix(jobID))
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Entries), want)
	}
	t.Run("a changed job stays whole", func(t *testing.T) {
		k.remove(t.Context(), jobID, record, version-1)
		assertSegments(t, record.Segments)
		assert.Assert(t, isStored(t, k))
	})
	t.Run("an unchanged one goes", func(t *testing.T) {
		k.remove(t.Context(), jobID, record, version)
		assertSegments(t, 0)
		assert.Assert(t, !isStored(t, k))
	})
}

// TestStrayEnds guards against ends that stay in the store for ever, since their job was
// removed while its caller ended it.
func TestStrayEnds(t *testing.T) {
	assertEnds := func(t *testing.T, c *testCluster, k *Keeper, want int) {
		t.Helper()
		ends, err := c.store.List(t.Context(), "end/")
		assert.NilError(t, err)
		k.ApplyEnds(ends.Entries)
		awaitWholeScan(t, k)
		ends, err = c.store.List(t.Context(), "end/")
		assert.NilError(t, err)
		assert.Equal(t, len(ends.Entries), want)
	}
	t.Run("the job is gone", func(t *testing.T) {
		c, k := startRetaining(t)
		c.put(t, "end/"+jobID, []byte(workspace))
		assertEnds(t, c, k, 0)
	})
	t.Run("the job is there", func(t *testing.T) {
		c, k := startRetaining(t)
		c.client.hold = make(chan struct{})
		submit(t, k, manifest("i1"))
		assert.Assert(t, k.End(t.Context(), workspace, jobID) == nil)
		assertEnds(t, c, k, 1)
	})
}

// TestDepartedAreForgotten guards against a table of instances that grows with each one that
// is replaced.
func TestDepartedAreForgotten(t *testing.T) {
	k := newTestCluster().startKeeper(t, "k1")
	k.SetMembers(enroller.Membership{Peers: []enroller.Member{{ID: "m1"}}})
	k.SetMembers(enroller.Membership{})
	k.RecordWaiting("m1", nil)
	assertKnown := func(t *testing.T, want int) {
		t.Helper()
		k.mu.Lock()
		defer k.mu.Unlock()
		assert.Equal(t, len(k.departed), want)
		assert.Equal(t, len(k.peersWaiting), want)
	}
	t.Run("one that went recently is known", func(t *testing.T) {
		k.SetMembers(enroller.Membership{})
		assertKnown(t, 1)
	})
	t.Run("one that went long ago is not", func(t *testing.T) {
		k.mu.Lock()
		k.departed["m1"].at = time.Now().Add(-2 * departureRetention)
		k.peersWaiting["m1"] = peerWaiting{reportedAt: time.Now().Add(-2 * departureRetention)}
		k.mu.Unlock()
		k.SetMembers(enroller.Membership{})
		assertKnown(t, 0)
	})
}

// TestRecordOfEarlierBuild guards against records and ends that builds with other fields
// cannot read from each other.
func TestRecordOfEarlierBuild(t *testing.T) {
	type earlierRecord struct {
		Owner       string    `cbor:"owner"`
		SubmittedAt time.Time `cbor:"submitted-at"`
		Done        bool      `cbor:"done"`
		Parts       int       `cbor:"parts"`
	}
	at := time.Now().UTC().Round(0)
	t.Run("an earlier build reads a record", func(t *testing.T) {
		want := earlierRecord{Owner: "k1", SubmittedAt: at, Done: true, Parts: 2}
		assertDecodes(t, Record{Owner: "k1", SubmittedAt: at, Done: true, Parts: 2, DoneAt: at}, want)
	})
	t.Run("a record of an earlier build is read", func(t *testing.T) {
		want := Record{Owner: "k1", SubmittedAt: at, Done: true, Parts: 2}
		assertDecodes(t, earlierRecord{Owner: "k1", SubmittedAt: at, Done: true, Parts: 2}, want)
	})
	t.Run("an end of an earlier build is no End", func(t *testing.T) {
		c, k := startRetaining(t)
		c.put(t, "end/"+jobID, []byte(workspace))
		version, err := k.readEnd(t.Context(), jobID)
		assert.NilError(t, err)
		assert.Assert(t, version > 0 && k.hasEnded(jobID))
	})
}

// assertDecodes checks what another build reads of a value. want is a struct.
func assertDecodes(t *testing.T, written, want any) {
	t.Helper()
	data, err := encoder.Marshal(written)
	assert.NilError(t, err)
	got := reflect.New(reflect.TypeOf(want))
	assert.NilError(t, encoder.Unmarshal(data, got.Interface()))
	assert.DeepEqual(t, got.Elem().Interface(), want)
}
