package tester

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// intakeWriteTimeout bounds the writes of a connection to a server that has
	// stopped reading.
	intakeWriteTimeout = 8 * time.Second
	// unfinishedBodyBytes is the size of the body that is announced: the limit of
	// operators.
	unfinishedBodyBytes = 4 << 20
	smallChunkBytes     = 16
	largeChunkBytes     = 64 << 10
	pieceBytes          = 16 << 10
	narrowBufferBytes   = 4 << 10
)

// wholeAnswerTimeout bounds the wait for the answer to a whole request.
const wholeAnswerTimeout = 15 * time.Second

// An IntakeLoad is a group of clients that send requests without end, or whole requests
// that take much to process.
type IntakeLoad struct {
	Name        string
	Connections int
	// Whole requests are sent to their end, and Start waits for their answers.
	Whole bool
	// Narrow connections have a small receive buffer, so that what they do not read stays
	// with the sender.
	Narrow bool
	send   func(w *bufio.Writer, head string) error
}

// connectionMark is replaced by the number of the connection in the head of a request.
const connectionMark = "{connection}"

// WholeBodies returns a load of requests with a body of the largest size that operators
// allow. The body repeats a part between a beginning and an end.
func WholeBodies(name string, connections int, begin, part, end string) IntakeLoad {
	parts := (unfinishedBodyBytes - len(begin) - len(end) + 1) / (len(part) + 1)
	body := begin + strings.TrimSuffix(strings.Repeat(part+",", parts), ",") + end
	return WholeRequests(name, connections, body)
}

// WholeRequests returns a load of requests with a body.
func WholeRequests(name string, connections int, body string) IntakeLoad {
	return IntakeLoad{Name: name, Connections: connections, Whole: true, send: func(w *bufio.Writer, head string) (err error) {
		if _, err = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, len(body)); err == nil {
			_, err = w.WriteString(body)
		}
		return err
	}}
}

// IntakeLoads returns the loads that a listener must withstand. They were fixed before
// the limits of internal/intaker were written.
func IntakeLoads() []IntakeLoad {
	return []IntakeLoad{
		{Name: "heads without end", Connections: 300, send: sendEndlessHead},
		{Name: "empty lines before a request", Connections: 300, send: sendEmptyLines},
		{Name: "bodies that stop before their end", Connections: 100, send: func(w *bufio.Writer, head string) error {
			return sendBody(w, head, unfinishedBodyBytes)
		}},
		{Name: "bodies in pieces that stop before their end", Connections: 100, send: func(w *bufio.Writer, head string) error {
			return sendBody(w, head, pieceBytes)
		}},
		{Name: "large chunks without the last", Connections: 100, send: func(w *bufio.Writer, head string) error {
			return sendChunks(w, head, largeChunkBytes, unfinishedBodyBytes)
		}},
		{Name: "small chunks without the last", Connections: 60, send: func(w *bufio.Writer, head string) error {
			return sendChunks(w, head, smallChunkBytes, unfinishedBodyBytes/4)
		}},
		{Name: "connections without a request", Connections: 600, send: func(*bufio.Writer, string) error { return nil }},
	}
}

// sendEndlessHead writes short fields without the empty line at the end.
func sendEndlessHead(w *bufio.Writer, head string) (err error) {
	_, err = w.WriteString(head)
	for n := 0; err == nil && n < 8000; n++ {
		_, err = fmt.Fprintf(w, "X-F%d: %d\r\n", n, n)
	}
	return err
}

func sendEmptyLines(w *bufio.Writer, _ string) (err error) {
	for n := 0; err == nil && n < 1<<19; n++ {
		_, err = w.WriteString("\r\n")
	}
	return err
}

// sendBody writes a body in pieces, without its last byte.
func sendBody(w *bufio.Writer, head string, piece int) (err error) {
	if _, err = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, unfinishedBodyBytes); err != nil {
		return err
	}
	data := bytes.Repeat([]byte("x"), piece)
	for left := unfinishedBodyBytes - 1; left > 0 && err == nil; left -= piece {
		if _, err = w.Write(data[:min(piece, left)]); err == nil {
			err = w.Flush()
		}
	}
	return err
}

// sendChunks writes a chunked body without the last chunk.
func sendChunks(w *bufio.Writer, head string, chunk, total int) (err error) {
	if _, err = w.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	data := strconv.FormatInt(int64(chunk), 16) + "\r\n" + strings.Repeat("x", chunk) + "\r\n"
	for sent := 0; sent < total-chunk && err == nil; sent += chunk {
		_, err = w.WriteString(data)
	}
	return err
}

// Start opens the connections of a load, sends on all of them at once, and returns when
// each has sent what it sends, and has an answer to a whole request, or was closed. The
// connections stay open until the test ends or stop is called. The head has no empty line
// at its end, and may have connectionMark in it.
func (l IntakeLoad) Start(t testing.TB, address, head string) (stop func()) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	answers := map[string]int{} // By status line.
	stop = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	}
	t.Cleanup(stop)
	var sending sync.WaitGroup
	for n := range l.Connections {
		sending.Go(func() {
			c, err := l.dialer().DialContext(t.Context(), "tcp", address)
			if err != nil {
				return // Refused connections are allowed.
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(intakeWriteTimeout))
			w := bufio.NewWriterSize(c, pieceBytes)
			if l.send(w, strings.ReplaceAll(head, connectionMark, strconv.Itoa(n))) == nil { // Closed connections are allowed.
				_ = w.Flush()
			}
			if l.Whole {
				_ = c.SetReadDeadline(time.Now().Add(wholeAnswerTimeout))
				status := make([]byte, len("HTTP/1.1 200"))
				_, _ = io.ReadFull(c, status) // Refusals and closed connections are allowed.
				mu.Lock()
				answers[string(status)]++
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	if l.Whole {
		t.Logf("answers: %v", answers)
	}
	return stop
}

func (l IntakeLoad) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: intakeWriteTimeout}
	if l.Narrow {
		d.Control = func(_, _ string, conn syscall.RawConn) (err error) {
			controlErr := conn.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, narrowBufferBytes)
			})
			return errors.Join(controlErr, err)
		}
	}
	return d
}

// MemoryPeak returns the largest resident size of a process so far, in bytes.
func (p *Process) MemoryPeak() (size int64, err error) {
	defer func() { err = merry.Prependf(err, "memory of process %s", p.Name) }()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb << 10, err
		}
	}
	return 0, merry.New("no VmHWM")
}

// Descriptors returns the number of open descriptors of a process.
func (p *Process) Descriptors() (n int, err error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	return len(entries), merry.Prependf(err, "descriptors of process %s", p.Name)
}

// StartLimitedProcess starts a program that may have at most the given number of
// descriptors.
func StartLimitedProcess(ctx context.Context, c Command, descriptors int) (*Process, error) {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	c.Arguments = append([]string{"-c", script, filepath.Clean(c.Path)}, c.Arguments...)
	c.Path = "/bin/sh"
	return StartProcess(ctx, c)
}
