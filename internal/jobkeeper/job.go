// Package jobkeeper accepts batch jobs, runs their items when online work leaves
// room, and keeps their results in the platform's store.
//
// A job is a manifest, a record that names its owner, and segments of results.
// Only the owner adds segments: each write expects the version of the record
// that the owner knows, so that a former owner's write has no effect. A position
// is listed once its segment is in the store, and never changes after that.
package jobkeeper

import (
	"strconv"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// A State says how an item ended.
type State string

// The states of listed items.
const (
	StateCompleted    State = "completed"
	StateDeadLettered State = "dead-lettered" // It was given up.
)

// An Item is one request of a job.
type Item struct {
	ID     string         `cbor:"id"`
	Target string         `cbor:"target"` // Path and query at the backend server.
	Header []sender.Field `cbor:"header"`
	Body   []byte         `cbor:"body"`
}

// A Manifest is a job as it was submitted. It does not change.
type Manifest struct {
	Job         string    `cbor:"job"`
	Workspace   string    `cbor:"workspace"`
	Route       string    `cbor:"route"`
	Host        string    `cbor:"host"`
	SubmittedAt time.Time `cbor:"submitted-at"`
	Items       []Item    `cbor:"items"`
}

// A Record says who runs a job and how far it is.
type Record struct {
	Owner       string    `cbor:"owner"`       // Instance ID.
	Incarnation string    `cbor:"incarnation"` // Of the owner.
	Workspace   string    `cbor:"workspace"`
	SubmittedAt time.Time `cbor:"submitted-at"`
	Total       int       `cbor:"total"`    // Items of the job.
	Segments    int       `cbor:"segments"` // Segments of results that are in the store.
	Listed      int       `cbor:"listed"`   // Results in them.
	Done        bool      `cbor:"done"`     // Every item is listed.
	Parts       int       `cbor:"parts"`    // Values that the manifest takes.
}

// A Progress is how far an item was when the owner saved it last.
type Progress struct {
	Item   string `cbor:"item"`
	After  string `cbor:"after"` // ID of the last event.
	Events int    `cbor:"events"`
	Text   string `cbor:"text"`
}

// A Result is a listed item.
type Result struct {
	Item  string `cbor:"item"`
	State State  `cbor:"state"`
	Text  string `cbor:"text"`
}

// A View is what a caller sees of a job from a position on.
type View struct {
	Total   int      `cbor:"total"`
	Next    int      `cbor:"next"` // Position after the last result of the view.
	Results []Result `cbor:"results"`
	Ended   bool     `cbor:"ended"` // No more results will come.
}

// Keys of a job in the platform's store, below the prefix of the keeper.
func manifestKey(job string, part int) string {
	return "job/" + job + "/" + strconv.Itoa(part)
}
func progressKey(job string) string   { return "part/" + job }
func recordKey(job string) string     { return "run/" + job }
func segmentPrefix(job string) string { return "out/" + job + "/" }
func segmentKey(job string, n int) string {
	return segmentPrefix(job) + strconv.Itoa(n)
}

// A job is a job that this instance owns. Its fields below mu are guarded by it.
type job struct {
	manifest Manifest

	mu       sync.Mutex
	record   Record
	version  int64     // Of the record in the store.
	listed   []Result  // In the store.
	pending  []Result  // Finished, not in the store yet.
	since    time.Time // When the oldest pending result was finished.
	open     map[string]*work
	ended    bool          // It was ended by its caller, or lost to another owner.
	flushing bool          // A write of results is under way.
	saved    int           // Events in the progress that was saved last.
	changed  chan struct{} // Closed at the next change of what callers see.
}

func newJob(m Manifest, r Record, version int64, listed []Result) *job {
	j := &job{manifest: m, record: r, version: version, listed: listed, open: map[string]*work{}, changed: make(chan struct{})}
	done := make(map[string]bool, len(listed))
	for _, result := range listed {
		done[result.Item] = true
	}
	for i := range m.Items {
		item := &m.Items[i]
		if !done[item.ID] {
			j.open[item.ID] = &work{job: j, item: item}
		}
	}
	return j
}

// restore takes over what a former owner had saved.
func (j *job) restore(saved []Progress) {
	for _, p := range saved {
		if w, ok := j.open[p.Item]; ok {
			w.after, w.events = p.After, p.Events
			w.text.WriteString(p.Text)
			j.saved += p.Events
		}
	}
}

// progress is how far the open items are, up to maxValueBytes of texts. The lock
// is held.
func (j *job) progress() (saved []Progress, events int) {
	size := 0
	for id, w := range j.open {
		p := w.progress()
		size += len(p.Text)
		if p.Events == 0 || size > maxValueBytes {
			continue
		}
		p.Item = id
		saved = append(saved, p)
		events += p.Events
	}
	return saved, events
}

// announce wakes the callers that wait for a change. The lock is held.
func (j *job) announce() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// view is what is listed from a position on, up to maxViewBytes. The lock is
// held.
func (j *job) view(after int) View {
	return viewOf(j.record.Total, j.listed, after, j.ended || j.record.Done)
}

// maxValueBytes bounds what goes into one value of the store, which holds 1 MB.
const maxValueBytes = 700 << 10

// maxViewBytes bounds the texts of one view; callers take at most 1 MB, which
// leaves room for the escapes of JSON.
const maxViewBytes = 600 << 10

func viewOf(total int, listed []Result, after int, ended bool) View {
	v := View{Total: total, Next: after, Ended: ended}
	if after < 0 || after > len(listed) {
		return v
	}
	size := 0
	for _, r := range listed[after:] {
		size += len(r.Text)
		if size > maxViewBytes && len(v.Results) > 0 {
			break
		}
		v.Results = append(v.Results, r)
	}
	v.Next = after + len(v.Results)
	return v
}
