package linker

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
)

// frameHeaderBytes is the size of the length prefix of a frame.
const frameHeaderBytes = 4

// initialFrameBytes bounds the buffer that is allocated before the first byte of
// an envelope arrives, so that a length prefix alone cannot exhaust memory.
const initialFrameBytes = 16 << 10

// Marshal encodes a payload as CBOR.
func Marshal(v any) ([]byte, error) {
	return encoder.Marshal(v)
}

// Unmarshal decodes a CBOR payload.
func Unmarshal(data []byte, v any) error {
	return encoder.Unmarshal(data, v)
}

// encodeFrame encodes an envelope, preceded by its length.
func encodeFrame(e Envelope) (frame []byte, err error) {
	body, err := encoder.Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxMessageBytes {
		return nil, merry.Prependf(ErrTooLarge, "%s of %d bytes", e.Kind, len(body))
	}
	frame = make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// readFrame reads the single frame that each side of a stream sends. The length
// is checked before the body is allocated. The size n includes the header.
func readFrame(r io.Reader) (e Envelope, n int, err error) {
	body, err := readPart(r)
	if err != nil {
		return Envelope{}, 0, err
	}
	var extra [1]byte
	if n, err := r.Read(extra[:]); n > 0 || err != io.EOF {
		return Envelope{}, 0, merry.Errorf("expected end of stream after the frame: %v", err)
	}
	return decodeEnvelope(body)
}

// readEnvelope reads the first frame of an answer in parts.
func readEnvelope(r io.Reader) (e Envelope, n int, err error) {
	body, err := readPart(r)
	if err != nil {
		return Envelope{}, 0, err
	}
	return decodeEnvelope(body)
}

func decodeEnvelope(body []byte) (e Envelope, n int, err error) {
	if err := encoder.Unmarshal(body, &e); err != nil {
		return Envelope{}, 0, err
	}
	if e.Version != ProtocolVersion {
		return e, 0, merry.Errorf("unsupported envelope version %d", e.Version)
	}
	return e, frameHeaderBytes + len(body), nil
}

// readSized reads a body whose length prefix was read.
func readSized(r io.Reader, size uint32) ([]byte, error) {
	if size > MaxMessageBytes {
		return nil, merry.Prependf(ErrTooLarge, "frame of %d bytes", size)
	}
	var body bytes.Buffer
	body.Grow(min(int(size), initialFrameBytes))
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}
