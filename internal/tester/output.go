package tester

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// tailLines is the number of lines of each output that a failed test logs.
const tailLines = 40

// Addresses are the addresses that a process reports when it listens.
type Addresses struct {
	Control string `json:"control"` // Empty for processes without a control server.
	HTTP    string `json:"http"`
	Link    string `json:"link"` // UDP; empty for processes without links.
}

// A listeningReport is the line that a process writes to stdout when it
// listens.
type listeningReport struct {
	Listening *Addresses `json:"listening"`
}

// An output copies what a process writes to a file and searches it for the
// listening report.
type output struct {
	file      *os.File
	listening chan Addresses // Receives the first report.

	mu      sync.Mutex
	partial []byte // Incomplete last line.
	found   bool
}

func openOutput(path string) (o *output, err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, merry.Prepend(err, "open output file")
	}
	return &output{file: file, listening: make(chan Addresses, 1)}, nil
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.found {
		o.partial = append(o.partial, p...)
		o.scan()
	}
	return o.file.Write(p)
}

// scan consumes the complete lines of o.partial up to the first report.
func (o *output) scan() {
	for {
		line, rest, complete := bytes.Cut(o.partial, []byte("\n"))
		if !complete {
			return
		}
		o.partial = rest
		var r listeningReport
		if json.Unmarshal(line, &r) != nil || r.Listening == nil {
			continue
		}
		o.found = true
		o.partial = nil
		o.listening <- *r.Listening
		return
	}
}

// tail returns the last lines of a file.
func tail(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(content), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}
