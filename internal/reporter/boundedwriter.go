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
	// queueLines is the capacity of the queue, in lines.
	queueLines = 2048
	// maxWriteBytes is the size up to which queued lines are joined in one write.
	maxWriteBytes = 32 << 10
	// maxQueueBytes is the size of all queued lines beyond which further ones are dropped.
	maxQueueBytes = 4 << 20
)

// A BoundedWriter writes log lines from its own goroutine. When the output
// stalls and the queue is full, it drops and counts lines instead of blocking.
type BoundedWriter struct {
	w       io.Writer
	queue   chan []byte
	queued  atomic.Int64 // Bytes in the queue.
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer in front of w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	return &BoundedWriter{w: w, queue: make(chan []byte, queueLines)}
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	n := int64(len(line))
	if b.queued.Add(n) <= maxQueueBytes {
		select {
		case b.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	b.queued.Add(-n)
	b.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Start writes until the context is cancelled, and then flushes the queue. The
// channel receives nil when it is done.
func (b *BoundedWriter) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(done)
		var reportedDrops int64
		for {
			select {
			case line := <-b.queue:
				b.queued.Add(-int64(len(line)))
				reportedDrops = b.write(b.coalesce(line), reportedDrops)
			case <-ctx.Done():
				for len(b.queue) > 0 {
					reportedDrops = b.write(b.coalesce(nil), reportedDrops)
				}
				done <- nil
				return
			}
		}
	})
	return done
}

// coalesce appends queued lines until the size reaches maxWriteBytes.
func (b *BoundedWriter) coalesce(lines []byte) []byte {
	for len(lines) < maxWriteBytes {
		select {
		case line := <-b.queue:
			b.queued.Add(-int64(len(line)))
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}

// write writes lines, followed by the number of lines dropped since
// reportedDrops. It returns the total number of dropped lines.
func (b *BoundedWriter) write(lines []byte, reportedDrops int64) int64 {
	dropped := b.dropped.Load()
	if dropped > reportedDrops {
		lines = fmt.Appendf(lines, "{\"level\":\"warning\",\"message\":\"log lines left out\",\"count\":%d,\"time\":%q}\n",
			dropped-reportedDrops, time.Now().Format(timestampFormat))
	}
	_, _ = b.w.Write(lines) // There is nowhere else to report a failure to write the log.
	return dropped
}
