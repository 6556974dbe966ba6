package storer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// TestMalformedAnswers guards against a malformed answer that counts as an entry: the
// library represents a status of 000 as 200.
func TestMalformedAnswers(t *testing.T) {
	const body = "\r\nContent-Length: 27\r\n\r\n" + `{"key":"k","version":  1  }`
	read := func(t *testing.T, statusLine string) (get, watch error) {
		t.Helper()
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, statusLine+body)
				_ = c.Close()
			}
		}()
		cfg := storer.ClientConfig{Address: listener.Addr().String(), CallTimeout: time.Second, Clock: clockwork.NewRealClock()}
		_, get = storer.NewClient(cfg).Get(t.Context(), "k")
		_, watch = storer.NewClient(cfg).Watch(t.Context(), "k", 0)
		return get, watch
	}
	for _, statusLine := range []string{"HTTP/1.1 000 X", "HTTP/2.0 200 OK", "HTTP/1.1", "HTTP/1.1 200 OK\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\nX A: 1", "HTTP/1.1 200 OK\r\nX : 1", "HTTP/1.1 200 OK\r\nX\x01: 1"} {
		t.Run(statusLine, func(t *testing.T) {
			get, watch := read(t, statusLine)
			assert.ErrorIs(t, get, storer.ErrUnavailable)
			assert.ErrorIs(t, watch, storer.ErrUnavailable)
		})
	}
	t.Run("a valid answer", func(t *testing.T) {
		get, watch := read(t, "HTTP/1.1 200 OK")
		assert.NilError(t, get)
		assert.NilError(t, watch)
	})
}
