package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A run is a request that reached an engine.
type run struct {
	at      time.Time
	engine  string
	version string
	id      string
	tenant  string
	path    string
	body    string
	after   string // Last-Event-Id.
	began   bool   // The engine began to work on it.
}

// An engine is a stand-in for a model engine.
type engine struct {
	fleet            *fleet
	id, service      string
	zone, version    string
	slots, queueSize int
	events           int           // Of an answer.
	step             time.Duration // Between two events.
	// accepts reports whether the engine is the one that a request is for; nil means always.
	accepts func(r *http.Request) bool
	// answer replaces the usual answer if it is not nil and returns true.
	answer func(w http.ResponseWriter, r *http.Request, q run) bool

	mu      sync.Mutex
	runs    []run
	seq     int
	born    int64
	addr    string
	server  *http.Server
	places  chan struct{}
	waiting int
	stopped chan struct{}
}

// addEngine starts an engine.
func (f *fleet) addEngine(id, service, zone, version string, change func(e *engine)) (*engine, error) {
	e := &engine{fleet: f, id: id, service: service, zone: zone, version: version, slots: 8, queueSize: 24, events: 30, step: 30 * time.Millisecond}
	if change != nil {
		change(e)
	}
	f.engines = append(f.engines, e)
	return e, e.start()
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.addr, e.born, e.seq = l.Addr().String(), time.Now().UnixMilli(), 0
	e.places, e.stopped = make(chan struct{}, e.slots), make(chan struct{})
	e.server = &http.Server{Handler: e}
	server, stopped := e.server, e.stopped
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go e.beat(stopped)
	e.fleet.rec.printf("engine %s version %s starts at %s", e.id, e.version, e.addr)
	return nil
}

// stop closes all connections and the listener.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stopped:
	default:
		close(e.stopped)
	}
	_ = e.server.Close()
}

// heartbeat is the time between two writes of an engine's entry.
const heartbeat = 1200 * time.Millisecond

// beat registers the engine with each heartbeat.
func (e *engine) beat(stopped chan struct{}) {
	for {
		e.mu.Lock()
		e.seq++
		entry := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "slots": e.slots, "state": "ready", "warmup_left_ms": 0, "seq": e.seq, "born": e.born}
		e.mu.Unlock()
		e.fleet.store.set("servers/"+e.id, entry)
		select {
		case <-stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// isBusy reports whether a request waits or runs.
func (e *engine) isBusy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting > 0
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	stopped, places := e.stopped, e.places
	version := e.version
	e.mu.Unlock()
	q := run{at: time.Now(), engine: e.id, version: version, id: r.Header.Get("X-Attempt-Id"), tenant: r.Header.Get("X-Tenant"), path: r.RequestURI, body: string(body), after: r.Header.Get("Last-Event-Id")}
	if q.id != "" {
		w.Header().Set("X-Attempt-Id", q.id)
	}
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		e.fleet.rec.printf("engine %s gets %s %s, answers %d not executed", e.id, q.id, q.path, status)
	}
	switch {
	case q.id == "":
		refuse(http.StatusBadRequest)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id, e.accepts != nil && !e.accepts(r):
		refuse(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.waiting >= e.slots+e.queueSize
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	case <-r.Context().Done():
		return
	case <-stopped:
		return
	}
	q.began = true
	e.mu.Lock()
	e.runs = append(e.runs, q)
	e.mu.Unlock()
	e.fleet.rec.printf("engine %s runs %s %s tenant %q after %q", e.id, q.id, q.path, q.tenant, q.after)
	w.Header().Set("X-Response-Stamp", stamp(e.id, q.id))
	if e.answer != nil && e.answer(w, r, q) {
		return
	}
	e.stream(w, r, q, stopped)
}

func stamp(engine, id string) string { return fmt.Sprintf("%s.%s", engine, id) }

// stream answers with the events after the last one that the caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, q run, stopped chan struct{}) {
	first := 1
	if n, err := strconv.Atoi(q.after); err == nil {
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := first; n <= e.events; n++ {
		select {
		case <-time.After(e.step):
		case <-r.Context().Done():
			e.fleet.rec.printf("engine %s stops %s: its connection closed", e.id, q.id)
			return
		case <-stopped:
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventText(q.version, q.id, n)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
	e.fleet.rec.printf("engine %s completes %s", e.id, q.id)
}

// eventText is event n of the answer to a request. Engines of several versions write
// different texts.
func eventText(version, id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s word %d\n\n", n, version, id, n)
}

// An exchange is a request of a client and its answer.
type exchange struct {
	status int
	header http.Header
	body   []byte
	err    error // Of a broken or missing answer.
	at     time.Time
}

// send sends a request on a new connection.
func (f *fleet) send(fr *front, method, host, path, id string, header map[string]string, body []byte, timeout time.Duration) (x exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+fr.addr+path, bytes.NewReader(body))
	if err != nil {
		return exchange{err: err}
	}
	r.Host = host
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.rec.printf("client sends %s %s%s id %s to %s", method, host, path, id, fr.name)
	resp, err := client.Do(r)
	if err == nil {
		defer resp.Body.Close()
		x.status, x.header = resp.StatusCode, resp.Header
		x.body, err = io.ReadAll(resp.Body)
	}
	x.err, x.at = err, time.Now()
	text := x.body
	if len(text) > 160 {
		text = append(append([]byte{}, text[:160]...), "..."...)
	}
	f.rec.printf("client gets %d for %s %s id %s: %q error %v", x.status, method, path, id, text, err)
	return x
}
