package configurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Guards against an entry that starts with invalid settings, and against faults
// that are reported one at a time.
func TestParse(t *testing.T) {
	t.Run("defaults and paths", func(t *testing.T) {
		s, faults := configurer.Parse("/etc/q/entry.toml", readTestdata(t, "entry.toml"))
		assertFaults(t, faults, "")
		assert.Equal(t, s.DrainDelay.Std(), 5*time.Second)
		assert.Equal(t, s.Deadlines.LinkCall.Std(), 250*time.Millisecond)
		assert.Equal(t, s.Deadlines.PlatformCall.Std(), 2*time.Second)
		assert.Equal(t, s.TLS.KeyFile, "/etc/q/entry-key.pem")
		assert.Equal(t, s.TLS.CAFile, "/etc/ca.pem")
		assert.Equal(t, s.DataFolder, "")
		assert.Equal(t, len(s.Peers()), 1)
		assert.Equal(t, s.Peers()[0].ID, "hub-2")
	})
	t.Run("all faults at once", func(t *testing.T) {
		_, faults := configurer.Parse("f.toml", readTestdata(t, "entry-faulty.toml"))
		assertFaults(t, faults, string(readTestdata(t, "entry-faulty.txt")))
	})
	t.Run("baselines", func(t *testing.T) {
		known, unknown := configurer.Defaults(), configurer.Defaults()
		known.Experimental.Baseline = configurer.NoPreemption
		unknown.Experimental.Baseline = "yield"
		assert.Equal(t, len(configurer.Validate("f.toml", unknown)), len(configurer.Validate("f.toml", known))+1)
	})
	t.Run("empty file", func(t *testing.T) {
		_, faults := configurer.Parse("f.toml", nil)
		assert.Equal(t, len(faults), 11, "%v", faults)
	})
}

// Guards against a pepper in the log, which would let readers of the log test
// guessed keys against digests.
func TestSecret(t *testing.T) {
	s := configurer.Defaults()
	s.KeyPepper = "0123456789abcdef"
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		assert.Assert(t, !strings.Contains(fmt.Sprintf(format, s), "0123456789abcdef"), format)
	}
}

func readTestdata(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	assert.NilError(t, err)
	return data
}

func assertFaults(t *testing.T, faults []declarer.Fault, expected string) {
	t.Helper()
	var lines strings.Builder
	for _, fault := range faults {
		fmt.Fprintln(&lines, fault)
	}
	assert.Equal(t, lines.String(), expected)
}
