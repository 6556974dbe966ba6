package main

import (
	"fmt"
	"time"
)

// publicBatchRoute submits a batch job, with a key of a tenant, on a batch route that the
// operator has made public, and reads it with the same key.
func publicBatchRoute(f *fleet, trouble bool) (broken bool, err error) {
	route := batchRoute(onlineHost)
	route["public"] = trouble
	if err := f.startFleet(2, 2, []map[string]any{onlineRoute(), route}, nil); err != nil {
		return false, err
	}
	const job, items = "7c41e09b52d6a3f8", 3
	if err := f.submit(f.fronts[0], onlineHost, job, items); err != nil {
		return false, err
	}
	time.Sleep(settle)
	listed, gone := 0, 0
	for started := time.Now(); time.Since(started) < 20*time.Second && listed < items && gone < 6; {
		time.Sleep(500 * time.Millisecond)
		for _, fr := range f.fronts {
			x, v := f.read(fr, onlineHost, job, 0)
			if x.isGone() {
				f.rec.printf("BROKEN: %s answers %d for an accepted batch job", fr.name, x.status)
				gone++
			}
			listed = max(listed, len(v.Results))
		}
	}
	if gone == 0 && listed < items {
		return false, fmt.Errorf("%d of %d results are listed", listed, items)
	}
	return gone > 0, nil
}
