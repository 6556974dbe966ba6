package dispatcher

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const displacerShards = 16

// A displacer knows the batch items that this entry runs on each engine, so
// that online work can end them.
type displacer struct {
	shards [displacerShards]displacerShard
}

type displacerShard struct {
	mu      sync.Mutex
	servers map[string]*batchSet
}

// A batchSet is the batch items on one engine.
type batchSet struct {
	items  []*batchItem // The newest last.
	ending int          // Items that were cancelled and still count in the load.
}

// A batchItem is a running batch item.
type batchItem struct {
	cancel context.CancelCauseFunc
	ending bool
}

func (d *displacer) init() {
	for i := range d.shards {
		d.shards[i].servers = map[string]*batchSet{}
	}
}

func (d *displacer) shard(server string) *displacerShard {
	return &d.shards[xxhash.Sum64String(server)%displacerShards]
}

// add registers an item that was counted on the server.
func (d *displacer) add(server string, cancel context.CancelCauseFunc) *batchItem {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		set = &batchSet{}
		s.servers[server] = set
	}
	item := &batchItem{cancel: cancel}
	set.items = append(set.items, item)
	return item
}

// remove drops an item before it is taken out of the load. In the other order
// an excess in between would end one item too few.
func (d *displacer) remove(server string, item *batchItem) {
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
	if item.ending {
		set.ending--
	}
	if len(set.items) == 0 {
		delete(s.servers, server)
	}
}

// MakeRoom implements RoomMaker with the newest items.
func (d *displacer) MakeRoom(server string, n int) (ended, missing int) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		return 0, n
	}
	ended = set.cancelNewest(n - set.ending)
	return ended, max(n-set.ending, 0)
}

// MakeMoreRoom implements RoomMaker with the newest items.
func (d *displacer) MakeMoreRoom(server string, n int) (ended int) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		return 0
	}
	return set.cancelNewest(max(n-set.ending, 1))
}

// displaceAll cancels all items on a server.
func (d *displacer) displaceAll(server string) (cancelled int) {
	s := d.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.servers[server]
	if !ok {
		return 0
	}
	return set.cancelNewest(len(set.items))
}

func (b *batchSet) cancelNewest(n int) (cancelled int) {
	for i := len(b.items) - 1; i >= 0 && cancelled < n; i-- {
		item := b.items[i]
		if item.ending {
			continue
		}
		item.ending = true
		item.cancel(ErrYielded)
		b.ending++
		cancelled++
	}
	return cancelled
}
