package commander

import (
	"fmt"
	"io"
	"os"
	"time"
)

const (
	progressInterval = 200 * time.Millisecond
	clearLine        = "\r\x1b[K"
	mebibyte         = 1 << 20
)

// A progress shows the progress of a command if standard error is a terminal.
type progress struct {
	w       io.Writer // Nil without a terminal.
	shownAt time.Time
	shown   bool
}

func newProgress(stderr io.Writer) *progress {
	if !isTerminal(stderr) {
		return &progress{}
	}
	return &progress{w: stderr}
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progress) show(format string, args ...any) {
	if p.w == nil {
		return
	}
	fmt.Fprintf(p.w, clearLine+format, args...)
	p.shown = true
	p.shownAt = time.Now()
}

func (p *progress) clear() {
	if p.shown {
		fmt.Fprint(p.w, clearLine)
		p.shown = false
	}
}

// showBytes shows a byte count at most once per progressInterval.
func (p *progress) showBytes(n, total int64) {
	switch {
	case time.Since(p.shownAt) < progressInterval:
	case total > 0:
		p.show("%d of %d MiB", n/mebibyte, total/mebibyte)
	default:
		p.show("%d MiB", n/mebibyte)
	}
}

// reader returns a reader that shows how much was read.
func (p *progress) reader(r io.Reader, total int64) io.Reader {
	return &countingReader{r: r, progress: p, total: total}
}

// writer returns a writer that shows how much was written.
func (p *progress) writer(w io.Writer) io.Writer {
	return &countingWriter{w: w, progress: p}
}

type countingReader struct {
	r        io.Reader
	progress *progress
	total    int64
	n        int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (n int, err error) {
	n, err = c.r.Read(p)
	c.n += int64(n)
	c.progress.showBytes(c.n, c.total)
	return n, err
}

type countingWriter struct {
	w        io.Writer
	progress *progress
	n        int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (n int, err error) {
	n, err = c.w.Write(p)
	c.n += int64(n)
	c.progress.showBytes(c.n, 0)
	return n, err
}
