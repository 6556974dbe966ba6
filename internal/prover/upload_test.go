package prover

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
)

// Guards against invalid uploads that are accepted in part, that are refused
// without the outcome not-run, or that leave data under their job name.
func TestRefusedUploads(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	valid := batchItems("bad", 3, 2)
	uploads := map[string]string{
		"no items":             "",
		"only white space":     "\n \n",
		"duplicate custom_ids": valid + batchItems("bad", 1, 2),
		"invalid UTF-8":        valid + strings.Replace(batchItems("worse", 1, 2), "marker:", "marker:\xff", 1),
		"invalid JSON":         valid + "{\"custom_id\":\n",
		"a truncated line":     valid[:len(valid)-10],
		"no route":             strings.ReplaceAll(valid, modelName, "lm-unknown"),
	}
	for name, content := range uploads {
		t.Run(name, func(t *testing.T) {
			a := d.mustCall("entry-a1", submit(key, "bad", content))
			assert.Assert(t, a.status >= 400 && a.status < 500, "%d %s", a.status, a.body)
			assert.Equal(t, a.refusal().Error.Outcome, "not-run", "%s", a.body)
			assert.Assert(t, a.refusal().Error.Message != "", "%s", a.body)
		})
	}
	for name, items := range map[string]int{"truncated after a line": 3, "truncated while it is streamed": 20_000} {
		t.Run(name, func(t *testing.T) {
			content := batchItems("bad", items, 2)
			a := d.sendTruncatedUpload("entry-a1", key, "bad", content, len(content)+1000)
			assertRefused(t, a, "bad-request", "not-run")
		})
	}
	t.Run("no data is left", func(t *testing.T) {
		assertRefused(t, d.mustCall("entry-b1", get(key, "/v1/batches/bad")), "job-not-found", "not-run")
		assert.Equal(t, d.dispatchedItems("bad"), 0)
	})
	t.Run("the name is free for a valid job", func(t *testing.T) {
		assertOK(t, d.mustCall("entry-b1", submit(key, "bad", valid)))
		d.awaitJob("entry-a1", key, "bad", "completed")
		assertResults(t, d.results("entry-a1", key, "bad"), "bad", 3)
	})
}

// Guards against a job of the maximum size that is refused or cannot be
// cancelled, and against a larger one that is accepted.
func TestLargestJob(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	key := d.keys["packing"]
	content := batchItems("largest", batcher.MaxItems, 2)

	t.Run("one item too many", func(t *testing.T) {
		a := d.mustCall("entry-a1", submit(key, "too-large", content+batchItems("more", 1, 2)))
		assertRefused(t, a, "bad-request", "not-run")
		assertRefused(t, d.mustCall("entry-b1", get(key, "/v1/batches/too-large")), "job-not-found", "not-run")
	})
	t.Run("the largest job", func(t *testing.T) {
		a := d.mustCall("entry-a1", submit(key, "largest", content))
		assertOK(t, a)
		assert.Assert(t, strings.Contains(a.body, fmt.Sprintf(`"items":%d`, batcher.MaxItems)), "%s", a.body)
		assertOK(t, d.mustCall("entry-b1", request{path: "/v1/batches/largest/cancel", key: key}))
		d.awaitJob("entry-a1", key, "largest", "cancelled")
	})
}

// sendTruncatedUpload sends an upload whose connection ends before the declared
// length.
func (d *testDeployment) sendTruncatedUpload(entry, key, job, content string, length int) (a answer) {
	d.t.Helper()
	connection, err := net.Dial("tcp", d.Entry(entry).Addresses().HTTP)
	assert.NilError(d.t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "PUT /v1/batches/%s?due-in=1h HTTP/1.1\r\nHost: entry\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", job, key, length, content)
	assert.NilError(d.t, err)
	assert.NilError(d.t, connection.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(d.t, err)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}
}
