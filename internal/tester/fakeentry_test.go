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

// A fakeEntry replaces an entry in tests of the harness. On HTTP requests, it
// calls a server or exchanges a datagram with a peer.
type fakeEntry struct {
	settings Settings
	client   http.Client // Keeps connections alive, as an entry does.
}

// runFakeEntry runs until it is killed.
func runFakeEntry(arguments []string) {
	e := &fakeEntry{}
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
	server := http.Server{Handler: mux, ReadHeaderTimeout: testTimeout}
	panic(server.Serve(listener))
}

func answerWith(do func(target string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := do(r.URL.Query().Get("target")); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	}
}

// serveLink echoes the datagrams of peers.
func (e *fakeEntry) serveLink(link net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := link.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = link.WriteTo(buffer[:n], from)
	}
}

// call sends a request to a server, or to the platform if the target is empty.
func (e *fakeEntry) call(target string) error {
	if target == "" {
		target = e.settings.PlatformAddress
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
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
func (e *fakeEntry) ping(target string) error {
	for _, p := range e.settings.Seeds {
		if p.ID != target {
			continue
		}
		conn, err := net.DialTimeout("udp4", p.Address, time.Second)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_, err = exchange(conn, "ping", answerTimeout)
		return err
	}
	return errors.New("unknown peer")
}
