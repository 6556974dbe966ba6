package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A flood is a server that answers each request with a start, and then with the same
// bytes again and again until the caller closes the connection.
type flood struct {
	start, repeated string
	pause           time.Duration // Between two repetitions; zero is as fast as the caller reads.
}

func (f flood) serve(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(f.repeated)
	if f.pause == 0 {
		block = bytes.Repeat(block, 1+(64<<10)/len(block))
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go f.answer(c, block)
		}
	}()
	return listener.Addr().String()
}

// answer writes the same block again and again. It allocates nothing meanwhile.
func (f flood) answer(c net.Conn, block []byte) {
	defer func() { _ = c.Close() }()
	_, _ = http.ReadRequest(bufio.NewReader(c))
	_, err := io.WriteString(c, f.start)
	for err == nil {
		time.Sleep(f.pause)
		_, err = c.Write(block)
	}
}

// readFlood reads an answer until it fails, and returns how long that took.
func readFlood(t *testing.T, address string) (took time.Duration, err error) {
	t.Helper()
	r := get(address)
	r.FirstByteTimeout, r.ProgressTimeout = 300*time.Millisecond, 300*time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	started := time.Now()
	s := New(Config{MaxAnswerBytes: 256 << 10})
	a, err := s.Send(ctx, r)
	if err == nil {
		defer a.Close()
	}
	for err == nil && a.Stream {
		_, err = a.Next()
	}
	return time.Since(started), err
}

// TestEndlessBytes guards against servers in trouble that send bytes that are no answer,
// or part of none, until the caller closes: fast, which costs memory and processor
// time, or a few now and then, which holds the request although nothing comes of it.
func TestEndlessBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name string
		flood
	}{
		{"a head without line end", flood{"", "x", 0}},
		{"a head without line end, slowly", flood{"", "x", 50 * time.Millisecond}},
		{"a head with lines without end", flood{head, "A: b\r\n", 0}},
		{"a head with lines without end, slowly", flood{head, "A: b\r\n", 50 * time.Millisecond}},
		{"interim answers without end", flood{"", "HTTP/1.1 100 Continue\r\n\r\n", 0}},
		{"interim answers without end, slowly", flood{"", "HTTP/1.1 103 Early Hints\r\n\r\n", 50 * time.Millisecond}},
		{"a chunk size without end", flood{head + "Transfer-Encoding: chunked\r\n\r\n", "0", 0}},
		{"a chunk extension without end", flood{head + "Transfer-Encoding: chunked\r\n\r\n5;a=", "x", 0}},
		{"a body without end", flood{head + "Transfer-Encoding: chunked\r\n\r\n", chunk("whole"), 0}},
		{"a body without declared length or end", flood{head + "\r\n", "x", 0}},
		{"a stream with an event without end", flood{streamHead, chunk("data: x\n"), 0}},
		{"a stream with a line without end, slowly", flood{streamHead, chunk("x"), 50 * time.Millisecond}},
		{"a stream of comments", flood{streamHead, chunk(":\n\n"), 0}},
		{"a stream of comments, slowly", flood{streamHead, chunk(":\n\n"), 50 * time.Millisecond}},
		{"a stream whose chunk extension has no end, slowly", flood{streamHead + chunk("data: 1\n\n") + "5;a=", "x", 50 * time.Millisecond}},
		{"trailers without end", flood{head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("whole") + "0\r\n", "A: b\r\n", 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			took, err := readFlood(t, c.serve(t))
			runtime.ReadMemStats(&after)
			var f *Failure
			assert.Assert(t, errors.As(err, &f), "no failure but %v", err)
			assert.Assert(t, f.Cause != CauseCancelled, "only the deadline of the request ended it")
			assert.Assert(t, took < 2*time.Second, "ended after %v", took)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < 32<<20, "%d bytes were allocated", allocated)
		})
	}
}

// TestSlowStream guards against a sound stream that is cut because its server sends it
// slowly, or because its caller reads it slowly.
func TestSlowStream(t *testing.T) {
	const progressTimeout = 400 * time.Millisecond
	event := chunk("id: 1\ndata: x\n\n")
	read := func(t *testing.T, readPause, pause time.Duration, parts ...string) {
		t.Helper()
		r := get(startSlow(t, pause, parts...))
		r.ProgressTimeout = progressTimeout
		a, err := New(Config{}).Send(t.Context(), r)
		assert.NilError(t, err)
		defer a.Close()
		for range 3 {
			event, err := a.Next()
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(event), "data: x"))
			time.Sleep(readPause)
		}
		_, err = a.Next()
		assert.ErrorIs(t, err, io.EOF)
	}
	t.Run("each event takes most of the progress timeout", func(t *testing.T) {
		parts := append([]string{streamHead}, strings.Split(strings.Repeat(event, 3)+"0\r\n\r\n", "")...)
		read(t, 0, 8*time.Millisecond, parts...)
	})
	t.Run("the caller waits for longer than the progress timeout", func(t *testing.T) {
		const pause = progressTimeout + 200*time.Millisecond
		read(t, progressTimeout+100*time.Millisecond, pause, streamHead+event, event, event, "0\r\n\r\n")
	})
}

// startSlow starts a server that answers one request in parts, with a pause after each.
func startSlow(t *testing.T, pause time.Duration, parts ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
			time.Sleep(pause)
		}
	}()
	return listener.Addr().String()
}

// TestForeignAnswers guards against an answer to an earlier request that is taken for
// the answer to this one, when a server sends a second copy late, on a connection that
// is in use again.
func TestForeignAnswers(t *testing.T) {
	const echo = "X-Request"
	answer := func(head, id, body string) string {
		text := "HTTP/1.1 " + head + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n"
		if id != "" {
			text += echo + ": " + id + "\r\n"
		}
		return text + "\r\n" + body
	}
	cases := []struct {
		name   string
		second string // What the server sends for the second request.
		want   string // Empty if the second request fails.
	}{
		{"a second copy", answer("200 OK", "1", "first") + answer("200 OK", "2", "next"), "next"},
		{"a refusal without an ID", answer("503 Busy", "", "full") + answer("200 OK", "2", "next"), "next"},
		{"a misdirection without an ID", answer("421 Misdirected", "", "") + answer("200 OK", "2", "next"), "next"},
		{"an answer that names two IDs", "HTTP/1.1 503 Busy\r\n" + echo + ": 2\r\n" + echo + ": 1\r\nContent-Length: 0\r\n\r\n" + answer("200 OK", "2", "next"), "next"},
		{"an answer that names two IDs, the other one last", "HTTP/1.1 503 Busy\r\n" + echo + ": 1\r\n" + echo + ": 2\r\nContent-Length: 0\r\n\r\n" + answer("200 OK", "2", "next"), "next"},
		{"only answers without an ID", strings.Repeat(answer("200 OK", "", "first"), maxMismatchedAnswers+1), ""},
		{
			"a second copy that is longer than answers may be",
			"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n" + echo + ": 1\r\n\r\n" + strings.Repeat("x", 100) + answer("200 OK", "2", "fake") + strings.Repeat("x", 40),
			"",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startTwoRequestServer(t, answer("200 OK", "1", "first"), c.second)
			s := New(Config{MaxAnswerBytes: 100})
			send := func(id string) (string, error) {
				r := get(address)
				r.EchoField = Field{Name: echo, Value: id}
				return readAll(t, s, r)
			}
			text, err := send("1")
			assert.NilError(t, err)
			assert.Equal(t, text, "first")
			text, err = send("2")
			if c.want == "" {
				assert.Assert(t, err != nil, "got %q", text)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, text, c.want)
		})
	}
}

// startTwoRequestServer starts a server that answers two requests on one connection.
func startTwoRequestServer(t *testing.T, first, second string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		reader := bufio.NewReader(c)
		for _, text := range []string{first, second} {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	}()
	return listener.Addr().String()
}
