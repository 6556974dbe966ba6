package prover

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	poison            = "poison"
	resendsPerEntry   = 3
	concurrentCallers = 8
	maxCrashes        = 2
)

// Guards against a request that crashes one server after another because its
// caller or the system resends it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{engines: 2, workspaces: highRateWorkspaces})
	key := d.keys["packing"]
	engines := []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2"}
	for _, engine := range engines {
		d.setFault(engine, engineemulator.Fault{CrashOn: poison, Exit: true})
	}
	tr := &traffic{deployment: d}
	var wait conc.WaitGroup
	defer wait.Wait()
	for n := range concurrentCallers {
		wait.Go(func() {
			tr.run(n, func(marker string) request { return chat(key, marker, 60, false) })
		})
	}
	tester.Eventually(t, waitTimeout, "concurrent requests run", func() error {
		if tr.made.Load() < concurrentCallers {
			return errors.New("not yet")
		}
		return nil
	})
	a := d.mustCall("entry-a1", chat(key, poison, 5, true))
	assertRefused(t, a, "request-quarantined", "unknown")
	crashes := d.restartCrashed(engines)
	assert.Assert(t, crashes > 0 && crashes <= maxCrashes, "%d servers crashed", crashes)

	t.Run("resends are refused at every entry", func(t *testing.T) {
		for range resendsPerEntry {
			for _, e := range d.Entries {
				assertRefused(t, d.mustCall(e.ID, chat(key, poison, 5, true)), "request-quarantined", "not-run")
			}
		}
		assert.Equal(t, d.restartCrashed(engines), 0, "a resend crashed a server")
	})
	t.Run("concurrent requests succeed", func(t *testing.T) {
		wait.Wait()
		for _, x := range tr.exchanges {
			assert.NilError(t, x.err)
			assertOK(t, x.answer)
			assert.Equal(t, strings.Count(x.answer.body, x.marker+"-59 "), 1, "%s", x.answer.body)
		}
	})
	t.Run("a restarted entry knows the quarantine", func(t *testing.T) {
		assert.NilError(t, d.Restart(t.Context(), "entry-b1"))
		assert.NilError(t, d.Entry("entry-b1").WaitReady(t.Context()))
		d.awaitAdmission("entry-b1", "packing")
		assertRefused(t, d.mustCall("entry-b1", chat(key, poison, 5, true)), "request-quarantined", "not-run")
		assert.Equal(t, d.restartCrashed(engines), 0, "a resend crashed a server")
	})
}

// Guards against requests that share one message, no two alike, and crash server after
// server at whichever entry they come.
func TestCrashingPartIsQuarantined(t *testing.T) {
	const maxPartCrashes = 5
	d := startTestDeployment(t, testDeploymentConfig{engines: 2, workspaces: highRateWorkspaces})
	key := d.keys["packing"]
	engines := []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2"}
	for _, engine := range engines {
		d.setFault(engine, engineemulator.Fault{CrashOn: poison, Exit: true})
	}
	withSystem := func(system, marker string) request {
		r := chat(key, marker, 5, true)
		r.body = strings.Replace(r.body, `"messages":[`, fmt.Sprintf(`"messages":[{"role":"system","content":%q},`, system), 1)
		return r
	}
	crashes := 0
	var last answer
	for n := range 6 {
		last = d.mustCall(d.Entries[n%len(d.Entries)].ID, withSystem(poison, fmt.Sprintf("bad-%d", n)))
		time.Sleep(time.Second) // Reports to all entries.
		crashes += d.restartCrashed(engines)
		time.Sleep(time.Second) // Probes find the restarted servers.
	}
	assert.Assert(t, crashes > 0 && crashes <= maxPartCrashes, "%d servers crashed", crashes)
	assertRefused(t, last, "request-quarantined", "not-run")
	for _, e := range d.Entries {
		assertOK(t, d.mustCall(e.ID, withSystem("sound", "good-"+e.ID)))
	}
	t.Run("a restarted entry knows the quarantine", func(t *testing.T) {
		assert.NilError(t, d.Restart(t.Context(), "entry-b1"))
		assert.NilError(t, d.Entry("entry-b1").WaitReady(t.Context()))
		d.awaitAdmission("entry-b1", "packing")
		assertRefused(t, d.mustCall("entry-b1", withSystem(poison, "bad-again")), "request-quarantined", "not-run")
	})
}

// restartCrashed restarts crashed servers and counts them.
func (d *testDeployment) restartCrashed(servers []string) (crashes int) {
	d.t.Helper()
	for _, server := range servers {
		if d.BackendServer(server).Process().Running() {
			continue
		}
		crashes++
		assert.NilError(d.t, d.Restart(d.t.Context(), server))
		d.setFault(server, engineemulator.Fault{CrashOn: poison, Exit: true})
	}
	return crashes
}
