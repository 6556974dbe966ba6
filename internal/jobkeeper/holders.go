package jobkeeper

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/sequencer"
)

// preferOther returns a placement at another version in place of one at which holders of
// the server's limit make the attempt, if they have had no room for versionPatience.
func (q *itemQueue) preferOther(item sequencer.Item, query balancer.Query, placement *balancer.Placement) *balancer.Placement {
	k := q.keeper
	if len(placement.Holders) == 0 || taskOf(item).blockedFor(k.now()) < versionPatience {
		return placement
	}
	query.Version = nil
	other, err := k.cfg.Placer.Acquire(query)
	if err != nil {
		return placement
	}
	placement.Release(balancer.OutcomeCancelled)
	return other
}

// blockedFor returns how long the item has been blocked.
func (t *task) blockedFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(t.blockedSince)
}

// unblock records that the item has capacity.
func (t *task) unblock() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blockedSince = time.Time{}
}
