package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lateBy is how much later the write is done whose answer was lost: from 1 to 6 s.
	lateBy = 5 * time.Second
	// lossTime is the time for which the store loses answers; it may lose 0.35 of them.
	lossTime = 4500 * time.Millisecond
	// finishS is the time that jobs have after the traffic has ended.
	finishS = 18 * time.Second
	// settled is when the case is judged, after the machine was lost. It is longer than
	// finishS and than the time in which a failed run excuses an item.
	settled = 32 * time.Second
)

// lateEnrolment adds a machine while the store loses the answer of one write, which it
// does seconds later. Much later the machine accepts a job and is lost for good.
// TROUBLE=kill only loses the machine.
func lateEnrolment(f *fleet, trouble string) {
	f.configure(1, "lm-a")
	f.startEngines("lm-a", 2, 12, 500*time.Millisecond)
	others := []*node{f.addNode(), f.addNode()}
	for _, n := range others {
		n.start()
	}
	awaitReady(others...)
	time.Sleep(3 * time.Second)

	added := f.addNode()
	if trouble == "1" {
		loseLeasedWrite(added)
	}
	addedAt := time.Now()
	added.start()
	awaitReady(added)
	time.Sleep(20 * time.Second)
	if trouble == "1" {
		note("the store lost the answer of 1 of %d writes within %v of the start of %s", f.store.writesWithin(addedAt, lossTime), lossTime, added.name)
	}

	j := newJob(10)
	if status := j.submit(added); status != http.StatusAccepted {
		cannotRun("the job got %d", status)
	}
	time.Sleep(2 * time.Second)
	if trouble != "0" {
		added.signal(syscall.SIGKILL)
		note("%s never comes back; there is no traffic from now on but reads of the job", added.name)
	}
	traffic := time.Now()
	time.Sleep(settled)

	listed := map[string]bool{}
	for _, n := range others {
		for status := 0; status != http.StatusOK; {
			var v view
			status, v = j.read(n, 0)
			for _, r := range v.Results {
				listed[r.ID] = true
			}
			if status == http.StatusOK {
				note("%s: total %d, %d results", n.name, v.Total, len(v.Results))
			}
			if time.Since(traffic) > settled+15*time.Second {
				cannotRun("the job cannot be read")
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.showLogs(j.id)
	runs := f.journal.all()
	lying := 0
	for _, id := range j.items {
		if listed[id] || heldLately(runs, id) {
			continue
		}
		lying++
		note("item %s is not listed and no engine had it in the last 5 s", id)
	}
	if lying > 0 && !finishedLately(runs) {
		note("BROKEN: %d of %d items of the accepted job are left lying %.0f s after the end of traffic (finish_s is %.0f s)",
			lying, len(j.items), time.Since(traffic).Seconds(), finishS.Seconds())
		end(exitBroken)
	}
	note("HELD")
	end(exitHeld)
}

// loseLeasedWrite has the store lose the answer of the first transaction of a machine
// that binds a key to a lease.
func loseLeasedWrite(n *node) {
	var once sync.Once
	n.door.setLoss(func(path string, body []byte) (late time.Duration, lost bool) {
		var t transaction
		if path != "/kv-txn" || json.Unmarshal(body, &t) != nil || len(t.Puts) == 0 || t.Puts[0].Lease == 0 {
			return 0, false
		}
		once.Do(func() {
			late, lost = lateBy, true
			note("store: the answer of a write of %s is lost; it is done %v later", n.name, lateBy)
		})
		return late, lost
	})
}

// heldLately reports whether an engine has had an item in the last 5 s, or failed at it
// in the last 20 s.
func heldLately(runs []arrival, id string) bool {
	now := time.Now()
	for _, a := range runs {
		if a.id == id && (a.end.IsZero() || now.Sub(a.end) < 5*time.Second || a.outcome != "complete" && now.Sub(a.end) < 20*time.Second) {
			return true
		}
	}
	return false
}

// finishedLately reports whether an item was finished in the last 3 s.
func finishedLately(runs []arrival) bool {
	for _, a := range runs {
		if a.outcome == "complete" && time.Since(a.end) < 3*time.Second {
			return true
		}
	}
	return false
}
