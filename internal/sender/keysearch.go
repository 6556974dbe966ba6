package sender

import (
	"bytes"
	"io"
	"net/url"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors of a request that would reveal a caller's API key to a backend server.
var (
	ErrKeyInBody   = merry.Sentinel("the body contains the presented key")
	ErrKeyInHeader = merry.Sentinel("a header field contains the presented key")
	ErrKeyInTarget = merry.Sentinel("the path or query contains the presented key")
)

// CheckKeys returns an error if the request contains one of the keys, verbatim or
// with URL or JSON escapes.
func CheckKeys(r Request, keys []string) error {
	for _, key := range keys {
		if key == "" {
			continue
		}
		switch {
		case headerContains(r.Header, key):
			return ErrKeyInHeader
		case textContains(r.Path, key), textContains(r.Query, key):
			return ErrKeyInTarget
		case BodyContains(r.Body, key):
			return ErrKeyInBody
		}
	}
	return nil
}

func headerContains(header []Field, key string) bool {
	for _, f := range header {
		if textContains(f.Value, key) {
			return true
		}
	}
	return false
}

func textContains(text, key string) bool {
	if strings.Contains(text, key) {
		return true
	}
	if strings.Contains(text, "%") {
		return strings.Contains(unescapePercent(text), key)
	}
	return false
}

// BodyContains reports whether a body contains the key, verbatim or escaped. It does not
// copy the body.
func BodyContains(body []byte, key string) bool {
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	if mayBeEscapedInJSON(body, key) {
		s := newKeySearch(key)
		unescapeJSON(body, s)
		if s.finish() {
			return true
		}
	}
	if bytes.IndexByte(body, '%') < 0 {
		return false
	}
	s := newKeySearch(key)
	unescapePercentTo(s, body)
	return s.finish()
}

// searchBytes is the part of a decoded text that is searched at a time.
const searchBytes = 32 << 10

// A keySearch searches for a key in a text that is written byte by byte.
type keySearch struct {
	key   []byte
	text  []byte // At most searchBytes and the length of the key.
	found bool
}

func newKeySearch(key string) *keySearch {
	return &keySearch{key: []byte(key), text: make([]byte, 0, searchBytes+len(key))}
}

// WriteByte implements io.ByteWriter.
func (s *keySearch) WriteByte(b byte) error {
	if len(s.text) == cap(s.text) {
		s.search()
	}
	s.text = append(s.text, b)
	return nil
}

// search searches what was written, and keeps the part in which the key may begin.
func (s *keySearch) search() {
	s.found = s.found || bytes.Contains(s.text, s.key)
	s.text = append(s.text[:0], s.text[max(0, len(s.text)-len(s.key)+1):]...)
}

// finish reports whether the text has the key.
func (s *keySearch) finish() bool {
	s.search()
	return s.found
}

// mayBeEscapedInJSON reports whether the body has escapes that can encode
// characters of the key. The common escapes for line feeds and tabs cannot.
func mayBeEscapedInJSON(body []byte, key string) bool {
	return bytes.Contains(body, []byte(`\u`)) ||
		bytes.Contains(body, []byte(`\/`)) ||
		strings.ContainsAny(key, `"\`)
}

// unescapeJSON decodes escaped ASCII characters and leaves other escapes as is.
func unescapeJSON(body []byte, w *keySearch) {
	for i := 0; i < len(body); i++ {
		if body[i] != '\\' || i+1 == len(body) {
			_ = w.WriteByte(body[i])
			continue
		}
		i++
		if body[i] != 'u' || i+4 >= len(body) {
			_ = w.WriteByte(body[i])
			continue
		}
		code, err := strconv.ParseUint(string(body[i+1:i+5]), 16, 16)
		if err != nil || code > 0x7f {
			_ = w.WriteByte(body[i])
			continue
		}
		_ = w.WriteByte(byte(code))
		i += 4
	}
}

// unescapePercent decodes valid percent escapes. It keeps plus signs, which keys
// may contain.
func unescapePercent(text string) string {
	if decoded, err := url.PathUnescape(text); err == nil {
		return decoded
	}
	var b strings.Builder
	unescapePercentTo(&b, []byte(text))
	return b.String()
}

// unescapePercentTo writes a text with its valid percent escapes decoded.
func unescapePercentTo(w io.ByteWriter, text []byte) {
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if code, err := strconv.ParseUint(string(text[i+1:i+3]), 16, 8); err == nil {
				_ = w.WriteByte(byte(code)) // Neither a search nor a strings.Builder fails.
				i += 2
				continue
			}
		}
		_ = w.WriteByte(text[i])
	}
}
