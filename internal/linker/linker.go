// Package linker connects entry instances with QUIC links under mutual TLS.
package linker

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ProtocolVersion is the version of the envelope.
const ProtocolVersion = 1

// MaxMessageBytes bounds an encoded envelope.
const MaxMessageBytes = 4 << 20

// ErrUnreachable means that no link to the peer could be used and that the
// message was not handed over.
var ErrUnreachable = merry.Sentinel("peer unreachable")

// A Kind names the type of a message.
type Kind string

// The kinds of messages between entry instances.
const (
	KindBorrow          Kind = "borrow"
	KindHeartbeat       Kind = "heartbeat"
	KindObjectGet       Kind = "object-get"
	KindObjectPut       Kind = "object-put"
	KindPromise         Kind = "promise"
	KindReturn          Kind = "return"
	KindSnapshot        Kind = "snapshot"
	KindSnapshotRequest Kind = "snapshot-request"
	KindSuspect         Kind = "suspect"
	KindYield           Kind = "yield"
)

// An Envelope carries one message on a stream of its own; the answer comes
// back on the same stream in an envelope of the same kind and ID.
type Envelope struct {
	Version int    `cbor:"version"`
	Kind    Kind   `cbor:"kind"`
	ID      uint64 `cbor:"id"`
	Sender  string `cbor:"sender"` // Instance ID.
	Error   string `cbor:"error,omitempty"`
	Payload []byte `cbor:"payload"`
}

// A Handler answers messages of one kind. It is called from several
// goroutines.
type Handler interface {
	Handle(ctx context.Context, sender string, payload []byte) (response []byte, err error)
}

// A Peer is an instance that this process can call.
type Peer struct {
	ID            string
	Address       string // UDP host and port of its links.
	FailureDomain string
}
