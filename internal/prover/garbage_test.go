package prover

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against input that takes down an entry, is answered without a clear
// error, or harms calls beside it.
func TestGarbageAtThePort(t *testing.T) {
	b := startBench(t, benchConfig{workspaces: ample})
	key := b.keys["packing"]
	s := b.openStream("entry-a1", chat(key, "beside", 2000, true))
	head := "POST /services/order/orders HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + key + "\r\n"
	garbage := map[string]string{
		"bytes":                   "\x00\xff\x16\x03\x01\x02\x00garbage\r\n\r\n",
		"no version":              "GET garbage\r\n\r\n",
		"long request line":       "GET /" + strings.Repeat("garbage", 10_000) + " HTTP/1.1\r\nHost: entry\r\n\r\n",
		"bad length":              head + "Content-Length: -5\r\n\r\n{\"order-id\":\"garbage\"}",
		"two lengths":             head + "Content-Length: 5\r\nContent-Length: 22\r\n\r\n{\"order-id\":\"garbage\"}",
		"bad chunk":               head + "Transfer-Encoding: chunked\r\n\r\nzz\r\ngarbage\r\n0\r\n\r\n",
		"oversized header":        head + "X-Garbage: " + strings.Repeat("g", 100_000) + "\r\nContent-Length: 2\r\n\r\n{}",
		"oversized body":          head + fmt.Sprintf("Content-Length: %d\r\n\r\ngarbage", 64<<20),
		"unknown method":          "GARBAGE / HTTP/1.1\r\nHost: entry\r\n\r\n",
		"path out of the service": "GET /services/label/../garbage HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + key + "\r\n\r\n",
	}
	for name, text := range garbage {
		t.Run(name, func(t *testing.T) {
			for _, e := range b.Entries {
				a := sendRaw(t, e.Addresses().HTTP, text)
				assert.Assert(t, a.status >= 400 && a.status < 500, "%d %s", a.status, a.body)
				assert.Assert(t, a.refusal().Error.Code != "", "%s", a.body)
				assert.Equal(t, a.refusal().Error.Outcome, "not-run")
			}
		})
	}
	t.Run("nothing is lost", func(t *testing.T) {
		assert.Assert(t, s.running(), "the stream ended too early: %s", s.text())
		assertWholeStream(t, answer{status: http.StatusOK, body: s.awaitEnd(t)}, "beside-1999")
		for _, e := range b.Entries {
			assert.Assert(t, e.Process().Running())
			assertOK(t, b.mustCall(e.ID, get(key, "/services/label/labels/1")))
		}
		for _, r := range b.receivedByAll() {
			assert.Assert(t, !r.Contains("garbage"), "%+v", r)
		}
	})
}

// sendRaw sends bytes and reads the answer to them.
func sendRaw(t testing.TB, address, text string) (a answer) {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: callLimit}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(callLimit)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return answer{status: response.StatusCode, body: string(body)}
}
