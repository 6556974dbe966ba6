package prover

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	// intakeMemory and intakeDescriptors are the limits of the process under test. It
	// runs two entries with the default settings, and their backend servers.
	intakeMemory      = 512 << 20
	intakeDescriptors = 700
)

var devAddress = regexp.MustCompile(`two entries: (http://\S+) and`)

// TestIntake guards against callers that end a process or keep others out, with requests
// that never become whole: the process ran out of memory or descriptors.
func TestIntake(t *testing.T) {
	for _, l := range tester.IntakeLoads() {
		t.Run(l.Name, func(t *testing.T) { withstands(t, l, serviceHead) })
	}
}

// Heads of requests: a part of all, and that of a call of a service.
const (
	devHead     = "Host: entry\r\nAuthorization: Bearer dev-workspace-key\r\n"
	serviceHead = "POST /services/label/hostile HTTP/1.1\r\n" + devHead
)

// TestDecodedBodies guards against whole requests of legal size that end a process by
// what is made of them: decoded, copied or kept.
func TestDecodedBodies(t *testing.T) {
	const (
		completionHead = "POST /v1/chat/completions HTTP/1.1\r\n" + devHead
		uploadHead     = "PUT /v1/batches/job-{connection} HTTP/1.1\r\n" + devHead
		operatorHead   = "POST /operator/apply HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer dev-operator-key\r\n"
	)
	fields := make([]string, 300_000)
	for n := range fields {
		fields[n] = fmt.Sprintf(`"x%d":0`, n)
	}
	message := `{"role":"user","content":"` + strings.Repeat("x", 200_000) + `"}`
	line := `","url":"/v1/chat/completions","body":{"model":"example-lm","messages":[0` + strings.Repeat(",0", 500_000) + `]}}` + "\n"
	for _, c := range []struct {
		head string
		load tester.IntakeLoad
	}{
		{completionHead, tester.WholeBodies("completions of many messages", 20, `{"model":"example-lm","messages":[`, `0`, `]}`)},
		{completionHead, tester.WholeBodies("completions of large messages", 20, `{"model":"example-lm","messages":[`, message, `]}`)},
		{completionHead, tester.WholeRequests("completions with many fields", 20, `{`+strings.Join(fields, ",")+`}`)},
		{completionHead, tester.WholeRequests("deep nesting", 20, `{"messages":`+strings.Repeat("[", 4<<20-20))},
		{serviceHead, tester.WholeBodies("bodies with escapes", 20, "", `%41\u0041`, "")},
		{uploadHead, tester.WholeRequests("lines of many values", 20, `{"custom_id":"a`+line+`{"custom_id":"b`+line+`{"custom_id":"c`+line)},
		{operatorHead + "Content-Encoding: gzip\r\n", tester.WholeRequests("compressed release notes", 5, compressedZeros(t))},
		{operatorHead, tester.WholeRequests("release notes of deep nesting", 5, `x = `+strings.Repeat("[", 1<<20-10))},
		{operatorHead, tester.WholeRequests("release notes of long keys", 5, `x`+strings.Repeat(".x", 1<<19-10)+` = 1`)},
		{operatorHead, tester.WholeBodies("release notes of many values", 5, `x = [`, `[]`, `]`)},
	} {
		t.Run(c.load.Name, func(t *testing.T) { withstands(t, c.load, c.head) })
	}
}

// compressedZeros returns a compressed text a thousand times as large.
func compressedZeros(t *testing.T) string {
	t.Helper()
	const megabytes = 512
	var text bytes.Buffer
	w := gzip.NewWriter(&text)
	for range megabytes {
		_, err := w.Write(make([]byte, 1<<20))
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	return text.String()
}

// withstands checks that a process survives a load within its limits and still answers.
func withstands(t *testing.T, l tester.IntakeLoad, head string) {
	t.Helper()
	p, err := tester.StartLimitedProcess(t.Context(), tester.Command{
		Name: "dev", Path: tester.SharedBinaries(t).Entry, Arguments: []string{"dev", "--port", "0"}, Folder: t.TempDir(),
	}, intakeDescriptors)
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	var url string
	tester.Eventually(t, waitTimeout, "the process prints its address", func() error {
		text, err := os.ReadFile(p.Stdout)
		if match := devAddress.FindSubmatch(text); match != nil {
			url = string(match[1])
			return nil
		}
		if err == nil {
			err = merry.New("no address")
		}
		return err
	})
	answersLabel(t, url)
	stop := l.Start(t, strings.TrimPrefix(url, "http://"), head)
	assert.Assert(t, p.Running(), "%s", p.Tail())
	answersLabel(t, url)
	peak, err := p.MemoryPeak()
	assert.NilError(t, err)
	descriptors, err := p.Descriptors()
	assert.NilError(t, err)
	stop()
	t.Logf("peak %d MB, %d descriptors", peak>>20, descriptors)
	assert.Assert(t, peak <= intakeMemory, "the process held %d MB", peak>>20)
	assert.Assert(t, descriptors < intakeDescriptors*9/10, "%d of %d descriptors are open", descriptors, intakeDescriptors)
}

// answersLabel checks that an ordinary request is answered. Refusals before that are
// allowed.
func answersLabel(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	tester.Eventually(t, waitTimeout, "an ordinary request is answered", func() error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/services/label/labels/1", nil)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer dev-workspace-key")
		answer, err := client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		if answer.StatusCode != http.StatusOK {
			return merry.Errorf("status %d", answer.StatusCode)
		}
		return nil
	})
}
