package reporter

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A stallingReader takes nothing until it is released.
type stallingReader struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stallingReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBoundedWriter guards against a process that stands still because nobody
// reads its log.
func TestBoundedWriter(t *testing.T) {
	const (
		line  = "line\n"
		lines = 10 * boundedLines
	)
	reader := &stallingReader{release: make(chan struct{})}
	w := NewBoundedWriter(reader)
	ctx, cancel := context.WithCancel(t.Context())
	ended := w.Start(ctx)
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
		t.Fatal("a writer waits for the reader")
	}
	held := boundedLines + gatherBytes/len(line) + 1 // In the queue, and in the write that stalls.
	assert.Assert(t, w.Skipped() >= int64(lines-held), "%d lines were left out", w.Skipped())
	close(reader.release)
	cancel()
	assert.NilError(t, <-ended)
	assert.Assert(t, strings.Contains(reader.text.String(), "log lines left out"))
}
