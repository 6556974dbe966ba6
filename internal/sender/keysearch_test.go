package sender

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBodyContains guards against keys that are not found in large bodies, where a part of
// the body is searched at a time.
func TestBodyContains(t *testing.T) {
	const key = "qh-key"
	escaped := map[string]string{
		"verbatim":                 key,
		"with JSON escapes":        `\u0071h\u002dkey`,
		"with percent escapes":     "%71h-ke%79",
		"with all bytes escaped":   `\u0071\u0068\u002d\u006b\u0065\u0079`,
		"beside an invalid escape": "qh%2Dkey%zz",
	}
	for name, text := range escaped {
		t.Run(name, func(t *testing.T) {
			for offset := searchBytes - 2*len(key); offset <= searchBytes+2*len(key); offset++ {
				body := strings.Repeat("x", offset) + text + strings.Repeat("%20", searchBytes)
				assert.Assert(t, BodyContains([]byte(body), key), "at %d", offset)
				assert.Assert(t, !BodyContains([]byte(body[:offset]+text[1:]+body[offset+len(text):]), key), "without its beginning, at %d", offset)
			}
		})
	}
}
