package prover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	// concurrentNotes is the number of release notes applied at the same time.
	concurrentNotes = 8
	// neverApplied delays the effect of a write beyond the end of the test.
	neverApplied = platformemulator.Duration(time.Hour)
)

// status returns the operator status of an entry.
func (d *testDeployment) status(entry string) (a administrator.StatusAnswer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := administrator.NewClient(d.Entry(entry).Addresses().HTTP, d.OperatorKey)
	return client.Status(ctx)
}

func (d *testDeployment) revision(entry string) int64 {
	d.t.Helper()
	a, err := d.status(entry)
	assert.NilError(d.t, err)
	return a.Revision
}

// workspaceNote adds a workspace with a key. Entries at which the note is in
// force know the key.
func (d *testDeployment) workspaceNote(name string) (note declarer.ReleaseNote) {
	key := "key-of-" + name + "-0123456789"
	note.Title = "add " + name
	note.Added.Workspaces = []declarer.Workspace{{Name: name, Rate: 10, Burst: 10}}
	note.Added.Keys = []declarer.Key{{Name: name, Workspace: name, Digest: d.KeyDigest(key)}}
	return note
}

// checkInForce returns an error unless an entry knows the key of a workspace
// note.
func (d *testDeployment) checkInForce(entry, name string) error {
	a, err := d.call(entry, get("key-of-"+name+"-0123456789", "/services/label/labels/1"))
	if err != nil {
		return err
	}
	if a.status == http.StatusUnauthorized || a.refusal().Error.Code == "key-unknown" {
		return merry.Errorf("%s does not know %s: %s", entry, name, a.body)
	}
	return nil
}

// assertInForce checks that a workspace note comes into force at the entries
// within propagationLimit.
func (d *testDeployment) assertInForce(t testing.TB, name string, entries ...string) {
	t.Helper()
	start := time.Now()
	for _, entry := range entries {
		left := max(time.Millisecond, propagationLimit-time.Since(start))
		tester.Eventually(t, left, name+" in force", func() error { return d.checkInForce(entry, name) })
	}
}

func (d *testDeployment) entryIDs() (ids []string) {
	for _, e := range d.Entries {
		ids = append(ids, e.ID)
	}
	return ids
}

// assertConfirmed checks that entry-a1 eventually reports exactly the wanted
// instances as confirmed.
func (d *testDeployment) assertConfirmed(t testing.TB, want map[string]bool) {
	t.Helper()
	tester.Eventually(t, propagationLimit, "confirmations", func() error {
		a, err := d.status("entry-a1")
		if err != nil {
			return err
		}
		if len(a.Instances) != len(want) {
			return merry.Errorf("instances %+v", a.Instances)
		}
		for _, i := range a.Instances {
			if i.Confirmed != want[i.ID] {
				return merry.Errorf("revision %d, instance %+v", a.Revision, i)
			}
		}
		return nil
	})
}

// Guards against an accepted release note that does not reach an entry in time,
// that is applied twice or not at all after a lost answer, and against an
// instance that is wrongly reported as confirmed.
func TestReleaseNoteInForce(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{domains: 3})
	all := d.entryIDs()

	t.Run("all instances reachable", func(t *testing.T) {
		d.apply("entry-a1", d.workspaceNote("plain"))
		d.assertInForce(t, "plain", all...)
		d.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true, "entry-c1": true})
	})
	t.Run("platform unreachable from one failure domain", func(t *testing.T) {
		t.Cleanup(func() { assert.NilError(t, d.Heal()) })
		assert.NilError(t, d.DisconnectPlatform("c"))
		d.apply("entry-a1", d.workspaceNote("by-peer"))
		d.assertInForce(t, "by-peer", all...)
	})
	t.Run("isolated failure domain", func(t *testing.T) {
		t.Cleanup(func() { assert.NilError(t, d.Heal()) })
		assert.NilError(t, d.Isolate("c"))
		d.apply("entry-a1", d.workspaceNote("isolated"))
		d.assertInForce(t, "isolated", "entry-a1", "entry-b1")
		d.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true, "entry-c1": false})
		assert.ErrorContains(t, d.checkInForce("entry-c1", "isolated"), "does not know")
		assertOK(t, d.mustCall("entry-c1", get("", "/services/open-label/labels/1")))
		assert.NilError(t, d.Heal())
		d.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true, "entry-c1": true})
		d.assertInForce(t, "isolated", "entry-c1")
	})
	for name, lost := range map[string]platformemulator.ResponseLoss{
		"lost-answer": {KeyPrefix: "config/head", Writes: 1},
		"late-effect": {KeyPrefix: "config/head", Writes: 1, ApplyAfter: platformemulator.Duration(2 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			before := d.revision("entry-b1")
			d.setPlatformFaults(platformemulator.Faults{LoseResponses: []platformemulator.ResponseLoss{lost}})
			d.apply("entry-b1", d.workspaceNote(name))
			d.assertInForce(t, name, all...)
			tester.Always(t, 3*time.Second, "applied exactly once", func() error {
				if now := d.revision("entry-a1"); now != before+1 {
					return merry.Errorf("revision %d after %d", now, before)
				}
				return nil
			})
			d.setPlatformFaults(platformemulator.Faults{})
		})
	}
}

// Guards against an accepted release note that is lost to a concurrent one, and
// against a refused release note that is in force.
func TestConcurrentReleaseNotes(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{domains: 4})
	t.Run("notes on separate objects", func(t *testing.T) {
		accepted := d.applyConcurrently(t, "separate", func(*declarer.ReleaseNote) {})
		assert.Equal(t, accepted, concurrentNotes)
	})
	t.Run("notes on the same object", func(t *testing.T) {
		accepted := d.applyConcurrently(t, "contested", func(note *declarer.ReleaseNote) {
			note.Added.Models = []declarer.Model{{Name: "contested"}}
		})
		assert.Equal(t, accepted, 1)
	})
}

// applyConcurrently applies notes concurrently through all entries. It checks
// that exactly the accepted ones are in force and returns their number.
func (d *testDeployment) applyConcurrently(t *testing.T, name string, amend func(*declarer.ReleaseNote)) (accepted int) {
	t.Helper()
	before := d.revision("entry-a1")
	var results [concurrentNotes]error
	var wg conc.WaitGroup
	for i := range concurrentNotes {
		note := d.workspaceNote(fmt.Sprintf("%s-%d", name, i))
		amend(&note)
		wg.Go(func() { results[i] = d.tryApply(d.Entries[i%len(d.Entries)].ID, note) })
	}
	wg.Wait()
	for _, err := range results {
		if err == nil {
			accepted++
		}
	}
	for _, entry := range d.entryIDs() {
		tester.Eventually(t, propagationLimit, "the last revision at "+entry, func() error {
			if now := d.revision(entry); now != before+int64(accepted) {
				return merry.Errorf("revision %d after %d and %d accepted notes", now, before, accepted)
			}
			return nil
		})
		for i, err := range results {
			known := d.checkInForce(entry, fmt.Sprintf("%s-%d", name, i))
			assert.Equal(t, known == nil, err == nil, "note %d at %s: %v, answer %v", i, entry, known, err)
		}
	}
	return accepted
}

// An applyResult is the result of a release note applied in the background.
type applyResult struct {
	body string
	err  error
}

func (d *testDeployment) applyInBackground(entry, note string) <-chan applyResult {
	done := make(chan applyResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		body, err := d.Apply(ctx, entry, note)
		done <- applyResult{body: body, err: err}
	}()
	return done
}

// assertApplyRefused checks the refusal of a release note.
func assertApplyRefused(t testing.TB, a applyResult, code, outcome string) {
	t.Helper()
	assert.Assert(t, a.err != nil, "%s", a.body)
	var answer administrator.ErrorAnswer
	assert.NilError(t, json.Unmarshal([]byte(a.body), &answer), "%s %v", a.body, a.err)
	assert.Equal(t, string(answer.Error.Code), code, "%s", a.body)
	assert.Equal(t, string(answer.Error.Outcome), outcome, "%s", a.body)
}

// Guards against a configuration that reverts while the platform is down or
// when it restarts empty, against an apply that reports an outcome that is not
// certain, and against an entry that serves without a configuration.
func TestPlatformDown(t *testing.T) {
	const note = "title = \"in doubt\"\n[[added.model]]\nname = \"in-doubt\"\n"
	d := startTestDeployment(t, testDeploymentConfig{domains: 3})
	before := d.revision("entry-a1")
	d.setPlatformFaults(platformemulator.Faults{LoseResponses: []platformemulator.ResponseLoss{
		{KeyPrefix: "config/head", Writes: manyWrites, ApplyAfter: neverApplied},
	}})
	unconfirmed := d.applyInBackground("entry-a1", note)
	tester.Eventually(t, waitTimeout, "the head write is lost", func() error {
		if !strings.Contains(d.Entry("entry-a1").Process().Tail(), "answer to the head write lost") {
			return errors.New("no log line")
		}
		return nil
	})
	d.setPlatformFaults(platformemulator.Faults{Outage: platformemulator.OutageDrop})

	t.Run("an apply is refused", func(t *testing.T) {
		assertApplyRefused(t, <-d.applyInBackground("entry-b1", note), "platform-unavailable", "not-run")
	})
	t.Run("an entry without platform and peers serves nothing", func(t *testing.T) {
		assert.NilError(t, d.Isolate("c"))
		assert.NilError(t, d.Entry("entry-c1").Restart(t.Context()))
		tester.Always(t, 2*time.Second, "not ready", d.servesNothing("entry-c1"))
	})
	t.Run("it gets its configuration from a peer", func(t *testing.T) {
		assert.NilError(t, d.Heal())
		tester.Eventually(t, waitTimeout, "entry-c1 serves", func() error {
			if d.servesNothing("entry-c1")() == nil {
				return errors.New("serves nothing")
			}
			return nil
		})
		assert.Equal(t, d.revision("entry-c1"), before)
		assertOK(t, d.mustCall("entry-c1", get("", "/services/open-label/labels/1")))
	})
	t.Run("an apply whose head write was lost is in doubt", func(t *testing.T) {
		assertApplyRefused(t, <-unconfirmed, "apply-in-doubt", "unknown")
	})
	t.Run("an empty platform reverts nothing", func(t *testing.T) {
		assert.NilError(t, d.Platform.Restart(t.Context()))
		assertApplyRefused(t, <-d.applyInBackground("entry-b1", note), "platform-unavailable", "not-run")
		for _, entry := range d.entryIDs() {
			assert.Equal(t, d.revision(entry), before, entry)
			assertOK(t, d.mustCall(entry, get("", "/services/open-label/labels/1")))
		}
	})
}

// servesNothing is the condition that an entry is not ready and refuses
// requests that need a configuration.
func (d *testDeployment) servesNothing(entry string) tester.Condition {
	return func() error {
		ready, err := d.call(entry, get("", "/readyz"))
		if err != nil {
			return err
		}
		a, err := d.call(entry, get("", "/services/open-label/labels/1"))
		if err != nil {
			return err
		}
		if ready.status == http.StatusOK || a.status == http.StatusOK || a.refusal().Error.Outcome != "not-run" {
			return merry.Errorf("readiness %d, answer %d %s", ready.status, a.status, a.body)
		}
		return nil
	}
}
