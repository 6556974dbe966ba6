package archiver

import (
	"context"
	"crypto/sha256"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// An object is an object on its way to a disk instance.
type object struct {
	Name   string `cbor:"name"`
	Digest []byte `cbor:"digest"` // SHA-256.
	Data   []byte `cbor:"data"`
}

func newObject(name string, data []byte) object {
	digest := sha256.Sum256(data)
	return object{Name: name, Digest: digest[:], Data: data}
}

// storedMessage answers an object that is durable.
type storedMessage struct{}

// wantedMessage asks for an object.
type wantedMessage struct {
	Name string `cbor:"name"`
}

// foundMessage answers a wantedMessage. Links carry errors as text, so a
// missing object and a corrupt one are told by flags.
type foundMessage struct {
	Found   bool   `cbor:"found"`
	Corrupt bool   `cbor:"corrupt,omitempty"`
	Digest  []byte `cbor:"digest,omitempty"`
	Data    []byte `cbor:"data,omitempty"`
}

func (m foundMessage) open(name string) (data []byte, err error) {
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

// A PutHandler stores the objects that other instances send; it answers
// messages of kind linker.KindObjectPut.
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
	if err = cbor.Unmarshal(payload, &o); err != nil {
		return nil, err
	}
	if err = o.check(); err != nil {
		return nil, err
	}
	if err = h.Folder.Write(o.Name, o.Data); err != nil {
		return nil, err
	}
	return cbor.Marshal(storedMessage{})
}

// A GetHandler reads objects for other instances; it answers messages of kind
// linker.KindObjectGet.
type GetHandler struct {
	Folder *Folder // Nil when this instance has no disk.
}

// Handle implements linker.Handler.
func (h *GetHandler) Handle(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prependf(err, "reading an object for %s", sender) }()
	var wanted wantedMessage
	if err = cbor.Unmarshal(payload, &wanted); err != nil {
		return nil, err
	}
	if h.Folder == nil {
		return cbor.Marshal(foundMessage{})
	}
	data, err := h.Folder.Read(wanted.Name)
	switch {
	case errors.Is(err, ErrNotFound):
		return cbor.Marshal(foundMessage{})
	case errors.Is(err, ErrCorrupt):
		return cbor.Marshal(foundMessage{Corrupt: true})
	case err != nil:
		return nil, err
	}
	o := newObject(wanted.Name, data)
	return cbor.Marshal(foundMessage{Found: true, Digest: o.Digest, Data: o.Data})
}
