package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// failureAsPromise sends requests that may run once to an engine that fails every third one
// with a 503 after it has begun to work on it, without X-Not-Executed. The client takes a 503
// for the promise that the request has not run, and sends the request again.
func failureAsPromise(f *fleet, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	works := 0
	grey := func(e *engine) {
		e.answer = func(w http.ResponseWriter, _ *http.Request, q run) bool {
			mu.Lock()
			defer mu.Unlock()
			works++
			if !trouble || works%3 != 0 {
				return false
			}
			e.fleet.rec.printf("engine %s fails %s with 503 after it began", e.id, q.id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	if err := f.startFleet(1, 1, []map[string]any{onlineRoute()}, grey); err != nil {
		return false, err
	}
	for n := range 6 {
		body := []byte(fmt.Sprintf("order %d", n))
		for try := range 2 {
			id := fmt.Sprintf("9c41d07be2a3%02x%02x", n, try)
			x := f.send(f.fronts[0], http.MethodPost, onlineHost, onlinePath+"2f", id, withKey, body, 5*time.Second)
			if x.status != http.StatusServiceUnavailable && x.status != http.StatusTooManyRequests {
				break
			}
			broken = f.checkNotRun(id, x.status) || broken
		}
	}
	return broken, nil
}

// checkNotRun reports whether a request that was refused has run.
func (f *fleet) checkNotRun(id string, status int) (broken bool) {
	for _, e := range f.engines {
		for _, q := range e.allRuns() {
			if q.id == id {
				f.rec.printf("BROKEN: request %s (%q) was answered %d and has run at %s", id, q.body, status, e.id)
				broken = true
			}
		}
	}
	return broken
}
