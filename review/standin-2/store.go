package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is a key-value pair of the platform's store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// A txn is the body of POST /kv-txn.
type txn struct {
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

// A store is a stand-in for the platform's store.
type store struct {
	rec  *recorder
	addr string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	server   *http.Server
}

func newStore(rec *recorder) (*store, error) {
	s := &store{rec: rec, items: map[string]item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"current_rev"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	const page = 500
	truncated := len(found) > page
	if truncated {
		found = found[:page]
	}
	if found == nil {
		found = []item{}
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		case <-changed:
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	status, body := s.apply(t)
	reply(w, status, body)
}

func (s *store) apply(t txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, e := range t.Expect {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		current = append(current, it)
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	if len(t.Puts)+len(t.Remove) > 0 {
		s.revision++
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// put writes a key at the current revision. The caller holds s.mu.
func (s *store) put(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// drop removes a key at the current revision. The caller holds s.mu.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

// set writes a key as the operator or a server does, and returns the revision.
func (s *store) set(key string, document any) int64 {
	value, _ := json.Marshal(document)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
	return s.revision
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMs < 1000 || body.TTLMs > 600_000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.removeLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}

// removeLease removes a lease and its keys. The caller holds s.mu.
func (s *store) removeLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.removeLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) close() { _ = s.server.Shutdown(canceled()) }

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
