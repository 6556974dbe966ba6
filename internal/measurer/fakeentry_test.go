package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// A fakeEntry responds as an entry does, with faults that tests set.
type fakeEntry struct {
	mu               sync.Mutex
	refusedWorkspace string    // Workspace whose requests are refused.
	streamEnding     string    // How streams end: "" complete, "cut", "crossed", "error" or "silent".
	stallUntil       time.Time // Responses wait until then.
	itemsPerPoll     int       // Items of a job that complete with each status request.
	jobs             map[string]*fakeJob
	requests         int // Online requests received.
}

type fakeJob struct {
	ids       []string
	completed int
	cancelled bool
}

// An entryList is a fixed list of entries.
type entryList []string

func (l entryList) EntryAddresses() []string { return l }

func startFakeEntry(t *testing.T) (e *fakeEntry, address string) {
	t.Helper()
	e = &fakeEntry{jobs: make(map[string]*fakeJob), itemsPerPoll: 3}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, e.online(e.chat))
	mux.HandleFunc("GET "+servicePrefix+"labels/labels/{id}", e.online(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"id":%q}`, r.PathValue("id"))
	}))
	mux.HandleFunc("PUT "+batchPath+"{job}", e.submit)
	mux.HandleFunc("GET "+batchPath+"{job}", e.status)
	mux.HandleFunc("POST "+batchPath+"{job}/cancel", e.cancel)
	mux.HandleFunc("GET "+batchPath+"{job}/results", e.results)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return e, strings.TrimPrefix(server.URL, "http://")
}

func (e *fakeEntry) withLock(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// online refuses or delays a request before the handler answers it.
func (e *fakeEntry) online(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.requests++
		refuse, stall := e.refusedWorkspace, time.Until(e.stallUntil)
		e.mu.Unlock()
		if refuse != "" && r.Header.Get("Authorization") == "Bearer key-"+refuse {
			w.WriteHeader(http.StatusTooManyRequests)
			_ = json.NewEncoder(w).Encode(refusalBody{Error: refusal{Code: "rate-exceeded", Outcome: "not-run"}})
			return
		}
		<-time.After(stall)
		handler(w, r)
	}
}

func (e *fakeEntry) chat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Model != "lm-desk" {
		http.Error(w, "no such model", http.StatusBadRequest)
		return
	}
	_, marker, _ := strings.Cut(body.Messages[0].Content, markerPrefix)
	e.mu.Lock()
	ending := e.streamEnding
	e.mu.Unlock()
	switch ending {
	case "crossed":
		marker = "somebody.else"
	case "silent":
		<-r.Context().Done()
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%s-0 \"}}]}\n\n", marker)
	switch ending {
	case "cut":
	case "error":
		fmt.Fprint(w, "data: {\"error\":{\"code\":\"upstream-failed\"}}\n\n")
	default:
		fmt.Fprint(w, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n")
	}
}

// job returns the job that a request names, which is private to the workspace.
func (e *fakeEntry) job(r *http.Request) *fakeJob {
	name := r.Header.Get("Authorization") + "/" + r.PathValue("job")
	if e.jobs[name] == nil {
		e.jobs[name] = &fakeJob{}
	}
	return e.jobs[name]
}

func (e *fakeEntry) submit(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.job(r)
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		var item batchLine
		if err := json.Unmarshal([]byte(line), &item); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		j.ids = append(j.ids, item.CustomID)
	}
}

func (e *fakeEntry) status(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.job(r)
	j.completed = min(len(j.ids), j.completed+e.itemsPerPoll)
	fmt.Fprintf(w, `{"state":"running","done":%d,"failed":0}`, j.completed)
}

func (e *fakeEntry) cancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.job(r).cancelled = true
}

// results returns the first result twice; the tool must report the duplicate.
func (e *fakeEntry) results(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.job(r)
	for _, id := range append(j.ids[:1:1], j.ids[:j.completed]...) {
		fmt.Fprintf(w, "{\"custom_id\":%q,\"status-code\":200,\"body\":{},\"tokens\":5}\n", id)
	}
}
