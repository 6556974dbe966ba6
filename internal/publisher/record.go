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

// applyIDBytes makes two equal apply IDs impossible in practice.
const applyIDBytes = 16

var (
	// errBadHead means that the head is none that this program wrote.
	errBadHead = merry.Sentinel("configuration head not understood")
	// errCorrupt means that stored or received content contradicts itself.
	errCorrupt = merry.Sentinel("snapshot does not match its name")
)

// A record is a snapshot with its stored form. It is immutable.
type record struct {
	Snapshot
	key         string // Platform key: "config/snapshot/<revision>-<digest>-<apply-id>".
	data        []byte // The stored form, whose digest is in the key.
	declaration []byte // The part of data that holds the declaration.
}

// A recordBody is the stored form of a snapshot.
type recordBody struct {
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

// newRecord gives a snapshot its stored form, its digest and its key.
func newRecord(s Snapshot) (r *record, err error) {
	declaration, err := declarer.Encode(s.Declaration)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(recordBody{
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
	return &record{Snapshot: s, key: snapshotKey(s), data: data, declaration: declaration}, nil
}

// parseRecord reads a stored form and checks it against its key.
func parseRecord(key string, data []byte) (r *record, err error) {
	defer func() { err = merry.Prependf(err, "snapshot %q", key) }()
	var body recordBody
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
	return &record{Snapshot: s, key: key, data: data, declaration: body.Declaration}, nil
}

// parseHead reads the value of the head.
func parseHead(entry storer.Entry) (h head, err error) {
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return head{}, merry.Wrap(errBadHead, merry.WithCause(err))
	}
	prefix := snapshotPrefix + strconv.FormatInt(h.Revision, 10) + "-"
	if h.Revision < 1 || !strings.HasPrefix(h.Snapshot, prefix) {
		return head{}, merry.Appendf(errBadHead, "revision %d names %q", h.Revision, h.Snapshot)
	}
	return h, nil
}

// head returns the value that makes the record the head.
func (r *record) head() (value []byte, err error) {
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
