package sender

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMalformedTrailers guards against an answer whose trailer is malformed and that counts
// as whole.
func TestMalformedTrailers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const events = "data: a\n\ndata: b\n\n"
	for _, line := range []string{
		"X A: 1", "X : 1", "X\t: 1", "X\tA: 1", ": 1", "No-Colon", " X: 1", "X-A: 1\r\n b", "X-A: 1\r\nX A: 1", "X(A): 1", "X\xc3\xa9: 1",
		"X\x00A: 1", "X\x01A: 1", "X\x0bA: 1", "X\x7fA: 1", "X\rA: 1", "X\x01: 1", "X\r: 1", "X-A: \x01", "X-A: 1\v",
		"Content-Length: 3", "Content-Length : 3", "Transfer-Encoding: chunked",
	} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			assertMalformed(t, head+chunk("whole")+"0\r\n"+line+"\r\n\r\n")
			assertMalformed(t, streamHead+chunk(events)+"0\r\n"+line+"\r\n\r\n")
		})
	}
	for _, trailer := range []string{"", "X-A: 1\r\n", "Cache-Control: a\r\nIf-Match: b\r\n", "!#$%&'*+-.^_`|~09Az: a\r\nX-Empty:\r\nX-Text:\ta\tb \xc3\xa9\xff : c \r\n"} {
		t.Run("sound: "+strconv.Quote(trailer), func(t *testing.T) {
			for _, want := range []string{"whole", events} {
				start := head
				if want == events {
					start = streamHead
				}
				r := get(startScripted(t, start+chunk(want)+"0\r\n"+trailer+"\r\n"))
				text, err := readAll(t, New(Config{}), r)
				assert.NilError(t, err)
				assert.Equal(t, text, want)
			}
		})
	}
	t.Run("broken off", func(t *testing.T) {
		const end = "0\r\nX-A: 1\r\n\r\n"
		for n := range len(end) {
			_, err := readAll(t, New(Config{}), get(startScripted(t, head+chunk("whole")+end[:n])))
			assertFailure(t, err, CauseConnectionLost, true)
		}
	})
	t.Run("an event does not wait for the trailer", func(t *testing.T) {
		r := get(startScripted(t, streamHead+chunk("data: a\n\n")+"0\r\n|"))
		r.ProgressTimeout = 200 * time.Millisecond
		text, err := readAll(t, New(Config{}), r)
		assert.Equal(t, text, "data: a\n\n")
		assertFailure(t, err, CauseTimeout, true)
	})
	t.Run("a connection is reused after a trailer", func(t *testing.T) {
		var connections atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-A")
			_, _ = io.WriteString(w, "whole")
			w.Header().Set("X-A", "1")
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		s := New(Config{})
		t.Cleanup(s.Close)
		for range 3 {
			text, err := readAll(t, s, get(server.Listener.Addr().String()))
			assert.NilError(t, err)
			assert.Equal(t, text, "whole")
		}
		assert.Equal(t, connections.Load(), int32(1))
	})
}
