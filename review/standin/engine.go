package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineSlots = 8
	engineQueue = 4
)

// arrival is one run of a request at an engine.
type arrival struct {
	id      string
	engine  string
	at      time.Time
	end     time.Time // Zero while it runs.
	outcome string
}

// journal holds the runs of all engines.
type journal struct {
	mu   sync.Mutex
	runs []*arrival
}

func (j *journal) begin(id, engine string) *arrival {
	a := &arrival{id: id, engine: engine, at: time.Now()}
	j.mu.Lock()
	j.runs = append(j.runs, a)
	j.mu.Unlock()
	note("engine %s runs %s", engine, id)
	return a
}

func (j *journal) finish(a *arrival, outcome string) {
	j.mu.Lock()
	a.end, a.outcome = time.Now(), outcome
	j.mu.Unlock()
	note("engine %s ends %s: %s", a.engine, a.id, outcome)
}

// all returns a copy of the runs so far.
func (j *journal) all() []arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]arrival, 0, len(j.runs))
	for _, a := range j.runs {
		runs = append(runs, *a)
	}
	return runs
}

// engine is a stand-in of a model engine. It answers each request with a stream of
// events.
type engine struct {
	id, service string
	events      int
	pause       time.Duration // Between two events.
	journal     *journal
	slots       chan struct{}
	queue       chan struct{}
	failAfter   time.Duration // Time after which each run fails with 500; zero if runs succeed.
	endless     atomic.Bool   // Answers that begin go on without end.
	garbled     atomic.Bool   // One event of an answer has a wrong byte.
	store       *store
	entry       map[string]any // As registered in the store.
	server      *http.Server
}

func startEngine(s *store, j *journal, id, service, zone, address string, events int, pause time.Duration) *engine {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}
	e := &engine{
		id: id, service: service, events: events, pause: pause, journal: j,
		slots: make(chan struct{}, engineSlots), queue: make(chan struct{}, engineSlots+engineQueue),
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.entry = map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
	e.store = s
	s.put("servers/"+id, e.entry)
	return e
}

// drain shuts the engine down as planned: it says that it is draining, serves on for
// some time, leaves the store and exits.
func (e *engine) drain(serves time.Duration) {
	e.entry["state"], e.entry["seq"] = "draining", 2
	e.store.put("servers/"+e.id, e.entry)
	note("engine %s of %s is draining", e.id, e.service)
	time.AfterFunc(serves, func() {
		e.store.commit(transaction{Remove: []string{"servers/" + e.id}})
		_ = e.server.Close()
		note("engine %s of %s has left", e.id, e.service)
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	readAll(r)
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.queue <- struct{}{}:
		defer func() { <-e.queue }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	a := e.journal.begin(id, e.id)
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	w.Header().Set("X-Response-Stamp", "stamp."+id)
	if e.failAfter > 0 {
		select {
		case <-time.After(e.failAfter):
		case <-r.Context().Done():
			e.journal.finish(a, "cut by its sender")
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("the item fails"))
		e.journal.finish(a, "500")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	for n := first; n <= e.events; n++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			e.journal.finish(a, "cut by its sender")
			return
		}
		separator := "-"
		if e.garbled.CompareAndSwap(true, false) {
			separator = "\xff"
			note("engine %s hands out a wrong byte in event %d of %s", e.id, n, id)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s%s%d\n\n", n, id, separator, n)
		flusher.Flush()
		if e.endless.Load() {
			e.journal.finish(a, e.babble(w, n))
			return
		}
	}
	e.journal.finish(a, "complete")
}

// babbleBytesPerSecond is the rate of an answer without end, some 450 events a second.
const babbleBytesPerSecond = 100 << 10

// babble sends an answer that does not end until the caller closes.
func (e *engine) babble(w http.ResponseWriter, n int) (outcome string) {
	const perWrite = 45
	filler := strings.Repeat("x", 200)
	started, sent := time.Now(), 0
	for {
		var events strings.Builder
		for range perWrite {
			n++
			_, _ = fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", n, filler)
		}
		if _, err := w.Write([]byte(events.String())); err != nil {
			return fmt.Sprintf("went on without end; closed by its sender after %d events and %d bytes", n, sent)
		}
		w.(http.Flusher).Flush()
		sent += events.Len()
		time.Sleep(time.Until(started.Add(time.Duration(float64(sent) / babbleBytesPerSecond * float64(time.Second)))))
	}
}
