package main

import (
	"syscall"
	"time"
)

// successorLost loses two of three fronts for good, five seconds apart: first the one that has
// accepted a batch job, and then the one that has to take the batch job over. A new front
// comes four seconds after the second loss. The numbers of the fronts determine which of
// them succeeds which.
func successorLost(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.startEngines(2, longItems); err != nil {
		return false, err
	}
	f.configure([]map[string]any{onlineRoute(), batchRoute(onlineHost)}, tenants())
	owner, err := f.addFront("hr-north-a", 1)
	if err != nil {
		return false, err
	}
	successor, err := f.addFront("hr-north-b", 3)
	if err != nil {
		return false, err
	}
	readers := make([]*front, 1, 2)
	if readers[0], err = f.addFront("hr-north-c", 1); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stable)
	const job, items = "7c41e09b52d6a3f8", 6
	if err := f.submit(owner, onlineHost, job, items); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		owner.signal(syscall.SIGKILL)
		time.Sleep(5 * time.Second)
		successor.signal(syscall.SIGKILL)
		time.Sleep(4 * time.Second)
	}
	replacement, err := f.addFront("hr-north-b", 4)
	if err != nil {
		return false, err
	}
	readers = append(readers, replacement)
	f.rec.printf("the last disruption is over; finish_s begins in %v", stable)
	deadline := time.Now().Add(stable + finish)
	listed := 0
	for time.Now().Before(deadline) && listed < items {
		time.Sleep(500 * time.Millisecond)
		for _, fr := range readers {
			if x, v := f.read(fr, onlineHost, job, 0); x.status == 200 {
				listed = max(listed, len(v.Results))
			}
		}
	}
	f.rec.printf("%d of %d items are listed", listed, items)
	if listed == items {
		return false, nil
	}
	return f.checkLeftLying(job, items-listed), nil
}
