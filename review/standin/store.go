package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storeHistory    = 20 * time.Second
)

// item is a key-value pair in the store.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreateRev  int64  `json:"create_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
	CurrentRev int64  `json:"current_rev,omitempty"`
}

type change struct {
	item item
	at   time.Time
}

type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	dropped int64 // Changes up to this revision are no longer in the history.
	items   map[string]item
	history []change
	leases  map[int64]*lease
	next    int64
	changed chan struct{} // Closed at the next change.
	writes  []time.Time   // Calls that write, of all machines.
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, next: 1000, changed: make(chan struct{})}
}

// record adds a change to the history and wakes the watches. The caller holds mu.
func (s *store) record(i item) {
	now := time.Now()
	for len(s.history) > 0 && now.Sub(s.history[0].at) > storeHistory {
		s.dropped = s.history[0].item.Revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, change{item: i, at: now})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a server.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
}

// set writes a key at the current revision. The caller holds mu.
func (s *store) set(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.rev, CreateRev: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.record(i)
}

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

func (s *store) commit(t transaction) (status int, answer any) {
	for _, p := range t.Puts {
		if len(p.Value) > maxValueBytes {
			note("store: refuses a value of %d bytes", len(p.Value))
			return http.StatusRequestEntityTooLarge, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []item
	conflict := false
	for _, e := range t.Expect {
		present, ok := s.items[e.Key]
		if !ok {
			present = item{Key: e.Key}
		}
		conflicts = append(conflicts, present)
		conflict = conflict || present.Revision != e.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": conflicts}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.record(item{Key: key, Revision: s.rev, Removed: true})
		}
	}
	return http.StatusOK, map[string]any{"revision": s.rev}
}

func (s *store) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	return id
}

// expire ends a lease and removes its keys.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			delete(s.items, key)
			s.record(item{Key: key, Revision: s.rev, Removed: true})
			note("store: the lease of key %s has ended; the key is removed", key)
		}
	}
}

func (s *store) renew(id int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.timer.Reset(l.ttl)
	return l.ttl, true
}

func (s *store) countWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, time.Now())
}

// writesWithin returns the number of writes in the time d from a moment on.
func (s *store) writesWithin(from time.Time, d time.Duration) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.writes {
		if after := at.Sub(from); after >= 0 && after <= d {
			n++
		}
	}
	return n
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (status int, answer any) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, c := range s.history {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, prefix) {
				events = append(events, c.item)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": rev}
		}
		select {
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "current_rev": rev}
		case <-r.Context().Done():
			return http.StatusOK, nil
		case <-changed:
		}
	}
}

// maxPageBytes and maxPageItems limit one page of a range.
const (
	maxPageBytes = 1 << 20
	maxPageItems = 500
)

func (s *store) list(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	size, truncated := 0, false
	for n := range items {
		size += len(items[n].Value)
		if n > 0 && (size > maxPageBytes || n >= maxPageItems) {
			items, truncated = items[:n], true
			break
		}
	}
	return map[string]any{"items": items, "truncated": truncated, "current_rev": s.rev}
}

// a door is the address at which one machine reaches the store.
type door struct {
	store   *store
	machine string
	address string

	mu sync.Mutex
	// lose decides whether the answer of a write is lost, and how much later the write
	// is done. Nil means never.
	lose func(path string, body []byte) (late time.Duration, lost bool)
}

// open returns the address at which a machine reaches the store.
func (s *store) open(machine, address string) *door {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}
	d := &door{store: s, machine: machine, address: l.Addr().String()}
	go func() { _ = http.Serve(l, d) }()
	return d
}

func (d *door) setLoss(lose func(path string, body []byte) (time.Duration, bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lose = lose
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readAll(r)
	if r.Method == http.MethodPost && (r.URL.Path == "/kv-txn" || r.URL.Path == "/kv-lease") {
		d.store.countWrite()
		d.mu.Lock()
		lose := d.lose
		d.mu.Unlock()
		if lose != nil {
			if late, lost := lose(r.URL.Path, body); lost {
				time.AfterFunc(late, func() {
					status, _ := d.serve(r, body)
					note("store: the write of %s whose answer was lost is done now: %d", d.machine, status)
				})
				<-r.Context().Done() // Nothing further comes on this connection.
				panic(http.ErrAbortHandler)
			}
		}
	}
	time.Sleep(storeAnswerTime)
	status, answer := d.serve(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (d *door) serve(r *http.Request, body []byte) (status int, answer any) {
	s, query := d.store, r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		i.CurrentRev = s.rev
		return http.StatusOK, i
	case path == "/kv-range":
		return http.StatusOK, s.list(query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(query.Get("wait_ms"))
		return s.watch(r, query.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
	case path == "/kv-txn":
		var t transaction
		if json.Unmarshal(body, &t) != nil {
			return http.StatusBadRequest, nil
		}
		return s.commit(t)
	case path == "/kv-lease":
		var q struct {
			TTLMs int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &q) != nil {
			return http.StatusBadRequest, nil
		}
		id := s.grant(time.Duration(q.TTLMs) * time.Millisecond)
		return http.StatusOK, map[string]any{"lease": id, "ttl_ms": q.TTLMs}
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		ttl, ok := s.renew(id)
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()}
	}
	return http.StatusNotFound, nil
}
