// Package explainer tells the story of one request from the log lines of several
// instances: what was decided on it, and what the deciding instances believed at
// the time.
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
	// serverWindow is the time before and after a line of the request in which
	// beliefs about its backend server are shown.
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
	Instance string // Empty where neither the line nor its file names one.
	At       time.Time
	Message  string
	Fields   map[string]any // Without time, message and level.
}

// An Explainer holds the log lines of several instances.
type Explainer struct {
	lines   []Line
	skipped int // Lines that are no log lines.
}

// Read adds the lines of one source. The instance is the one that its lines name
// at the start, or the name given here.
func (e *Explainer) Read(name string, r io.Reader) (err error) {
	defer func() { err = merry.Prependf(err, "read the log lines of %s", name) }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), name)
		if !ok {
			e.skipped++
			continue
		}
		if instance, named := line.Fields[reporter.FieldInstance].(string); named {
			name, line.Instance = instance, instance
		}
		e.lines = append(e.lines, line)
	}
	return scanner.Err()
}

// Skipped is the number of lines that could not be read.
func (e *Explainer) Skipped() int { return e.skipped }

// parse reads one line. A collector may have put other words before the JSON
// object; the last of them names the instance.
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
	for _, used := range []string{fieldTime, fieldMessage, fieldLevel} {
		delete(fields, used)
	}
	line.Fields = fields
	return line, true
}

// Story returns the lines that name a request, job or item, with those that say
// what the same instances believed of what these lines depend on, in the order of
// time.
func (e *Explainer) Story(id string) (story []Line) {
	chosen := map[int]bool{}
	for i, line := range e.lines {
		if line.names(id) {
			chosen[i] = true
			e.chooseBeliefs(line, chosen)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(chosen)) {
		story = append(story, e.lines[i])
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

func (l Line) names(id string) bool {
	return l.Fields[fieldRequest] == id || l.Fields[fieldJob] == id || l.Fields[fieldItem] == id
}

// chooseBeliefs adds what the instance of a line believed: of the line's backend
// server around that time, and the last word before it on the configuration, the
// store and each peer.
func (e *Explainer) chooseBeliefs(told Line, chosen map[int]bool) {
	last := map[string]int{} // By subject.
	for i, line := range e.lines {
		switch {
		case line.Instance != told.Instance:
		case line.isAboutServerOf(told):
			chosen[i] = true
		case line.isBelief() && !line.At.After(told.At):
			last[line.subject()] = i
		}
	}
	for _, i := range last {
		chosen[i] = true
	}
}

// isAboutServerOf reports whether a line is a belief about the backend server of
// another one, near it in time.
func (l Line) isAboutServerOf(told Line) bool {
	server, named := told.Fields[reporter.FieldBackendServer]
	return named && l.Fields[reporter.FieldBackendServer] == server && l.Fields[fieldRequest] == nil && l.Fields[fieldJob] == nil &&
		l.At.Sub(told.At).Abs() <= serverWindow
}

// isBelief reports whether a line says what an instance believes of the fleet or
// of the store.
func (l Line) isBelief() bool {
	_, follows := l.Fields[fieldFollows]
	_, peer := l.Fields[fieldPeer]
	return follows || peer || l.Message == "configuration in force" || l.Message == "membership changed"
}

// subject is what a belief is about.
func (l Line) subject() string {
	for _, field := range []string{fieldFollows, fieldPeer} {
		if about, ok := l.Fields[field]; ok {
			return fmt.Sprint(field, " ", about)
		}
	}
	return l.Message
}

// Write prints a story, a line each: the time since the first line, the instance,
// the message, and the fields in the order of their names.
func Write(w io.Writer, story []Line) error {
	for _, line := range story {
		var fields strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&fields, " %s=%v", name, line.Fields[name])
		}
		_, err := fmt.Fprintf(w, "%+.3fs %s %s:%s\n", line.At.Sub(story[0].At).Seconds(), line.Instance, line.Message, fields.String())
		if err != nil {
			return err
		}
	}
	return nil
}
