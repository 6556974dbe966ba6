package headreader

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// tokenCharacters are all characters of the name of a field (RFC 9110, section 5.6.2).
const tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

func check(text string) (rest string, err error) {
	r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), 256)
	if err := Check(r); err != nil {
		return "", err
	}
	data, err := io.ReadAll(r)
	return string(data), err
}

// TestCheck guards against malformed heads that a client takes for valid ones, and against
// valid heads that are refused or changed.
func TestCheck(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.0 599\r\n\r\n",
		"HTTP/1.1 204 \r\n\r\n",
		"HTTP/1.1 200 OK\ncontent-length:0\n\nHTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Content-Length: -1\r\nNo-Value:\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + tokenCharacters + ":a\r\nX: \t\r\nY: a\tb \xc3\xa9\xff : c\r\n\r\n",
	} {
		t.Run("valid: "+head, func(t *testing.T) {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"} {
				rest, err := check(interim + head)
				assert.NilError(t, err)
				assert.Equal(t, rest, head)
			}
		})
	}
	statusLines := []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 700 X", "HTTP/1.1 999", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
		"HTTP/1.1 -200 OK", "HTTP/1.1 +20 OK", "HTTP/1.1  200 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK",
		"ICY 200 OK", "http/1.1 200 OK", "200 OK", "", " HTTP/1.1 200 OK", "HTTP/1.1 101 Switching",
	}
	fields := []string{
		"Content-Length: -1", "Content-Length: +1", "Content-Length:", "Content-Length: 1x", "Content-Length: 1 1", "Content-Length: 1, 1", "content-length : -5", "Content-Length: \v1", "Content-Length: 1\u00a0",
		"Content-Length: 9999999999999999999", "Content-Length: 1\r\ncontent-length: 1", "Content-Length: 1\r\nX: y\r\nContent-Length: 2",
		"Content-Length: 1\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked",
		"Content-Length:\r\n 5", "X: y\r\n\tz",
		"X A: 1", "X : 1", "X\t: 1", "X\tA: 1", "Content-Length : 1", "Content-Length\t: 1", "Transfer-Encoding : chunked", ": 1", ":", " : 1",
		"No-Colon", "Content-Length 1", "X\x00A: 1", "X\x01: 1", "X\x0b: 1", "\x0bX: 1", "X\x7f: 1", "X\rA: 1", "X\r: 1", "\r", "X(A): 1", "X\xc3\xa9: 1", "\u00a0X: 1",
		"X: y\r\nX A: 1", "X A: 1\r\nContent-Length: 2",
	}
	var malformed []string
	for _, line := range statusLines {
		malformed = append(malformed, line+"\r\nContent-Length: 2\r\n\r\nab", line+"\r\n\r\n")
	}
	for _, field := range fields {
		malformed = append(malformed, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nab")
	}
	malformed = append(malformed, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim+1)+"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	for _, head := range malformed {
		t.Run("malformed: "+head, func(t *testing.T) {
			_, err := check(head)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
	t.Run("broken off", func(t *testing.T) {
		const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
		_, err := check("")
		assert.ErrorIs(t, err, io.EOF)
		for n := 1; n < len(head); n++ {
			_, err := check(head[:n])
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("without end", func(t *testing.T) {
		_, err := check("HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 100))
		assert.ErrorIs(t, err, ErrTooLarge)
	})
}

// TestDiscardTrailer guards against malformed trailers that are taken for valid ones, and
// against bytes after a trailer that are lost.
func TestDiscardTrailer(t *testing.T) {
	discard := func(text string) (rest string, err error) {
		r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), 256)
		if err := DiscardTrailer(r); err != nil {
			return "", err
		}
		data, err := io.ReadAll(r)
		return string(data), err
	}
	const next = "HTTP/1.1 200 OK\r\n"
	for _, trailer := range []string{"\r\n", "\n", "X: y\r\n\r\n", "Cache-Control: y\r\nContent-Type: z\r\n\r\n", tokenCharacters + ":a\r\nX: \t\r\nY: a\tb \xc3\xa9\xff : c\r\n\r\n"} {
		t.Run("valid: "+trailer, func(t *testing.T) {
			rest, err := discard(trailer + next)
			assert.NilError(t, err)
			assert.Equal(t, rest, next)
		})
	}
	for _, field := range []string{
		"X A: 1", "X : 1", " X: 1", "X: y\r\n z", ": 1", "No-Colon", "X\x01: 1", "X: \x01", "X: 1\v", "Content-Length: 1", "transfer-encoding: chunked", "X: y\r\nX A: 1",
	} {
		t.Run("malformed: "+field, func(t *testing.T) {
			_, err := discard(field + "\r\n\r\n" + next)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
	t.Run("broken off", func(t *testing.T) {
		const trailer = "X: y\r\n\r\n"
		for n := range len(trailer) {
			_, err := discard(trailer[:n])
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("without end", func(t *testing.T) {
		_, err := discard(strings.Repeat("A: b\r\n", 100))
		assert.ErrorIs(t, err, ErrTooLarge)
	})
}

// TestConn guards against a malformed response on a connection that is reused.
func TestConn(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close() //nolint:errcheck // The test has ended.
	go func() {
		request := make([]byte, 1)
		for _, response := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\na"} {
			_, _ = far.Read(request)
			_, _ = io.WriteString(far, response)
		}
	}()
	c := NewConn(near)
	_, err := c.Write([]byte("q"))
	assert.NilError(t, err)
	text := make([]byte, len("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
	_, err = io.ReadFull(c, text)
	assert.NilError(t, err)
	_, err = c.Write([]byte("q"))
	assert.NilError(t, err)
	for range 2 {
		_, err = c.Read(text)
		assert.Assert(t, errors.Is(err, ErrMalformed))
	}
}
