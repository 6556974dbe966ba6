package limiter

import (
	"sync"
	"time"
)

// A Directory names the lender of each rate shard, as far as this process
// knows it.
type Directory struct {
	clock Clock

	mu   sync.RWMutex
	rows map[int]LenderRow
}

// A LenderRow is what is known about the lender of a shard.
type LenderRow struct {
	Lender string    // Instance ID; empty when none is known.
	Epoch  int64     // Never goes down, so that late news of an old lender are ignored.
	SeenAt time.Time // When the lender announced itself last.
	LostAt time.Time // When the lender stopped lending the shard; zero when none did.
}

// awaited reports whether there is a lender, or a successor may follow within
// the wait of a request.
func (r LenderRow) awaited(now time.Time) bool {
	return r.Lender != "" || !r.LostAt.IsZero() && now.Sub(r.LostAt) < HandOverTime
}

// NewDirectory returns a directory that knows no lender.
func NewDirectory(clock Clock) *Directory {
	return &Directory{clock: clock, rows: make(map[int]LenderRow)}
}

// Announce takes over what a lender says about itself.
func (d *Directory) Announce(shard int, lender string, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch >= d.rows[shard].Epoch {
		d.rows[shard] = LenderRow{Lender: lender, Epoch: epoch, SeenAt: d.clock.Now()}
	}
}

// Record takes over the lender that the platform names, which may be out of
// reach.
func (d *Directory) Record(shard int, lender string, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row := d.rows[shard]
	if epoch > row.Epoch || (epoch == row.Epoch && row.Lender == "") {
		d.rows[shard] = LenderRow{Lender: lender, Epoch: epoch}
	}
}

// Forget drops the lender of a shard, such as when it says that it does not
// lend the shard. Another lender that has become known meanwhile stays.
func (d *Directory) Forget(shard int, lender string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row := d.rows[shard]
	if row.Lender == lender {
		row.Lender = ""
		row.SeenAt = time.Time{}
		row.LostAt = d.clock.Now()
		d.rows[shard] = row
	}
}

// Row returns what is known about the lender of a shard.
func (d *Directory) Row(shard int) LenderRow {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.rows[shard]
}

// Shards lists the shards that an instance lends, as far as is known.
func (d *Directory) Shards(lender string) []int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var shards []int
	for shard, row := range d.rows {
		if row.Lender == lender {
			shards = append(shards, shard)
		}
	}
	return shards
}
