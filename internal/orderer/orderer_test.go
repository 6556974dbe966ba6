package orderer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/placer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// TestMalformedAnswers guards against a malformed answer of an engine that counts as an
// order that was carried out.
func TestMalformedAnswers(t *testing.T) {
	execute := func(t *testing.T, statusLine string) error {
		t.Helper()
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, statusLine+"\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		}()
		return New().Execute(t.Context(), placer.Order{Server: declarer.BackendServer{Address: listener.Addr().String()}})
	}
	for _, statusLine := range []string{"HTTP/1.1 000 X", "HTTP/2.0 200 OK", "HTTP/1.1 200 OK\r\nX A: 1", "HTTP/1.1 200 OK\r\nX : 1", "HTTP/1.1 200 OK\r\nX\x01: 1"} {
		t.Run(statusLine, func(t *testing.T) { assert.Assert(t, execute(t, statusLine) != nil) })
	}
	t.Run("a valid answer", func(t *testing.T) { assert.NilError(t, execute(t, "HTTP/1.1 200 OK")) })
}
