package sender

import (
	"bytes"
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

// BodyContains reports whether a body contains the key, verbatim or escaped.
func BodyContains(body []byte, key string) bool {
	keyBytes := []byte(key)
	switch {
	case bytes.Contains(body, keyBytes):
		return true
	case mayBeEscapedInJSON(body, key) && bytes.Contains(unescapeJSON(body), keyBytes):
		return true
	case bytes.IndexByte(body, '%') >= 0:
		return strings.Contains(unescapePercent(string(body)), key)
	default:
		return false
	}
}

// mayBeEscapedInJSON reports whether the body has escapes that can encode
// characters of the key. The common escapes for line feeds and tabs cannot.
func mayBeEscapedInJSON(body []byte, key string) bool {
	return bytes.Contains(body, []byte(`\u`)) ||
		bytes.Contains(body, []byte(`\/`)) ||
		strings.ContainsAny(key, `"\`)
}

// unescapeJSON decodes escaped ASCII characters and leaves other escapes as is.
func unescapeJSON(body []byte) []byte {
	out := make([]byte, 0, len(body))
	for i := 0; i < len(body); i++ {
		if body[i] != '\\' || i+1 == len(body) {
			out = append(out, body[i])
			continue
		}
		i++
		if body[i] != 'u' || i+4 >= len(body) {
			out = append(out, body[i])
			continue
		}
		code, err := strconv.ParseUint(string(body[i+1:i+5]), 16, 16)
		if err != nil || code > 0x7f {
			out = append(out, body[i])
			continue
		}
		out = append(out, byte(code))
		i += 4
	}
	return out
}

// unescapePercent decodes valid percent escapes. It keeps plus signs, which keys
// may contain.
func unescapePercent(text string) string {
	if decoded, err := url.PathUnescape(text); err == nil {
		return decoded
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if code, err := strconv.ParseUint(text[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(code))
				i += 2
				continue
			}
		}
		b.WriteByte(text[i])
	}
	return b.String()
}
