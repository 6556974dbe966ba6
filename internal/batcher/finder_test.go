package batcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// openJobs adds n jobs to the index and returns the size of the largest entry.
func openJobs(t *testing.T, cluster *testCluster, n int) (largest int) {
	t.Helper()
	for i := range n {
		k := scheduler.Key{Workspace: fmt.Sprintf("workspace-%d", i%250), Job: fmt.Sprintf("confirmations-%d", i)}
		value := encode(OpenJob{Lane: "model/lm-desk", AcceptedAt: time.Now().UTC(), Due: time.Now().UTC(), Items: 110_000})
		cluster.platform.entries[openKey(k)] = storer.Entry{Key: openKey(k), Value: value, Version: int64(i + 1)}
		largest = max(largest, len(openKey(k))+len(value))
	}
	return largest
}

// Guards against listings that grow with the number of open jobs, jobs that are
// never found, and jobs that are not forgotten after they have ended.
func TestFinder(t *testing.T) {
	for _, jobs := range []int{0, 3, 300, 5000, 34_000} {
		t.Run(fmt.Sprint(jobs), func(t *testing.T) {
			cluster := newTestCluster(t)
			inst := cluster.addInstance("entry-1", nil)
			bytes := openJobs(t, cluster, jobs)
			rounds := 0
			for ; inst.scheduler.Jobs() < jobs; rounds++ {
				assert.Assert(t, rounds < 600, "%d jobs known", inst.scheduler.Jobs())
				assert.NilError(t, inst.finder.round(t.Context()))
				entries, err := inst.store.List(t.Context(), inst.finder.prefix())
				assert.NilError(t, err)
				assert.Assert(t, rounds < 2 || len(entries) <= 2*maxListed, "%d entries", len(entries))
			}
			t.Logf("all jobs known after %d rounds, with a prefix of %d digits; the largest entry has %d bytes", rounds, inst.finder.prefixDigits, bytes)
			clear(cluster.platform.entries)
			for range 600 {
				assert.NilError(t, inst.finder.round(t.Context()))
			}
			assert.Equal(t, inst.scheduler.Jobs(), 0)
			assert.Equal(t, len(inst.jobs.withPrefix(openPrefix)), 0)
		})
	}
}
