package intaker

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	firstPieceBytes = 4 << 10
	// knownPieceBytes is the size up to which the memory for a body of known length is
	// allocated at once.
	knownPieceBytes = 16 << 10
	// pieceBytes is the size of the further pieces of a large body. A connection holds
	// at most this much more than it has sent.
	pieceBytes = 64 << 10
	// maxStreamedBytes is the largest share of a body that is passed on in parts: as much
	// as an ordinary body may have. Small machines allow streamedDivisor of the budget,
	// so that a few uploads at a time have room beside each other.
	maxStreamedBytes = 4 << 20
	streamedDivisor  = 8
)

// pieces holds buffers of pieceBytes for reuse.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// assembling is held while a body is joined, which takes its size once more. One body is
// joined at a time, so that this memory is not part of the budget.
var assembling sync.Mutex

// ReadBody reads the body of a request and notes that the request was received whole. The
// size is its length, or negative if it is not known. The body belongs to the caller.
func (c *Conn) ReadBody(r io.Reader, size, limit int) (body []byte, err error) {
	if size > limit {
		return nil, ErrBodyTooLong
	}
	if r == nil || size == 0 {
		return nil, c.Complete(0)
	}
	b := receivedBody{account: c.account, size: size}
	defer b.release()
	if err := b.read(r, limit); err != nil {
		if c.account.isEvicted() {
			err = ErrOverloaded
		}
		return nil, err
	}
	body = b.join()
	return body, c.Complete(int64(len(body)))
}

// StreamBody returns a reader of the body of a request whose handler passes it on in
// parts, and holds no more than a part, until EndStream. The size is the length of the
// body, or negative if it is not known. The connection can be evicted until the reader
// has returned io.EOF, which notes that the request was received whole; other errors mean
// that it must not run.
func (c *Conn) StreamBody(r io.Reader, size int) io.Reader {
	if c.runs { // The head was read together with the request before.
		c.account.Idle()
		c.runs = false
	}
	c.account.Begin()
	c.streams, c.inHead = true, false
	c.limitHead(time.Time{})
	return &streamedBody{conn: c, r: r, size: size, maxHeld: min(maxStreamedBytes, c.account.gate.Budget.limit/streamedDivisor)}
}

// EndStream notes the end of a handler that may have called StreamBody.
func (c *Conn) EndStream() {
	if c.streams && !c.runs { // The handler did not read to the end. Its response is written.
		_ = c.Complete(0) // After an eviction the connection fails at the next read.
	}
	c.streams = false
}

// A streamedBody is a body that is not held whole. Its share in the budget is what was
// received, up to maxHeld.
type streamedBody struct {
	conn     *Conn
	r        io.Reader
	size     int // Negative if it is not known.
	maxHeld  int64
	held     int64
	received int
	reported int // Bytes received at the last progress.
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (n int, err error) {
	if err := b.makeRoom(); err != nil {
		return 0, err
	}
	n, err = b.r.Read(p[:min(len(p), pieceBytes)])
	b.received += n
	switch {
	case err == nil:
		return n, nil
	case b.conn.account.isEvicted():
		return 0, ErrOverloaded
	case errors.Is(err, io.EOF) && b.size >= 0 && b.received < b.size:
		return n, io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF) && !b.conn.runs:
		if err := b.conn.Complete(b.held); err != nil {
			return 0, err
		}
	}
	return n, err
}

// makeRoom takes the share for the next read, or notes the progress of a body that has
// its whole share.
func (b *streamedBody) makeRoom() error {
	switch {
	case b.conn.runs: // It has ended.
		return nil
	case b.held < b.maxHeld && int64(b.received) >= b.held:
		n := min(max(firstPieceBytes, b.held), pieceBytes, b.maxHeld-b.held)
		if err := b.conn.account.Take(n); err != nil {
			return err
		}
		b.held += n
		b.reported = b.received
	case b.received-b.reported >= pieceBytes:
		b.reported = b.received
		return b.conn.account.Progress()
	}
	return nil
}

// Complete notes that a request was received whole and holds n bytes. If it returns an error, the request must not run.
func (c *Conn) Complete(n int64) error {
	c.inHead = false
	c.limitHead(time.Time{})
	if err := c.account.Complete(n); err != nil {
		c.fault = err
		return err
	}
	c.runs = true
	return nil
}

// HoldAnswer notes that an answer of n bytes is held until the caller has read it. It
// returns ErrOverloaded if there is no room for it.
func (c *Conn) HoldAnswer(n int) error { return c.account.HoldAnswer(int64(n)) }

// A receivedBody is a body in pieces, whose memory grows as it arrives.
type receivedBody struct {
	account *Account
	size    int // Negative if it is not known.
	pieces  [][]byte
	length  int
}

// read reads a body to its end.
func (b *receivedBody) read(r io.Reader, limit int) error {
	for {
		piece, err := b.nextPiece()
		if err != nil {
			return err
		}
		filled, err := fill(r, piece)
		b.length += filled
		b.pieces[len(b.pieces)-1] = piece[:filled]
		switch {
		case b.length > limit:
			return ErrBodyTooLong
		case errors.Is(err, io.EOF) && b.size >= 0 && b.length < b.size:
			return io.ErrUnexpectedEOF // The stream of a server may end in order when the caller disconnects.
		case errors.Is(err, io.EOF) || err == nil && b.length == b.size:
			return nil
		case err != nil:
			return err
		}
	}
}

// fill reads until p is full or an error occurs.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}

// nextPiece adds a piece of a size that follows what has arrived.
func (b *receivedBody) nextPiece() (piece []byte, err error) {
	n := min(max(firstPieceBytes, b.length), pieceBytes)
	if b.size >= 0 && b.size <= knownPieceBytes {
		n = b.size
	}
	if err := b.account.Take(int64(n)); err != nil {
		return nil, err
	}
	if n == pieceBytes {
		piece = pieces.Get().(*[pieceBytes]byte)[:]
	} else {
		piece = make([]byte, n)
	}
	b.pieces = append(b.pieces, piece)
	return piece, nil
}

// join returns the body in one slice.
func (b *receivedBody) join() []byte {
	if len(b.pieces) == 1 && cap(b.pieces[0]) < pieceBytes {
		return b.pieces[0]
	}
	assembling.Lock()
	defer assembling.Unlock()
	body := make([]byte, 0, b.length)
	for _, piece := range b.pieces {
		body = append(body, piece...)
	}
	return body
}

// release returns pieces to the pool.
func (b *receivedBody) release() {
	for _, piece := range b.pieces {
		if cap(piece) == pieceBytes {
			pieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
		}
	}
	b.pieces = nil
}
