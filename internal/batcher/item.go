package batcher

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
)

const (
	// maxResultBytes bounds the body of one result; an active chunk holds up to
	// a hundred of them in memory.
	maxResultBytes = 256 << 10
	// resultPartBytes is the size from which a part of the results is complete.
	// A part fits into one message even if its last result has the largest size.
	resultPartBytes = 2 << 20
)

// An Item is one request of a batch job.
type Item struct {
	Workspace string `cbor:"-"` // Set when the item is loaded.
	Job       string `cbor:"-"` // Set when the item is loaded.
	CustomID  string `cbor:"custom-id"`
	Method    string `cbor:"method"`
	URL       string `cbor:"url"` // Path and query.
	Lane      string `cbor:"lane"`
	Body      []byte `cbor:"body"` // JSON; empty if the item has none.
}

// An ItemResult is the response of a backend server to an item.
type ItemResult struct {
	StatusCode int
	Body       []byte
	Tokens     int64 // Tokens used; zero if the backend server does not report them.
}

// An ItemRecord is the stored result of an item that has ended.
type ItemRecord struct {
	Index      int    `cbor:"index"` // Index in the chunk.
	CustomID   string `cbor:"custom-id"`
	StatusCode int    `cbor:"status-code"`
	Body       []byte `cbor:"body"`
	Tokens     int64  `cbor:"tokens"`
	Tries      int    `cbor:"tries"`
	Failure    string `cbor:"failure"` // Why the item failed; empty if it is done.
}

// A ResultLine is a line of the results that callers download.
type ResultLine struct {
	CustomID   string          `json:"custom_id"`
	StatusCode int             `json:"status-code,omitempty"`
	Body       json.RawMessage `json:"body,omitempty"` // A JSON response as it is; any other response as a JSON string.
	Tokens     int64           `json:"tokens,omitempty"`
	Failure    *FailureLine    `json:"failure,omitempty"`
}

// A FailureLine says why an item failed.
type FailureLine struct {
	Reason string `json:"reason"`
	Tries  int    `json:"tries"`
}

func (r ItemRecord) counts() Counts {
	if r.Failure != "" {
		return Counts{Failed: 1, Tokens: r.Tokens}
	}
	return Counts{Done: 1, Tokens: r.Tokens}
}

func (r ItemRecord) line() (line ResultLine) {
	line = ResultLine{CustomID: r.CustomID, StatusCode: r.StatusCode, Tokens: r.Tokens}
	switch {
	case len(r.Body) == 0:
	case json.Valid(r.Body):
		line.Body = r.Body
	default:
		text, _ := json.Marshal(string(bytes.ToValidUTF8(r.Body, []byte("\uFFFD"))))
		line.Body = text
	}
	if r.Failure != "" {
		line.Failure = &FailureLine{Reason: r.Failure, Tries: r.Tries}
	}
	return line
}

func encodeItems(items []Item) (data []byte, err error) {
	return encoder.Marshal(items)
}

func decodeItems(data []byte, m Manifest) (items []Item, err error) {
	if err = encoder.Unmarshal(data, &items); err != nil {
		return nil, merry.Prepend(err, "decoding the items of a chunk")
	}
	for i := range items {
		items[i].Workspace = m.Workspace
		items[i].Job = m.Job
	}
	return items, nil
}

// encodeResults encodes records in parts that fit into one object each.
func encodeResults(records []ItemRecord) (parts [][]byte, err error) {
	size, first := 0, 0
	for i, record := range records {
		size += len(record.Body) + len(record.CustomID) + len(record.Failure)
		if size < resultPartBytes && i < len(records)-1 {
			continue
		}
		part, err := encoder.Marshal(records[first : i+1])
		if err != nil {
			return nil, merry.Prepend(err, "encoding results")
		}
		parts = append(parts, part)
		size, first = 0, i+1
	}
	return parts, nil
}

func decodeResults(data []byte) (records []ItemRecord, err error) {
	err = encoder.Unmarshal(data, &records)
	return records, merry.Prepend(err, "decoding results")
}
