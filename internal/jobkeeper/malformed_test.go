package jobkeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
)

// TestMalformedAnswers guards against one job that takes sound servers from all others,
// because each server seems faulty that answers one of its items.
func TestMalformedAnswers(t *testing.T) {
	// answer has an endless answer of a server to an item.
	answer := func(k *Keeper, unfinished *task, server string) (outcome, balancer.Outcome) {
		return k.readEvents(unfinished, balancer.Backend{ID: server}, &endlessStream{data: "x"})
	}
	start := func(t *testing.T) (*Keeper, map[string]*task) {
		t.Helper()
		k, j := startHeldJob(t, newTestCluster())
		return k, j.unfinished
	}
	t.Run("a server that answers several items so is faulty", func(t *testing.T) {
		k, items := start(t)
		for _, unfinished := range items {
			_, placement := answer(k, unfinished, "a")
			assert.Equal(t, placement, balancer.OutcomeLost)
		}
	})
	t.Run("servers that answer one item so are not", func(t *testing.T) {
		k, items := start(t)
		_, _ = answer(k, items["i1"], "a")
		for _, server := range []string{"b", "c", "a"} {
			_, placement := answer(k, items["i1"], server)
			assert.Equal(t, placement, balancer.OutcomeCancelled, server)
		}
	})
	t.Run("servers that answer all items of a job so are not", func(t *testing.T) {
		k, items := start(t)
		_, _ = answer(k, items["i1"], "a")
		_, _ = answer(k, items["i1"], "b")
		_, placement := answer(k, items["i2"], "c")
		assert.Equal(t, placement, balancer.OutcomeCancelled)
	})
	t.Run("the runs of the item become rarer", func(t *testing.T) {
		k, items := start(t)
		var delays []time.Duration
		for range 6 {
			o, _ := answer(k, items["i1"], "a")
			delays = append(delays, o.retryDelay)
		}
		const second = time.Second
		assert.DeepEqual(t, delays, []time.Duration{second / 2, second, 2 * second, 4 * second, 8 * second, 8 * second})
	})
}
