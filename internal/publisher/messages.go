package publisher

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// An announcement is the request of kind snapshot: the sender accepted a
// revision. It does not carry the snapshot, since most peers get that from the
// platform; the others request it.
type announcement struct {
	Revision int64 `cbor:"revision"`
}

// A confirmation answers an announcement.
type confirmation struct {
	Revision int64 `cbor:"revision"` // The receiver's revision in force.
}

// A snapshotRequest is the request of kind snapshot-request.
type snapshotRequest struct {
	AboveRevision int64 `cbor:"above-revision"`
}

// A snapshotResponse answers a snapshotRequest; it is empty when the receiver
// has no higher revision.
type snapshotResponse struct {
	Key  string `cbor:"key,omitempty"` // Platform key, which contains the digest of Data.
	Data []byte `cbor:"data,omitempty"`
}

// SnapshotHandler answers messages of kind snapshot.
func (p *Publisher) SnapshotHandler() linker.Handler {
	return linker.HandlerFunc(p.handleSnapshot)
}

// SnapshotRequestHandler answers messages of kind snapshot-request.
func (p *Publisher) SnapshotRequestHandler() linker.Handler {
	return linker.HandlerFunc(p.handleSnapshotRequest)
}

func (p *Publisher) handleSnapshot(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	var request announcement
	if err := encoder.Unmarshal(payload, &request); err != nil {
		return nil, merry.Wrap(err)
	}
	p.ObserveRevision(sender, request.Revision)
	return encoder.Marshal(confirmation{Revision: p.revision()})
}

func (p *Publisher) handleSnapshotRequest(_ context.Context, _ string, payload []byte) (response []byte, err error) {
	var request snapshotRequest
	if err := encoder.Unmarshal(payload, &request); err != nil {
		return nil, merry.Wrap(err)
	}
	var answer snapshotResponse
	if current := p.current.Load(); current != nil && current.Revision > request.AboveRevision {
		answer = snapshotResponse{Key: current.key, Data: current.data}
	}
	return encoder.Marshal(answer)
}
