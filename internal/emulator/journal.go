package emulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// defaultJournalSize is the number of requests that a journal keeps.
const defaultJournalSize = 4096

// A Received is one request as the stand-in got it.
type Received struct {
	At     time.Time   `json:"at"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	Digest string      `json:"digest"`
}

// Contains reports whether any part of the request holds the text.
func (r Received) Contains(text string) bool {
	return strings.Contains(fmt.Sprint(r.Path, "\n", r.Query, "\n", r.Header, "\n", r.Body), text)
}

// A Journal records requests: the newest in full, and counts of all by their
// content.
type Journal struct {
	mu     sync.Mutex
	size   int
	newest []Received
	next   int // Position in newest that is overwritten next, once it is full.
	counts map[string]int
}

// A Report is the answer to GET /received.
type Report struct {
	Requests []Received     `json:"requests"`
	Counts   map[string]int `json:"counts"` // By digest of the content.
}

// NewJournal returns an empty journal of the given size, or of the default
// size if it is zero.
func NewJournal(size int) *Journal {
	if size <= 0 {
		size = defaultJournalSize
	}
	return &Journal{size: size, counts: map[string]int{}}
}

// Digest is the digest under which a content is counted.
func Digest(method, path, query string, body []byte) string {
	sum := sha256.Sum256([]byte(method + "\x00" + path + "\x00" + query + "\x00" + string(body)))
	return hex.EncodeToString(sum[:])
}

// Record reads the body of a request, leaves a copy in its place and records
// the request.
func (j *Journal) Record(r *http.Request) (body []byte, err error) {
	body, err = io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	j.add(Received{
		At:     time.Now(),
		Method: r.Method,
		Path:   r.URL.EscapedPath(),
		Query:  r.URL.RawQuery,
		Header: r.Header.Clone(),
		Body:   string(body),
		Digest: Digest(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, body),
	})
	return body, nil
}

func (j *Journal) add(r Received) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[r.Digest]++
	if len(j.newest) < j.size {
		j.newest = append(j.newest, r)
		return
	}
	j.newest[j.next] = r
	j.next = (j.next + 1) % j.size
}

// Report is a copy of the journal.
func (j *Journal) Report() Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	report := Report{Requests: append([]Received(nil), j.newest...), Counts: make(map[string]int, len(j.counts))}
	for digest, n := range j.counts {
		report.Counts[digest] = n
	}
	return report
}

// Containing are the kept requests that hold the text anywhere.
func (j *Journal) Containing(text string) []Received {
	var found []Received
	for _, r := range j.Report().Requests {
		if r.Contains(text) {
			found = append(found, r)
		}
	}
	return found
}

// ServeHTTP answers with the report.
func (j *Journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, j.Report())
}
