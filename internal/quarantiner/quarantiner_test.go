package quarantiner

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

func newTestQuarantiner(store Store, clock Clock) (*Quarantiner, *retrier.Retrier) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := retrier.New(retrier.Config{Clock: clock})
	return New(Config{Store: store, Learner: r, Clock: clock, Logger: log}), r
}

// Guards against a request that crashes servers again through an entry that
// started after its quarantine.
func TestLaterEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock)
	first, _ := newTestQuarantiner(store, clock)
	second, learned := newTestQuarantiner(store, clock)

	t.Run("one death is no quarantine", func(t *testing.T) {
		first.Observe(retrier.Notice{Digest: "d", Crashes: 1})
		assert.Equal(t, len(first.queue), 0)
	})
	t.Run("two deaths are", func(t *testing.T) {
		first.Observe(retrier.Notice{Digest: "d", Crashes: retrier.CrashesToQuarantine})
		first.pending = append(first.pending, <-first.queue)
		first.record(t.Context())
		second.learn(t.Context())
		assert.Assert(t, learned.Suspicion("d").Quarantined)
		assert.Assert(t, !learned.Suspicion("other").Quarantined)
	})
	t.Run("it ends", func(t *testing.T) {
		clock.Advance(term + learnTime + time.Second)
		second.learn(t.Context())
		assert.Assert(t, !learned.Suspicion("d").Quarantined)
	})
}
