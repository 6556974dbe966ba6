package tester

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/BurntSushi/toml"
)

// A toyEntry stands for an entry in tests of the harness. It does what its
// HTTP callers ask for: it calls a server, or exchanges a datagram with a
// peer.
type toyEntry struct {
	settings Settings
	client   http.Client // Keeps connections, as an entry does.
}

// runToyEntry runs until it is killed.
func runToyEntry(arguments []string) {
	e := &toyEntry{}
	if _, err := toml.DecodeFile(arguments[len(arguments)-1], &e.settings); err != nil {
		panic(err)
	}
	link, err := net.ListenPacket("udp4", e.settings.LinkAddress)
	if err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", e.settings.HTTPAddress)
	if err != nil {
		panic(err)
	}
	fmt.Printf("{\"listening\":{\"http\":%q,\"link\":%q}}\n", listener.Addr(), link.LocalAddr())
	go e.serveLink(link)

	mux := http.NewServeMux()
	mux.HandleFunc("/call", answerWith(e.call))
	mux.HandleFunc("/ping", answerWith(e.ping))
	mux.HandleFunc(readyPath, func(http.ResponseWriter, *http.Request) {})
	server := http.Server{Handler: mux, ReadHeaderTimeout: testLimit}
	panic(server.Serve(listener))
}

func answerWith(do func(target string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := do(r.URL.Query().Get("target")); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	}
}

// serveLink answers datagrams of peers.
func (e *toyEntry) serveLink(link net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := link.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = link.WriteTo(buffer[:n], from)
	}
}

// call asks a server, or the platform when the target is empty.
func (e *toyEntry) call(target string) error {
	if target == "" {
		target = e.settings.PlatformAddress
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ping exchanges a datagram with a peer.
func (e *toyEntry) ping(target string) error {
	for _, p := range e.settings.Seeds {
		if p.ID != target {
			continue
		}
		conn, err := net.DialTimeout("udp4", p.Address, time.Second)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_, err = exchange(conn, "ping", answerLimit)
		return err
	}
	return errors.New("no such peer")
}
