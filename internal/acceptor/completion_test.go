package acceptor

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// plainParts returns the shared parts of a prompt as they follow from the whole body.
func plainParts(t *testing.T, body []byte) (parts []string) {
	t.Helper()
	var fields map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(body, &fields))
	var list []json.RawMessage
	if json.Unmarshal(fields["messages"], &list) != nil || len(list) == 0 {
		return nil
	}
	for _, message := range list[:min(len(list)-1, maxSharedParts)] {
		var compact bytes.Buffer
		assert.NilError(t, json.Compact(&compact, message))
		parts = append(parts, compact.String())
	}
	return parts
}

// FuzzParseCompletion guards against bodies that are read as something else than what their
// JSON says: the parts of a body are found without decoding it whole.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","stream":true,"messages":[{"role":"user","content":"a"},{"content" : "b"}]}`, ` { "messages" : [ 1 , "2" , [3] ] , "prompt":"x" } `,
		`{"messages":[0` + strings.Repeat(",0", maxSharedParts) + `]}`, `{"messages":[]}`, `{"messages":{}}`, `{"messages":null}`, `{"prompt":"p"}`, `{}`,
		`{"a":1,"a":2}`, `{"a":}`, `{"a":1,}`, `[1]`, `{"a":1} x`, `{"model":1}`, `{"stream":"x"}`, `{"x":` + strings.Repeat("[", 20_000), "{\"a\":\"\xff\"}", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, refusal := ParseCompletion(body)
		if refusal != nil {
			return
		}
		var plain struct {
			Model  string
			Stream bool
		}
		assert.Assert(t, json.Valid(body))
		assert.DeepEqual(t, c.SharedParts, plainParts(t, body))
		var fields map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(body, &fields))
		if raw, ok := fields["model"]; ok {
			assert.NilError(t, json.Unmarshal(raw, &plain.Model))
		}
		if raw, ok := fields["stream"]; ok {
			assert.NilError(t, json.Unmarshal(raw, &plain.Stream))
		}
		assert.Equal(t, c.Model, plain.Model)
		assert.Equal(t, c.Stream, plain.Stream)
	})
}

// TestFieldsOfCompletion guards against a limit that refuses proper completions, or none.
func TestFieldsOfCompletion(t *testing.T) {
	body := func(fields int) []byte {
		text, err := json.Marshal(map[string]int{})
		assert.NilError(t, err)
		for n := range fields {
			text = append(text[:len(text)-1], strings.TrimPrefix(`,"x`+strings.Repeat("y", n)+`":0}`, strings.Repeat(",", max(0, 1-n)))...)
		}
		return text
	}
	_, refusal := ParseCompletion(body(maxFields))
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, refusal = ParseCompletion(body(maxFields + 1))
	assert.Assert(t, refusal != nil, "accepted")
}
