package prover

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	placementLease = "placement/lease"
	// placementTimeout is longer than the placement lease of 30 s plus the wait
	// for the last order of the previous holder.
	placementTimeout = 60 * time.Second
)

// An orderReport is the engine emulator's report of placement orders, in the
// sequence in which they took effect.
type orderReport struct {
	Loaded []engineemulator.LoadedModel `json:"loaded"`
	Orders []engineemulator.Order       `json:"orders"`
}

func (d *testDeployment) orderReport(engine string) (report orderReport) {
	d.t.Helper()
	response, err := noKeepAliveClient.Get("http://" + d.BackendServer(engine).Addresses().HTTP + "/orders")
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&report))
	return report
}

func (d *testDeployment) engines() (names []string) {
	for _, s := range d.BackendServers {
		if s.Kind == declarer.Engine {
			names = append(names, s.Name)
		}
	}
	return names
}

// versionNote declares another version of the model.
func versionNote(version string) (note declarer.ReleaseNote) {
	note.Title = "version " + version
	note.Changed.Models = []declarer.Model{{Name: modelName, Version: version}}
	return note
}

// checkVersion returns an error unless an engine serves a version of the model.
func (d *testDeployment) checkVersion(engine, version string) error {
	loaded := d.orderReport(engine).Loaded
	if !slices.ContainsFunc(loaded, func(m engineemulator.LoadedModel) bool { return m.Name == modelName && m.Version == version }) {
		return merry.Errorf("%s serves %+v", engine, loaded)
	}
	return nil
}

// awaitVersion waits until any engine serves a version of the model.
func (d *testDeployment) awaitVersion(version string) {
	d.t.Helper()
	tester.Eventually(d.t, placementTimeout, "an engine serves version "+version, func() (err error) {
		for _, engine := range d.engines() {
			if err = d.checkVersion(engine, version); err == nil {
				return nil
			}
		}
		return err
	})
}

// assertFencingOrder checks that no order took effect after one with a higher
// fencing number.
func assertFencingOrder(t testing.TB, engine string, orders []engineemulator.Order) {
	t.Helper()
	for i, o := range orders[1:] {
		assert.Assert(t, o.FencingNumber >= orders[i].FencingNumber, "%s carried out %+v", engine, orders)
	}
}

// Guards against an order of a frozen holder of the placement lease that takes
// effect after the orders of the next holder, at engines that check fencing
// numbers and at engines that ignore them.
func TestPlacementHolderFrozen(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{engines: 2, changeConfig: func(cfg *tester.DeploymentConfig) {
		for i := range cfg.BackendServers {
			s := &cfg.BackendServers[i]
			if s.Kind == declarer.Engine {
				s.Fencing = i%3 == 0 // The first one in each failure domain.
				s.Arguments = []string{"--load-time", "500ms"}
			}
		}
	}})
	frozenHolder := ""
	tester.Eventually(t, waitTimeout, "a holder of the placement lease", func() error {
		if frozenHolder = d.holder(placementLease); frozenHolder == "" {
			return errors.New("no holder")
		}
		return nil
	})
	other := d.otherEntry(frozenHolder)
	d.apply(other, versionNote("2"))
	d.awaitVersion("2")
	assert.NilError(t, d.Freeze(frozenHolder))

	d.apply(other, versionNote("3"))
	for _, engine := range d.engines() {
		tester.Eventually(t, placementTimeout, "version 3", func() error { return d.checkVersion(engine, "3") })
	}
	assert.Equal(t, d.holder(placementLease), other)
	// The former holder resumes with an old declaration and receives a new one.
	// Either could make it send orders.
	assert.NilError(t, d.Continue(frozenHolder))
	d.apply(other, versionNote("4"))

	for _, engine := range d.engines() {
		t.Run(fmt.Sprintf("%s fencing %t", engine, d.BackendServer(engine).Fencing), func(t *testing.T) {
			tester.Eventually(t, placementTimeout, "the declared version", func() error { return d.checkVersion(engine, "4") })
			tester.Always(t, time.Second, "the declared version", func() error { return d.checkVersion(engine, "4") })
			orders := d.orderReport(engine).Orders
			t.Logf("%+v", orders)
			assertFencingOrder(t, engine, orders)
		})
	}
}

// otherEntry returns an entry that is not the named one.
func (d *testDeployment) otherEntry(id string) string {
	for _, e := range d.Entries {
		if e.ID != id {
			return e.ID
		}
	}
	return ""
}
