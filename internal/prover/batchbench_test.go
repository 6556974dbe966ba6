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
	// takeover bounds the end of a job whose claims lapse: up to 10 s until the
	// other entries list the job, 5 s of grace and the time of the items.
	takeover = 2 * patience

	holderPrefix = "batch/holders/"
)

// startBatchBench starts a bench with two entries in each failure domain, so
// that two disks are left when an entry is lost.
func startBatchBench(t *testing.T) *bench {
	t.Helper()
	return startBench(t, benchConfig{entries: 2})
}

// platform reaches the platform past all relays.
func (b *bench) platform() *storer.Client {
	return storer.NewClient(storer.ClientConfig{
		Address: b.Platform.Addresses().HTTP, ClientID: "test", Clock: clockwork.NewRealClock(),
	})
}

// lapse ends the lease of an entry's claims as its expiry does after 30 s. It
// returns the number of leases that ended.
func (b *bench) lapse(entry string) (ended int) {
	b.t.Helper()
	store := b.platform()
	holders, err := store.List(b.t.Context(), holderPrefix+entry+".")
	assert.NilError(b.t, err)
	for _, holder := range holders {
		assert.NilError(b.t, store.RevokeLease(b.t.Context(), holder.LeaseID))
	}
	return len(holders)
}

// chunkRecord returns the record of a chunk in the platform.
func (b *bench) chunkRecord(job, chunk string) (record batcher.ChunkRecord, err error) {
	entry, err := b.platform().Get(b.t.Context(), "batch/chunks/packing/"+job+"/"+chunk)
	if err != nil {
		return batcher.ChunkRecord{}, err
	}
	return record, json.Unmarshal(entry.Value, &record)
}

// holds says whether an entry has claimed a chunk of a job that is not done.
func (b *bench) holds(entry, job string) bool {
	b.t.Helper()
	entries, err := b.platform().List(b.t.Context(), "batch/chunks/packing/"+job+"/")
	assert.NilError(b.t, err)
	for _, e := range entries {
		var record batcher.ChunkRecord
		assert.NilError(b.t, json.Unmarshal(e.Value, &record))
		if record.State == batcher.ChunkClaimed && strings.HasPrefix(record.Holder, entry+".") {
			return true
		}
	}
	return false
}

// awaitChunk waits until a chunk has a state and returns its record.
func (b *bench) awaitChunk(job, chunk string, state batcher.ChunkState) (record batcher.ChunkRecord) {
	b.t.Helper()
	tester.Eventually(b.t, takeover, "chunk "+chunk+" is "+string(state), func() (err error) {
		record, err = b.chunkRecord(job, chunk)
		if err == nil && record.State != state {
			err = merry.Errorf("it is %s", record.State)
		}
		return err
	})
	return record
}

// awaitStarted waits until engines have got at least n items of a job.
func (b *bench) awaitStarted(job string, n int) {
	b.t.Helper()
	tester.Eventually(b.t, patience, "items of "+job+" run", func() error {
		if got := b.dispatched(job); got < n {
			return merry.Errorf("%d items at engines", got)
		}
		return nil
	})
}

// dispatched is the number of requests of a job that engines got.
func (b *bench) dispatched(job string) (n int) {
	b.t.Helper()
	for _, server := range b.BackendServers {
		for _, r := range b.received(server.Name).Requests {
			if r.Contains("marker:" + job + "-item-") {
				n++
			}
		}
	}
	return n
}

// engineFault sets a fault at all engines.
func (b *bench) engineFault(f engineemulator.Fault) {
	b.t.Helper()
	content, err := json.Marshal(f)
	assert.NilError(b.t, err)
	for _, server := range b.BackendServers {
		if !strings.HasPrefix(server.Name, "engine") {
			continue
		}
		url := "http://" + server.Addresses().HTTP + "/fault"
		response, err := freshClient.Post(url, "application/json", bytes.NewReader(content))
		assert.NilError(b.t, err)
		assert.NilError(b.t, response.Body.Close())
		assert.Equal(b.t, response.StatusCode, http.StatusNoContent)
	}
}

// logged returns an error unless an entry has logged a text.
func (b *bench) logged(entry, text string) error {
	content, err := os.ReadFile(b.Entry(entry).Process().Stderr)
	if err == nil && !bytes.Contains(content, []byte(text)) {
		err = merry.Errorf("%s has not logged %q", entry, text)
	}
	return err
}

// know makes an entry aware of a job at once, rather than at its next listing,
// by sending the job again.
func (b *bench) know(entry, key, job, items string) {
	b.t.Helper()
	assertOK(b.t, b.mustCall(entry, submit(key, job, items)))
}

// results reads the results of a job.
func (b *bench) results(entry, key, job string) answer {
	b.t.Helper()
	return b.mustCall(entry, get(key, "/v1/batches/"+job+"/results"))
}

// acceptedAt is the time at which the job of an answer was accepted.
func (a answer) acceptedAt() string {
	var report struct {
		AcceptedAt string `json:"accepted-at"`
	}
	_ = json.Unmarshal([]byte(a.body), &report)
	return report.AcceptedAt
}
