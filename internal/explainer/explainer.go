// Package explainer reconstructs the timeline of one request from the log lines of
// several instances: the decisions about it, and the state that the deciding
// instances knew at the time.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
)

const (
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
	// serverWindow is the time before and after a line of the request within which
	// log lines about its backend server are included.
	serverWindow = 10 * time.Second
)

// Names of fields of log lines.
const (
	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldRequest = "request"
	fieldJob     = "job"
	fieldItem    = "item"
	fieldPeer    = "peer"
	fieldFollows = "follows"
)

// A Line is one log line of an instance.
type Line struct {
	Instance string // Empty if neither the line nor its file names one.
	At       time.Time
	Message  string
	Fields   map[string]any // Without time, message and level.
}

// An Explainer holds the log lines of several instances.
type Explainer struct {
	lines        []Line
	skippedLines int // Lines that could not be parsed.
}

// Read adds the lines of one source. The instance of a line is the one that the
// line or an earlier line names, or else the given name.
func (e *Explainer) Read(name string, r io.Reader) (err error) {
	defer func() { err = merry.Prependf(err, "read the log lines of %s", name) }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), name)
		if !ok {
			e.skippedLines++
			continue
		}
		if instance, named := line.Fields[reporter.FieldInstance].(string); named {
			name, line.Instance = instance, instance
		}
		e.lines = append(e.lines, line)
	}
	return scanner.Err()
}

// SkippedLines returns the number of lines that could not be parsed.
func (e *Explainer) SkippedLines() int { return e.skippedLines }

// parse parses one line. A log collector may have put a prefix before the JSON
// object; the last word of the prefix names the instance.
func parse(raw []byte, name string) (line Line, ok bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	if before := strings.Fields(string(raw[:start])); len(before) > 0 {
		name = before[len(before)-1]
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	text, _ := fields[fieldTime].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Line{}, false
	}
	line = Line{Instance: name, At: at}
	line.Message, _ = fields[fieldMessage].(string)
	for _, standardField := range []string{fieldTime, fieldMessage, fieldLevel} {
		delete(fields, standardField)
	}
	line.Fields = fields
	return line, true
}

// Timeline returns the lines of a request, job or item, together with the lines
// that show what the same instances knew at the time, sorted by time.
func (e *Explainer) Timeline(id string) (timeline []Line) {
	selected := map[int]bool{}
	for i, line := range e.lines {
		if line.refersTo(id) {
			selected[i] = true
			e.selectContext(line, selected)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(selected)) {
		timeline = append(timeline, e.lines[i])
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}

func (l Line) refersTo(id string) bool {
	return l.Fields[fieldRequest] == id || l.Fields[fieldJob] == id || l.Fields[fieldItem] == id
}

// selectContext selects the lines that show what the instance of an event knew:
// lines about the backend server of the event within serverWindow, and the latest
// earlier lines about the configuration, the store and each peer.
func (e *Explainer) selectContext(event Line, selected map[int]bool) {
	latest := map[string]int{} // By subject.
	for i, line := range e.lines {
		switch {
		case line.Instance != event.Instance:
		case line.isServerStateFor(event):
			selected[i] = true
		case line.isStateChange() && !line.At.After(event.At):
			latest[line.subject()] = i
		}
	}
	for _, i := range latest {
		selected[i] = true
	}
}

// isServerStateFor reports whether a line is about the state of the backend server
// of an event and within serverWindow of it.
func (l Line) isServerStateFor(event Line) bool {
	server, named := event.Fields[reporter.FieldBackendServer]
	return named && l.Fields[reporter.FieldBackendServer] == server && l.Fields[fieldRequest] == nil && l.Fields[fieldJob] == nil &&
		l.At.Sub(event.At).Abs() <= serverWindow
}

// isStateChange reports whether a line records a change of the fleet or the store
// as an instance sees it.
func (l Line) isStateChange() bool {
	_, follows := l.Fields[fieldFollows]
	_, peer := l.Fields[fieldPeer]
	return follows || peer || l.Message == "configuration in force" || l.Message == "membership changed"
}

// subject returns what a state change is about.
func (l Line) subject() string {
	for _, field := range []string{fieldFollows, fieldPeer} {
		if about, ok := l.Fields[field]; ok {
			return fmt.Sprint(field, " ", about)
		}
	}
	return l.Message
}

// Write prints a timeline, one line each: the time since the first line, the
// instance, the message, and the fields sorted by name.
func Write(w io.Writer, timeline []Line) error {
	for _, line := range timeline {
		var fields strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&fields, " %s=%v", name, line.Fields[name])
		}
		_, err := fmt.Fprintf(w, "%+.3fs %s %s:%s\n", line.At.Sub(timeline[0].At).Seconds(), line.Instance, line.Message, fields.String())
		if err != nil {
			return err
		}
	}
	return nil
}
