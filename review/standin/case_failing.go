package main

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// failingRun is how long an engine works on the item before it answers 500.
	failingRun = 2300 * time.Millisecond
	// stopInterval is the time between two planned stops.
	stopInterval = 6500 * time.Millisecond
	// plannedStops is the number of planned stops: three rounds over both machines.
	plannedStops = 6
	// maxFailures is three times max_attempts.
	maxFailures = 9
)

// failingItem stops and starts two machines in turn, three rounds, while a job has one
// item that fails at each run.
func failingItem(f *fleet, trouble string) {
	f.configure(1, "lm-a")
	for _, e := range f.startEngines("lm-a", 2, 8, 500*time.Millisecond) {
		e.failAfter = failingRun
	}
	for range 2 {
		f.addNode().start()
	}
	awaitReady(f.nodes...)
	time.Sleep(4 * time.Second)

	j := newJob(1)
	if status := j.submit(f.nodes[0]); status != http.StatusAccepted {
		cannotRun("the job got %d", status)
	}
	time.Sleep(stopInterval - time.Second)
	var ending atomic.Bool
	if trouble != "0" {
		for n := range plannedStops {
			f.nodes[n%2].restart(&ending)
			time.Sleep(stopInterval)
		}
	}
	time.Sleep(15 * time.Second)
	ending.Store(true)

	f.showLogs("job taken over", "job done")
	failures, late := 0, 0
	for _, a := range f.journal.all() {
		if a.id != j.items[0] {
			continue
		}
		if failures >= maxFailures {
			late++
			note("the item begins at %s after %d answers of 500", a.engine, failures)
		}
		if a.outcome == "500" {
			failures++
		}
	}
	note("%d answers of 500 in all", failures)
	if late > 0 {
		note("BROKEN: the item reached an engine %d times after %d answers of 500", late, maxFailures)
		end(exitBroken)
	}
	note("HELD")
	end(exitHeld)
}

// restart stops the entry as planned, and starts it again when it has ended.
func (n *node) restart(ending *atomic.Bool) {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	go func() {
		<-done
		time.Sleep(200 * time.Millisecond)
		if !ending.Load() {
			n.start()
		}
	}()
}
