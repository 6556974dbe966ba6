package tester

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
)

// A relayChooser selects the relay for a connection by its two addresses.
type relayChooser interface {
	// ChooseRelay returns the address to dial. The server address is the one
	// that the client dialed.
	ChooseRelay(client, server netip.AddrPort) (address string, err error)
}

// A SourceRouter listens on the declared address of a backend server, which is
// the same for all entries. It forwards each connection to the relay of the
// failure domain from which it comes.
type SourceRouter struct {
	Name    string
	Address string

	port    *ReservedPort
	chooser relayChooser
	workers conc.WaitGroup // One per listener and connection.

	mu          sync.Mutex
	listener    net.Listener // Nil while connections are refused.
	connections map[net.Conn]struct{}
	released    bool
}

// NewSourceRouter returns a router that refuses connections until Accept.
func NewSourceRouter(name string, chooser relayChooser) (r *SourceRouter, err error) {
	port, err := ReservePort()
	if err != nil {
		return nil, merry.Prependf(err, "open source router %s", name)
	}
	r = &SourceRouter{
		Name:        name,
		Address:     port.Address,
		port:        port,
		chooser:     chooser,
		connections: make(map[net.Conn]struct{}),
	}
	return r, nil
}

// Accept starts to accept new connections.
func (r *SourceRouter) Accept(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "accept at source router %s", r.Name)
		}
	}()

	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return nil
	}
	if r.released {
		return net.ErrClosed
	}
	var lc net.ListenConfig
	err = listenWithRetry(func() (err error) {
		r.listener, err = lc.Listen(ctx, "tcp", r.Address)
		return err
	})
	if err != nil {
		return err
	}
	listener := r.listener
	r.workers.Go(func() { r.acceptFrom(listener) })
	return nil
}

// Refuse refuses new connections, as for a server that has ended. Open
// connections are closed by the relays.
func (r *SourceRouter) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

// Close closes the router and its connections.
func (r *SourceRouter) Close() {
	r.Refuse()
	r.mu.Lock()
	released := r.released
	r.released = true
	for conn := range r.connections {
		_ = conn.Close()
	}
	r.mu.Unlock()
	if !released {
		r.workers.Wait()
		r.port.Release()
	}
}

func (r *SourceRouter) acceptFrom(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.workers.Go(func() { r.route(conn) })
	}
}

// route forwards a connection to the relay of its source.
func (r *SourceRouter) route(client net.Conn) {
	if !r.track(client) {
		return
	}
	defer r.untrack(client)

	address, err := r.chooser.ChooseRelay(addrPort(client.RemoteAddr()), addrPort(client.LocalAddr()))
	if err != nil {
		return // The client has closed its socket.
	}
	server, err := net.Dial("tcp", address) //nolint:noctx // A dial on loopback does not block.
	if err != nil || !r.track(server) {
		return
	}
	defer r.untrack(server)

	var both conc.WaitGroup
	both.Go(func() { forward(server, client) })
	both.Go(func() { forward(client, server) })
	both.Wait()
}

// track records an open connection, or closes it if the router is closed.
func (r *SourceRouter) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		_ = conn.Close()
		return false
	}
	r.connections[conn] = struct{}{}
	return true
}

func (r *SourceRouter) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, conn)
	_ = conn.Close()
}

// forward copies from src to dst until src ends. It propagates the way src
// ended: EOF as a half-close, a reset as a reset.
func forward(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	to, okTo := dst.(*net.TCPConn)
	from, okFrom := src.(*net.TCPConn)
	if !okTo || !okFrom {
		return
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_ = to.SetLinger(0)
		_ = from.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
		return
	}
	_ = to.CloseWrite()
}

func addrPort(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
