package archiver

import (
	"context"
	"crypto/sha256"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
)

// An object is the message that sends an object to a disk instance.
type object struct {
	Name   string `cbor:"name"`
	Digest []byte `cbor:"digest"` // SHA-256.
	Data   []byte `cbor:"data"`
}

func newObject(name string, data []byte) object {
	digest := sha256.Sum256(data)
	return object{Name: name, Digest: digest[:], Data: data}
}

// putResponse confirms that an object has been stored durably.
type putResponse struct{}

// getRequest requests an object.
type getRequest struct {
	Name string `cbor:"name"`
}

// getResponse answers a getRequest. Links transmit errors as text, so flags
// indicate a missing or corrupt object.
type getResponse struct {
	Found   bool   `cbor:"found"`
	Corrupt bool   `cbor:"corrupt,omitempty"`
	Digest  []byte `cbor:"digest,omitempty"`
	Data    []byte `cbor:"data,omitempty"`
}

func (m getResponse) verifiedData(name string) (data []byte, err error) {
	if m.Corrupt {
		return nil, ErrCorrupt
	}
	if !m.Found {
		return nil, ErrNotFound
	}
	o := object{Name: name, Digest: m.Digest, Data: m.Data}
	return o.Data, o.check()
}

func (o object) check() error {
	if digest := sha256.Sum256(o.Data); string(digest[:]) != string(o.Digest) {
		return ErrCorrupt
	}
	return nil
}

// A PutHandler stores objects for other instances. It handles messages of kind
// linker.KindObjectPut.
type PutHandler struct {
	Folder *Folder // Nil when this instance has no disk.
}

// Handle implements linker.Handler.
func (h *PutHandler) Handle(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prependf(err, "storing an object of %s", sender) }()
	if h.Folder == nil {
		return nil, merry.New("this instance has no disk")
	}
	var o object
	if err = encoder.Unmarshal(payload, &o); err != nil {
		return nil, err
	}
	if err = o.check(); err != nil {
		return nil, err
	}
	if err = h.Folder.Write(o.Name, o.Data); err != nil {
		return nil, err
	}
	return encoder.Marshal(putResponse{})
}

// A GetHandler reads objects for other instances. It handles messages of kind
// linker.KindObjectGet.
type GetHandler struct {
	Folder *Folder // Nil when this instance has no disk.
}

// Handle implements linker.Handler.
func (h *GetHandler) Handle(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prependf(err, "reading an object for %s", sender) }()
	var request getRequest
	if err = encoder.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	if h.Folder == nil {
		return encoder.Marshal(getResponse{})
	}
	data, err := h.Folder.Read(request.Name)
	switch {
	case errors.Is(err, ErrNotFound):
		return encoder.Marshal(getResponse{})
	case errors.Is(err, ErrCorrupt):
		return encoder.Marshal(getResponse{Corrupt: true})
	case err != nil:
		return nil, err
	}
	o := newObject(request.Name, data)
	return encoder.Marshal(getResponse{Found: true, Digest: o.Digest, Data: o.Data})
}
