package runner

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

func newTestKeeper(store Store, clock clockwork.Clock) *quarantineKeeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := newQuarantineKeeper(store, clock, log)
	k.retrier = retrier.New(retrier.Config{Clock: clock, Announcer: k})
	return k
}

func assertQuarantined(t *testing.T, k *quarantineKeeper, digest string, wanted bool) {
	t.Helper()
	assert.NilError(t, k.load(t.Context()))
	assert.Equal(t, k.retrier.Suspicion(digest).Quarantined, wanted)
}

func TestQuarantineKeeper(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock)
	k := newTestKeeper(store, clock)

	// Guards against a single death that quarantines a request everywhere.
	t.Run("a suspect is not recorded", func(t *testing.T) {
		k.retrier.RecordDeath("digest", "engine-1")
		assert.NilError(t, k.record(t.Context(), <-k.queue))
		assertQuarantined(t, newTestKeeper(store, clock), "digest", false)
	})
	// Guards against an entry that starts later and runs the request again.
	t.Run("a quarantine is known to an entry that starts later", func(t *testing.T) {
		k.retrier.RecordDeath("digest", "engine-2")
		assert.NilError(t, k.record(t.Context(), <-k.queue))
		assert.NilError(t, k.record(t.Context(), "digest"), "the record is there already")
		assertQuarantined(t, newTestKeeper(store, clock), "digest", true)
	})
	// Guards against a quarantine that never ends.
	t.Run("a quarantine ends", func(t *testing.T) {
		clock.Advance(time.Hour)
		assertQuarantined(t, newTestKeeper(store, clock), "digest", false)
	})
}
