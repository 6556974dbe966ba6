package main

import (
	"fmt"
	"time"
)

// shortStatusS is the bound status_s of a deployment in which a batch job may be open for
// more than twice as long, scaled down so that the case takes a minute.
const shortStatusS = 20

// burstTime is the longest burst of batch jobs on the site.
const burstTime = 3 * time.Second

// openJobRemoved reads batch jobs that are open until all their items are listed. Six
// times the usual number of batch jobs comes in three seconds, so that the last items wait
// for more than a minute, which is less than max_wait_s.
func openJobRemoved(f *fleet, trouble bool) (broken bool, err error) {
	f.status = shortStatusS
	if err := f.startFleet(2, 2, []map[string]any{onlineRoute(), batchRoute(onlineHost)}, longItems); err != nil {
		return false, err
	}
	const items = 10
	jobs := 2
	if trouble {
		jobs = 12
	}
	started := time.Now()
	next := map[string]int{} // Results that were read, by job.
	for n := range jobs {
		job := fmt.Sprintf("7c41e09b52d6%04x", n)
		if err := f.submit(f.fronts[n%2], onlineHost, job, items); err != nil {
			return false, err
		}
		next[job] = 0
		time.Sleep(burstTime / time.Duration(jobs))
	}
	time.Sleep(settle)
	for time.Since(started) < 85*time.Second && len(next) > 0 && !broken {
		time.Sleep(time.Second)
		for job, after := range next {
			fr := f.fronts[after%2]
			x, v := f.read(fr, onlineHost, job, after)
			switch {
			case x.isGone():
				f.rec.printf("BROKEN: %s answers %d for batch job %s, of which %d of %d results had been read, %.0f s after the first 202", fr.name, x.status, job, after, items, time.Since(started).Seconds())
				broken = true
			case x.status == 200 && v.Next == items:
				delete(next, job)
			case x.status == 200:
				next[job] = v.Next
			}
		}
	}
	if !broken && len(next) > 0 && !trouble {
		return false, fmt.Errorf("%d batch jobs are not done", len(next))
	}
	return broken, nil
}
