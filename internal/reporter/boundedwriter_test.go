package reporter

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A stalledWriter blocks all writes until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBoundedWriter guards against a process that blocks because nothing reads
// its log.
func TestBoundedWriter(t *testing.T) {
	const (
		line  = "line\n"
		lines = 10 * queueLines
	)
	output := &stalledWriter{release: make(chan struct{})}
	w := NewBoundedWriter(output)
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Start(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			_, _ = w.Write([]byte(line))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on the stalled output")
	}
	maxHeld := queueLines + maxWriteBytes/len(line) + 1 // In the queue and in the stalled write.
	assert.Assert(t, w.Dropped() >= int64(lines-maxHeld), "%d lines were dropped", w.Dropped())
	close(output.release)
	cancel()
	assert.NilError(t, <-done)
	assert.Assert(t, strings.Contains(output.text.String(), "log lines left out"))
}

// TestBoundedWriterBytes guards against a queue of few long lines that fills the memory.
func TestBoundedWriterBytes(t *testing.T) {
	const lines = 2 * maxQueueBytes / maxWriteBytes
	output := &stalledWriter{release: make(chan struct{})}
	w := NewBoundedWriter(output)
	for range lines {
		_, _ = w.Write(make([]byte, maxWriteBytes))
	}
	assert.Equal(t, w.queued.Load(), int64(maxQueueBytes))
	assert.Equal(t, w.Dropped(), int64(lines/2))
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Start(ctx)
	close(output.release)
	cancel()
	assert.NilError(t, <-done)
	assert.Equal(t, w.queued.Load(), int64(0))
}
