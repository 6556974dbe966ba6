package main

import (
	"net/http"
	"time"
)

const (
	// movedItems is the number of items of the job: more than the engines of one service
	// take at once.
	movedItems = 40
	// drainServes is how long an engine serves on after it said that it is draining. It
	// is longer than drain_ms and than a run, so that no run is cut.
	drainServes = 6 * time.Second
	// movedSettled is when the case is judged, after the route was moved. The items need
	// about 15 s, and finish_s is 18 s.
	movedSettled = 45 * time.Second
)

// movedRoute moves the batch route to another service while items of an accepted job
// wait for capacity, and takes the engines of the former service away as planned.
func movedRoute(f *fleet, trouble string) {
	f.configure(1, "lm-a")
	former := f.startEngines("lm-a", 2, 8, 500*time.Millisecond)
	f.startEngines("lm-b", 2, 8, 500*time.Millisecond)
	for range 3 {
		f.addNode().start()
	}
	awaitReady(f.nodes...)
	time.Sleep(4 * time.Second)

	j := newJob(movedItems)
	if status := j.submit(f.nodes[0]); status != http.StatusAccepted {
		cannotRun("the job got %d", status)
	}
	time.Sleep(time.Second)
	if trouble != "0" {
		f.configure(2, "lm-b")
		note("operator: version 2 is acknowledged; the route leads to lm-b now")
		time.Sleep(2 * time.Second)
		for _, e := range former {
			e.drain(drainServes)
		}
	}
	time.Sleep(movedSettled)

	listed := map[string]bool{}
	for _, n := range f.nodes {
		status, v := j.read(n, 0)
		if status != http.StatusOK {
			cannotRun("the job cannot be read")
		}
		for _, r := range v.Results {
			listed[r.ID] = true
		}
		note("%s: total %d, %d results", n.name, v.Total, len(v.Results))
	}
	f.showLogs("configuration in force", "job accepted", "job done", "dead-lettered")
	runs := f.journal.all()
	lying := 0
	for _, id := range j.items {
		if !listed[id] && !heldLately(runs, id) {
			lying++
			note("item %s is not listed and no engine had it in the last 5 s", id)
		}
	}
	if lying > 0 && !finishedLately(runs) {
		note("BROKEN: %d of %d items of the accepted job are left lying; the engines of lm-b have nothing to do", lying, len(j.items))
		end(exitBroken)
	}
	note("HELD")
	end(exitHeld)
}
