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

// Decode decodes the JSON of a declaration. It ignores unknown fields, so that
// an instance of an older version can use a configuration that a newer one
// accepted.
func Decode(data []byte) (d Declaration, err error) {
	err = json.Unmarshal(data, &d)
	return d.Sorted(), merry.Prepend(err, "decode declaration")
}

// DecodeExact decodes the JSON of a declaration and fails on unknown fields.
// Decode it this way before a release note is merged into it: otherwise the
// unknown fields would be lost.
func DecodeExact(data []byte) (d Declaration, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&d)
	return d.Sorted(), merry.Prepend(err, "decode declaration")
}
