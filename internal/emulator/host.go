// Package emulator holds what the stand-ins for outside systems share: a host
// that can die and come back, and a journal of what it received.
package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
)

// A Host serves HTTP for a stand-in on one address.
type Host struct {
	handler http.Handler
	wait    conc.WaitGroup

	mu       sync.Mutex
	address  string       // Bound address once it was open.
	server   *http.Server // Nil while the host is dead.
	listener net.Listener // Of server, which knows it only once it serves.
}

// NewHost returns a host that is not open yet. The port 0 lets the operating
// system choose; the host keeps that port when it comes back.
func NewHost(address string, handler http.Handler) *Host {
	return &Host{address: address, handler: handler}
}

// Address is the bound address.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Open listens and serves.
func (h *Host) Open() (err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "open stand-in on %s", h.address)
		}
	}()
	if h.server != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", h.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h.handler, ConnContext: countRequests}
	h.address = listener.Addr().String()
	h.server = server
	h.listener = listener
	h.wait.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Die closes the listener and all connections at once.
func (h *Host) Die() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	_ = h.listener.Close()
	_ = h.server.Close()
	h.server = nil
}

// Start opens the host, unless it is open, and closes it when ctx ends.
func (h *Host) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if err := h.Open(); err != nil {
		done <- err
		return done
	}
	h.wait.Go(func() {
		<-ctx.Done()
		h.Die()
		done <- nil
	})
	return done
}

// A connCount counts the requests on one connection.
type connCount struct {
	mu sync.Mutex
	n  int
}

type connCountKey struct{}

func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connCountKey{}, &connCount{})
}

// RequestNumber counts a request on its connection; the first is 1. It is
// called once for each request.
func RequestNumber(r *http.Request) int {
	count, ok := r.Context().Value(connCountKey{}).(*connCount)
	if !ok {
		return 1
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	count.n++
	return count.n
}

// Cut closes the connection of a request without more of the answer.
func Cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
		return
	}
	panic(http.ErrAbortHandler) // Closes the connection once a part was written.
}

// WriteJSON answers with a JSON document.
func WriteJSON(w http.ResponseWriter, status int, document any) {
	data, err := json.Marshal(document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ReadJSON reads a JSON document and answers with a fault if it is none.
func ReadJSON(w http.ResponseWriter, r *http.Request, document any) bool {
	err := json.NewDecoder(r.Body).Decode(document)
	if err == nil {
		return true
	}
	if !errors.Is(err, context.Canceled) {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return false
}
