package prover

import (
	"errors"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	poison        = "poison"
	resends       = 3 // Through each entry.
	neighbours    = 8
	deathsAllowed = 2
)

// Guards against a request that takes down one server after another because
// its caller, or the system, sends it again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	b := startBench(t, benchConfig{engines: 2, workspaces: ample})
	key := b.keys["packing"]
	engines := []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2"}
	for _, engine := range engines {
		b.fault(engine, engineemulator.Fault{CrashOn: poison, Exit: true})
	}
	l := &traffic{b: b}
	var wait conc.WaitGroup
	defer wait.Wait()
	for n := range neighbours {
		wait.Go(func() {
			l.run(n, func(marker string) request { return chat(key, marker, 60, false) })
		})
	}
	tester.Eventually(t, patience, "neighbours run", func() error {
		if l.made.Load() < neighbours {
			return errors.New("not yet")
		}
		return nil
	})
	a := b.mustCall("entry-a1", chat(key, poison, 5, true))
	assertRefused(t, a, "request-quarantined", "unknown")
	deaths := b.restartDead(engines)
	assert.Assert(t, deaths > 0 && deaths <= deathsAllowed, "%d servers died", deaths)

	t.Run("resends are refused at every entry", func(t *testing.T) {
		for range resends {
			for _, e := range b.Entries {
				assertRefused(t, b.mustCall(e.ID, chat(key, poison, 5, true)), "request-quarantined", "not-run")
			}
		}
		assert.Equal(t, b.restartDead(engines), 0, "a resend took down a server")
	})
	t.Run("neighbours end well", func(t *testing.T) {
		wait.Wait()
		for _, x := range l.exchanges {
			assert.NilError(t, x.err)
			assertOK(t, x.answer)
			assert.Equal(t, strings.Count(x.answer.body, x.marker+"-59 "), 1, "%s", x.answer.body)
		}
	})
	t.Run("an entry that starts anew knows the quarantine", func(t *testing.T) {
		assert.NilError(t, b.Restart(t.Context(), "entry-b1"))
		assert.NilError(t, b.Entry("entry-b1").WaitReady(t.Context()))
		b.awaitAdmission("entry-b1", "packing")
		assertRefused(t, b.mustCall("entry-b1", chat(key, poison, 5, true)), "request-quarantined", "not-run")
		assert.Equal(t, b.restartDead(engines), 0, "a resend took down a server")
	})
}

// restartDead starts dead servers again and counts them.
func (b *bench) restartDead(servers []string) (deaths int) {
	b.t.Helper()
	for _, server := range servers {
		if b.BackendServer(server).Process().Running() {
			continue
		}
		deaths++
		assert.NilError(b.t, b.Restart(b.t.Context(), server))
		b.fault(server, engineemulator.Fault{CrashOn: poison, Exit: true})
	}
	return deaths
}
