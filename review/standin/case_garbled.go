package main

import (
	"net/http"
	"syscall"
	"time"
)

// garbledByte has one of three engines hand out one wrong byte, in one of 60 answers. When the job
// is done and read, the machine that owns it is stopped as planned. TROUBLE=stop only
// stops the machine.
func garbledByte(f *fleet, trouble string) {
	f.configure(1, "lm-a")
	engines := f.startEngines("lm-a", 3, 12, 200*time.Millisecond)
	for range 3 {
		f.addNode().start()
	}
	awaitReady(f.nodes...)
	time.Sleep(4 * time.Second)

	owner, others := f.nodes[0], f.nodes[1:]
	engines[0].garbled.Store(trouble == "1")
	j := newJob(60)
	if status := j.submit(owner); status != http.StatusAccepted {
		cannotRun("the job got %d", status)
	}
	read := 0
	for limit := time.Now().Add(30 * time.Second); read < len(j.items) && time.Now().Before(limit); {
		time.Sleep(500 * time.Millisecond)
		if status, v := j.read(owner, 0); status == http.StatusOK {
			read = len(v.Results)
		}
	}
	if read < len(j.items) {
		cannotRun("only %d results came", read)
	}
	note("all %d results were read at %s", read, owner.name)
	if trouble != "0" {
		owner.signal(syscall.SIGTERM)
		<-owner.done
	}
	time.Sleep(20 * time.Second)

	answered := 0
	for range 10 {
		for _, n := range others {
			status, v := j.read(n, 0)
			if status == http.StatusOK && len(v.Results) == len(j.items) {
				answered++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.showLogs("failed to access the job")
	if answered == 0 {
		note("BROKEN: the job, all of whose results had been read, cannot be read at any machine for good")
		end(exitBroken)
	}
	note("%d of 20 reads gave all results", answered)
	note("HELD")
	end(exitHeld)
}
