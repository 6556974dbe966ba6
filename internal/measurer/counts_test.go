package measurer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against taking the choice of which request is refused for a loss, and
// against one workspace's excess hiding another one's loss.
func TestShortfall(t *testing.T) {
	r := newRefusals([]WorkspaceResult{
		{AskedInside: 10, RefusedInside: 3, Answered: 10},
		{AskedInside: 10, RefusedInside: 2, Answered: 8},
		{AskedInside: 10, Answered: 14},
	})
	assert.Equal(t, r.RefusedInside, 5)
	assert.Equal(t, r.Shortfall, 2)
}

// Guards against counting refused tries as work done, and against a counter
// that an entry which started again has lowered.
func TestBatchCounts(t *testing.T) {
	var counts batchCounts
	counts.add(strings.NewReader(`# HELP dispatcher_batch_items_total Tries of batch items by their end
dispatcher_batch_items_total{code="no-room",route="desk"} 900
dispatcher_batch_items_total{code="ok",route="desk"} 120
dispatcher_batch_yields_total 7
`))
	assert.Equal(t, counts, batchCounts{ran: 120, yielded: 7})
	assert.Equal(t, counts.since(batchCounts{ran: 20, yielded: 9}), batchCounts{ran: 100})
}
