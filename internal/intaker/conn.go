package intaker

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// MaxHeadBytes is the maximum size of a request head, with the empty lines before
	// it. Operators allow 16,384 bytes of fields, to which the request line is added.
	MaxHeadBytes = 24 << 10
	// MaxHeadLines is the maximum number of lines of a head, with the empty lines before
	// it. A parsed field takes about 100 bytes more than its text, so that a head of
	// the shortest fields would take 0.5 MB.
	MaxHeadLines = 512
	// defaultHeadTimeout is the time from the first byte of a head to its end. Operators
	// allow 3 s to 5 s.
	defaultHeadTimeout = 10 * time.Second
	// headTimeoutSlack is added to the time that an operator allows, which callers
	// measure from their side.
	headTimeoutSlack = 500 * time.Millisecond
	// minHeadTimeout and maxHeadTimeout bound the time that an operator allows.
	minHeadTimeout, maxHeadTimeout = time.Second, time.Minute
	// acceptPause is the pause after a failure to accept a connection for want of
	// descriptors or memory.
	acceptPause = 20 * time.Millisecond
	// refuseTimeout bounds the writing of the refusal to a connection that finds the
	// gate full.
	refuseTimeout = 100 * time.Millisecond
)

// fullResponse refuses a connection before its request was read.
const fullResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// A Listener wraps the connections of callers in Conn.
type Listener struct {
	net.Listener
	Gate *Gate
	// HeadTimeout returns the time that the operator allows for a head, or 0 for the
	// default. It may be nil.
	HeadTimeout func() time.Duration
}

func (l *Listener) headTimeout() time.Duration {
	if l.HeadTimeout != nil {
		if d := l.HeadTimeout(); d > 0 {
			return min(max(d, minHeadTimeout), maxHeadTimeout) + headTimeoutSlack
		}
	}
	return defaultHeadTimeout
}

// Accept implements net.Listener. It returns an error only if no further connection can
// be accepted: servers end when they get one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		switch {
		case isShortage(err):
			time.Sleep(acceptPause)
			continue
		case err != nil:
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l, inHead: true}
		c.account, err = l.Gate.Open(c.cut)
		if err == nil {
			return c, nil
		}
		_ = inner.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = inner.Write([]byte(fullResponse))
		_ = inner.Close()
	}
}

// isShortage reports whether accepting may succeed later.
func isShortage(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// A Conn is the connection of a caller. It bounds the lines and the time of request
// heads. All methods but Close and the deadlines are called by the goroutine that serves
// the connection.
type Conn struct {
	net.Conn
	listener *Listener
	account  *Account

	inHead bool
	begun  bool // A byte of the current head was read.
	head   headScanner
	runs   bool // The current request was received whole.
	// streams is true while the handler of the current request reads its body.
	streams bool
	fault   error

	mu           sync.Mutex
	readDeadline time.Time // As set by the server.
	headDeadline time.Time // Zero outside of heads.
	isCut        bool
}

// Read implements net.Conn. Reading after Complete begins the next request.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.runs && !c.streams {
		c.account.Idle()
		c.runs, c.inHead, c.begun, c.head = false, true, false, headScanner{}
	}
	if c.fault != nil {
		return 0, c.fault
	}
	n, err = c.Conn.Read(p)
	if c.account.isEvicted() {
		c.fault = ErrOverloaded
		return 0, c.fault
	}
	if n > 0 && c.inHead {
		if c.fault = c.scanHead(p[:n]); c.fault != nil {
			return 0, c.fault
		}
	}
	return n, err
}

// scanHead follows the head of a request in what was read.
func (c *Conn) scanHead(p []byte) error {
	if !c.begun {
		c.begun = true
		c.account.Begin()
		c.head.foreign = !startsHead(p[0])
		c.limitHead(time.Now().Add(c.listener.headTimeout()))
	}
	if c.head.scan(p) {
		c.inHead = false
		c.limitHead(time.Time{})
	}
	if c.head.lines > MaxHeadLines && !c.head.foreign {
		return ErrHeadTooLong
	}
	return nil
}

// startsHead reports whether a request can start with b. What follows a request whose
// successor had been read with it may be a part of the successor's body.
func startsHead(b byte) bool {
	return b == '\r' || b == '\n' || b >= 'A' && b <= 'Z'
}

// A headScanner finds the end of a request head.
type headScanner struct {
	lines   int  // With empty lines.
	started bool // A line with text was seen.
	inLine  bool // The current line has text.
	foreign bool // The text is not known to be a head.
}

// scan reports whether p contains the end of the head.
func (h *headScanner) scan(p []byte) bool {
	for {
		i := bytes.IndexByte(p, '\n')
		line := p
		if i >= 0 {
			line = p[:i]
		}
		h.inLine = h.inLine || len(bytes.Trim(line, "\r")) > 0
		if i < 0 {
			return false
		}
		h.lines++
		if h.started && !h.inLine {
			return true
		}
		h.started = h.started || h.inLine
		h.inLine = false
		p = p[i+1:]
	}
}

// Fault returns why the connection was closed, or nil.
func (c *Conn) Fault() error { return c.fault }

// Close implements net.Conn. The connection counts until it is closed, which takes a
// moment if it lingers.
func (c *Conn) Close() error {
	defer c.account.Close()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The deadline of a head and an eviction take
// precedence over a later deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *Conn) limitHead(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headDeadline = t
	_ = c.applyDeadline() // A connection that has failed fails at the next read.
}

// cut ends a pending read.
func (c *Conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = true
	_ = c.applyDeadline()
}

// applyDeadline sets the earliest deadline. The caller holds c.mu.
func (c *Conn) applyDeadline() error {
	t := c.readDeadline
	if !c.headDeadline.IsZero() && (t.IsZero() || c.headDeadline.Before(t)) {
		t = c.headDeadline
	}
	if c.isCut {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Linger makes Close read the rest of the request first, if the connection can.
func (c *Conn) Linger() {
	if l, ok := c.Conn.(interface{ Linger() }); ok && !c.account.isEvicted() {
		l.Linger()
	}
}
