package tester

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

// startUDPEcho starts a UDP server that sends each datagram back with a
// prefix.
func startUDPEcho(t *testing.T, prefix string) (address string) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", anyPort)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(append([]byte(prefix), buffer[:n]...), from)
		}
	}()
	return conn.LocalAddr().String()
}

func newUDPEchoRelay(t *testing.T, seed uint64) (r *UDPRelay, client net.Conn) {
	t.Helper()
	r, err := NewUDPRelay(t.Context(), t.Name(), seed)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	assert.NilError(t, r.SetTarget(startUDPEcho(t, "")))
	return r, dialUDP(t, r.Address)
}

func dialUDP(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// exchange sends a datagram and waits for the answer to it.
func exchange(client net.Conn, text string, timeout time.Duration) (answer string, err error) {
	if _, err := client.Write([]byte(text)); err != nil {
		return "", err
	}
	if err := client.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	buffer := make([]byte, maxDatagramBytes)
	n, err := client.Read(buffer)
	return string(buffer[:n]), err
}

func assertExchange(t *testing.T, client net.Conn, text, want string) {
	t.Helper()
	answer, err := exchange(client, text, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, answer, want)
}

// Guards against a block that lets datagrams through, delivers them later, or
// that Heal does not undo.
func TestUDPBlockAndHeal(t *testing.T) {
	for _, d := range []Direction{ToTarget, FromTarget} {
		t.Run(d.stream(), func(t *testing.T) {
			r, client := newUDPEchoRelay(t, 1)
			assertExchange(t, client, "before", "before")
			r.Block(d)
			_, err := exchange(client, "lost", answerTimeout)
			assert.ErrorContains(t, err, "timeout")
			r.Heal()
			assertExchange(t, client, "after", "after")
		})
	}
}

// Guards against a one-way block that also blocks the other direction.
func TestUDPOneWayBlock(t *testing.T) {
	target, err := net.ListenPacket("udp4", anyPort)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	r, err := NewUDPRelay(t.Context(), "one-way", 1)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	assert.NilError(t, r.SetTarget(target.LocalAddr().String()))

	r.Block(FromTarget)
	_, err = exchange(dialUDP(t, r.Address), "passes", answerTimeout)
	assert.ErrorContains(t, err, "timeout")
	buffer := make([]byte, maxDatagramBytes)
	assert.NilError(t, target.SetReadDeadline(time.Now().Add(testTimeout)))
	n, _, err := target.ReadFrom(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "passes")
}

// Guards against a delay that reorders datagrams or is not applied.
func TestUDPDelay(t *testing.T) {
	const delay = 30 * time.Millisecond
	const count = 50
	r, client := newUDPEchoRelay(t, 1)
	r.SetFaults(ToTarget, DatagramFaults{Delay: delay})
	start := time.Now()
	for i := range count {
		_, err := fmt.Fprint(client, i)
		assert.NilError(t, err)
	}
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(testTimeout)))
	for i := range count {
		assertReads(t, client, fmt.Sprint(i))
	}
	assert.Assert(t, time.Since(start) >= delay)
}

// Guards against datagram loss that a second run with the same seed does not
// reproduce.
func TestUDPDropIsSeeded(t *testing.T) {
	const count = 400
	passed := func(seed uint64) (outcomes string) {
		r, _ := newUDPEchoRelay(t, seed)
		r.SetFaults(ToTarget, DatagramFaults{DropRate: 0.25})
		for range count {
			_, lost := r.decide(ToTarget)
			outcomes += map[bool]string{true: "-", false: "x"}[lost]
		}
		return outcomes
	}
	first, again, other := passed(7), passed(7), passed(8)
	assert.Equal(t, first, again)
	assert.Assert(t, first != other)

	lost := 0
	for _, outcome := range first {
		if outcome == '-' {
			lost++
		}
	}
	assert.Assert(t, lost > count/8 && lost < count/2, "lost %d of %d", lost, count)
}

// Guards against a relay that keeps forwarding to the previous address of a
// restarted entry, and against one that outlives its context.
func TestUDPTargetChanges(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, err := NewUDPRelay(ctx, "restarted", 1)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	client := dialUDP(t, r.Address)
	_, err = exchange(client, "nobody there", answerTimeout)
	assert.ErrorContains(t, err, "timeout")

	assert.NilError(t, r.SetTarget(startUDPEcho(t, "first ")))
	assertExchange(t, client, "x", "first x")
	assert.NilError(t, r.SetTarget(startUDPEcho(t, "second ")))
	assertExchange(t, client, "x", "second x")

	cancel()
	r.workers.Wait()
}

// Guards against a sender whose socket the router does not find, so that its
// datagrams bypass the relays.
func TestUDPSenderIsFound(t *testing.T) {
	for name, network := range map[string]string{"all addresses": "udp", "all IPv4 addresses": "udp4"} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.ListenPacket(network, ":0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
			inode, err := udpSocket(netip.AddrPortFrom(loopback, port))
			assert.NilError(t, err)
			assert.Assert(t, ownsSocket(os.Getpid(), inode))
		})
	}
}

// Guards against a relay that does not forward QUIC, and against a connection
// that does not survive a short block, as it survives a network outage.
func TestQUICThroughRelay(t *testing.T) {
	authority, err := NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)
	serverTLS, clientTLS := issue(t, authority, "entry-a"), issue(t, authority, "entry-b")
	serverTLS.NextProtos, clientTLS.NextProtos = []string{"test"}, []string{"test"}
	clientTLS.InsecureSkipVerify = true // TestCertificates checks identities; this test is about datagrams.
	listener, err := quic.ListenAddr(anyPort, serverTLS, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go echoStreams(t.Context(), listener)

	r, err := NewUDPRelay(t.Context(), "quic", 1)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	assert.NilError(t, r.SetTarget(listener.Addr().String()))
	conn, err := quic.DialAddr(t.Context(), r.Address, clientTLS, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	stream, err := conn.OpenStreamSync(t.Context())
	assert.NilError(t, err)

	large := strings.Repeat("0123456789", 100_000)
	go func() { _, _ = stream.Write([]byte(large)) }()
	assertReads(t, stream, large)

	r.Block(ToTarget)
	r.Block(FromTarget)
	_, err = stream.Write([]byte("kept"))
	assert.NilError(t, err)
	assert.NilError(t, stream.SetReadDeadline(time.Now().Add(answerTimeout)))
	_, err = stream.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "deadline")
	r.Unblock()
	assert.NilError(t, stream.SetReadDeadline(time.Now().Add(testTimeout)))
	assertReads(t, stream, "kept")
}

// echoStreams echoes the data of all streams of one connection.
func echoStreams(ctx context.Context, listener *quic.Listener) {
	conn, err := listener.Accept(ctx)
	if err != nil {
		return
	}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(stream, stream) }()
	}
}
