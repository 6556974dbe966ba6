package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/panics"
)

// placeholderShutdown bounds the time for requests in flight at the end.
const placeholderShutdown = 5 * time.Second

// A placeholder answers every request with its kind. It stands in until the
// package of the stand-in is wired into the subcommand.
type placeholder struct {
	address string
	kind    string
}

// Start implements server.
func (p *placeholder) Start(ctx context.Context) (address string, done <-chan error, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "start %s", p.kind)
		}
	}()

	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", p.address)
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: p, ReadHeaderTimeout: placeholderShutdown}
	ended := make(chan error, 1)
	go func() { ended <- p.serve(ctx, s, listener) }()
	return listener.Addr().String(), ended, nil
}

// ServeHTTP implements http.Handler.
func (p *placeholder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "placeholder", p.kind)
}

// serve answers requests until ctx ends; requests in flight may end.
func (p *placeholder) serve(ctx context.Context, s *http.Server, listener net.Listener) error {
	served := make(chan error, 1)
	go func() {
		var err error
		recovered := panics.Try(func() { err = s.Serve(listener) })
		served <- errors.Join(err, recovered.AsError())
	}()

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), placeholderShutdown)
	defer cancel()
	return s.Shutdown(shutdownCtx)
}
