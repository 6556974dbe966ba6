package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cancelTime is the time after the acknowledgement of a job's end from which on no item
// of it may reach an engine and run.
const cancelTime = 3 * time.Second

// rotation is the platform's view of which nodes get new connections.
type rotation struct {
	mu     sync.Mutex
	misses map[*node]int
	polled map[*node]chan struct{} // Receives a value after each question.
}

// watchReady asks each node once a second whether it is ready.
func watchReady(nodes []*node) *rotation {
	r := &rotation{misses: map[*node]int{}, polled: map[*node]chan struct{}{}}
	for _, n := range nodes {
		polled := make(chan struct{}, 1)
		r.polled[n] = polled
		go func() {
			for range time.Tick(time.Second) {
				ready := n.ready()
				r.mu.Lock()
				if ready {
					r.misses[n] = 0
				} else {
					r.misses[n]++
				}
				misses := r.misses[n]
				r.mu.Unlock()
				if misses > 0 {
					note("platform: %s is not ready, miss %d", n.name, misses)
				}
				select {
				case polled <- struct{}{}:
				default:
				}
			}
		}()
	}
	return r
}

// in reports whether the platform forwards new connections to a node.
func (r *rotation) in(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses[n] < 2
}

// endAtHandover stops a machine as planned. Less than two seconds later, while the
// platform still forwards new connections to it, its client ends a job there.
func endAtHandover(f *fleet, trouble string) {
	f.configure(1, "lm-a")
	f.startEngines("lm-a", 2, 12, 500*time.Millisecond)
	for range 3 {
		f.addNode().start()
	}
	awaitReady(f.nodes...)
	rotation := watchReady(f.nodes)
	time.Sleep(4 * time.Second)

	leaving := f.nodes[0]
	<-rotation.polled[leaving]
	<-rotation.polled[leaving]
	j := newJob(60)
	if status := j.submit(leaving); status != http.StatusAccepted {
		cannotRun("the job got %d", status)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble != "0" {
		leaving.signal(syscall.SIGTERM)
	}
	time.Sleep(1400 * time.Millisecond)
	if !rotation.in(leaving) {
		cannotRun("the platform forwards no new connections to %s any more", leaving.name)
	}
	if status, _ := leaving.call(http.MethodDelete, "/lots/"+j.id, "", nil, 4*time.Second); status != http.StatusOK {
		cannotRun("the end of the job got %d", status)
	}
	ended := time.Now()
	note("the end of the job is acknowledged")
	time.Sleep(16 * time.Second)

	f.showLogs("job taken over", "job ended by the caller", "read that the caller ended the job")
	late := 0
	for _, a := range f.journal.all() {
		if after := a.at.Sub(ended); j.has(a.id) && after > cancelTime {
			late++
			note("item %s began at %s %.1f s after the acknowledgement of the end", a.id, a.engine, after.Seconds())
		}
	}
	if late > 0 {
		note("BROKEN: %d runs of items began over %v after the end of their job was acknowledged", late, cancelTime)
		end(exitBroken)
	}
	note("HELD")
	end(exitHeld)
}
