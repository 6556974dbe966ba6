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

// Guards against malformed input that crashes an entry, gets an answer without
// a clear error, or affects concurrent calls.
func TestMalformedRequests(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{workspaces: highRateWorkspaces})
	key := d.keys["packing"]
	s := d.openStream("entry-a1", chat(key, "beside", 2000, true))
	orderHeader := "POST /services/order/orders HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + key + "\r\n"
	malformed := map[string]string{
		"bytes":                   "\x00\xff\x16\x03\x01\x02\x00garbage\r\n\r\n",
		"no version":              "GET garbage\r\n\r\n",
		"long request line":       "GET /" + strings.Repeat("garbage", 10_000) + " HTTP/1.1\r\nHost: entry\r\n\r\n",
		"bad length":              orderHeader + "Content-Length: -5\r\n\r\n{\"order-id\":\"garbage\"}",
		"two lengths":             orderHeader + "Content-Length: 5\r\nContent-Length: 22\r\n\r\n{\"order-id\":\"garbage\"}",
		"bad chunk":               orderHeader + "Transfer-Encoding: chunked\r\n\r\nzz\r\ngarbage\r\n0\r\n\r\n",
		"oversized header":        orderHeader + "X-Garbage: " + strings.Repeat("g", 100_000) + "\r\nContent-Length: 2\r\n\r\n{}",
		"oversized body":          orderHeader + fmt.Sprintf("Content-Length: %d\r\n\r\ngarbage", 64<<20),
		"unknown method":          "GARBAGE / HTTP/1.1\r\nHost: entry\r\n\r\n",
		"path out of the service": "GET /services/label/../garbage HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + key + "\r\n\r\n",
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			for _, e := range d.Entries {
				a := sendRaw(t, e.Addresses().HTTP, text)
				assert.Assert(t, a.status >= 400 && a.status < 500, "%d %s", a.status, a.body)
				assert.Assert(t, a.refusal().Error.Code != "", "%s", a.body)
				assert.Equal(t, a.refusal().Error.Outcome, "not-run")
			}
		})
	}
	t.Run("other calls are unaffected", func(t *testing.T) {
		assert.Assert(t, s.running(), "the stream ended too early: %s", s.text())
		assertCompleteStream(t, answer{status: http.StatusOK, body: s.awaitEnd(t)}, "beside-1999")
		for _, e := range d.Entries {
			assert.Assert(t, e.Process().Running())
			assertOK(t, d.mustCall(e.ID, get(key, "/services/label/labels/1")))
		}
		for _, r := range d.receivedByAll() {
			assert.Assert(t, !r.Contains("garbage"), "%+v", r)
		}
	})
}

// sendRaw sends raw bytes and reads the answer.
func sendRaw(t testing.TB, address, text string) (a answer) {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: callTimeout}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(callTimeout)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return answer{status: response.StatusCode, body: string(body)}
}
