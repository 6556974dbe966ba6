package encoder

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

type record struct {
	Name string `cbor:"name"`
	Text string `cbor:"text"`
}

// TestInvalidText guards against records and messages that cannot be read because one
// of their texts, such as the value of a header field, is not valid UTF-8.
func TestInvalidText(t *testing.T) {
	written := record{Name: "n", Text: "caf\xe9"}
	data, err := cbor.Marshal(written) // As earlier builds encode it.
	assert.NilError(t, err)
	var read record
	assert.NilError(t, Unmarshal(data, &read))
	assert.DeepEqual(t, read, written)
}
