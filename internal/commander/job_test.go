package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/internal/parser"
	"github.com/quetzalhitch/quetzalhitch/internal/receiver"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A fakeJobServer is an entry whose answers depend on the name of the job.
type fakeJobServer struct {
	uploads map[string]string
}

func (s *fakeJobServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer sesame" {
		sendJSON(w, http.StatusUnauthorized, refuser.New(refuser.KeyUnknown, refuser.NotRun, ""))
		return
	}
	job, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/batches/"), "/")
	if r.Method == http.MethodPut {
		upload, _ := io.ReadAll(r.Body)
		s.uploads[job] = string(upload) + " due in " + r.URL.Query().Get("due-in")
	}
	report := receiver.JobReport{Job: job, State: batcher.Completed, Items: 3, Done: 3, Due: time.Unix(0, 0).UTC()}
	switch {
	case job == "lost":
		panic(http.ErrAbortHandler)
	case job == "doubt":
		sendJSON(w, http.StatusServiceUnavailable, refuser.New(refuser.InDoubt, refuser.Unknown, "lost"))
	case job == "conflict":
		sendJSON(w, http.StatusConflict, refuser.New(refuser.JobConflict, refuser.NotRun, "other items"))
	case job == "cut" && rest == "results":
		fmt.Fprint(w, "{}\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case rest == "results":
		fmt.Fprint(w, "{\"custom_id\":\"a\"}\n")
	case rest == "cancel":
		report.State, report.Done, report.Cancelled = batcher.Cancelled, 1, 2
		sendJSON(w, http.StatusOK, report)
	case job == "failing":
		report.Done, report.Failed = 2, 1
		sendJSON(w, http.StatusOK, report)
	default:
		sendJSON(w, http.StatusOK, report)
	}
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Guards against exit codes and texts that mislead scripts: unknown outcomes that
// look like refusals, truncated results that look complete, and keys accepted as
// arguments.
func TestJob(t *testing.T) {
	jobServer := &fakeJobServer{uploads: make(map[string]string)}
	server := httptest.NewServer(jobServer)
	defer server.Close()
	folder := t.TempDir()
	items := filepath.Join(folder, "items.jsonl")
	assert.NilError(t, os.WriteFile(items, []byte("some items"), 0o600))
	keyFile := filepath.Join(folder, "key")
	assert.NilError(t, os.WriteFile(keyFile, []byte("sesame\n"), 0o600))
	t.Setenv("QUETZALHITCH_ENTRY", server.Listener.Addr().String())
	t.Setenv("QUETZALHITCH_KEY", "sesame")

	cases := []struct {
		name, args string
		code       int
		out        string
	}{
		{"submit", "submit a " + items + " --due-in 8h", parser.ExitOK, "job a: completed, 3 done, 0 failed, 0 cancelled of 3 items, due 1970-01-01T00:00:00Z\n"},
		{"submit and wait", "submit b --wait " + items, parser.ExitOK, "job b: completed"},
		{"submit and wait for failures", "submit failing --wait " + items, exitIncomplete, "1 of 3 items were not done"},
		{"refused", "submit conflict " + items, parser.ExitFailure, "job-conflict (not-run): other items"},
		{"in doubt", "submit doubt " + items, exitInDoubt, "submit it again, it does not run twice"},
		{"answer lost", "submit lost " + items, exitInDoubt, "submit it again, it does not run twice"},
		{"no file", "submit a nothing.jsonl", parser.ExitFailure, "no such file"},
		{"status", "status a", parser.ExitOK, "job a: completed"},
		{"status, answer lost", "status lost", parser.ExitFailure, "EOF"},
		{"cancel", "cancel a", parser.ExitOK, "job a: cancelled, 1 done, 0 failed, 2 cancelled"},
		{"cancel in doubt", "cancel lost", exitInDoubt, "cancel it again"},
		{"results", "results a", parser.ExitOK, "{\"custom_id\":\"a\"}\n"},
		{"results truncated", "results cut", parser.ExitFailure, "the results are incomplete"},
		{"results to a file", "results a -o " + filepath.Join(folder, "out.jsonl"), parser.ExitOK, ""},
		{"results truncated in a file", "results cut -o " + filepath.Join(folder, "cut.jsonl"), parser.ExitFailure, "the results are incomplete"},
		{"no job", "status", parser.ExitUsage, "required"},
		{"key as an argument", "status a --key sesame", parser.ExitUsage, "unknown argument"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertRuns(t, "job "+c.args, c.code, c.out)
		})
	}
	assert.Equal(t, jobServer.uploads["a"], "some items due in 8h0m0s")
	written, err := os.ReadFile(filepath.Join(folder, "out.jsonl"))
	assert.NilError(t, err)
	assert.Equal(t, string(written), "{\"custom_id\":\"a\"}\n")
	left, err := filepath.Glob(filepath.Join(folder, "*cut*"))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0, "%v", left)

	t.Run("key file", func(t *testing.T) {
		t.Setenv("QUETZALHITCH_KEY", "")
		assertRuns(t, "job status a", parser.ExitFailure, "a key is needed")
		assertRuns(t, "job status a --key-file "+keyFile, parser.ExitOK, "job a: completed")
	})
	t.Run("unknown key", func(t *testing.T) {
		t.Setenv("QUETZALHITCH_KEY", "other")
		assertRuns(t, "job status a", parser.ExitFailure, "key-unknown")
	})
}

// assertRuns runs a command and checks its exit code and its output. The output
// must not contain progress, since there is no terminal.
func assertRuns(t *testing.T, args string, code int, out string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	assert.Equal(t, Main(strings.Fields(args), &stdout, &stderr), code, stderr.String())
	text := stdout.String() + stderr.String()
	assert.Assert(t, strings.Contains(text, out), text)
	assert.Assert(t, !strings.Contains(text, clearLine))
	assert.Assert(t, !strings.Contains(text, "sesame") || code == parser.ExitUsage, text)
}
