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

func (d *batchTracker) init() {
	for i := range d.shards {
		d.shards[i].servers = map[string]*serverItems{}
	}
}

func (d *batchTracker) shard(server string) *batchTrackerShard {
	return &d.shards[xxhash.Sum64String(server)%batchTrackerShards]
}

// add registers an item that the server's load already includes.
func (d *batchTracker) add(server string, cancel context.CancelCauseFunc) *trackedItem {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		set = &serverItems{}
		s.servers[server] = set
	}
	item := &trackedItem{cancel: cancel}
	set.items = append(set.items, item)
	return item
}

// remove drops an item. It must be called before the item leaves the server's
// load: in the other order, a concurrent preemption would end one item too few.
func (d *batchTracker) remove(server string, item *trackedItem) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.servers[server]
	for i, other := range set.items {
		if other == item {
			set.items = append(set.items[:i], set.items[i+1:]...)
			break
		}
	}
	if item.preempted {
		set.preempted--
	}
	if len(set.items) == 0 {
		delete(s.servers, server)
	}
}

// Preempt implements Preemptor. It cancels the newest items first.
func (d *batchTracker) Preempt(server string, n int) (ended, missing int) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		return 0, n
	}
	ended = set.preemptNewest(n - set.preempted)
	return ended, max(n-set.preempted, 0)
}

// PreemptAtLeastOne implements Preemptor. It cancels the newest items first.
func (d *batchTracker) PreemptAtLeastOne(server string, n int) (ended int) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		return 0
	}
	return set.preemptNewest(max(n-set.preempted, 1))
}

// preemptAll cancels all items on a server.
func (d *batchTracker) preemptAll(server string) (cancelled int) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		return 0
	}
	return set.preemptNewest(len(set.items))
}

func (b *serverItems) preemptNewest(n int) (cancelled int) {
	for i := len(b.items) - 1; i >= 0 && cancelled < n; i-- {
		item := b.items[i]
		if item.preempted {
			continue
		}
		item.preempted = true
		item.cancel(ErrPreempted)
		b.preempted++
		cancelled++
	}
	return cancelled
}
