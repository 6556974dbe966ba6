package sender

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnframedAnswer guards against answers without a length or chunks that count as
// whole although the server broke them off.
func TestUnframedAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	const events = "data: a\n\ndata: b\n\n"
	read := func(t *testing.T, answer string) (string, error) {
		r := get(startScripted(t, answer))
		r.AllowUnframed = true
		return readAll(t, New(Config{}), r)
	}
	assertCut := func(t *testing.T, answer string) {
		t.Helper()
		_, err := read(t, answer)
		assertFailure(t, err, CauseTruncated, true)
	}
	t.Run("a body", func(t *testing.T) {
		text, err := read(t, "HTTP/1.1 200 OK\r\n\r\nwhole")
		assert.NilError(t, err)
		assert.Equal(t, text, "whole")
	})
	t.Run("a stream that ends after an event", func(t *testing.T) {
		text, err := read(t, head+events)
		assert.NilError(t, err)
		assert.Equal(t, text, events)
	})
	t.Run("a stream that ends inside an event", func(t *testing.T) { assertCut(t, head+events+"data: c\n") })
	t.Run("a stream that ends inside a line", func(t *testing.T) { assertCut(t, head+events+"data") })
	t.Run("a stream that ends before its first event", func(t *testing.T) { assertCut(t, head) })
	t.Run("a stream that ends after a comment", func(t *testing.T) { assertCut(t, head+": wait\n\n") })
}

// TestHeadBrokenOff guards against an answer whose head the server broke off and that
// counts as whole, with an empty or short body.
func TestHeadBrokenOff(t *testing.T) {
	heads := map[string]string{
		"a length":                         "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\nX-Last: 1\r\n\r\n",
		"chunks":                           "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n",
		"no length":                        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Last: 1\r\n\r\n",
		"events":                           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Last: 1\r\n\r\n",
		"a line feed as the end of a line": "HTTP/1.1 200 OK\nContent-Length: 12\nX-Last: 1\n\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) - 1 {
				r := get(startScripted(t, head[:n]))
				r.AllowUnframed = true
				text, err := readAll(t, New(Config{DialTimeout: time.Minute}), r)
				var failure *Failure
				assert.Assert(t, errors.As(err, &failure), "after "+strconv.Quote(head[:n])+": "+strconv.Quote(text))
				assert.Assert(t, failure.Dispatched && failure.Cause != CauseTimeout, "%s: %v", strings.TrimSpace(head[:n]), err)
			}
		})
	}
}
