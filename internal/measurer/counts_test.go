package measurer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a shortfall that counts refused requests although others were
// answered in their place, and against the excess of one workspace offsetting the
// shortfall of another.
func TestShortfall(t *testing.T) {
	r := newRefusals([]WorkspaceResult{
		{SentWithinRate: 10, RefusedWithinRate: 3, Answered: 10},
		{SentWithinRate: 10, RefusedWithinRate: 2, Answered: 8},
		{SentWithinRate: 10, Answered: 14},
	})
	assert.Equal(t, r.RefusedWithinRate, 5)
	assert.Equal(t, r.Shortfall, 2)
}

// Guards against counting refused attempts as successful, and against a negative
// increase after an entry restarted with its counters at zero.
func TestBatchCounts(t *testing.T) {
	var counts batchCounts
	counts.add(strings.NewReader(`# HELP dispatcher_batch_items_total Tries of batch items by their end
dispatcher_batch_items_total{code="no-room",route="desk"} 900
dispatcher_batch_items_total{code="ok",route="desk"} 120
dispatcher_batch_yields_total 7
`))
	assert.Equal(t, counts, batchCounts{succeeded: 120, yielded: 7})
	assert.Equal(t, counts.since(batchCounts{succeeded: 20, yielded: 9}), batchCounts{succeeded: 100})
}
