package encoder

import (
	"testing"
	"time"

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

type timedRecord struct {
	At time.Time `cbor:"at"`
}

// TestTimeResolution guards against times that lose their fraction of a second on the
// way to another instance, and against builds that cannot read each other's times.
func TestTimeResolution(t *testing.T) {
	written := timedRecord{At: time.Date(2026, 12, 5, 10, 51, 3, 987_654_321, time.UTC)}
	t.Run("kept", func(t *testing.T) {
		data, err := Marshal(written)
		assert.NilError(t, err)
		var read timedRecord
		assert.NilError(t, Unmarshal(data, &read))
		assert.Assert(t, read.At.Equal(written.At), "read %v", read.At)
	})
	t.Run("read by an earlier build", func(t *testing.T) {
		data, err := Marshal(written)
		assert.NilError(t, err)
		var read timedRecord
		assert.NilError(t, cbor.Unmarshal(data, &read))
		assert.Assert(t, read.At.Equal(written.At), "read %v", read.At)
	})
	t.Run("written by an earlier build", func(t *testing.T) {
		data, err := cbor.Marshal(written)
		assert.NilError(t, err)
		var read timedRecord
		assert.NilError(t, Unmarshal(data, &read))
		assert.Assert(t, read.At.Equal(written.At.Truncate(time.Second)), "read %v", read.At)
	})
	t.Run("the zero time", func(t *testing.T) {
		data, err := Marshal(timedRecord{})
		assert.NilError(t, err)
		var read timedRecord
		assert.NilError(t, cbor.Unmarshal(data, &read))
		assert.Assert(t, read.At.IsZero())
	})
}
