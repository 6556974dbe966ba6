package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// freezeTime is how long the machine that holds the batch job stands still.
const freezeTime = 3200 * time.Millisecond

// endNotDelivered ends a batch job at one front while the front that accepted it stands
// still, and restarts the first one as planned right after its acknowledgement. The items of
// the batch job wait behind those of another one.
func endNotDelivered(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.startFleet(3, 1, []map[string]any{onlineRoute(), batchRoute(onlineHost)}, longItems); err != nil {
		return false, err
	}
	owner, other := f.fronts[0], f.fronts[1]
	const job = "7c41e09b52d6a3f8"
	if err := f.submit(owner, onlineHost, "5a90c1d7e2f30b46", 24); err != nil {
		return false, err
	}
	if err := f.submit(owner, onlineHost, job, 10); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	woken := time.Now()
	if trouble {
		owner.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { owner.signal(syscall.SIGCONT) })
		woken = woken.Add(freezeTime)
	}
	x := f.send(other, http.MethodDelete, onlineHost, "/lots/"+job, "", withKey, nil, 4*time.Second)
	if x.status != http.StatusOK {
		return false, fmt.Errorf("the end was answered %d", x.status)
	}
	if trouble {
		if err := other.restart(); err != nil {
			return false, err
		}
	}
	// From then on, the owner is in touch and the end has been acknowledged for long enough.
	limit := x.at.Add(cancelAfter)
	if inTouch := woken.Add(stable); inTouch.After(limit) {
		limit = inTouch
	}
	time.Sleep(time.Until(limit.Add(25 * time.Second)))
	for _, q := range f.engines[0].allRuns() {
		if strings.HasPrefix(q.id, job+"-") && q.at.After(limit) {
			f.rec.printf("BROKEN: item %s of an ended batch job runs at %s, %.1f s after the acknowledgement", q.id, q.engine, q.at.Sub(x.at).Seconds())
			broken = true
		}
	}
	return broken, nil
}

// restart stops a front as the platform does and starts it again.
func (fr *front) restart() error {
	fr.mu.Lock()
	ended := fr.ended
	fr.mu.Unlock()
	fr.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceS * time.Second):
		fr.signal(syscall.SIGKILL)
		<-ended
	}
	return fr.start()
}
