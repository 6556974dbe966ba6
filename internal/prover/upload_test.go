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

// Guards against uploads that are taken in part, refused without saying that
// nothing has run, or that leave something behind under their name.
func TestUploadsThatAreRefused(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	whole := batchItems("bad", 3, 2)
	uploads := map[string]string{
		"no items":             "",
		"only white space":     "\n \n",
		"duplicate custom_ids": whole + batchItems("bad", 1, 2),
		"invalid UTF-8":        whole + strings.Replace(batchItems("worse", 1, 2), "marker:", "marker:\xff", 1),
		"invalid JSON":         whole + "{\"custom_id\":\n",
		"a line cut short":     whole[:len(whole)-10],
		"no route":             strings.ReplaceAll(whole, model, "lm-unknown"),
	}
	for name, content := range uploads {
		t.Run(name, func(t *testing.T) {
			a := b.mustCall("entry-a1", submit(key, "bad", content))
			assert.Assert(t, a.status >= 400 && a.status < 500, "%d %s", a.status, a.body)
			assert.Equal(t, a.refusal().Error.Outcome, "not-run", "%s", a.body)
			assert.Assert(t, a.refusal().Error.Message != "", "%s", a.body)
		})
	}
	for name, items := range map[string]int{"cut between two lines": 3, "cut while it is streamed": 20_000} {
		t.Run(name, func(t *testing.T) {
			content := batchItems("bad", items, 2)
			a := b.cutUpload("entry-a1", key, "bad", content, len(content)+1000)
			assertRefused(t, a, "bad-request", "not-run")
		})
	}
	t.Run("no trace is left", func(t *testing.T) {
		assertRefused(t, b.mustCall("entry-b1", get(key, "/v1/batches/bad")), "job-not-found", "not-run")
		assert.Equal(t, b.dispatched("bad"), 0)
	})
	t.Run("the name is free for a sound job", func(t *testing.T) {
		assertOK(t, b.mustCall("entry-b1", submit(key, "bad", whole)))
		b.awaitJob("entry-a1", key, "bad", "completed")
		assertResults(t, b.results("entry-a1", key, "bad"), "bad", 3)
	})
}

// Guards against a job of the greatest size that is refused, or that cannot be
// cancelled, and against a larger one that is accepted.
func TestGreatestJob(t *testing.T) {
	b := startBench(t, benchConfig{})
	key := b.keys["packing"]
	content := batchItems("greatest", batcher.MaxItems, 2)

	t.Run("one item too many", func(t *testing.T) {
		a := b.mustCall("entry-a1", submit(key, "too-great", content+batchItems("more", 1, 2)))
		assertRefused(t, a, "bad-request", "not-run")
		assertRefused(t, b.mustCall("entry-b1", get(key, "/v1/batches/too-great")), "job-not-found", "not-run")
	})
	t.Run("the greatest job", func(t *testing.T) {
		a := b.mustCall("entry-a1", submit(key, "greatest", content))
		assertOK(t, a)
		assert.Assert(t, strings.Contains(a.body, fmt.Sprintf(`"items":%d`, batcher.MaxItems)), "%s", a.body)
		assertOK(t, b.mustCall("entry-b1", request{path: "/v1/batches/greatest/cancel", key: key}))
		b.awaitJob("entry-a1", key, "greatest", "cancelled")
	})
}

// cutUpload sends an upload whose connection ends before the declared length.
func (b *bench) cutUpload(entry, key, job, content string, length int) (a answer) {
	b.t.Helper()
	connection, err := net.Dial("tcp", b.Entry(entry).Addresses().HTTP)
	assert.NilError(b.t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "PUT /v1/batches/%s?due-in=1h HTTP/1.1\r\nHost: entry\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", job, key, length, content)
	assert.NilError(b.t, err)
	assert.NilError(b.t, connection.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(b.t, err)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}
}
