package linker

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectionIDBytes is the length of the connection IDs of quic-go.
const connectionIDBytes = 4

// A relay passes UDP packets between one client and one server. It can make
// the connections that exist go silent for good while new ones work, or drop
// everything.
type relay struct {
	front, back *net.UDPConn

	client atomic.Pointer[net.UDPAddr]

	mu    sync.Mutex
	seen  map[string]bool // Connection IDs of packets of established connections.
	muted map[string]bool
	cut   bool
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", server)
	assert.NilError(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	back, err := net.DialUDP("udp", nil, address)
	assert.NilError(t, err)
	r := &relay{front: front, back: back, seen: map[string]bool{}, muted: map[string]bool{}}
	var group sync.WaitGroup
	group.Go(r.forward)
	group.Go(r.backward)
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
		group.Wait()
	})
	return r
}

func (r *relay) address() string { return r.front.LocalAddr().String() }

func (r *relay) forward() {
	packet := make([]byte, 64<<10)
	for n, client, err := r.front.ReadFromUDP(packet); err == nil; n, client, err = r.front.ReadFromUDP(packet) {
		r.client.Store(client)
		if r.passes(packet[:n]) {
			_, _ = r.back.Write(packet[:n])
		}
	}
}

func (r *relay) backward() {
	packet := make([]byte, 64<<10)
	for n, err := r.back.Read(packet); !errors.Is(err, net.ErrClosed); n, err = r.back.Read(packet) {
		if err == nil && r.passes(packet[:n]) {
			_, _ = r.front.WriteToUDP(packet[:n], r.client.Load())
		}
	}
}

// passes decides on a packet. Packets of a handshake have a long header, with
// the first bit set.
func (r *relay) passes(packet []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut || len(packet) <= connectionIDBytes {
		return false
	}
	if packet[0]&0x80 != 0 {
		return true
	}
	id := string(packet[1 : 1+connectionIDBytes])
	r.seen[id] = true
	return !r.muted[id]
}

// mute makes the present connections silent. A connection changes its ID soon
// after the handshake; the exchanges go on until no new ID shows up, since a
// datagram with an ID that the relay has not seen would pass.
func (r *relay) mute(t *testing.T, exchange func()) {
	t.Helper()
	for n := -1; n != r.connectionIDs(); {
		n = r.connectionIDs()
		for range 5 {
			exchange()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.muted, r.seen)
}

func (r *relay) connectionIDs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.seen)
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// Guards against a connection that goes silent for good and blocks calls for
// much longer than a second, while new connections work; and against calls
// on it that are reported as not handed over or are sent twice.
func TestSilentConnection(t *testing.T) {
	authority := newAuthority(t)
	a := newEnd(t, authority, "entry-a", loopback)
	b := newEnd(t, authority, "entry-b", loopback)
	r := newRelay(t, b.Address())
	a.know("entry-b", r.address())
	assertAnswered(t, a, "entry-b")

	t.Run("unknown effect soon", func(t *testing.T) {
		r.mute(t, func() { assertAnswered(t, a, "entry-b") })
		calls := b.echo.calls.Load()
		start := time.Now()
		_, err := a.say("entry-b", "hello")
		assert.ErrorIs(t, err, ErrUnknownEffect)
		assert.Assert(t, time.Since(start) < blockedTime, "blocked for %v", time.Since(start))
		assert.Equal(t, b.echo.calls.Load(), calls)
	})
	t.Run("new connection works", func(t *testing.T) {
		assertAnswered(t, a, "entry-b")
	})
	t.Run("silent while idle", func(t *testing.T) {
		r.mute(t, func() { assertAnswered(t, a, "entry-b") })
		a.awaitClosed("entry-b")
		assertAnswered(t, a, "entry-b")
	})
	t.Run("cut and healed", func(t *testing.T) {
		r.setCut(true)
		_, err := a.say("entry-b", "hello")
		assert.ErrorIs(t, err, ErrUnknownEffect)
		_, err = a.say("entry-b", "hello")
		assert.ErrorIs(t, err, ErrUnreachable)
		r.setCut(false)
		assertAnsweredSoon(t, a, "entry-b")
	})
	t.Run("deadline of the caller", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := a.Call(ctx, "entry-b", KindYield, "wait", nil)
		assert.ErrorIs(t, err, ErrUnknownEffect)
		close(b.echo.delay)
		assertAnswered(t, a, "entry-b")
	})
}

// Guards against a link that stays broken after its peer was replaced at the
// same address, and against an instance that does not stop.
func TestRestartedPeer(t *testing.T) {
	authority := newAuthority(t)
	a := newEnd(t, authority, "entry-a", loopback)
	b := newEnd(t, authority, "entry-b", loopback)
	a.know("entry-b", b.Address())
	assertAnswered(t, a, "entry-b")
	address := b.Address()
	b.stop()
	a.awaitClosed("entry-b")
	_, err := a.say("entry-b", "hello")
	assert.ErrorIs(t, err, ErrUnreachable)
	newEnd(t, authority, "entry-b", address)
	assertAnsweredSoon(t, a, "entry-b")
}
