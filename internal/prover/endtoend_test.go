package prover

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
)

// A jobStatus is the status of a batch job as callers see it.
type jobStatus struct {
	State string `json:"state"`
	Items int    `json:"items"`
}

// Guards against an end-to-end failure of streams, service calls, the status
// or batch jobs in a deployment without faults.
func TestEndToEnd(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]

	t.Run("a stream through each entry", func(t *testing.T) {
		for _, entry := range d.Entries {
			a := d.mustCall(entry.ID, chat(key, "marker-"+entry.ID, 5, true))
			assertCompleteStream(t, a, "marker-"+entry.ID)
		}
	})
	t.Run("a label lookup", func(t *testing.T) {
		a := d.mustCall("entry-b1", get(key, "/services/label/labels/17"))
		assertOK(t, a)
		assert.Assert(t, strings.Contains(a.body, "pallet-17"), "%s", a.body)
	})
	t.Run("the status reports every entry as confirmed", func(t *testing.T) {
		for _, entry := range d.Entries {
			a := d.mustCall(entry.ID, get(d.OperatorKey, administrator.PathStatus))
			assertOK(t, a)
			var status administrator.StatusAnswer
			assert.NilError(t, json.Unmarshal([]byte(a.body), &status))
			assert.Equal(t, len(status.Instances), len(d.Entries))
			for _, i := range status.Instances {
				assert.Assert(t, i.Confirmed, "%s reports %+v", entry.ID, i)
			}
		}
	})
	t.Run("an unknown key", func(t *testing.T) {
		a := d.mustCall("entry-a1", chat("no-such-key", "unauthorized", 5, false))
		assertRefused(t, a, "key-unknown", "not-run")
	})
	t.Run("backend servers see no key", func(t *testing.T) {
		for _, server := range d.BackendServers {
			for _, r := range d.received(server.Name).Requests {
				assert.Assert(t, !r.Contains(key), "%s received the key", server.Name)
			}
		}
	})
	t.Run("a batch job is read through another entry", func(t *testing.T) {
		const items = 120
		assertOK(t, d.mustCall("entry-a1", submit(key, "orders", batchItems("orders", items, 2))))
		d.awaitJob("entry-b1", key, "orders", "completed")
		assertResults(t, d.mustCall("entry-b1", get(key, "/v1/batches/orders/results")), "orders", items)
	})
}

// awaitJob waits until a job has a state.
func (d *testDeployment) awaitJob(entry, key, name, state string) {
	d.t.Helper()
	d.awaitJobWithin(waitTimeout, entry, key, name, state)
}

func (d *testDeployment) awaitJobWithin(timeout time.Duration, entry, key, name, state string) {
	d.t.Helper()
	tester.Eventually(d.t, timeout, "job "+name+" is "+state, func() error {
		a, err := d.call(entry, get(key, "/v1/batches/"+name))
		if err != nil {
			return err
		}
		var j jobStatus
		if err := json.Unmarshal([]byte(a.body), &j); err != nil {
			return err
		}
		if j.State != state {
			return errors.New(a.body)
		}
		return nil
	})
}

// assertResults checks that each item of a job has exactly one result, which
// is the answer to that item.
func assertResults(t testing.TB, a answer, name string, items int) {
	t.Helper()
	assertOK(t, a)
	seen := map[string]int{}
	for line := range strings.Lines(a.body) {
		var result struct {
			CustomID string `json:"custom_id"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &result), "%s", line)
		seen[result.CustomID]++
		assert.Assert(t, strings.Count(line, result.CustomID) >= 2, "the answer of another item: %s", line)
	}
	for i := range items {
		id := fmt.Sprintf("%s-item-%d", name, i)
		assert.Equal(t, seen[id], 1, "results of %s", id)
	}
	assert.Equal(t, len(seen), items)
}
