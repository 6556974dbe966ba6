package batcher

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxResultBytes bounds the body of one result; a chunk in hand holds up
	// to a hundred of them in memory.
	maxResultBytes = 256 << 10
	// resultPartBytes closes an object of results, so that it fits into one
	// message with the largest result after it.
	resultPartBytes = 2 << 20
)

// An Item is one request of a batch job.
type Item struct {
	Workspace string `cbor:"-"` // Of the job; set when the item is loaded.
	Job       string `cbor:"-"` // Set when the item is loaded.
	CustomID  string `cbor:"custom-id"`
	Method    string `cbor:"method"`
	URL       string `cbor:"url"` // Path and query.
	Lane      string `cbor:"lane"`
	Body      []byte `cbor:"body"` // JSON; empty when the item has none.
}

// An ItemResult is the answer of a backend server to an item.
type ItemResult struct {
	StatusCode int
	Body       []byte
	Tokens     int64 // Work done; zero when the backend server counts none.
}

// An ItemRecord is the stored end of an item.
type ItemRecord struct {
	Index      int    `cbor:"index"` // Position in the chunk.
	CustomID   string `cbor:"custom-id"`
	StatusCode int    `cbor:"status-code"`
	Body       []byte `cbor:"body"`
	Tokens     int64  `cbor:"tokens"`
	Tries      int    `cbor:"tries"`
	Failure    string `cbor:"failure"` // Reason why the item could not be done; empty when it was done.
}

// A ResultLine is a line of the results as callers read them.
type ResultLine struct {
	CustomID   string          `json:"custom_id"`
	StatusCode int             `json:"status-code,omitempty"`
	Body       json.RawMessage `json:"body,omitempty"` // JSON as answered, or a JSON string of any other answer.
	Tokens     int64           `json:"tokens,omitempty"`
	Failure    *FailureLine    `json:"failure,omitempty"`
}

// A FailureLine says why an item could not be done.
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
	return cbor.Marshal(items)
}

func decodeItems(data []byte, m Manifest) (items []Item, err error) {
	if err = cbor.Unmarshal(data, &items); err != nil {
		return nil, merry.Prepend(err, "decoding the items of a chunk")
	}
	for i := range items {
		items[i].Workspace = m.Workspace
		items[i].Job = m.Job
	}
	return items, nil
}

// encodeResults splits records into parts that fit into one object each.
func encodeResults(records []ItemRecord) (parts [][]byte, err error) {
	size, first := 0, 0
	for i, record := range records {
		size += len(record.Body) + len(record.CustomID) + len(record.Failure)
		if size < resultPartBytes && i < len(records)-1 {
			continue
		}
		part, err := cbor.Marshal(records[first : i+1])
		if err != nil {
			return nil, merry.Prepend(err, "encoding results")
		}
		parts = append(parts, part)
		size, first = 0, i+1
	}
	return parts, nil
}

func decodeResults(data []byte) (records []ItemRecord, err error) {
	err = cbor.Unmarshal(data, &records)
	return records, merry.Prepend(err, "decoding results")
}
