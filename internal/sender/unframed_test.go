package sender

import (
	"testing"

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
