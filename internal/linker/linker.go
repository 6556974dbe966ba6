// Package linker connects entry instances by QUIC with mutual TLS.
//
// Each instance dials one connection to each peer and sends its own calls
// over it; the connection that a peer dials carries that peer's calls. A call
// is one stream: a frame with the request, then a frame with the answer.
package linker

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ProtocolVersion is the version of the envelope format.
const ProtocolVersion = 1

// MaxMessageBytes is the maximum size of an encoded envelope.
const MaxMessageBytes = 4 << 20

// Errors of a call.
var (
	// ErrUnreachable means that no link to the peer was usable and that the
	// request was not sent.
	ErrUnreachable = merry.Sentinel("peer unreachable")
	// ErrUnknownEffect means that the request may have been sent and that no
	// answer arrived: the peer may have acted on it or may still do so.
	ErrUnknownEffect = merry.Sentinel("no answer from the peer; the request may have taken effect")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = merry.Sentinel("peer answered with an error")
	// ErrTooLarge means that a message exceeds MaxMessageBytes and was not
	// sent.
	ErrTooLarge = merry.Sentinel("message too large")
	// ErrIdentity means that a certificate does not name the expected
	// instance.
	ErrIdentity = merry.Sentinel("certificate does not match the instance")
)

// A Kind is the type of a message.
type Kind string

// Kinds of messages between entry instances.
const (
	KindAttempt         Kind = "attempt"
	KindBorrow          Kind = "borrow"
	KindCopy            Kind = "copy"
	KindHandOver        Kind = "hand-over"
	KindHeartbeat       Kind = "heartbeat"
	KindHolderAttempt   Kind = "holder-attempt"
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
	KindStream          Kind = "stream"
	KindSuspect         Kind = "suspect"
	KindSuspectParts    Kind = "suspect-parts"
	KindYield           Kind = "yield"
)

// An Envelope carries one message. The answer to a request is sent on the same
// stream in an envelope with the same kind and ID.
type Envelope struct {
	Version int    `cbor:"version"`
	Kind    Kind   `cbor:"kind"`
	ID      uint64 `cbor:"id"`
	Sender  string `cbor:"sender"` // Instance ID.
	Error   string `cbor:"error,omitempty"`
	Payload []byte `cbor:"payload"`
}

// A Handler answers requests of one kind. It must be safe for concurrent use.
type Handler interface {
	Handle(ctx context.Context, sender string, payload []byte) (response []byte, err error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, sender string, payload []byte) (response []byte, err error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, sender string, payload []byte) (response []byte, err error) {
	return f(ctx, sender, payload)
}

// A Peer is an instance that this process can call.
type Peer struct {
	ID            string
	Address       string // UDP host and port of its link listener.
	FailureDomain string
}
