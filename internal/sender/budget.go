package sender

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// uncountedBytes is the part of an answer, or of an event, that is not counted
	// against the budget: sound ones rarely have more.
	uncountedBytes = 64 << 10
	// pieceBytes is the size of the pieces that hold the rest. Arrays that grow by
	// doubling leave garbage of their own size: 60 endless answers with a budget of
	// 8 MB made 170 MB of arrays in a second, and held up to 66 MB until a collection.
	pieceBytes = 64 << 10
	// defaultMaxHeldBytes bounds what unfinished answers hold beyond uncountedBytes each.
	defaultMaxHeldBytes = 64 << 20
)

// pieces holds the pieces of ended answers for reuse, so that failed answers leave no
// garbage. A collection drops those that were not used since the one before.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// A budget bounds the bytes that the unfinished answers of a sender hold in memory. A
// server in trouble may send bytes without end in many answers at the same time.
type budget struct {
	limit int64
	used  atomic.Int64

	// joining is held while an answer is copied to one slice, which takes its size once
	// more. One answer is copied at a time, so that this memory is not counted.
	joining sync.Mutex
}

// take takes n bytes from the budget. It returns false if fewer are left.
func (b *budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// A buffer collects an answer or an event. What it holds beyond uncountedBytes is in
// pieces that count against a budget until release.
type buffer struct {
	budget *budget
	start  []byte // Up to uncountedBytes.
	pieces []*[pieceBytes]byte
	filled int // Bytes in the last piece.
}

// len returns the number of bytes that the buffer holds.
func (b *buffer) len() int {
	if len(b.pieces) == 0 {
		return len(b.start)
	}
	return len(b.start) + (len(b.pieces)-1)*pieceBytes + b.filled
}

// room returns free space, for n bytes if they fit into the current part and for fewer
// otherwise, but never none. It fails if the budget is used up.
func (b *buffer) room(n int) (free []byte, err error) {
	if len(b.start) < uncountedBytes {
		if n = min(n, uncountedBytes-len(b.start)); n > cap(b.start)-len(b.start) {
			grown := min(max(2*cap(b.start), len(b.start)+n), uncountedBytes)
			b.start = slices.Grow(b.start, grown-len(b.start))
		}
		return b.start[len(b.start):min(cap(b.start), uncountedBytes)], nil
	}
	if len(b.pieces) == 0 || b.filled == pieceBytes {
		if !b.budget.take(pieceBytes) {
			return nil, errTooLarge
		}
		b.pieces = append(b.pieces, pieces.Get().(*[pieceBytes]byte))
		b.filled = 0
	}
	return b.pieces[len(b.pieces)-1][b.filled:], nil
}

// fill adds the first n bytes of the free space that room returned last.
func (b *buffer) fill(n int) {
	if len(b.pieces) == 0 {
		b.start = b.start[:len(b.start)+n]
		return
	}
	b.filled += n
}

// append adds bytes.
func (b *buffer) append(p []byte) error {
	for len(p) > 0 {
		free, err := b.room(len(p))
		if err != nil {
			return err
		}
		n := copy(free, p)
		b.fill(n)
		p = p[n:]
	}
	return nil
}

// readAll reads to the end of r, up to limit bytes.
func (b *buffer) readAll(r io.Reader, limit int) error {
	for {
		free, err := b.room(minRead)
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		b.fill(n)
		switch {
		case b.len() > limit:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// minRead is the room for one read, if the current part has as much.
const minRead = 512

// join returns what the buffer holds in one slice, and releases the buffer.
func (b *buffer) join() []byte {
	if len(b.pieces) == 0 {
		return b.start
	}
	b.budget.joining.Lock()
	defer b.budget.joining.Unlock()
	defer b.release()
	joined := make([]byte, 0, b.len())
	joined = append(joined, b.start...)
	last := len(b.pieces) - 1
	for _, piece := range b.pieces[:last] {
		joined = append(joined, piece[:]...)
	}
	return append(joined, b.pieces[last][:b.filled]...)
}

// release returns the pieces. What join returned stays valid.
func (b *buffer) release() {
	for _, piece := range b.pieces {
		pieces.Put(piece)
	}
	b.budget.used.Add(-int64(len(b.pieces)) * pieceBytes)
	b.pieces = nil
}
