package main

import (
	"fmt"
	"time"
)

// hostRemoved reads a finished batch job after a new version of the configuration has
// removed its route, which was the only one of its host.
func hostRemoved(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.startFleet(2, 2, []map[string]any{onlineRoute(), batchRoute(batchHost)}, nil); err != nil {
		return false, err
	}
	const job, items = "7c41e09b52d6a3f8", 3
	if err := f.submit(f.fronts[0], batchHost, job, items); err != nil {
		return false, err
	}
	for listed, deadline := 0, time.Now().Add(20*time.Second); listed < items; time.Sleep(500 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("%d of %d results are listed", listed, items)
		}
		_, v := f.read(f.fronts[0], batchHost, job, 0)
		listed = len(v.Results)
	}
	routes := []map[string]any{onlineRoute()}
	if !trouble {
		routes = append(routes, batchRoute(batchHost))
	}
	f.configure(routes, tenants())
	time.Sleep(configApply + settle + 500*time.Millisecond)
	for range 3 {
		for _, fr := range f.fronts {
			x, v := f.read(fr, batchHost, job, 0)
			if x.isGone() || x.status == 200 && len(v.Results) < items {
				f.rec.printf("BROKEN: %s answers %d with %d results for an accepted batch job whose %d results had been read", fr.name, x.status, len(v.Results), items)
				broken = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}
