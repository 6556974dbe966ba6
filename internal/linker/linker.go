// Package linker connects entry instances with QUIC links under mutual TLS.
//
// Each instance dials one connection to each peer and sends its own calls
// over it; the connection that a peer dials carries that peer's calls. A call
// is one stream: a frame with the request, then a frame with the answer.
package linker

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ProtocolVersion is the version of the envelope.
const ProtocolVersion = 1

// MaxMessageBytes bounds an encoded envelope.
const MaxMessageBytes = 4 << 20

// Errors of a call.
var (
	// ErrUnreachable means that no link to the peer could be used and that
	// the message was not handed over.
	ErrUnreachable = merry.Sentinel("peer unreachable")
	// ErrUnknownEffect means that the message was handed over and that no
	// answer came: the peer may have acted on it or may still do so.
	ErrUnknownEffect = merry.Sentinel("answer of the peer lost")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = merry.Sentinel("peer answered with an error")
	// ErrTooLarge means that a message exceeds MaxMessageBytes and was not
	// sent.
	ErrTooLarge = merry.Sentinel("message too large")
	// ErrIdentity means that a certificate does not name the expected
	// instance.
	ErrIdentity = merry.Sentinel("certificate does not name the instance")
)

// A Kind names the type of a message.
type Kind string

// The kinds of messages between entry instances.
const (
	KindBorrow          Kind = "borrow"
	KindCopy            Kind = "copy"
	KindHandOver        Kind = "hand-over"
	KindHeartbeat       Kind = "heartbeat"
	KindJob             Kind = "job"
	KindObjectGet       Kind = "object-get"
	KindObjectPut       Kind = "object-put"
	KindPledge          Kind = "pledge"
	KindPromise         Kind = "promise"
	KindReport          Kind = "report"
	KindReturn          Kind = "return"
	KindSnapshot        Kind = "snapshot"
	KindSnapshotRequest Kind = "snapshot-request"
	KindStore           Kind = "store"
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

// A HandlerFunc is a function that answers messages.
type HandlerFunc func(ctx context.Context, sender string, payload []byte) (response []byte, err error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, sender string, payload []byte) (response []byte, err error) {
	return f(ctx, sender, payload)
}

// A Peer is an instance that this process can call.
type Peer struct {
	ID            string
	Address       string // UDP host and port of its links.
	FailureDomain string
}
