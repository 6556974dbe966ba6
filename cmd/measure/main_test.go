package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/internal/measurer"
	"github.com/quetzalhitch/quetzalhitch/internal/parser"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// TestMain runs this program as a fake entry when its first argument is "entry".
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		runFakeEntry(os.Args[len(os.Args)-1])
	}
	os.Exit(tester.Main(m))
}

// runFakeEntry serves an entry that answers online requests without a backend
// server and validates the release note.
func runFakeEntry(settingsPath string) {
	var settings tester.Settings
	if _, err := toml.DecodeFile(settingsPath, &settings); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", settings.HTTPAddress)
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /operator/apply", func(w http.ResponseWriter, r *http.Request) {
		var note bytes.Buffer
		_, _ = note.ReadFrom(r.Body)
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		_, faults := declarer.ParseReleaseNote("note", note.Bytes())
		if len(faults) > 0 || tester.KeyDigest(settings.KeyPepper, key) != settings.OperatorKeyDigests[0] {
			http.Error(w, fmt.Sprint(faults), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /services/labels/labels/{id}", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%q", r.PathValue("id"))
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		_, marker, _ := strings.Cut(body.String(), "marker:")
		marker, _, _ = strings.Cut(marker, `"`)
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%s-0 \"}}]}\n\ndata: [DONE]\n\n", marker)
	})
	fmt.Printf("{\"listening\":{\"http\":%q,\"link\":\"127.0.0.1:1\"}}\n", listener.Addr())
	panic(http.Serve(listener, mux)) //nolint:gosec // The process ends with the test.
}

// fakeBinaries returns a folder in which this program stands in for quetzalhitch.
func fakeBinaries(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	self, err := os.Executable()
	assert.NilError(t, err)
	assert.NilError(t, os.Symlink(self, filepath.Join(folder, "quetzalhitch")))
	assert.NilError(t, os.Symlink(tester.SharedBinaries(t).Emulator, filepath.Join(folder, "emulator")))
	return folder
}

func measure(t *testing.T, wantCode int, arguments ...string) (stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(t.Context(), arguments, &out, &errs)
	assert.Equal(t, code, wantCode, errs.String())
	return out.String(), errs.String()
}

// Guards against a declaration that differs from the running deployment, and
// against a run that writes no result.
func TestRunAndCompare(t *testing.T) {
	folder := t.TempDir()
	stdout, _ := measure(t, parser.ExitOK, "run", "ljepilo-hub/steady", "--batch=without", "--seed=9",
		"--warm-up=200ms", "--duration=1s", "--baseline=round-robin", "--folder", folder, "--binaries", fakeBinaries(t))
	assert.Assert(t, cmp.Contains(stdout, "without batch, baseline round-robin, seed 9"))

	file := filepath.Join(folder, withoutFile)
	result, err := readResult(file)
	assert.NilError(t, err)
	assert.Equal(t, len(result.Workspaces), 8)
	for _, w := range result.Workspaces {
		assert.Equal(t, w.Answered, w.Sent, "%s: %v", w.Name, w.Reasons)
	}

	result.WithBatch = true
	content, err := json.Marshal(result)
	assert.NilError(t, err)
	with := filepath.Join(folder, withFile)
	assert.NilError(t, os.WriteFile(with, content, 0o600))
	stdout, _ = measure(t, parser.ExitOK, "compare", with, file)
	assert.Assert(t, cmp.Contains(stdout, "first token p99"))
	_, stderr := measure(t, parser.ExitFailure, "compare", file, with)
	assert.Assert(t, cmp.Contains(stderr, "one without"))
}

// Guards against a killed failure domain that is not restarted, and against
// restarted entries that the load tool does not find.
func TestRunWithLostDomain(t *testing.T) {
	c := runCmd{Scenario: "ljepilo-hub/failure-domain-lost", Batch: modeWithout}
	d, err := c.description()
	assert.NilError(t, err)
	binaries := fakeBinaries(t)
	f, err := startFleet(t.Context(), d.Deployment, tester.DeploymentConfig{
		Folder:   t.TempDir(),
		Binaries: tester.Binaries{Entry: filepath.Join(binaries, "quetzalhitch"), Emulator: filepath.Join(binaries, "emulator")},
	})
	assert.NilError(t, err)
	t.Cleanup(f.close)
	for _, fault := range []measurer.Fault{{Kind: measurer.FailureDomainLost, FailureDomain: "hr-north-b"}, {Kind: measurer.PlatformDown}} {
		before := f.EntryAddresses()
		assert.NilError(t, f.Begin(t.Context(), fault))
		assert.Equal(t, f.deployment.Entry("hub-2").Process().Running(), fault.Kind != measurer.FailureDomainLost)
		assert.NilError(t, f.End(t.Context(), fault))
		assert.Assert(t, f.deployment.Entry("hub-2").Process().Running())
		assert.Equal(t, len(f.EntryAddresses()), len(before))
		assert.NilError(t, f.deployment.WaitReady(t.Context()))
	}
}

// Guards against a misspelt name or option that is accepted.
func TestUsage(t *testing.T) {
	stdout, _ := measure(t, parser.ExitOK, "list")
	for _, want := range []string{"scenario authority/platform-down", "baseline no-yield"} {
		assert.Assert(t, cmp.Contains(stdout, want))
	}
	for want, arguments := range map[string][]string{
		"unknown baseline": {"run", "authority/steady", "--baseline=best"},
		"--batch must be":  {"run", "authority/steady", "--batch=some"},
		"authority/st":     {"run", "authority/stead"},
	} {
		_, stderr := measure(t, parser.ExitFailure, arguments...)
		assert.Assert(t, cmp.Contains(stderr, want))
	}
	measure(t, parser.ExitUsage, "walk")
}
