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

// leastLost is the number of writes that a job of two chunks makes at least,
// by kind of record.
var leastLost = map[string]int{
	"open":   2, // Made and removed.
	"jobs":   2, // Made and folded.
	"chunks": 4, // Two claims and two commits.
}

// lostAnswers is the number of answers that the platform has lost.
func (b *bench) lostAnswers() (n int) {
	b.t.Helper()
	response, err := freshClient.Get("http://" + b.Platform.Addresses().Control + platformemulator.PathFault)
	assert.NilError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	var present platformemulator.Faults
	assert.NilError(b.t, json.NewDecoder(response.Body).Decode(&present))
	for _, lost := range present.LoseResponses {
		n += manyWrites - lost.Writes
	}
	return n
}

// Guards against a write of the platform that is made twice, or taken for
// failed, because its answer was lost after it took effect.
func TestLostAnswersOfThePlatform(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	const items = 130
	for _, kind := range []string{"open", "jobs", "chunks"} {
		t.Run("records of "+kind, func(t *testing.T) {
			job := "lost-" + kind
			content := batchItems(job, items, 5)
			lost := platformemulator.ResponseLoss{KeyPrefix: "batch/" + kind + "/", Writes: manyWrites}
			b.platformFaults(platformemulator.Faults{LoseResponses: []platformemulator.ResponseLoss{lost}})
			// A caller whose submission is in doubt sends it again.
			tester.Eventually(t, patience, "the job is accepted", func() error {
				a, err := b.call("entry-a1", submit(key, job, content))
				if err == nil && a.status != http.StatusOK {
					err = merry.New(a.body)
				}
				return err
			})
			b.awaitJobWithin(takeover, "entry-b1", key, job, "completed")
			assertResults(t, b.results("entry-b1", key, job), job, items)
			assert.Equal(t, b.dispatched(job), items, "items ran again")
			assert.Assert(t, b.lostAnswers() >= leastLost[kind], "%d answers were lost", b.lostAnswers())
		})
	}
}

// Guards against an item that can never be done and holds up its job, or ends
// without a reason.
func TestItemsThatCannotBeDone(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	const items = 103
	b.engineFault(engineemulator.Fault{Match: "poison-item-10", Status: http.StatusInternalServerError})
	assertOK(t, b.mustCall("entry-a1", submit(key, "poison", batchItems("poison", items, 5))))
	b.awaitJobWithin(takeover, "entry-b1", key, "poison", "completed")

	var done, failed []string
	for line := range strings.Lines(b.results("entry-b1", key, "poison").body) {
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

// Guards against a job that does not come back after an outage of the platform.
func TestPlatformDownDuringAJob(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	const items = 1500
	assertOK(t, b.mustCall("entry-a1", submit(key, "outage", batchItems("outage", items, 25))))
	b.awaitStarted("outage", 30)
	b.platformFaults(platformemulator.Faults{Outage: platformemulator.OutageDrop})
	outageEnds := time.Now().Add(4 * time.Second)
	tester.Eventually(t, patience, "the outage has lasted", func() error {
		if time.Now().Before(outageEnds) {
			return merry.New("not yet")
		}
		return nil
	})
	assert.Assert(t, b.dispatched("outage") < items, "no chunk was left to claim after the outage")
	a := b.mustCall("entry-a1", submit(key, "refused", batchItems("refused", 1, 1)))
	assertRefused(t, a, "platform-unavailable", "not-run")
	b.platformFaults(platformemulator.Faults{})
	b.awaitJobWithin(takeover, "entry-b1", key, "outage", "completed")
	assertResults(t, b.results("entry-b1", key, "outage"), "outage", items)
}
