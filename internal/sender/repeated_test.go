package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// A repeater is a faulty server: it answers the first request of each connection with a
// refusal, and writes that once more before its answers to later ones.
type repeater struct {
	echo    string // Name of the header field that is repeated in answers.
	connect atomic.Int32
	ran     atomic.Int32
}

func (r *repeater) serve(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.connect.Add(1)
			go r.answer(c)
		}
	}()
	return listener.Addr().String()
}

func (r *repeater) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.connect.Load() > 1 && refusal == "" { // It has room by now.
			r.ran.Add(1)
			_, _ = io.WriteString(c, r.head("200 OK", request)+"Content-Length: 3\r\n\r\nran")
			continue
		}
		if refusal == "" {
			refusal = r.head("503 Full", request) + "Content-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, refusal)
			continue
		}
		r.ran.Add(1)
		_, _ = io.WriteString(c, refusal+r.head("200 OK", request)+"Content-Length: 3\r\n\r\nran")
	}
}

func (r *repeater) head(status string, request *http.Request) string {
	return "HTTP/1.1 " + status + "\r\n" + r.echo + ": " + request.Header.Get(r.echo) + "\r\n"
}

// TestRepeatedRefusal guards against an earlier refusal of the same request, written
// once more on a kept connection, that is taken for the answer to its next attempt.
func TestRepeatedRefusal(t *testing.T) {
	const echo = "X-Request"
	server := &repeater{echo: echo}
	address := server.serve(t)
	s := New(Config{})
	send := func(id string) *Answer {
		r := get(address)
		r.Header = append(r.Header, Field{Name: echo, Value: id})
		r.EchoField = Field{Name: echo, Value: id}
		a, err := s.Send(t.Context(), r)
		assert.NilError(t, err)
		t.Cleanup(a.Close)
		return a
	}
	assert.Equal(t, send("1").Status, http.StatusServiceUnavailable)
	t.Run("the next attempt of the request", func(t *testing.T) {
		a := send("1")
		assert.Equal(t, a.Status, http.StatusOK)
		assert.Equal(t, string(a.Body), "ran")
		assert.Equal(t, server.ran.Load(), int32(1))
	})
	t.Run("connections are still kept for other requests", func(t *testing.T) {
		before := server.connect.Load()
		for _, id := range []string{"2", "3", "4"} {
			assert.Equal(t, string(send(id).Body), "ran")
		}
		assert.Equal(t, server.connect.Load(), before)
	})
}
