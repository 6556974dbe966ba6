package limiter

import (
	"sync"
	"time"
)

// A Directory records the lender of each rate shard, as far as this process
// knows it.
type Directory struct {
	clock Clock

	mu      sync.RWMutex
	lenders map[int]LenderInfo
}

// A LenderInfo is what is known about the lender of a shard.
type LenderInfo struct {
	Lender string    // Instance ID; empty when none is known.
	Epoch  int64     // Never decreases, so that late messages about an old lender are ignored.
	SeenAt time.Time // When the lender last announced itself.
	LostAt time.Time // When the last lender stopped lending the shard; zero if none has.
}

// lenderExpected reports whether there is a lender, or a successor may take
// over while a request waits.
func (i LenderInfo) lenderExpected(now time.Time) bool {
	return i.Lender != "" || !i.LostAt.IsZero() && now.Sub(i.LostAt) < HandOverTimeout
}

// NewDirectory returns a directory that knows no lender.
func NewDirectory(clock Clock) *Directory {
	return &Directory{clock: clock, lenders: make(map[int]LenderInfo)}
}

// Announce records what a lender says about itself.
func (d *Directory) Announce(shard int, lender string, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch >= d.lenders[shard].Epoch {
		d.lenders[shard] = LenderInfo{Lender: lender, Epoch: epoch, SeenAt: d.clock.Now()}
	}
}

// Record records the lender according to the platform. It may not be
// reachable.
func (d *Directory) Record(shard int, lender string, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.lenders[shard]
	if epoch > current.Epoch || (epoch == current.Epoch && current.Lender == "") {
		d.lenders[shard] = LenderInfo{Lender: lender, Epoch: epoch}
	}
}

// Forget removes the lender of a shard, for example when it says that it does
// not lend the shard. It has no effect if another lender has become known
// meanwhile.
func (d *Directory) Forget(shard int, lender string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.lenders[shard]
	if info.Lender == lender {
		info.Lender = ""
		info.SeenAt = time.Time{}
		info.LostAt = d.clock.Now()
		d.lenders[shard] = info
	}
}

// Lookup returns what is known about the lender of a shard.
func (d *Directory) Lookup(shard int) LenderInfo {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lenders[shard]
}

// Shards lists the shards that an instance is known to lend.
func (d *Directory) Shards(lender string) []int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var shards []int
	for shard, info := range d.lenders {
		if info.Lender == lender {
			shards = append(shards, shard)
		}
	}
	return shards
}
