package publisher

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Keys in the platform.
const (
	headKey        = "config/head"
	snapshotPrefix = "config/snapshot/"
)

// applyIDBytes is long enough that random IDs do not collide in practice.
const applyIDBytes = 16

var (
	// errBadHead means that the value of the head is malformed.
	errBadHead = merry.Sentinel("malformed configuration head")
	// errCorrupt means that the content of a snapshot does not match the
	// revision, digest and apply ID in its key.
	errCorrupt = merry.Sentinel("snapshot content does not match its key")
)

// A storedSnapshot is a snapshot with its encoding in the platform. It is
// immutable.
type storedSnapshot struct {
	Snapshot
	key         string // Platform key: "config/snapshot/<revision>-<digest>-<apply-id>".
	data        []byte // The encoded snapshotBody; the key contains its digest.
	declaration []byte // The part of data that holds the declaration.
}

// A snapshotBody is the stored form of a snapshot.
type snapshotBody struct {
	Revision    int64           `json:"revision"`
	ApplyID     string          `json:"apply-id"`
	Previous    string          `json:"previous,omitempty"`
	Title       string          `json:"title"`
	Declaration json.RawMessage `json:"declaration"`
}

// A head is the value of the configuration head.
type head struct {
	Revision int64  `json:"revision"`
	Snapshot string `json:"snapshot"` // Platform key.
}

// newStoredSnapshot encodes a snapshot and computes its digest and key.
func newStoredSnapshot(s Snapshot) (r *storedSnapshot, err error) {
	declaration, err := declarer.Encode(s.Declaration)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(snapshotBody{
		Revision:    s.Revision,
		ApplyID:     s.ApplyID,
		Previous:    s.Previous,
		Title:       s.Title,
		Declaration: declaration,
	})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	s.Digest = digestOf(data)
	return &storedSnapshot{Snapshot: s, key: snapshotKey(s), data: data, declaration: declaration}, nil
}

// parseStoredSnapshot decodes a snapshot and verifies it against its key.
func parseStoredSnapshot(key string, data []byte) (r *storedSnapshot, err error) {
	defer func() { err = merry.Prependf(err, "snapshot %q", key) }()
	var body snapshotBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, merry.Wrap(errCorrupt, merry.WithCause(err))
	}
	s := Snapshot{
		Revision: body.Revision,
		ApplyID:  body.ApplyID,
		Digest:   digestOf(data),
		Previous: body.Previous,
		Title:    body.Title,
	}
	if s.Revision < 1 || snapshotKey(s) != key {
		return nil, errCorrupt
	}
	s.Declaration, err = declarer.Decode(body.Declaration)
	if err != nil {
		return nil, err
	}
	return &storedSnapshot{Snapshot: s, key: key, data: data, declaration: body.Declaration}, nil
}

// parseHead reads the value of the head.
func parseHead(entry storer.Entry) (h head, err error) {
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return head{}, merry.Wrap(errBadHead, merry.WithCause(err))
	}
	prefix := snapshotPrefix + strconv.FormatInt(h.Revision, 10) + "-"
	if h.Revision < 1 || !strings.HasPrefix(h.Snapshot, prefix) {
		return head{}, merry.Appendf(errBadHead, "revision %d refers to snapshot %q", h.Revision, h.Snapshot)
	}
	return h, nil
}

// head returns the head value that refers to this snapshot.
func (r *storedSnapshot) head() (value []byte, err error) {
	return json.Marshal(head{Revision: r.Revision, Snapshot: r.key})
}

func snapshotKey(s Snapshot) string {
	return snapshotPrefix + strconv.FormatInt(s.Revision, 10) + "-" + s.Digest + "-" + s.ApplyID
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func newApplyID() string {
	id := make([]byte, applyIDBytes)
	_, _ = rand.Read(id) // It never fails.
	return hex.EncodeToString(id)
}
