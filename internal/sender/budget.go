package sender

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// uncountedBytes is the part of an answer, or of an event, that is not counted
	// against the budget: sound ones rarely have more.
	uncountedBytes = 64 << 10
	// defaultMaxHeldBytes bounds what unfinished answers hold beyond uncountedBytes each.
	defaultMaxHeldBytes = 64 << 20
)

// A budget bounds the bytes that the unfinished answers of a sender hold in memory. A
// server in trouble may send bytes without end in many answers at the same time.
type budget struct {
	limit int64
	used  atomic.Int64
}

// take takes n bytes from the budget. It returns false if fewer are left.
func (b *budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// A buffer collects an answer or an event. What it holds beyond uncountedBytes counts
// against a budget until release.
type buffer struct {
	budget  *budget
	counted int64
	bytes   []byte
}

// reserve makes room for n more bytes. It fails if the budget is used up.
func (b *buffer) reserve(n int) error {
	size := len(b.bytes) + n
	if size <= cap(b.bytes) {
		return nil
	}
	grown := max(2*cap(b.bytes), size)
	if counted := int64(max(grown-uncountedBytes, 0)); counted > b.counted {
		if !b.budget.take(counted - b.counted) {
			return errTooLarge
		}
		b.counted = counted
	}
	b.bytes = slices.Grow(b.bytes, grown-len(b.bytes))
	return nil
}

// append adds bytes.
func (b *buffer) append(p []byte) error {
	if err := b.reserve(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// readAll reads to the end of r, up to limit bytes.
func (b *buffer) readAll(r io.Reader, limit int) error {
	for {
		if err := b.reserve(minRead); err != nil {
			return err
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > limit:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// minRead is the room for one read.
const minRead = 512

// release returns what the buffer holds to the budget. The bytes stay valid.
func (b *buffer) release() {
	b.budget.used.Add(-b.counted)
	b.counted = 0
}
