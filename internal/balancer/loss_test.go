package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func (f *fixture) assertVerdict(t *testing.T, at time.Time, want LossVerdict) {
	t.Helper()
	assert.Equal(t, f.b.JudgeLoss("a", at), want)
}

// TestJudgeLoss guards against sound work that counts as crashing servers because
// faulty servers reset its connections (site lh-order-desk-large, day
// unreliable-servers with seed 334171549170), and against work that crashes server
// after server.
func TestJudgeLoss(t *testing.T) {
	lose := func(t *testing.T) (*fixture, time.Time) {
		f := newFixture("a")
		f.clock.Advance(time.Second)
		p := f.acquire(t, Batch)
		p.Release(OutcomeLost)
		at := f.clock.Now()
		f.clock.Advance(time.Millisecond)
		return f, at
	}
	t.Run("open at first", func(t *testing.T) {
		f, at := lose(t)
		f.assertVerdict(t, at, LossOpen)
	})
	t.Run("survived once the server has completed later work", func(t *testing.T) {
		f, at := lose(t)
		f.acquire(t, Online).Release(OutcomeDone)
		f.assertVerdict(t, at, LossSurvived)
	})
	t.Run("work that was cancelled proves nothing", func(t *testing.T) {
		f, at := lose(t)
		f.acquire(t, Online).Release(OutcomeCancelled)
		f.assertVerdict(t, at, LossOpen)
	})
	t.Run("work that began before the loss proves nothing", func(t *testing.T) {
		f := newFixture("a")
		earlier := f.acquire(t, Online)
		f.clock.Advance(time.Second)
		f.acquire(t, Batch).Release(OutcomeLost)
		at := f.clock.Now()
		earlier.Release(OutcomeDone)
		f.assertVerdict(t, at, LossOpen)
	})
	t.Run("survived once the server has stayed listed", func(t *testing.T) {
		f, at := lose(t)
		f.clock.Advance(lossObservation)
		f.assertVerdict(t, at, LossSurvived)
	})
	t.Run("fatal if the server is gone", func(t *testing.T) {
		f, at := lose(t)
		f.b.Install(nil)
		f.assertVerdict(t, at, LossFatal)
	})
	t.Run("fatal if the server has started again", func(t *testing.T) {
		f, at := lose(t)
		f.b.Install([]Backend{{ID: "a", Service: service, Address: "a:1", Slots: 4, StartedAt: 2}})
		f.acquire(t, Online).Release(OutcomeDone)
		f.assertVerdict(t, at, LossFatal)
	})
	// Guards against a verdict that takes as long as the platform takes to remove the
	// entry of a server, while the next server crashes under the same work.
	t.Run("fatal once two probes are refused", func(t *testing.T) {
		f, at := lose(t)
		f.probeRefused = true
		f.runDueProbes()
		f.assertVerdict(t, at, LossOpen)
		f.clock.Advance(probeRetryDelay)
		f.runDueProbes()
		f.assertVerdict(t, at, LossFatal)
		f.probeSucceeds = true
		f.clock.Advance(probeRetryDelay)
		f.runDueProbes()
		f.assertVerdict(t, at, LossFatal)
	})
	t.Run("one refused probe proves nothing", func(t *testing.T) {
		f, at := lose(t)
		f.probeRefused = true
		f.runDueProbes()
		f.clock.Advance(probeRetryDelay)
		f.probeSucceeds = true
		f.runDueProbes()
		f.assertVerdict(t, at, LossSurvived)
	})
	t.Run("probes without an answer prove nothing", func(t *testing.T) {
		f, at := lose(t)
		for range 3 {
			f.runDueProbes()
			f.clock.Advance(probeRetryDelay)
		}
		f.assertVerdict(t, at, LossOpen)
	})
	t.Run("survived once a probe reaches the server", func(t *testing.T) {
		f, at := lose(t)
		f.probeSucceeds = true
		f.runDueProbes()
		f.assertVerdict(t, at, LossSurvived)
	})
	t.Run("a later crash does not make an earlier loss fatal", func(t *testing.T) {
		f, at := lose(t)
		f.probeSucceeds = true
		f.runDueProbes()
		f.clock.Advance(crashNotice)
		f.probeSucceeds, f.probeRefused = false, true
		f.acquire(t, Online).Release(OutcomeLost)
		for range 2 {
			f.runDueProbes()
			f.clock.Advance(probeRetryDelay)
		}
		f.assertVerdict(t, at, LossSurvived)
	})
}
