package prover

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	// takeoverTimeout bounds the completion of a job whose claims expire: up to
	// 10 s until other entries list the job, a grace period of 5 s and the time
	// of the items.
	takeoverTimeout = 2 * waitTimeout

	holderPrefix = "batch/holders/"
)

// startBatchDeployment starts two entries in each failure domain, so that two
// disks remain when an entry is lost.
func startBatchDeployment(t *testing.T) *testDeployment {
	t.Helper()
	return startTestDeployment(t, testDeploymentConfig{entries: 2})
}

// platform returns a client of the platform that bypasses all relays.
func (d *testDeployment) platform() *storer.Client {
	return storer.NewClient(storer.ClientConfig{
		Address: d.Platform.Addresses().HTTP, ClientID: "test", Clock: clockwork.NewRealClock(),
	})
}

// revokeLeases ends the leases of an entry's claims, which otherwise expire
// after 30 s, and returns their number.
func (d *testDeployment) revokeLeases(entry string) (ended int) {
	d.t.Helper()
	store := d.platform()
	holders, err := store.List(d.t.Context(), holderPrefix+entry+".")
	assert.NilError(d.t, err)
	for _, holder := range holders {
		assert.NilError(d.t, store.RevokeLease(d.t.Context(), holder.LeaseID))
	}
	return len(holders)
}

// chunkRecord returns the record of a chunk in the platform.
func (d *testDeployment) chunkRecord(job, chunk string) (record batcher.ChunkRecord, err error) {
	entry, err := d.platform().Get(d.t.Context(), "batch/chunks/packing/"+job+"/"+chunk)
	if err != nil {
		return batcher.ChunkRecord{}, err
	}
	return record, json.Unmarshal(entry.Value, &record)
}

// holdsChunk reports whether an entry holds the claim of an unfinished chunk of
// a job.
func (d *testDeployment) holdsChunk(entry, job string) bool {
	d.t.Helper()
	entries, err := d.platform().List(d.t.Context(), "batch/chunks/packing/"+job+"/")
	assert.NilError(d.t, err)
	for _, e := range entries {
		var record batcher.ChunkRecord
		assert.NilError(d.t, json.Unmarshal(e.Value, &record))
		if record.State == batcher.ChunkClaimed && strings.HasPrefix(record.Holder, entry+".") {
			return true
		}
	}
	return false
}

// awaitChunk waits until a chunk has a state and returns its record.
func (d *testDeployment) awaitChunk(job, chunk string, state batcher.ChunkState) (record batcher.ChunkRecord) {
	d.t.Helper()
	tester.Eventually(d.t, takeoverTimeout, "chunk "+chunk+" is "+string(state), func() (err error) {
		record, err = d.chunkRecord(job, chunk)
		if err == nil && record.State != state {
			err = merry.Errorf("it is %s", record.State)
		}
		return err
	})
	return record
}

// awaitItems waits until engines have received at least n items of a job.
func (d *testDeployment) awaitItems(job string, n int) {
	d.t.Helper()
	tester.Eventually(d.t, waitTimeout, "items of "+job+" reach engines", func() error {
		if got := d.dispatchedItems(job); got < n {
			return merry.Errorf("%d items at engines", got)
		}
		return nil
	})
}

// dispatchedItems counts the requests of a job that engines received.
func (d *testDeployment) dispatchedItems(job string) (n int) {
	d.t.Helper()
	for _, server := range d.BackendServers {
		for _, r := range d.received(server.Name).Requests {
			if r.Contains("marker:" + job + "-item-") {
				n++
			}
		}
	}
	return n
}

// setEngineFault sets a fault at all engines.
func (d *testDeployment) setEngineFault(f engineemulator.Fault) {
	d.t.Helper()
	content, err := json.Marshal(f)
	assert.NilError(d.t, err)
	for _, server := range d.BackendServers {
		if !strings.HasPrefix(server.Name, "engine") {
			continue
		}
		url := "http://" + server.Addresses().HTTP + "/fault"
		response, err := noKeepAliveClient.Post(url, "application/json", bytes.NewReader(content))
		assert.NilError(d.t, err)
		assert.NilError(d.t, response.Body.Close())
		assert.Equal(d.t, response.StatusCode, http.StatusNoContent)
	}
}

// checkLogged returns an error unless an entry has logged a text.
func (d *testDeployment) checkLogged(entry, text string) error {
	content, err := os.ReadFile(d.Entry(entry).Process().Stderr)
	if err == nil && !bytes.Contains(content, []byte(text)) {
		err = merry.Errorf("%s has not logged %q", entry, text)
	}
	return err
}

// resubmit submits a job again, so that the entry learns of it before it next
// lists the jobs.
func (d *testDeployment) resubmit(entry, key, job, items string) {
	d.t.Helper()
	assertOK(d.t, d.mustCall(entry, submit(key, job, items)))
}

// results reads the results of a job.
func (d *testDeployment) results(entry, key, job string) answer {
	d.t.Helper()
	return d.mustCall(entry, get(key, "/v1/batches/"+job+"/results"))
}

// acceptedAt returns the acceptance time of the job in an answer.
func (a answer) acceptedAt() string {
	var report struct {
		AcceptedAt string `json:"accepted-at"`
	}
	_ = json.Unmarshal([]byte(a.body), &report)
	return report.AcceptedAt
}
