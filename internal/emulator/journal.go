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

// defaultJournalSize is the default number of requests that a journal keeps.
const defaultJournalSize = 4096

// maxJournalBytes is the maximum size of all bodies in a journal. Beyond it, the oldest
// requests are kept without their bodies.
const maxJournalBytes = 16 << 20

// A Request is a request that an emulator received.
type Request struct {
	At     time.Time   `json:"at"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	Digest string      `json:"digest"`
}

// Contains reports whether the path, query, header or body contains the text.
func (r Request) Contains(text string) bool {
	return strings.Contains(fmt.Sprint(r.Path, "\n", r.Query, "\n", r.Header, "\n", r.Body), text)
}

// A Journal records the most recent requests completely and counts all requests
// by the digest of their content.
type Journal struct {
	mu     sync.Mutex
	size   int
	recent []Request
	next   int // Index in recent that is overwritten next, once recent is full.
	oldest int // Index in recent of the oldest request that may have a body.
	bytes  int // Size of all bodies.
	counts map[string]int
}

// A Report is the response to GET /received.
type Report struct {
	Requests []Request      `json:"requests"`
	Counts   map[string]int `json:"counts"` // Number of requests by digest.
}

// NewJournal returns an empty journal of the given size, or of the default
// size if it is zero.
func NewJournal(size int) *Journal {
	if size <= 0 {
		size = defaultJournalSize
	}
	return &Journal{size: size, counts: map[string]int{}}
}

// Digest returns the hexadecimal SHA-256 by which requests are counted.
func Digest(method, path, query string, body []byte) string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, method+"\x00"+path+"\x00"+query+"\x00")
	_, _ = sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Record records a request and returns its body. The body of r can be read
// again afterwards.
func (j *Journal) Record(r *http.Request) (body []byte, err error) {
	body, err = io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	j.add(Request{
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

func (j *Journal) add(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[r.Digest]++
	j.bytes += len(r.Body)
	if len(j.recent) < j.size {
		j.recent = append(j.recent, r)
	} else {
		j.bytes -= len(j.recent[j.next].Body)
		j.recent[j.next] = r
		if j.oldest == j.next {
			j.oldest = (j.oldest + 1) % j.size
		}
		j.next = (j.next + 1) % j.size
	}
	for j.bytes > maxJournalBytes && j.oldest != j.newest() {
		j.bytes -= len(j.recent[j.oldest].Body)
		j.recent[j.oldest].Body = ""
		j.oldest = (j.oldest + 1) % j.size
	}
}

// newest returns the index of the newest request. The caller holds j.mu.
func (j *Journal) newest() int {
	if len(j.recent) < j.size {
		return len(j.recent) - 1
	}
	return (j.next + j.size - 1) % j.size
}

// Report returns a copy of the journal.
func (j *Journal) Report() Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	report := Report{Requests: append([]Request(nil), j.recent...), Counts: make(map[string]int, len(j.counts))}
	for digest, n := range j.counts {
		report.Counts[digest] = n
	}
	return report
}

// Containing returns the recorded requests that contain the text.
func (j *Journal) Containing(text string) []Request {
	var found []Request
	for _, r := range j.Report().Requests {
		if r.Contains(text) {
			found = append(found, r)
		}
	}
	return found
}

// ServeHTTP responds with the report.
func (j *Journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, j.Report())
}
