package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// weights is the version of the weights of all engines.
const weights = "1"

// otherWeights sends each front a request whose caller asks for weights that no engine has,
// and then a batch job of the usual kind.
func otherWeights(f *fleet, trouble bool) (broken bool, err error) {
	checkWeights := func(e *engine) {
		e.accepts = func(r *http.Request) bool {
			expected := r.Header.Get("X-Expect-Version")
			return expected == "" || expected == weights
		}
	}
	if err := f.startFleet(2, 4, []map[string]any{onlineRoute(), batchRoute(onlineHost)}, checkWeights); err != nil {
		return false, err
	}
	for n, fr := range f.fronts {
		header := map[string]string{"X-Key": tenantKey, "X-Deadline-Ms": "5000", "X-Expect-Version": weights}
		if trouble {
			header["X-Expect-Version"] = "2"
		}
		f.send(fr, http.MethodPost, onlineHost, onlinePath+"2f", fmt.Sprintf("9c41d07be2a3%04x", n), header, []byte("question"), 5*time.Second)
	}
	const job, items = "7c41e09b52d6a3f8", 3
	if err := f.submit(f.fronts[0], onlineHost, job, items); err != nil {
		return false, err
	}
	listed, served, refused := 0, 0, 0
	for deadline := time.Now().Add(finish); time.Now().Before(deadline) && listed < items; {
		time.Sleep(500 * time.Millisecond)
		for n, fr := range f.fronts {
			if x, v := f.read(fr, onlineHost, job, 0); x.status == http.StatusOK {
				listed = max(listed, len(v.Results))
			}
			id := fmt.Sprintf("5e77b0c2%04x%04x", n, served+refused)
			if x := f.send(fr, http.MethodPost, onlineHost, onlinePath+"2f", id, withKey, []byte("question"), 5*time.Second); x.status == http.StatusOK {
				served++
			} else {
				refused++
			}
		}
	}
	f.rec.printf("%d of %d items are listed; of the usual requests %d were served and %d not", listed, items, served, refused)
	if listed == items {
		return false, nil
	}
	return f.checkLeftLying(job, items-listed), nil
}

// checkLeftLying reports whether the items of a batch job that are not listed were left lying:
// no engine has had one for five seconds, with room for it.
func (f *fleet) checkLeftLying(job string, unlisted int) bool {
	for _, e := range f.engines {
		if e.isBusy() {
			f.rec.printf("engine %s still works", e.id)
			return false
		}
		for _, q := range e.allRuns() {
			if strings.HasPrefix(q.id, job) && time.Since(q.at) < 5*time.Second {
				f.rec.printf("an engine had %s in the last 5 s", q.id)
				return false
			}
		}
	}
	f.rec.printf("BROKEN: %d items of an open batch job are not listed and no engine had one for 5 s", unlisted)
	return true
}
