package tester

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// toyDeployment starts two failure domains with an entry and an engine each.
func toyDeployment(t *testing.T, change func(*DeploymentConfig)) *Deployment {
	t.Helper()
	self, err := os.Executable()
	assert.NilError(t, err)
	cfg := DeploymentConfig{
		Binaries:    Binaries{Entry: self, Emulator: SharedBinaries(t).Emulator},
		Environment: []string{roleVariable + "=" + roleEntry},
	}
	for _, name := range []string{"a", "b"} {
		cfg.FailureDomains = append(cfg.FailureDomains, declarer.FailureDomain{Name: name, Region: "r"})
		cfg.Entries = append(cfg.Entries, EntryConfig{ID: "entry-" + name, FailureDomain: name})
		cfg.BackendServers = append(cfg.BackendServers, BackendServerConfig{BackendServer: declarer.BackendServer{
			Name: "engine-" + name, Kind: declarer.Engine, FailureDomain: name, Capacity: 1,
		}})
	}
	if change != nil {
		change(&cfg)
	}
	d := NewDeployment(t, cfg)
	assert.NilError(t, d.WaitReady(t.Context()))
	return d
}

// ask lets an entry do something and returns what went wrong.
func ask(d *Deployment, entry, path, target string) Condition {
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		url := fmt.Sprintf("http://%s/%s?target=%s", d.Entry(entry).Addresses().HTTP, path, target)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		status, body, err := call(req)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	}
}

func reaches(d *Deployment, entry, server string) Condition {
	return ask(d, entry, "call", d.BackendServer(server).Address)
}

func reachesPlatform(d *Deployment, entry string) Condition { return ask(d, entry, "call", "") }

func reachesPeer(d *Deployment, entry, peer string) Condition { return ask(d, entry, "ping", peer) }

// A way is a condition between two ends with its name.
type namedWay struct {
	name string
	open Condition
}

func allWays(d *Deployment) []namedWay {
	return []namedWay{
		{"entry-a to engine-a", reaches(d, "entry-a", "engine-a")},
		{"entry-a to engine-b", reaches(d, "entry-a", "engine-b")},
		{"entry-a to entry-b", reachesPeer(d, "entry-a", "entry-b")},
		{"entry-a to platform", reachesPlatform(d, "entry-a")},
		{"entry-b to engine-a", reaches(d, "entry-b", "engine-a")},
		{"entry-b to engine-b", reaches(d, "entry-b", "engine-b")},
		{"entry-b to entry-a", reachesPeer(d, "entry-b", "entry-a")},
		{"entry-b to platform", reachesPlatform(d, "entry-b")},
	}
}

// assertWays fails unless exactly the named ways are closed.
func assertWays(t *testing.T, d *Deployment, closed ...string) {
	t.Helper()
	isClosed := make(map[string]bool)
	for _, name := range closed {
		isClosed[name] = true
	}
	for _, w := range allWays(d) {
		if isClosed[w.name] {
			assert.Assert(t, w.open() != nil, "%s is open", w.name)
		} else {
			Eventually(t, testLimit, w.name, w.open)
		}
	}
}

// Guards against a partition that closes too much or too little, in
// particular for backend servers, which all entries know by one address.
func TestDeploymentPartitions(t *testing.T) {
	d := toyDeployment(t, nil)
	assertWays(t, d)
	between := []string{"entry-a to engine-b", "entry-a to entry-b", "entry-b to engine-a", "entry-b to entry-a"}

	t.Run("cut", func(t *testing.T) {
		assert.NilError(t, d.Cut("a", "b"))
		assertWays(t, d, between...)
		assert.NilError(t, d.Join("a", "b"))
		assertWays(t, d)
	})
	t.Run("platform of one failure domain", func(t *testing.T) {
		assert.NilError(t, d.CutPlatform("a"))
		assertWays(t, d, "entry-a to platform")
		assert.NilError(t, d.JoinPlatform("a"))
		assertWays(t, d)
	})
	t.Run("isolated", func(t *testing.T) {
		assert.NilError(t, d.Isolate("b"))
		assertWays(t, d, append(between, "entry-b to platform")...)
		assert.NilError(t, d.Heal())
		assertWays(t, d)
	})
	t.Run("unknown names", func(t *testing.T) {
		assert.ErrorContains(t, d.Cut("a", "z"), `no failure domain "z"`)
		assert.ErrorContains(t, d.Kill("entry-z"), `no process "entry-z"`)
	})
}

// Guards against an instance list that leads entries past the relays, and
// against faults of the platform that the harness cannot set or end.
func TestDeploymentPlatform(t *testing.T) {
	d := toyDeployment(t, nil)
	platform := storer.NewClient(storer.ClientConfig{Address: d.Entry("entry-a").PlatformRelay.Address})
	rows, err := platform.ListInstances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(rows), len(d.Entries)+len(d.BackendServers))
	for _, row := range rows {
		if row.ID == "entry-b" {
			assert.Equal(t, row.LinkAddress, d.Entry("entry-b").Settings.Seeds[1].Address)
		}
	}

	assert.NilError(t, d.Platform.SetFaults(t.Context(), platformemulator.Faults{Outage: platformemulator.OutageRefuse}))
	_, err = platform.ListInstances(t.Context())
	assert.Assert(t, errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUnknownEffect), "%v", err)
	assert.NilError(t, d.Platform.SetFaults(t.Context(), platformemulator.Faults{}))
	Eventually(t, testLimit, "an answer of the platform", func() error {
		_, err := platform.ListInstances(t.Context())
		return err
	})
}

// Guards against ends and restarts after which others cannot find a process,
// or after which a dead server seems to accept connections.
func TestDeploymentEndsAndRestarts(t *testing.T) {
	for _, direct := range []bool{false, true} {
		t.Run(fmt.Sprintf("direct %t", direct), func(t *testing.T) {
			d := toyDeployment(t, func(cfg *DeploymentConfig) { cfg.DirectBackendServers = direct })
			assertWays(t, d)
			for name, closed := range map[string][]string{
				"engine-b": {"entry-a to engine-b", "entry-b to engine-b"},
				"platform": {"entry-a to platform", "entry-b to platform"},
			} {
				assert.NilError(t, d.Kill(name))
				assertWays(t, d, closed...)
				assert.NilError(t, d.Restart(t.Context(), name))
				assertWays(t, d)
			}
			assert.NilError(t, d.Kill("engine-a"))
			assert.ErrorContains(t, reaches(d, "entry-b", "engine-a")(), "refused")
			assert.NilError(t, d.Restart(t.Context(), "entry-b"))
			assertWays(t, d, "entry-a to engine-a", "entry-b to engine-a")
		})
	}
}

// Guards against a frozen entry that answers, and against a lost failure
// domain that leaves processes behind.
func TestDeploymentFreezesAndLosesDomain(t *testing.T) {
	d := toyDeployment(t, nil)
	assert.NilError(t, d.Freeze("entry-a"))
	assert.Assert(t, reachesPeer(d, "entry-b", "entry-a")() != nil)
	assert.NilError(t, d.Continue("entry-a"))
	assertWays(t, d)

	assert.NilError(t, d.KillDomain("b"))
	for _, m := range d.FailureDomain("b").members() {
		assert.NilError(t, gone(m.Process().PID)())
	}
	assert.Assert(t, reachesPeer(d, "entry-a", "entry-b")() != nil)
	assert.NilError(t, d.RestartDomain(t.Context(), "b"))
	assertWays(t, d)

	d.Close()
	for _, m := range d.members() {
		assert.NilError(t, gone(m.Process().PID)())
	}
}
