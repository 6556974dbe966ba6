package main

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// troubleTime is how long an engine is in trouble.
	troubleTime = 5 * time.Second
	// endlessSettled is when the case is judged, after the end of the trouble.
	endlessSettled = 60 * time.Second
	// memoryMB is the memory of a front machine.
	memoryMB = 284
)

// endlessAnswer has one of two engines send answers without end for some seconds, while a
// job runs on both.
func endlessAnswer(f *fleet, trouble string) {
	f.configure(1, "lm-a")
	engines := f.startEngines("lm-a", 2, 12, 200*time.Millisecond)
	for range 3 {
		f.addNode().start()
	}
	awaitReady(f.nodes...)
	time.Sleep(4 * time.Second)

	j := newJob(20)
	if trouble != "0" {
		engines[0].endless.Store(true)
		note("engine %s is in trouble", engines[0].id)
	}
	if status := j.submit(f.nodes[0]); status != http.StatusAccepted {
		cannotRun("the job got %d", status)
	}
	time.Sleep(troubleTime)
	engines[0].endless.Store(false)
	note("engine %s is sound again", engines[0].id)
	time.Sleep(endlessSettled)

	listed := map[string]string{}
	for _, n := range f.nodes {
		status, v := j.read(n, 0)
		if status != http.StatusOK {
			note("%s: the read got %d", n.name, status)
			continue
		}
		for _, r := range v.Results {
			listed[r.ID] = r.Text
		}
		note("%s: total %d, %d results", n.name, v.Total, len(v.Results))
	}
	runs := f.journal.all()
	lying := 0
	for _, id := range j.items {
		if _, ok := listed[id]; !ok && !heldLately(runs, id) {
			lying++
			note("item %s is not listed and no engine had it in the last 5 s", id)
		}
	}
	for _, n := range f.nodes {
		note("%s: %d MB at most, of %d MB", n.name, n.peakMemoryMB(), memoryMB)
	}
	if lying > 0 && !finishedLately(runs) {
		note("BROKEN: %d of %d items of the accepted job are left lying", lying, len(j.items))
		end(exitBroken)
	}
	note("HELD")
	end(exitHeld)
}

// peakMemoryMB returns the most memory that the entry has used; zero if it has ended.
func (n *node) peakMemoryMB() int {
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(n.cmd.Process.Pid) + "/status")
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	return 0
}
