package sender

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func assertMalformed(t *testing.T, answer string) {
	t.Helper()
	r := get(startScripted(t, answer))
	r.AllowUnframed = true
	text, err := readAll(t, New(Config{}), r)
	assert.Assert(t, err != nil, "%q counts as the answer %q", answer, text)
	assertFailure(t, err, CauseMalformed, true)
}

// TestMalformedAnswers guards against a malformed answer that counts as a valid one: the
// library represents a status of 000 as 200.
func TestMalformedAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n", "HTTP/1.1 700 X\r\nContent-Length: 2\r\n",
		"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n", "HTTP/1.1\r\nContent-Length: 2\r\n", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n", "HTTP/1.1 000 X\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			assertMalformed(t, head+"\r\nab")
		})
	}
	framings := map[string]string{
		"a length": "Content-Length: 5\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "no length": "",
	}
	for framing, line := range framings {
		body := "whole"
		if framing == "chunks" {
			body = chunk(body) + chunk("")
		}
		for _, field := range []string{
			"X A: 1", "X : 1", "X\t: 1", "X\tA: 1", "Content-Type : 3", "Retry-After : 3", ": 1", "No-Colon",
			"X\x00A: 1", "X\x01A: 1", "X\x0bA: 1", "X\x7fA: 1", "X\rA: 1", "X\x01: 1", "X\r: 1", "X\xc3\xa9: 1",
		} {
			t.Run(strconv.Quote(field)+" beside "+framing, func(t *testing.T) {
				assertMalformed(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n"+line+"\r\n"+body)
				assertMalformed(t, "HTTP/1.1 200 OK\r\n"+line+field+"\r\n\r\n"+body)
			})
		}
	}
	for _, field := range []string{"Content-Length : 3", "Content-Length\t: 3", "Transfer-Encoding : chunked"} {
		t.Run(strconv.Quote(field), func(t *testing.T) {
			assertMalformed(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nwhole")
		})
	}
	t.Run("the head of an interim answer", func(t *testing.T) {
		assertMalformed(t, "HTTP/1.1 103 Hints\r\nX A: 1\r\n\r\n"+fixedLengthHead+"whole")
	})
	t.Run("the head of an answer to another request", func(t *testing.T) {
		r := get(startScripted(t, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length : 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole"))
		r.AllowUnframed, r.EchoField = true, Field{Name: "X-Id", Value: "1"}
		_, err := readAll(t, New(Config{}), r)
		assertFailure(t, err, CauseMalformed, true)
	})
	t.Run("sound fields", func(t *testing.T) {
		r := get(startScripted(t, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: a\r\nX-Empty:\r\nX-Text:\ta\tb \xc3\xa9\xff : c \r\nContent-Length: 5\r\n\r\nwhole"))
		r.KeepHeader = func(string) bool { return true }
		a, err := New(Config{}).Send(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "whole")
		for _, want := range []Field{{"!#$%&'*+-.^_`|~09", "a"}, {"X-Empty", ""}, {"X-Text", "a\tb \xc3\xa9\xff : c"}} {
			assert.Assert(t, slices.Contains(a.Header, want), "%q in %q", want, a.Header)
		}
	})
	t.Run("interim answers", func(t *testing.T) {
		r := get(startScripted(t, "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
		text, err := readAll(t, New(Config{}), r)
		assert.NilError(t, err)
		assert.Equal(t, text, "ab")
	})
}

// TestAnswersWithoutBody guards against answers that have neither a length nor a body and
// count as broken off because their connection stays open.
func TestAnswersWithoutBody(t *testing.T) {
	for _, statusLine := range []string{"HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified"} {
		t.Run(statusLine, func(t *testing.T) {
			r := get(startScripted(t, statusLine+"\r\nX-Last: 1\r\n\r\n|"))
			r.AllowUnframed = true
			text, err := readAll(t, New(Config{}), r)
			assert.NilError(t, err)
			assert.Equal(t, text, "")
		})
	}
	t.Run("HEAD", func(t *testing.T) {
		r := get(startScripted(t, "HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\n|"))
		r.Method, r.AllowUnframed = "HEAD", true
		_, err := readAll(t, New(Config{}), r)
		assert.NilError(t, err)
	})
}

// startEarly starts a server that answers each request after its first bytes, and then
// ends the connection. Its machine holds only a small part of a request that the server has
// not read.
func startEarly(t *testing.T, answer string, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	control := func(_, _ string, raw syscall.RawConn) (err error) {
		return errors.Join(raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) }), err)
	}
	listener, err := (&net.ListenConfig{Control: control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEarlyAnswer guards against the start of an answer without a length that counts as
// whole, although the server ended the connection before it had the whole request.
func TestEarlyAnswer(t *testing.T) {
	const requests = 60
	answers := map[string]string{
		"a body":   "HTTP/1.1 200 OK\r\n\r\npart",
		"a stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: part\n\n",
	}
	ends := map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) { _ = c.Close() },
		"resets": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"reads some more and closes": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 20<<10)
			_ = c.Close()
		},
		"ends its side": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"ends its side, then closes": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(time.Millisecond)
			_ = c.Close()
		},
		"reads some more and ends its side": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 20<<10)
			_ = c.CloseWrite()
		},
		"reads what has come and closes": func(c *net.TCPConn) {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, _ = io.CopyN(io.Discard, c, 64<<10)
			_ = c.Close()
		},
	}
	for answerName, answer := range answers {
		for endName, end := range ends {
			t.Run(answerName+", the server "+endName, func(t *testing.T) {
				address := startEarly(t, answer, end)
				s := New(Config{})
				whole := 0
				for range requests {
					r := Request{
						Address: address, Method: "POST", Path: "/", Body: bytes.Repeat([]byte("x"), 100<<10), AllowUnframed: true,
						FirstByteTimeout: time.Second, ProgressTimeout: time.Second,
					}
					if _, err := readAll(t, s, r); err == nil {
						whole++
					}
				}
				assert.Equal(t, whole, 0, "of %d parts", requests)
			})
		}
	}
	t.Run("an answer after the whole request", func(t *testing.T) {
		address := startEarly(t, "", func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 99<<10)
			_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = io.Copy(io.Discard, c)
			_, _ = io.WriteString(c, answers["a body"])
			_ = c.Close()
		})
		s := New(Config{})
		for range 10 {
			text, err := readAll(t, s, Request{
				Address: address, Method: "POST", Path: "/", Body: bytes.Repeat([]byte("x"), 100<<10), AllowUnframed: true,
				FirstByteTimeout: time.Second, ProgressTimeout: time.Second,
			})
			assert.NilError(t, err)
			assert.Equal(t, text, "part")
		}
	})
}
