package tester

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEcho starts a TCP echo server.
func startEcho(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newEchoRelay(t *testing.T) *TCPRelay {
	t.Helper()
	r, err := NewTCPRelay(t.Name(), startEcho(t))
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

func assertEchoes(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	send(t, conn, text)
	assertReads(t, conn, text)
}

// assertSilent checks that neither data nor the end of the stream arrives.
func assertSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(answerTimeout)))
	n, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "read %d bytes, error %v", n, err)
}

// Guards against a blackhole that also affects new connections, or that Heal
// undoes.
func TestTCPBlackhole(t *testing.T) {
	r := newEchoRelay(t)
	old := dial(t, r.Address)
	assertEchoes(t, old, "before")

	r.BlackholeConnections()
	send(t, old, "lost")
	assertSilent(t, old)
	assertEchoes(t, dial(t, r.Address), "new")

	assert.NilError(t, r.Heal())
	send(t, old, "lost too")
	assertSilent(t, old)
}

// Guards against a partition that loses data that TCP would retransmit, or
// that does not affect new connections.
func TestTCPBlock(t *testing.T) {
	for _, d := range []Direction{ToTarget, FromTarget} {
		t.Run(d.stream(), func(t *testing.T) {
			r := newEchoRelay(t)
			first := dial(t, r.Address)
			assertEchoes(t, first, "before")

			r.Block(d)
			second := dial(t, r.Address)
			send(t, first, "kept")
			send(t, second, "kept too")
			assertSilent(t, first)
			assertSilent(t, second)

			assert.NilError(t, r.Heal())
			assert.NilError(t, first.SetReadDeadline(time.Now().Add(testTimeout)))
			assertReads(t, first, "kept")
			assert.NilError(t, second.SetReadDeadline(time.Now().Add(testTimeout)))
			assertReads(t, second, "kept too")
			assertEchoes(t, first, "after")
		})
	}
}

// Guards against toxiproxy faults that do not act as their methods say.
func TestTCPFaults(t *testing.T) {
	t.Run("delay", func(t *testing.T) {
		const latency = 40 * time.Millisecond
		r := newEchoRelay(t)
		conn := dial(t, r.Address)
		assertEchoes(t, conn, "quick")
		assert.NilError(t, r.Delay(latency))
		start := time.Now()
		assertEchoes(t, conn, "late")
		assert.Assert(t, time.Since(start) >= 2*latency)
		assert.NilError(t, r.Heal())
		assertEchoes(t, conn, "quick again")
	})
	t.Run("close after n bytes", func(t *testing.T) {
		r := newEchoRelay(t)
		assert.NilError(t, r.CloseAfter(3))
		conn := dial(t, r.Address)
		send(t, conn, "abcdef")
		content, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(content), "abc")
	})
	t.Run("reset", func(t *testing.T) {
		r := newEchoRelay(t)
		assert.NilError(t, r.Reset(0))
		conn := dial(t, r.Address)
		send(t, conn, "x")
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		assert.NilError(t, r.Heal())
		assertEchoes(t, dial(t, r.Address), "healed")
	})
	t.Run("close connections", func(t *testing.T) {
		r := newEchoRelay(t)
		conn := dial(t, r.Address)
		assertEchoes(t, conn, "before")
		assert.NilError(t, r.CloseConnections())
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assertEchoes(t, dial(t, r.Address), "after")
	})
}

// Guards against a relay address that changes, or that another process takes
// while nothing listens on it.
func TestTCPTargetRestarts(t *testing.T) {
	r, err := NewTCPRelay("late", "")
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	r.Refuse()
	for range 3 {
		_, err := net.Dial("tcp", r.Address)
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		assert.NilError(t, r.SetTarget(startEcho(t)))
		assertEchoes(t, dial(t, r.Address), "there")
		r.Refuse()
	}
	assert.NilError(t, r.Accept())
	assertEchoes(t, dial(t, r.Address), "accepted")
}

// Guards against a relay that cannot be closed while its connections are
// blocked, blackholed or have full buffers.
func TestTCPRelayCloses(t *testing.T) {
	r := newEchoRelay(t)
	for _, fault := range []func(){r.BlackholeConnections, func() { r.Block(ToTarget) }} {
		conn := dial(t, r.Address)
		assertEchoes(t, conn, "before")
		fault()
		assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(answerTimeout)))
		_, _ = conn.Write(make([]byte, 16<<20))
	}
	r.Close()
	_, err := net.Dial("tcp", r.Address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	assert.ErrorContains(t, r.SetTarget(noTarget), "closed")
}
