// Package headreader checks the heads and trailers of HTTP/1 responses before a client
// parses them. Clients that are lenient, or that represent a missing value as a default,
// take malformed heads for valid ones: a status of 000 for 200, or "Content-Length : 3" for
// a length.
package headreader

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// Errors of Check and DiscardTrailer.
var (
	ErrMalformed = merry.Sentinel("the head or trailer of the response is malformed")
	ErrTooLarge  = merry.Sentinel("the head or trailer of the response exceeds its size limit")
)

const (
	minStatus, minFinalStatus, maxStatus = 100, 200, 599
	// statusSwitching is an interim status that ends HTTP on the connection. Nobody asks
	// for it.
	statusSwitching = 101
	// maxInterim is the number of interim responses that may precede a response.
	maxInterim = 8
	// maxLengthDigits is the number of digits of a length that always fits into 64 bits.
	maxLengthDigits = 18
)

var (
	versions         = [][]byte{[]byte("HTTP/1.1 "), []byte("HTTP/1.0 ")}
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// Check waits for the head of the next response, and reports whether it is valid. It
// leaves the head unread, and discards interim responses before it. A head may be as long
// as the buffer of the reader.
func Check(r *bufio.Reader) error {
	for range maxInterim + 1 {
		head, err := peekSection(r)
		if err != nil {
			return err
		}
		status, ok := parseHead(head)
		if !ok || status == statusSwitching {
			return ErrMalformed
		}
		if status >= minFinalStatus {
			return nil
		}
		if _, err := r.Discard(len(head)); err != nil {
			return err
		}
	}
	return ErrMalformed
}

// DiscardTrailer waits for the trailer section after the last chunk of a body, discards it,
// and reports whether it is valid. It may be as long as the buffer of the reader.
func DiscardTrailer(r *bufio.Reader) error {
	trailer, err := peekSection(r)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if !isTrailer(trailer) {
		return ErrMalformed
	}
	_, err = r.Discard(len(trailer))
	return err
}

// peekSection returns the bytes of a head or trailer up to and including the first empty
// line.
func peekSection(r *bufio.Reader) (section []byte, err error) {
	for {
		buffered, _ := r.Peek(r.Buffered())
		if n := sectionLength(buffered); n > 0 {
			return buffered[:n], nil
		}
		if len(buffered) == r.Size() {
			return nil, ErrTooLarge
		}
		_, err := r.Peek(len(buffered) + 1)
		if errors.Is(err, io.EOF) && len(buffered) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// sectionLength returns the length of the section at the start of b, or 0 if it is
// incomplete.
func sectionLength(b []byte) int {
	for start := 0; ; {
		n := bytes.IndexByte(b[start:], '\n')
		if n < 0 {
			return 0
		}
		end := start + n + 1
		if n == 0 || n == 1 && b[start] == '\r' {
			return end
		}
		start = end
	}
}

// parseHead returns the status of a head, and whether the head is valid: it has a known
// version, a status, only fields with valid names, and at most one statement of the length
// of the body.
func parseHead(head []byte) (status int, ok bool) {
	line, rest := nextLine(head)
	status, ok = parseStatusLine(line)
	framings := 0
	for ok {
		line, rest = nextLine(rest)
		if len(line) == 0 {
			break
		}
		name, value, valid := cutField(line)
		switch {
		case !valid:
			return 0, false
		case bytes.EqualFold(name, contentLength):
			framings++
			ok = isLength(value)
		case bytes.EqualFold(name, transferEncoding):
			framings++
			ok = bytes.EqualFold(value, chunked)
		}
	}
	return status, ok && framings <= 1
}

// isTrailer reports whether all lines of a trailer section are valid fields, none of which
// states the length of the body.
func isTrailer(section []byte) bool {
	for {
		line, rest := nextLine(section)
		if len(line) == 0 {
			return true
		}
		name, value, valid := cutField(line)
		if !valid || !httpguts.ValidHeaderFieldValue(string(value)) || bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding) {
			return false
		}
		section = rest
	}
}

// cutField returns the name and the value of a field line. The name must be a token that
// is directly followed by the colon (RFC 9110, section 5.1; RFC 9112, section 5.1), so
// that the continuation of a line is no field.
func cutField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	return name, bytes.Trim(value, " \t"), ok && httpguts.ValidHeaderFieldName(string(name))
}

func nextLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

func parseStatusLine(line []byte) (status int, ok bool) {
	for _, version := range versions {
		if rest, found := bytes.CutPrefix(line, version); found {
			return parseStatus(rest)
		}
	}
	return 0, false
}

// parseStatus parses three digits that are followed by a space or nothing.
func parseStatus(b []byte) (status int, ok bool) {
	const digits = 3
	if len(b) < digits || len(b) > digits && b[digits] != ' ' || !areDigits(b[:digits]) {
		return 0, false
	}
	for _, c := range b[:digits] {
		status = 10*status + int(c-'0')
	}
	return status, status >= minStatus && status <= maxStatus
}

func isLength(b []byte) bool { return len(b) > 0 && len(b) <= maxLengthDigits && areDigits(b) }

func areDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
