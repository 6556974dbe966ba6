package acceptor

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// prefixBytes is the length of the prompt prefix that selects the engine. It
// covers a short system message and the start of the conversation, so that the
// next turn goes to the engine that has the conversation in its cache.
const prefixBytes = 512

// maxSharedParts bounds the messages of one request that are tracked as parts of its
// prompt. Those that many requests share stand at the beginning.
const maxSharedParts = 16

// maxFields bounds the fields of a completion request. Known engines define fewer than a
// hundred.
const maxFields = 256

// A Completion holds the fields of a completion request that routing uses.
type Completion struct {
	Model  string
	Stream bool
	Prefix string // First bytes of messages or prompt, as raw JSON.
	// SharedParts are the first messages but the last one, which other requests may
	// have too, as compact JSON; at most maxSharedParts.
	SharedParts []string
}

func badRequest(message string) *refuser.Refusal {
	return refuser.New(refuser.BadRequest, refuser.NotRun, message)
}

// ParseCompletion parses the body of a completion request. It refuses duplicate
// fields: engines disagree on which one counts, so the request could run with
// another model than the one that was checked.
func ParseCompletion(body []byte) (c Completion, refusal *refuser.Refusal) {
	if !utf8.Valid(body) {
		return c, badRequest("the body is not valid UTF-8")
	}
	fields, refusal := topLevelFields(body)
	if refusal != nil {
		return c, refusal
	}
	if raw, ok := fields["model"]; ok && json.Unmarshal(raw, &c.Model) != nil {
		return c, badRequest("the model is not a string")
	}
	if raw, ok := fields["stream"]; ok && json.Unmarshal(raw, &c.Stream) != nil {
		return c, badRequest("the field stream is not true or false")
	}
	prompt := fields["messages"]
	if prompt == nil {
		prompt = fields["prompt"]
	}
	c.Prefix = string(prompt[:min(len(prompt), prefixBytes)])
	c.SharedParts = sharedParts(fields["messages"])
	return c, nil
}

// sharedParts returns the first messages but the last one. Engines decide whether
// messages that are no list are valid.
func sharedParts(messages json.RawMessage) (parts []string) {
	decoder := json.NewDecoder(bytes.NewReader(messages))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return nil
	}
	for range maxSharedParts {
		message, err := nextValue(decoder, messages)
		if err != nil || !decoder.More() {
			return parts
		}
		var compact bytes.Buffer
		if json.Compact(&compact, message) == nil {
			parts = append(parts, compact.String())
		}
	}
	return parts
}

// A skippedValue is a JSON value that is not decoded.
type skippedValue struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*skippedValue) UnmarshalJSON([]byte) error { return nil }

// nextValue reads the next value of the text that a decoder decodes. The value is a part
// of the text, and not copied.
func nextValue(decoder *json.Decoder, text []byte) (value json.RawMessage, err error) {
	start := decoder.InputOffset()
	if err := decoder.Decode(&skippedValue{}); err != nil {
		return nil, err
	}
	return bytes.TrimLeft(text[start:decoder.InputOffset()], " \t\r\n,:"), nil
}

// topLevelFields splits a JSON object into its fields. The values are parts of the body.
func topLevelFields(body []byte) (map[string]json.RawMessage, *refuser.Refusal) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	start, err := decoder.Token()
	if err != nil {
		return nil, badRequest("the body is not valid JSON")
	}
	if start != json.Delim('{') {
		return nil, badRequest("the body is not a JSON object")
	}
	fields := map[string]json.RawMessage{}
	for decoder.More() {
		if len(fields) == maxFields {
			return nil, badRequest("the body has too many fields")
		}
		name, err := decoder.Token()
		if err != nil {
			return nil, badRequest("the body is not valid JSON")
		}
		value, err := nextValue(decoder, body)
		if err != nil {
			return nil, badRequest("the body is not valid JSON")
		}
		key := name.(string) // In an object, the decoder returns only strings as names.
		if _, ok := fields[key]; ok {
			return nil, badRequest("a field of the body occurs twice")
		}
		fields[key] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, badRequest("the body is not valid JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, badRequest("something follows the JSON object")
	}
	return fields, nil
}
