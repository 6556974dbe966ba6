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
	reader := &stallingReader{release: make(chan struct{})}
	w := NewBoundedWriter(reader)
	ctx, cancel := context.WithCancel(t.Context())
	ended := w.Start(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * boundedLines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("a writer waits for the reader")
	}
	assert.Assert(t, w.Skipped() >= boundedLines, "%d lines were left out", w.Skipped())
	close(reader.release)
	cancel()
	assert.NilError(t, <-ended)
	assert.Assert(t, strings.Contains(reader.text.String(), "log lines left out"))
}
