package declarer_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Guards against faults that are not reported together, so that the operator
// needs several attempts, and faults that go undetected and reach the fleet.
func TestFaults(t *testing.T) {
	for _, file := range []string{"declaration", "release-note"} {
		t.Run("reports all of a "+file+" at once", func(t *testing.T) {
			data := readTestdata(t, file+"-faulty.toml")
			var faults []declarer.Fault
			if file == "declaration" {
				_, faults = declarer.ParseDeclaration("f.toml", data)
			} else {
				_, faults = declarer.ParseReleaseNote("f.toml", data)
			}
			assertFaults(t, faults, strings.Split(strings.TrimSpace(string(readTestdata(t, file+"-faulty.txt"))), "\n")...)
		})
	}
	t.Run("reports a syntax error", func(t *testing.T) {
		_, faults := declarer.ParseReleaseNote("f.toml", []byte("title = \"a\"\ntitle = \"b\"\n"))
		assertFaults(t, faults, "f.toml: title: line 2: Key 'title' has already been defined.")
	})
	t.Run("reports none in a valid declaration", func(t *testing.T) {
		_, faults := declarer.ParseDeclaration("f.toml", readTestdata(t, "declaration.toml"))
		assertFaults(t, faults)
	})
}

// Guards against a release note that changes more or less than it names, and
// against a rejection that omits a reason.
func TestMerge(t *testing.T) {
	base := validDeclaration(t)
	t.Run("changes exactly what the note names", func(t *testing.T) {
		merged, faults := declarer.Merge(base, parseNote(t, `
			title = "spring"
			[[added.workspace]]
			name = "auction"
			rate = 1
			burst = 2
			[[added.key]]
			name = "auction-1"
			workspace = "auction"
			digest = "`+digest('c')+`"
			[[changed.workspace]]
			name = "ljepilo"
			rate = 7.5
			burst = 20
			[changed.limits]
			standing-slots = 6
			[withdrawn]
			keys = ["night"]`))
		assertFaults(t, faults)
		assertChanges(t, declarer.Diff(base, merged),
			"added key auction-1", "withdrawn key night", "changed limits ",
			"added workspace auction", "changed workspace ljepilo")
		assert.Equal(t, merged.Limits.StandingSlots, 6)
		assert.Equal(t, merged.Limits.RateShards, base.Limits.RateShards)
		assert.DeepEqual(t, base, validDeclaration(t))
	})
	t.Run("reports every reason for a rejection", func(t *testing.T) {
		_, faults := declarer.Merge(base, parseNote(t, `
			title = "bad"
			[[added.workspace]]
			name = "ljepilo"
			rate = 1
			burst = 1
			[[changed.model]]
			name = "none"
			[withdrawn]
			models = ["lm-desk"]
			workspaces = ["shift"]
			failure-domains = ["nowhere"]`))
		assertFaults(t, faults,
			`note.toml: added.workspace.ljepilo: exists already`,
			`note.toml: backend-server.lm-desk-1.models: model "lm-desk" does not exist`,
			`note.toml: changed.model.none: does not exist`,
			`note.toml: key.night.workspace: workspace "shift" does not exist`,
			`note.toml: route.chat.model: model "lm-desk" does not exist`,
			`note.toml: withdrawn.failure-domains.nowhere: does not exist`)
	})
	t.Run("sets default limits in the first declaration", func(t *testing.T) {
		merged, faults := declarer.Merge(declarer.Declaration{}, parseNote(t, `
			title = "first"
			[[added.failure-domain]]
			name = "hr-north-a"
			region = "hr-north"`))
		assertFaults(t, faults)
		assert.Equal(t, merged.Limits, declarer.DefaultLimits())
	})
	t.Run("rejects one key for two workspaces", func(t *testing.T) {
		_, faults := declarer.Merge(base, parseNote(t, `
			title = "theft"
			[[added.key]]
			name = "second"
			workspace = "ljepilo"
			digest = "`+digest('a')+`"`))
		assertFaults(t, faults,
			`note.toml: key.second.digest: is also that of key "night" of workspace "shift"`)
	})
}

// Instances compare digests of encodings. Guards against equal declarations
// with different encodings, and against an older instance that cannot read a
// newer configuration.
func TestCodec(t *testing.T) {
	t.Run("keeps all fields and sorts", func(t *testing.T) {
		d := validDeclaration(t)
		data, err := declarer.Encode(d)
		assert.NilError(t, err)
		decoded, err := declarer.DecodeExact(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, d)
		d.Workspaces[0], d.Workspaces[1] = d.Workspaces[1], d.Workspaces[0]
		again, err := declarer.Encode(d)
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(data))
	})
	t.Run("ignores fields of a newer version", func(t *testing.T) {
		data := []byte(`{"workspaces":[{"name":"a","rate":1,"burst":1,"later":true}]}`)
		d, err := declarer.Decode(data)
		assert.NilError(t, err)
		assert.Equal(t, d.Workspaces[0].Name, "a")
		_, err = declarer.DecodeExact(data)
		assert.ErrorContains(t, err, "later")
	})
}

// Release notes are untrusted input. Guards against content that crashes an
// entry, or that is accepted but lost in the encoding.
func FuzzParseReleaseNote(f *testing.F) {
	for _, file := range []string{"release-note.toml", "release-note-faulty.toml", "declaration.toml"} {
		data, err := os.ReadFile("testdata/" + file)
		assert.NilError(f, err)
		f.Add(string(data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		note, faults := declarer.ParseReleaseNote("f.toml", []byte(text))
		if len(faults) > 0 {
			return
		}
		merged, faults := declarer.Merge(declarer.Declaration{}, note)
		if len(faults) > 0 {
			return
		}
		assertFaults(t, declarer.Validate("f.toml", merged))
		data, err := declarer.Encode(merged)
		assert.NilError(t, err)
		decoded, err := declarer.DecodeExact(data)
		assert.NilError(t, err)
		assert.Equal(t, len(declarer.Diff(merged, decoded)), 0)
	})
}

func validDeclaration(t *testing.T) declarer.Declaration {
	t.Helper()
	d, faults := declarer.ParseDeclaration("declaration.toml", readTestdata(t, "declaration.toml"))
	assertFaults(t, faults)
	return d
}

func parseNote(t *testing.T, text string) declarer.ReleaseNote {
	t.Helper()
	n, faults := declarer.ParseReleaseNote("note.toml", []byte(text))
	assertFaults(t, faults)
	return n
}

func readTestdata(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	assert.NilError(t, err)
	return data
}

func digest(digit rune) string {
	return strings.Repeat(string(digit), 64)
}

func assertFaults(t *testing.T, faults []declarer.Fault, expected ...string) {
	t.Helper()
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	assert.Equal(t, strings.Join(lines, "\n"), strings.Join(expected, "\n"))
}

func assertChanges(t *testing.T, changes []declarer.Change, expected ...string) {
	t.Helper()
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, fmt.Sprintf("%s %s %s", change.Kind, change.Object, change.Name))
	}
	assert.Equal(t, strings.Join(lines, "\n"), strings.Join(expected, "\n"))
}
