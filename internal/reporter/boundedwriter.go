package reporter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// boundedLines is the number of lines that wait for a reader that stalls.
	boundedLines = 2048
	// gatherBytes is the size up to which waiting lines go out in one write.
	gatherBytes = 32 << 10
)

// A BoundedWriter writes log lines from a goroutine of its own. Where the reader
// stalls, lines are left out and counted; no writer waits.
type BoundedWriter struct {
	w       io.Writer
	lines   chan []byte
	skipped atomic.Int64
}

// NewBoundedWriter returns a writer in front of w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	return &BoundedWriter{w: w, lines: make(chan []byte, boundedLines)}
}

// Write implements io.Writer. It never waits and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.skipped.Add(1)
	}
	return len(line), nil
}

// Skipped is the number of lines that were left out.
func (b *BoundedWriter) Skipped() int64 { return b.skipped.Load() }

// Start writes until the context ends, and then what is waiting. The channel
// reports the end.
func (b *BoundedWriter) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		var reported int64
		for {
			select {
			case line := <-b.lines:
				reported = b.write(b.gather(line), reported)
			case <-ctx.Done():
				for len(b.lines) > 0 {
					reported = b.write(b.gather(<-b.lines), reported)
				}
				ended <- nil
				return
			}
		}
	})
	return ended
}

// gather joins the lines that wait, up to gatherBytes.
func (b *BoundedWriter) gather(lines []byte) []byte {
	for len(lines) < gatherBytes {
		select {
		case line := <-b.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}

// write writes lines, and after them how many were left out.
func (b *BoundedWriter) write(lines []byte, reported int64) int64 {
	skipped := b.skipped.Load()
	if skipped > reported {
		lines = fmt.Appendf(lines, "{\"level\":\"warning\",\"message\":\"log lines left out\",\"count\":%d,\"time\":%q}\n",
			skipped-reported, time.Now().Format(timestampFormat))
	}
	_, _ = b.w.Write(lines) // There is nowhere else to report that the log cannot be written.
	return skipped
}
