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
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := retrier.New(retrier.Config{Clock: clock})
	return New(Config{Store: store, Applier: r, Clock: clock, Logger: logger}), r
}

// Guards against a quarantined request that runs through an entry that started
// later.
func TestLaterEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock)
	first, _ := newTestQuarantiner(store, clock)
	second, secondRetrier := newTestQuarantiner(store, clock)

	t.Run("one crash is not recorded", func(t *testing.T) {
		first.Observe(retrier.Notice{Digest: "d", Crashes: 1})
		assert.Equal(t, len(first.queue), 0)
	})
	t.Run("a quarantine is recorded and applied by the other entry", func(t *testing.T) {
		first.Observe(retrier.Notice{Digest: "d", Crashes: retrier.CrashesToQuarantine})
		first.pending = append(first.pending, <-first.queue)
		first.recordPending(t.Context())
		second.applyRecorded(t.Context())
		assert.Assert(t, secondRetrier.Suspicion("d").Quarantined)
		assert.Assert(t, !secondRetrier.Suspicion("other").Quarantined)
	})
	t.Run("the quarantine expires", func(t *testing.T) {
		clock.Advance(recordTTL + appliedTTL + time.Second)
		second.applyRecorded(t.Context())
		assert.Assert(t, !secondRetrier.Suspicion("d").Quarantined)
	})
}
