package leaser

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A slot that no lender has confirmed may campaign after pledges. A lender that
// cannot reach the platform goes on lending by the promises of all holders in
// its table, one besides itself at least. So it cannot go on by a table without
// a new slot once all older holders but one, which may be the lender itself,
// have pledged to make no promise by such a table and their last promises have
// ended.

// A PledgeRequest asks the holder of an older slot to count a newer one: to make
// no promise, and not to go on lending by promises, with a table without it.
type PledgeRequest struct {
	Slot int64 `cbor:"slot"` // Version of the newer slot.
}

// A PledgeAnswer says whether the slot is counted.
type PledgeAnswer struct {
	Pledged bool `cbor:"pledged"`
}

// pledge counts a newer slot from now on. It is refused by an instance without a
// slot, whose promises count for nothing.
func (k *slotKeeper) pledge(version int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.slot.Version == 0 {
		return false
	}
	k.pledged = max(k.pledged, version)
	return true
}

// countedBy reports whether a table of a version holds this instance's slot and
// all slots that it pledged to count.
func (k *slotKeeper) countedBy(table int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.slot.Version != 0 && table >= max(k.slot.Version, k.pledged)
}

// mayExtend reports whether a lender may go on by the promises of the holders
// in a table. Where other slots can be taken, a promise of another holder is
// needed: it would be refused once a slot that is missing may campaign.
func (k *slotKeeper) mayExtend(table limiter.SlotTable) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return table.Version >= k.pledged && (len(table.Holders) > 1 || k.count == 1)
}

// collectPledges asks the holders of older slots, and notes when this instance
// may campaign.
func (k *slotKeeper) collectPledges(ctx context.Context, entries []storer.Entry) {
	k.mu.Lock()
	version, known := k.slot.Version, !k.pledgedAt.IsZero()
	k.mu.Unlock()
	if known {
		return
	}
	missing := k.askOlder(ctx, entries, PledgeRequest{Slot: version})
	if missing > 1 {
		k.leaser.cfg.Logger.WithField("missing", missing).Debug("older holders did not pledge")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.slot.Version == version {
		k.pledgedAt = k.leaser.cfg.Clock.Now()
	}
}

// askOlder asks all older holders side by side and counts those without a
// pledge.
func (k *slotKeeper) askOlder(ctx context.Context, entries []storer.Entry, r PledgeRequest) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var missing atomic.Int64
	var group conc.WaitGroup
	for _, e := range entries {
		if e.Version >= r.Slot {
			continue
		}
		group.Go(func() {
			var answer PledgeAnswer
			err := k.leaser.cfg.Caller.Call(ctx, holderOf(e), linker.KindPledge, r, &answer)
			if err != nil || !answer.Pledged {
				missing.Add(1)
			}
		})
	}
	group.Wait()
	return int(missing.Load())
}

// maySucceed reports whether no lender can go on by a table without this
// instance's slot. The caller holds mu.
func (k *slotKeeper) maySucceed(now time.Time) bool {
	return !k.pledgedAt.IsZero() && now.Sub(k.pledgedAt) >= promiseTerm+leaseMargin
}
