// Package emulator holds what the emulators of external systems share: an HTTP
// server that can be closed and reopened, and a journal of received requests.
package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
)

// A Server serves the HTTP of an emulator on one address.
type Server struct {
	handler    http.Handler
	goroutines conc.WaitGroup

	mu       sync.Mutex
	address  string       // Bound address once the server has been open.
	server   *http.Server // Nil while the server is closed.
	listener net.Listener // Closed separately, since the http.Server knows it only once Serve runs.
}

// NewServer returns a server that is not open yet. With port 0 the operating
// system chooses a port; the server keeps that port when it is reopened.
func NewServer(address string, handler http.Handler) *Server {
	return &Server{address: address, handler: handler}
}

// Address returns the bound address.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Open starts to listen and serve, unless the server is open.
func (s *Server) Open() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "open emulator on %s", s.address)
		}
	}()
	if s.server != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.handler, ConnContext: withRequestCounter}
	s.address = listener.Addr().String()
	s.server = server
	s.listener = listener
	s.goroutines.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Close closes the listener and all connections immediately. Open reopens the
// server.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.listener.Close()
	_ = s.server.Close()
	s.server = nil
}

// Start opens the server and closes it when ctx ends.
func (s *Server) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if err := s.Open(); err != nil {
		done <- err
		return done
	}
	s.goroutines.Go(func() {
		<-ctx.Done()
		s.Close()
		done <- nil
	})
	return done
}

// A requestCounter counts the requests on one connection.
type requestCounter struct {
	mu sync.Mutex
	n  int
}

type requestCounterKey struct{}

func withRequestCounter(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCounterKey{}, &requestCounter{})
}

// RequestNumber returns the position of a request on its connection, starting
// at 1. It must be called once for each request.
func RequestNumber(r *http.Request) int {
	counter, ok := r.Context().Value(requestCounterKey{}).(*requestCounter)
	if !ok {
		return 1
	}
	counter.mu.Lock()
	defer counter.mu.Unlock()
	counter.n++
	return counter.n
}

// CloseConnection closes the connection of a request without completing the
// response.
func CloseConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
		return
	}
	panic(http.ErrAbortHandler) // Closes a connection that cannot be hijacked.
}

// WriteJSON responds with a JSON document.
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

// decoding is held while a document is decoded, which takes several times its size.
var decoding sync.Mutex

// ReadJSON decodes the body of a request. If the body is invalid, it responds
// with 400 Bad Request and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, document any) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		decoding.Lock()
		err = json.NewDecoder(bytes.NewReader(body)).Decode(document)
		decoding.Unlock()
	}
	if err == nil {
		return true
	}
	if !errors.Is(err, context.Canceled) {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return false
}
