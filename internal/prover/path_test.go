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

// A job is the status of a batch job as callers see it.
type job struct {
	State string `json:"state"`
	Items int    `json:"items"`
}

// Guards against a path from a caller to a backend server, or through the
// batch subsystem, that does not work from one end to the other.
func TestWholePath(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]

	t.Run("a stream through each entry", func(t *testing.T) {
		for _, entry := range b.Entries {
			a := b.mustCall(entry.ID, chat(key, "marker-"+entry.ID, 5, true))
			assertWholeStream(t, a, "marker-"+entry.ID)
		}
	})
	t.Run("a label lookup", func(t *testing.T) {
		a := b.mustCall("entry-b1", get(key, "/services/label/labels/17"))
		assertOK(t, a)
		assert.Assert(t, strings.Contains(a.body, "pallet-17"), "%s", a.body)
	})
	t.Run("the status names every entry as confirmed", func(t *testing.T) {
		for _, entry := range b.Entries {
			a := b.mustCall(entry.ID, get(b.OperatorKey, administrator.PathStatus))
			assertOK(t, a)
			var status administrator.StatusAnswer
			assert.NilError(t, json.Unmarshal([]byte(a.body), &status))
			assert.Equal(t, len(status.Instances), len(b.Entries))
			for _, i := range status.Instances {
				assert.Assert(t, i.Confirmed, "%s says %+v", entry.ID, i)
			}
		}
	})
	t.Run("an unknown key", func(t *testing.T) {
		a := b.mustCall("entry-a1", chat("no-such-key", "stranger", 5, false))
		assertRefused(t, a, "key-unknown", "not-run")
	})
	t.Run("backend servers see no key", func(t *testing.T) {
		for _, server := range b.BackendServers {
			for _, r := range b.received(server.Name).Requests {
				assert.Assert(t, !r.Contains(key), "%s got the key", server.Name)
			}
		}
	})
	t.Run("a batch job is read through another entry", func(t *testing.T) {
		const items = 120
		assertOK(t, b.mustCall("entry-a1", submit(key, "orders", batchItems("orders", items, 2))))
		b.awaitJob("entry-b1", key, "orders", "completed")
		assertResults(t, b.mustCall("entry-b1", get(key, "/v1/batches/orders/results")), "orders", items)
	})
}

// awaitJob waits until a job has a state.
func (b *bench) awaitJob(entry, key, name, state string) {
	b.t.Helper()
	b.awaitJobWithin(patience, entry, key, name, state)
}

func (b *bench) awaitJobWithin(limit time.Duration, entry, key, name, state string) {
	b.t.Helper()
	tester.Eventually(b.t, limit, "job "+name+" is "+state, func() error {
		a, err := b.call(entry, get(key, "/v1/batches/"+name))
		if err != nil {
			return err
		}
		var j job
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
