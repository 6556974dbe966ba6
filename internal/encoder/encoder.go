// Package encoder encodes the records in the store and the messages between instances
// as CBOR. Instances of two builds read each other's records and messages.
package encoder

import "github.com/fxamacker/cbor/v2"

var (
	encodeMode = newEncodeMode()
	decodeMode = newDecodeMode()
)

// newEncodeMode writes times with nanoseconds. The default mode keeps whole seconds only.
// All builds read both.
func newEncodeMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// newDecodeMode accepts text that is not valid UTF-8: what a caller or a backend server
// sent must not make the rest of a record unreadable.
func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// Marshal encodes a record or a message.
func Marshal(v any) ([]byte, error) { return encodeMode.Marshal(v) }

// Unmarshal decodes a record or a message.
func Unmarshal(data []byte, v any) error { return decodeMode.Unmarshal(data, v) }
