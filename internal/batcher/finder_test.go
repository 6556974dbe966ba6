package batcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// openJobs puts jobs into the index.
func openJobs(t *testing.T, f *testCluster, n int) (largest int) {
	t.Helper()
	for i := range n {
		k := scheduler.Key{Workspace: fmt.Sprintf("workspace-%d", i%250), Job: fmt.Sprintf("confirmations-%d", i)}
		value := encode(OpenJob{Lane: "model/lm-desk", AcceptedAt: time.Now().UTC(), Due: time.Now().UTC(), Items: 110_000})
		f.platform.entries[openKey(k)] = storer.Entry{Key: openKey(k), Value: value, Version: int64(i + 1)}
		largest = max(largest, len(openKey(k))+len(value))
	}
	return largest
}

// Guards against listings that grow with the number of open jobs, jobs that are
// never found, and jobs that stay known after their end.
func TestFinder(t *testing.T) {
	for _, jobs := range []int{0, 3, 300, 5000, 34_000} {
		t.Run(fmt.Sprint(jobs), func(t *testing.T) {
			f := newTestCluster(t)
			m := f.addInstance("entry-1", nil)
			bytes := openJobs(t, f, jobs)
			rounds := 0
			for ; m.scheduler.Jobs() < jobs; rounds++ {
				assert.Assert(t, rounds < 600, "%d jobs known", m.scheduler.Jobs())
				assert.NilError(t, m.finder.round(t.Context()))
				entries, err := m.store.List(t.Context(), m.finder.prefix())
				assert.NilError(t, err)
				assert.Assert(t, rounds < 2 || len(entries) <= 2*maxListed, "%d entries", len(entries))
			}
			t.Logf("all jobs known after %d rounds, in parts with %d digits; an entry has %d bytes", rounds, m.finder.prefixDigits, bytes)
			clear(f.platform.entries)
			for range 600 {
				assert.NilError(t, m.finder.round(t.Context()))
			}
			assert.Equal(t, m.scheduler.Jobs(), 0)
			assert.Equal(t, len(m.jobs.withPrefix(openPrefix)), 0)
		})
	}
}
