package prover

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

// minLostAnswers is the minimum number of writes of a job of two chunks, by
// kind of record.
var minLostAnswers = map[string]int{
	"open":   2, // Created and removed.
	"jobs":   2, // Created, and replaced by the folded manifest.
	"chunks": 4, // Two claims and two commits.
}

// lostAnswers returns the number of answers that the platform has dropped.
func (d *testDeployment) lostAnswers() (n int) {
	d.t.Helper()
	response, err := noKeepAliveClient.Get("http://" + d.Platform.Addresses().Control + platformemulator.PathFault)
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	var faults platformemulator.Faults
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&faults))
	for _, lost := range faults.LoseResponses {
		n += manyWrites - lost.Writes
	}
	return n
}

// Guards against a platform write that is repeated, or treated as failed,
// because its answer was lost after the write took effect.
func TestLostPlatformAnswers(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	const items = 130
	for _, kind := range []string{"open", "jobs", "chunks"} {
		t.Run("records of "+kind, func(t *testing.T) {
			job := "lost-" + kind
			content := batchItems(job, items, 5)
			lost := platformemulator.ResponseLoss{KeyPrefix: "batch/" + kind + "/", Writes: manyWrites}
			d.setPlatformFaults(platformemulator.Faults{LoseResponses: []platformemulator.ResponseLoss{lost}})
			// A caller that does not know the outcome of a submission resends it.
			tester.Eventually(t, waitTimeout, "the job is accepted", func() error {
				a, err := d.call("entry-a1", submit(key, job, content))
				if err == nil && a.status != http.StatusOK {
					err = merry.New(a.body)
				}
				return err
			})
			d.awaitJobWithin(takeoverTimeout, "entry-b1", key, job, "completed")
			assertResults(t, d.results("entry-b1", key, job), job, items)
			assert.Equal(t, d.dispatchedItems(job), items, "items ran twice")
			assert.Assert(t, d.lostAnswers() >= minLostAnswers[kind], "%d answers were lost", d.lostAnswers())
		})
	}
}

// Guards against a permanently failing item that blocks its job, or that fails
// without a reason.
func TestFailingItems(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	const items = 103
	d.setEngineFault(engineemulator.Fault{Match: "poison-item-10", Status: http.StatusInternalServerError})
	assertOK(t, d.mustCall("entry-a1", submit(key, "poison", batchItems("poison", items, 5))))
	d.awaitJobWithin(takeoverTimeout, "entry-b1", key, "poison", "completed")

	var done, failed []string
	for line := range strings.Lines(d.results("entry-b1", key, "poison").body) {
		var result batcher.ResultLine
		assert.NilError(t, json.Unmarshal([]byte(line), &result))
		if result.Failure == nil {
			done = append(done, result.CustomID)
			assert.Equal(t, result.StatusCode, http.StatusOK, "%s", line)
			continue
		}
		failed = append(failed, result.CustomID)
		assert.Assert(t, result.Failure.Reason != "", "%s", line)
		assert.Equal(t, result.Failure.Tries, 3, "%s", line)
	}
	assert.DeepEqual(t, failed, []string{"poison-item-10", "poison-item-100", "poison-item-101", "poison-item-102"})
	assert.Equal(t, len(done), items-len(failed))
	slices.Sort(done)
	assert.Equal(t, len(slices.Compact(done)), items-len(failed), "items have two results")
}

// Guards against a job that does not resume after a platform outage.
func TestPlatformOutageDuringJob(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	const items = 1500
	assertOK(t, d.mustCall("entry-a1", submit(key, "outage", batchItems("outage", items, 25))))
	d.awaitItems("outage", 30)
	d.setPlatformFaults(platformemulator.Faults{Outage: platformemulator.OutageDrop})
	outageEnds := time.Now().Add(4 * time.Second)
	tester.Eventually(t, waitTimeout, "the outage has lasted", func() error {
		if time.Now().Before(outageEnds) {
			return merry.New("not yet")
		}
		return nil
	})
	assert.Assert(t, d.dispatchedItems("outage") < items, "no chunk was left to claim after the outage")
	a := d.mustCall("entry-a1", submit(key, "refused", batchItems("refused", 1, 1)))
	assertRefused(t, a, "platform-unavailable", "not-run")
	d.setPlatformFaults(platformemulator.Faults{})
	d.awaitJobWithin(takeoverTimeout, "entry-b1", key, "outage", "completed")
	assertResults(t, d.results("entry-b1", key, "outage"), "outage", items)
}
