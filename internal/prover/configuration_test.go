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
	// operators is the number of release notes that race.
	operators = 8
	// neverApplied delays the effect of a write beyond the end of the test.
	neverApplied = platformemulator.Duration(time.Hour)
)

// status is what an entry tells operators.
func (b *bench) status(entry string) (a administrator.StatusAnswer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	client := administrator.NewClient(b.Entry(entry).Addresses().HTTP, b.OperatorKey)
	return client.Status(ctx)
}

func (b *bench) revision(entry string) int64 {
	b.t.Helper()
	a, err := b.status(entry)
	assert.NilError(b.t, err)
	return a.Revision
}

// workspaceNote adds a workspace with a key. The key is known wherever the
// note is in force.
func (b *bench) workspaceNote(name string) (note declarer.ReleaseNote) {
	key := "key-of-" + name + "-0123456789"
	note.Title = "add " + name
	note.Added.Workspaces = []declarer.Workspace{{Name: name, Rate: 10, Burst: 10}}
	note.Added.Keys = []declarer.Key{{Name: name, Workspace: name, Digest: b.KeyDigest(key)}}
	return note
}

// inForce tells whether an entry knows the key of a workspace note.
func (b *bench) inForce(entry, name string) error {
	a, err := b.call(entry, get("key-of-"+name+"-0123456789", "/services/label/labels/1"))
	if err != nil {
		return err
	}
	if a.status == http.StatusUnauthorized || a.refusal().Error.Code == "key-unknown" {
		return merry.Errorf("%s does not know %s: %s", entry, name, a.body)
	}
	return nil
}

// assertInForce checks that a workspace note comes into force at entries
// within the bound.
func (b *bench) assertInForce(t testing.TB, name string, entries ...string) {
	t.Helper()
	start := time.Now()
	for _, entry := range entries {
		left := max(time.Millisecond, inForceLimit-time.Since(start))
		tester.Eventually(t, left, name+" in force", func() error { return b.inForce(entry, name) })
	}
}

func (b *bench) entryIDs() (ids []string) {
	for _, e := range b.Entries {
		ids = append(ids, e.ID)
	}
	return ids
}

// assertConfirmed checks which instances entry-a1 comes to name as confirmed.
func (b *bench) assertConfirmed(t testing.TB, want map[string]bool) {
	t.Helper()
	tester.Eventually(t, inForceLimit, "confirmations", func() error {
		a, err := b.status("entry-a1")
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

// Guards against an accepted release note that does not reach an entry in
// time, is accepted twice or not at all after a lost answer, and against a
// confirmation of what was not confirmed.
func TestReleaseNoteInForce(t *testing.T) {
	b := startBench(t, benchConfig{domains: 3})
	all := b.entryIDs()

	t.Run("all parts reachable", func(t *testing.T) {
		b.apply("entry-a1", b.workspaceNote("plain"))
		b.assertInForce(t, "plain", all...)
		b.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true, "entry-c1": true})
	})
	t.Run("platform cut off for one failure domain", func(t *testing.T) {
		t.Cleanup(func() { assert.NilError(t, b.Heal()) })
		assert.NilError(t, b.DisconnectPlatform("c"))
		b.apply("entry-a1", b.workspaceNote("by-peer"))
		b.assertInForce(t, "by-peer", all...)
	})
	t.Run("isolated failure domain", func(t *testing.T) {
		t.Cleanup(func() { assert.NilError(t, b.Heal()) })
		assert.NilError(t, b.Isolate("c"))
		b.apply("entry-a1", b.workspaceNote("isolated"))
		b.assertInForce(t, "isolated", "entry-a1", "entry-b1")
		b.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true, "entry-c1": false})
		assert.ErrorContains(t, b.inForce("entry-c1", "isolated"), "does not know")
		assertOK(t, b.mustCall("entry-c1", get("", "/services/open-label/labels/1")))
		assert.NilError(t, b.Heal())
		b.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true, "entry-c1": true})
		b.assertInForce(t, "isolated", "entry-c1")
	})
	for name, lost := range map[string]platformemulator.LostAnswer{
		"lost-answer": {KeyPrefix: "config/head", Writes: 1},
		"late-effect": {KeyPrefix: "config/head", Writes: 1, ApplyAfter: platformemulator.Duration(2 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			before := b.revision("entry-b1")
			b.platformFaults(platformemulator.Faults{LoseAnswers: []platformemulator.LostAnswer{lost}})
			b.apply("entry-b1", b.workspaceNote(name))
			b.assertInForce(t, name, all...)
			tester.Always(t, 3*time.Second, "applied exactly once", func() error {
				if now := b.revision("entry-a1"); now != before+1 {
					return merry.Errorf("revision %d after %d", now, before)
				}
				return nil
			})
			b.platformFaults(platformemulator.Faults{})
		})
	}
}

// Guards against a release note that is lost in a race although it was
// accepted, and against one that is in force although it was refused.
func TestOperatorsRace(t *testing.T) {
	b := startBench(t, benchConfig{domains: 4})
	t.Run("notes on separate objects", func(t *testing.T) {
		accepted := b.race(t, "separate", func(*declarer.ReleaseNote) {})
		assert.Equal(t, accepted, operators)
	})
	t.Run("notes on the same object", func(t *testing.T) {
		accepted := b.race(t, "contested", func(note *declarer.ReleaseNote) {
			note.Added.Models = []declarer.Model{{Name: "contested"}}
		})
		assert.Equal(t, accepted, 1)
	})
}

// race applies notes side by side through all entries. It checks that exactly
// the accepted ones are in force and returns their number.
func (b *bench) race(t *testing.T, name string, amend func(*declarer.ReleaseNote)) (accepted int) {
	t.Helper()
	before := b.revision("entry-a1")
	var results [operators]error
	var wg conc.WaitGroup
	for i := range operators {
		note := b.workspaceNote(fmt.Sprintf("%s-%d", name, i))
		amend(&note)
		wg.Go(func() { results[i] = b.tryApply(b.Entries[i%len(b.Entries)].ID, note) })
	}
	wg.Wait()
	for _, err := range results {
		if err == nil {
			accepted++
		}
	}
	for _, entry := range b.entryIDs() {
		tester.Eventually(t, inForceLimit, "the last revision at "+entry, func() error {
			if now := b.revision(entry); now != before+int64(accepted) {
				return merry.Errorf("revision %d after %d and %d accepted notes", now, before, accepted)
			}
			return nil
		})
		for i, err := range results {
			known := b.inForce(entry, fmt.Sprintf("%s-%d", name, i))
			assert.Equal(t, known == nil, err == nil, "note %d at %s: %v, answer %v", i, entry, known, err)
		}
	}
	return accepted
}

// An applied is the end of a release note that is applied in the background.
type applied struct {
	body string
	err  error
}

func (b *bench) applyInBackground(entry, note string) <-chan applied {
	done := make(chan applied, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		body, err := b.Apply(ctx, entry, note)
		done <- applied{body: body, err: err}
	}()
	return done
}

// assertNotApplied checks the refusal of a release note.
func assertNotApplied(t testing.TB, a applied, code, outcome string) {
	t.Helper()
	assert.Assert(t, a.err != nil, "%s", a.body)
	var answer administrator.ErrorAnswer
	assert.NilError(t, json.Unmarshal([]byte(a.body), &answer), "%s %v", a.body, a.err)
	assert.Equal(t, string(answer.Error.Code), code, "%s", a.body)
	assert.Equal(t, string(answer.Error.Outcome), outcome, "%s", a.body)
}

// Guards against a configuration that reverts while the platform is down or
// when it comes back empty, against an apply that claims more than is known,
// and against an entry that serves without a configuration.
func TestPlatformDown(t *testing.T) {
	const note = "title = \"in doubt\"\n[[added.model]]\nname = \"in-doubt\"\n"
	b := startBench(t, benchConfig{domains: 3})
	before := b.revision("entry-a1")
	b.platformFaults(platformemulator.Faults{LoseAnswers: []platformemulator.LostAnswer{
		{KeyPrefix: "config/head", Writes: manyWrites, ApplyAfter: neverApplied},
	}})
	doubtful := b.applyInBackground("entry-a1", note)
	tester.Eventually(t, patience, "the head write is lost", func() error {
		if !strings.Contains(b.Entry("entry-a1").Process().Tail(), "answer to the head write lost") {
			return errors.New("no log line")
		}
		return nil
	})
	b.platformFaults(platformemulator.Faults{Outage: platformemulator.OutageDrop})

	t.Run("an apply is refused", func(t *testing.T) {
		assertNotApplied(t, <-b.applyInBackground("entry-b1", note), "platform-unavailable", "not-run")
	})
	t.Run("an entry without platform and peers serves nothing", func(t *testing.T) {
		assert.NilError(t, b.Isolate("c"))
		assert.NilError(t, b.Entry("entry-c1").Restart(t.Context()))
		tester.Always(t, 2*time.Second, "not ready", b.servesNothing("entry-c1"))
	})
	t.Run("it gets its configuration from a peer", func(t *testing.T) {
		assert.NilError(t, b.Heal())
		tester.Eventually(t, patience, "entry-c1 serves", func() error {
			if b.servesNothing("entry-c1")() == nil {
				return errors.New("serves nothing")
			}
			return nil
		})
		assert.Equal(t, b.revision("entry-c1"), before)
		assertOK(t, b.mustCall("entry-c1", get("", "/services/open-label/labels/1")))
	})
	t.Run("an apply whose head write was lost is in doubt", func(t *testing.T) {
		assertNotApplied(t, <-doubtful, "apply-in-doubt", "unknown")
	})
	t.Run("an empty platform reverts nothing", func(t *testing.T) {
		assert.NilError(t, b.Platform.Restart(t.Context()))
		assertNotApplied(t, <-b.applyInBackground("entry-b1", note), "platform-unavailable", "not-run")
		for _, entry := range b.entryIDs() {
			assert.Equal(t, b.revision(entry), before, entry)
			assertOK(t, b.mustCall(entry, get("", "/services/open-label/labels/1")))
		}
	})
}

// servesNothing is the condition that an entry is not ready and refuses what
// needs a configuration.
func (b *bench) servesNothing(entry string) tester.Condition {
	return func() error {
		ready, err := b.call(entry, get("", "/readyz"))
		if err != nil {
			return err
		}
		a, err := b.call(entry, get("", "/services/open-label/labels/1"))
		if err != nil {
			return err
		}
		if ready.status == http.StatusOK || a.status == http.StatusOK || a.refusal().Error.Outcome != "not-run" {
			return merry.Errorf("readiness %d, answer %d %s", ready.status, a.status, a.body)
		}
		return nil
	}
}
