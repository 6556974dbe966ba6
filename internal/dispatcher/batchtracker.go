package dispatcher

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const batchTrackerShards = 16

// A batchTracker holds the batch items that this entry runs on each engine, so
// that online requests can preempt them.
type batchTracker struct {
	shards [batchTrackerShards]batchTrackerShard
}

type batchTrackerShard struct {
	mu      sync.Mutex
	servers map[string]*serverItems
}

// serverItems holds the batch items on one engine.
type serverItems struct {
	items     []*trackedItem // Oldest first.
	preempted int            // Number of cancelled items that still count in the load.
}

// A trackedItem is a running batch item that can be cancelled.
type trackedItem struct {
	cancel    context.CancelCauseFunc
	preempted bool
}

func (t *batchTracker) init() {
	for i := range t.shards {
		t.shards[i].servers = map[string]*serverItems{}
	}
}

func (t *batchTracker) shard(server string) *batchTrackerShard {
	return &t.shards[xxhash.Sum64String(server)%batchTrackerShards]
}

// add registers an item that the server's load already includes.
func (t *batchTracker) add(server string, cancel context.CancelCauseFunc) *trackedItem {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	running, ok := s.servers[server]
	if !ok {
		running = &serverItems{}
		s.servers[server] = running
	}
	item := &trackedItem{cancel: cancel}
	running.items = append(running.items, item)
	return item
}

// remove drops an item. It must be called before the item leaves the server's
// load: in the other order, a concurrent preemption would end one item too few.
func (t *batchTracker) remove(server string, item *trackedItem) {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.servers[server]
	for i, other := range running.items {
		if other == item {
			running.items = append(running.items[:i], running.items[i+1:]...)
			break
		}
	}
	if item.preempted {
		running.preempted--
	}
	if len(running.items) == 0 {
		delete(s.servers, server)
	}
}

// Preempt implements Preemptor. It cancels the newest items first.
func (t *batchTracker) Preempt(server string, n int) (ended, missing int) {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	running, ok := s.servers[server]
	if !ok {
		return 0, n
	}
	ended = running.preemptNewest(n - running.preempted)
	return ended, max(n-running.preempted, 0)
}

// PreemptAtLeastOne implements Preemptor. It cancels the newest items first.
func (t *batchTracker) PreemptAtLeastOne(server string, n int) (ended int) {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	running, ok := s.servers[server]
	if !ok {
		return 0
	}
	return running.preemptNewest(max(n-running.preempted, 1))
}

// preemptAll cancels all items on a server.
func (t *batchTracker) preemptAll(server string) (cancelled int) {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	running, ok := s.servers[server]
	if !ok {
		return 0
	}
	return running.preemptNewest(len(running.items))
}

func (s *serverItems) preemptNewest(n int) (cancelled int) {
	for i := len(s.items) - 1; i >= 0 && cancelled < n; i-- {
		item := s.items[i]
		if item.preempted {
			continue
		}
		item.preempted = true
		item.cancel(ErrPreempted)
		s.preempted++
		cancelled++
	}
	return cancelled
}
