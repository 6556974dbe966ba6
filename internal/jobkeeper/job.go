// Package jobkeeper accepts batch jobs, runs their items on capacity that online
// requests leave free, and keeps their results in the platform's store.
//
// A job consists of a manifest, a record that names its owner, and segments of
// results. Only the owner adds segments: each write is conditional on the record
// version that the owner knows, so a write by a former owner has no effect. A
// result is listed once its segment is in the store, and its position never
// changes after that.
package jobkeeper

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// A State says how an item ended.
type State string

// The states of listed items.
const (
	StateCompleted    State = "completed"
	StateDeadLettered State = "dead-lettered" // It was rejected, failed too often or expired, or its route was removed.
)

// An Item is one request of a job.
type Item struct {
	ID     string         `cbor:"id"`
	Target string         `cbor:"target"` // Path and query at the backend server.
	Header []sender.Field `cbor:"header"`
	Body   []byte         `cbor:"body"`
	Tokens int64          `cbor:"tokens"` // Of the prompt, and the maximum of the output.
}

// A Manifest is a job as it was submitted. It is immutable.
type Manifest struct {
	Job         string     `cbor:"job"`
	Workspace   string     `cbor:"workspace"`
	Route       string     `cbor:"route"`
	Host        string     `cbor:"host"`
	SubmittedAt time.Time  `cbor:"submitted-at"`
	Items       []Item     `cbor:"items"`
	Guarantees  Guarantees `cbor:"guarantees"`
}

// Guarantees hold for the items of a job whatever later policies say. They come from the
// policy that was in force when the job was accepted, and are zero in jobs that earlier
// builds accepted.
type Guarantees struct {
	PolicyVersion int64         `cbor:"policy-version"`
	MaxWait       time.Duration `cbor:"max-wait"`     // No item is given up as expired before.
	MaxAttempts   int           `cbor:"max-attempts"` // No item is given up after fewer failed attempts.
}

// A Record holds the owner and the state of a job.
type Record struct {
	Owner       string    `cbor:"owner"`       // Instance ID.
	Incarnation string    `cbor:"incarnation"` // Of the owner.
	Workspace   string    `cbor:"workspace"`
	Route       string    `cbor:"route"`
	SubmittedAt time.Time `cbor:"submitted-at"`
	Total       int       `cbor:"total"`    // Items of the job.
	Segments    int       `cbor:"segments"` // Segments of results in the store.
	Listed      int       `cbor:"listed"`   // Results in these segments.
	Done        bool      `cbor:"done"`     // Every item is listed.
	// DoneAt is when the last item was listed, by the clock of the owner. It is zero in open
	// jobs, and in jobs that owners of earlier builds have completed.
	DoneAt time.Time `cbor:"done-at,omitzero"`
	Parts  int       `cbor:"parts"`  // Values that the manifest is split into.
	Tokens int64     `cbor:"tokens"` // Of all items.
	// WaitingTokens are those of the items that are not listed.
	WaitingTokens int64 `cbor:"waiting-tokens"`
}

// An End is what the store holds of the end of a job by its caller. Earlier builds store
// the workspace alone, and read nothing of it.
type End struct {
	Workspace string    `cbor:"workspace"`
	EndedAt   time.Time `cbor:"ended-at"`
}

// A Progress is the last saved checkpoint of an item.
type Progress struct {
	Item   string `cbor:"item"`
	After  string `cbor:"after"` // ID of the last event.
	Events int    `cbor:"events"`
	Text   string `cbor:"text"`
	// Version is that of the servers that wrote the text; nil if there is none. Earlier
	// builds restore no item without it.
	Version *string `cbor:"version,omitempty"`
	// Failures are the failed attempts so far. Earlier builds neither save nor read them.
	Failures int `cbor:"failures,omitempty"`
}

// A Result is the final state of an item and its text.
type Result struct {
	Item  string `cbor:"item"`
	State State  `cbor:"state"`
	Text  string `cbor:"text"`
}

// encodingOverhead is the most that the names, lengths and numbers of an encoded Result or
// Progress take.
const encodingOverhead = 128

// encodedBytes returns an upper bound of the size of the result in a segment.
func (r Result) encodedBytes() int {
	return encodingOverhead + len(r.Item) + len(r.State) + len(r.Text)
}

// encodedBytes returns an upper bound of the size of the progress in a checkpoint.
func (p Progress) encodedBytes() (n int) {
	n = encodingOverhead + len(p.Item) + len(p.After) + len(p.Text)
	if p.Version != nil {
		n += len(*p.Version)
	}
	return n
}

// jsonOverhead is the most that the names and the state of a result take in JSON.
const jsonOverhead = 64

// jsonBytes returns an upper bound of the size of the result in JSON.
func (r Result) jsonBytes() int { return jsonOverhead + jsonBytes(r.Item) + jsonBytes(r.Text) }

// jsonBytes returns the size of a text in a JSON string: control characters and bytes that
// are not UTF-8 take six bytes each.
func jsonBytes(text string) (n int) {
	for i, c := range text {
		switch {
		case c == '"' || c == '\\' || c == '\n' || c == '\r' || c == '\t':
			n += 2
		case c < ' ' || c == '\u2028' || c == '\u2029':
			n += 6
		case c == utf8.RuneError && !strings.HasPrefix(text[i:], string(utf8.RuneError)):
			n += 6
		default:
			n += utf8.RuneLen(c)
		}
	}
	return n
}

// A View is a page of a job's results, starting at a position.
type View struct {
	Total   int      `cbor:"total"`
	Next    int      `cbor:"next"` // Position after the last result of the page.
	Results []Result `cbor:"results"`
	Ended   bool     `cbor:"ended"` // No more results will come.
}

// Keys of a job in the platform's store, relative to Config.Prefix.
func manifestKey(job string, part int) string {
	return "job/" + job + "/" + strconv.Itoa(part)
}
func progressKey(job string) string   { return "part/" + job }
func recordKey(job string) string     { return "run/" + job }
func segmentPrefix(job string) string { return "out/" + job + "/" }
func segmentKey(job string, n int) string {
	return segmentPrefix(job) + strconv.Itoa(n)
}

// A job is a job that this instance owns. mu guards the fields below it.
type job struct {
	manifest  Manifest // Without the items.
	held      int64    // Bytes of the manifest as it was submitted.
	takenOver bool     // It was not accepted by this process.

	mu           sync.Mutex
	items        []Item
	released     bool // Only the IDs and tokens of the items are left.
	record       Record
	version      int64     // Version of the record in the store.
	listed       []Result  // In the store.
	pending      []Result  // Finished, not in the store yet.
	pendingSince time.Time // When the oldest pending result was finished.
	unfinished   map[string]*task
	waiting      int64           // Tokens of the unfinished items.
	ended        bool            // Ended by the caller, or lost to another owner.
	dropped      bool            // Removed from the job table; implies ended.
	doubtful     *segmentAttempt // The write of results whose effect is unknown, if any.
	doubtfulAt   time.Time       // When doubtful was last set.
	flushing     bool            // A write of results is in progress.
	// afterRefusal limits the next segment while the store refuses larger ones.
	afterRefusal segmentLimit
	malformedAt  map[string]bool // Servers that gave an answer which cannot be one to its item.
	savedEvents  int             // Events in the last saved progress.
	// savedFailures are the failed attempts in the last saved progress.
	savedFailures int
	changed       chan struct{} // Closed at the next change that readers can see.
}

func newJob(m Manifest, r Record, version int64, listed []Result) *job {
	j := &job{manifest: m, items: m.Items, held: m.heldBytes(), record: r, version: version, listed: listed, unfinished: map[string]*task{}, changed: make(chan struct{})}
	j.manifest.Items = nil
	known := make(map[string]Result, len(listed))
	missing := make(map[string]int, len(m.Items)) // Results that are not listed, by item.
	for i := range m.Items {
		missing[m.Items[i].ID]++
	}
	for _, result := range listed {
		known[result.Item] = result
		missing[result.Item]--
	}
	for i := range m.Items {
		item := &m.Items[i]
		positions := missing[item.ID]
		delete(missing, item.ID)
		if positions <= 0 {
			continue
		}
		if result, ok := known[item.ID]; ok {
			j.pending = append(j.pending, slices.Repeat([]Result{result}, positions)...)
			continue
		}
		j.unfinished[item.ID] = &task{job: j, item: item, positions: positions}
		j.waiting += item.Tokens * int64(positions)
	}
	return j
}

// restoreProgress applies the progress that a former owner saved.
func (j *job) restoreProgress(saved []Progress) {
	for _, p := range saved {
		t, ok := j.unfinished[p.Item]
		if !ok {
			continue
		}
		t.failures = p.Failures
		j.savedFailures += p.Failures
		if p.Version != nil {
			t.after, t.events, t.version = p.After, p.Events, p.Version
			t.text.WriteString(p.Text)
			t.textJSONBytes = jsonBytes(p.Text)
			j.savedEvents += p.Events
		}
	}
}

// A checkpoint is the progress of the unfinished items of a job.
type checkpoint struct {
	saved    []Progress
	events   int // Of all these items.
	failures int // Of all these items.
}

// checkpoint returns the progress of the unfinished items, as much of it as fits into a
// value of the store. The caller holds j.mu.
func (j *job) checkpoint() (c checkpoint) {
	size := 0
	for id, t := range j.unfinished {
		p := t.progress()
		p.Item = id
		if size+p.encodedBytes() > maxValueBytes {
			p = Progress{Item: id, Failures: p.Failures}
		}
		if p.Events == 0 && p.Failures == 0 || size+p.encodedBytes() > maxValueBytes {
			continue
		}
		size += p.encodedBytes()
		c.saved = append(c.saved, p)
		c.events += p.Events
		c.failures += p.Failures
	}
	return c
}

// setDoubtful records that the effect of a write is unknown; nil means that no write
// is in doubt.
func (j *job) setDoubtful(a *segmentAttempt, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.doubtful, j.doubtfulAt = a, now
}

func (j *job) recordVersion() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.version
}

func (j *job) isDoubtful() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.doubtful != nil
}

// unfinishedTokens returns the tokens of the unfinished items; none of a job that has
// ended.
func (j *job) unfinishedTokens() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return 0
	}
	return j.waiting
}

// tokensOf returns the tokens of the items of some results.
func (j *job) tokensOf(results []Result) (n int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	tokens := make(map[string]int64, len(j.items))
	for i := range j.items {
		tokens[j.items[i].ID] = j.items[i].Tokens
	}
	for _, r := range results {
		n += tokens[r.Item]
	}
	return n
}

// notifyReaders wakes the readers that wait for a change. The caller holds j.mu.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// view returns the listed results from a position on. The caller holds j.mu.
func (j *job) view(after int) View {
	return newView(j.record.Total, j.listed, after, j.ended || j.record.Done)
}

// maxValueBytes limits one value of the store, which accepts up to 1 MB, and the text of
// one result.
const maxValueBytes = 700 << 10

// maxViewBytes limits the JSON of one view. Callers accept at most 1 MB.
const maxViewBytes = 960_000

// maxResultJSONBytes limits the JSON of one text, so that it fits into a view with its ID.
const maxResultJSONBytes = maxViewBytes - jsonOverhead - 2*maxItemIDBytes

// newView returns as many of the listed results from a position on as fit into a view, but
// at least one.
func newView(total int, listed []Result, after int, ended bool) View {
	v := View{Total: total, Next: after, Ended: ended}
	if after < 0 || after > len(listed) {
		return v
	}
	v.Results = slices.Clone(listed[after:])
	v.Next = len(listed)
	return v.limited()
}

// limited returns the view without the results that do not fit into it. Earlier builds
// return views whose JSON is larger.
func (v View) limited() View {
	first := v.Next - len(v.Results)
	size := 0
	for i, r := range v.Results {
		size += r.jsonBytes()
		if size > maxViewBytes && i > 0 {
			v.Results = v.Results[:i]
			break
		}
	}
	v.Next = first + len(v.Results)
	return v
}
