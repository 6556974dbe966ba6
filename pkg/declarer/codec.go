package declarer

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// Encode returns the JSON of a declaration. Equal declarations have equal
// encodings.
func Encode(d Declaration) (data []byte, err error) {
	data, err = json.Marshal(d.Sorted())
	return data, merry.Prepend(err, "encode declaration")
}

// Decode reads the JSON of a declaration. It passes over fields that it does
// not know, so that an instance of an older version takes the configuration
// that a newer one accepted.
func Decode(data []byte) (d Declaration, err error) {
	err = json.Unmarshal(data, &d)
	return d.Sorted(), merry.Prepend(err, "decode declaration")
}

// DecodeExact reads the JSON of a declaration and fails on fields that it does
// not know. A release note must be merged into such a declaration only, since
// the others would lose fields.
func DecodeExact(data []byte) (d Declaration, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&d)
	return d.Sorted(), merry.Prepend(err, "decode declaration")
}
