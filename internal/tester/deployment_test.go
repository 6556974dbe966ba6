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

// startFakeDeployment starts two failure domains, each with a fake entry and an
// emulated engine.
func startFakeDeployment(t *testing.T, change func(*DeploymentConfig)) *Deployment {
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

// callEntry makes a fake entry call its target and returns the error.
func callEntry(d *Deployment, entry, path, target string) Condition {
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	return callEntry(d, entry, "call", d.BackendServer(server).Address)
}

func reachesPlatform(d *Deployment, entry string) Condition { return callEntry(d, entry, "call", "") }

func reachesPeer(d *Deployment, entry, peer string) Condition {
	return callEntry(d, entry, "ping", peer)
}

// A namedRoute is a route of the deployment and the condition that it works.
type namedRoute struct {
	name      string
	reachable Condition
}

func allRoutes(d *Deployment) []namedRoute {
	return []namedRoute{
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

// assertReachableExcept checks that exactly the named routes do not work.
func assertReachableExcept(t *testing.T, d *Deployment, unreachable ...string) {
	t.Helper()
	isUnreachable := make(map[string]bool)
	for _, name := range unreachable {
		isUnreachable[name] = true
	}
	for _, route := range allRoutes(d) {
		if isUnreachable[route.name] {
			assert.Assert(t, route.reachable() != nil, "%s is reachable", route.name)
		} else {
			Eventually(t, testTimeout, route.name, route.reachable)
		}
	}
}

// Guards against a partition that blocks too much or too little, in
// particular for backend servers, which all entries reach at one address.
func TestDeploymentPartitions(t *testing.T) {
	d := startFakeDeployment(t, nil)
	assertReachableExcept(t, d)
	crossDomain := []string{"entry-a to engine-b", "entry-a to entry-b", "entry-b to engine-a", "entry-b to entry-a"}

	t.Run("partition", func(t *testing.T) {
		assert.NilError(t, d.Partition("a", "b"))
		assertReachableExcept(t, d, crossDomain...)
		assert.NilError(t, d.Reconnect("a", "b"))
		assertReachableExcept(t, d)
	})
	t.Run("platform of one failure domain", func(t *testing.T) {
		assert.NilError(t, d.DisconnectPlatform("a"))
		assertReachableExcept(t, d, "entry-a to platform")
		assert.NilError(t, d.ReconnectPlatform("a"))
		assertReachableExcept(t, d)
	})
	t.Run("isolated", func(t *testing.T) {
		assert.NilError(t, d.Isolate("b"))
		assertReachableExcept(t, d, append(crossDomain, "entry-b to platform")...)
		assert.NilError(t, d.Heal())
		assertReachableExcept(t, d)
	})
	t.Run("unknown names", func(t *testing.T) {
		assert.ErrorContains(t, d.Partition("a", "z"), `no failure domain "z"`)
		assert.ErrorContains(t, d.Kill("entry-z"), `no process "entry-z"`)
	})
}

// Guards against an instance list whose addresses bypass the relays, and
// against platform faults that the harness cannot set or clear.
func TestDeploymentPlatform(t *testing.T) {
	d := startFakeDeployment(t, nil)
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
	Eventually(t, testTimeout, "the platform answers", func() error {
		_, err := platform.ListInstances(t.Context())
		return err
	})
}

// Guards against a restarted process that others cannot reach, and against a
// killed server whose address still accepts connections.
func TestDeploymentKillsAndRestarts(t *testing.T) {
	for _, direct := range []bool{false, true} {
		t.Run(fmt.Sprintf("direct %t", direct), func(t *testing.T) {
			d := startFakeDeployment(t, func(cfg *DeploymentConfig) { cfg.DirectBackendServers = direct })
			assertReachableExcept(t, d)
			for name, closed := range map[string][]string{
				"engine-b": {"entry-a to engine-b", "entry-b to engine-b"},
				"platform": {"entry-a to platform", "entry-b to platform"},
			} {
				assert.NilError(t, d.Kill(name))
				assertReachableExcept(t, d, closed...)
				assert.NilError(t, d.Restart(t.Context(), name))
				assertReachableExcept(t, d)
			}
			assert.NilError(t, d.Kill("engine-a"))
			assert.ErrorContains(t, reaches(d, "entry-b", "engine-a")(), "refused")
			assert.NilError(t, d.Restart(t.Context(), "entry-b"))
			assertReachableExcept(t, d, "entry-a to engine-a", "entry-b to engine-a")
		})
	}
}

// Guards against a frozen entry that answers, and against a killed failure
// domain that leaves processes running.
func TestDeploymentFreezesAndKillsDomain(t *testing.T) {
	d := startFakeDeployment(t, nil)
	assert.NilError(t, d.Freeze("entry-a"))
	assert.Assert(t, reachesPeer(d, "entry-b", "entry-a")() != nil)
	assert.NilError(t, d.Continue("entry-a"))
	assertReachableExcept(t, d)

	assert.NilError(t, d.KillDomain("b"))
	for _, m := range d.FailureDomain("b").processes() {
		assert.NilError(t, exited(m.Process().PID)())
	}
	assert.Assert(t, reachesPeer(d, "entry-a", "entry-b")() != nil)
	assert.NilError(t, d.RestartDomain(t.Context(), "b"))
	assertReachableExcept(t, d)

	d.Close()
	for _, m := range d.processes() {
		assert.NilError(t, exited(m.Process().PID)())
	}
}
