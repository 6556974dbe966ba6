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

// The holder of a slot that no lender has confirmed may campaign after pledges.
// A lender that cannot reach the platform continues only if all holders in its
// table of slots promise not to campaign, at least one besides itself. So it
// cannot continue with a table without the new slot once all older holders but
// one, which may be the lender itself, have pledged not to make promises for
// such a table, and their last promises have expired.

// A PledgeRequest asks the holder of an older slot to pledge for a newer one:
// to make no promise for a table without it, and not to extend its own
// lending with such a table.
type PledgeRequest struct {
	Slot int64 `cbor:"slot"` // Version of the newer slot.
}

// A PledgeAnswer says whether the pledge is made.
type PledgeAnswer struct {
	Pledged bool `cbor:"pledged"`
}

// pledge makes a pledge for a newer slot. An instance without a slot refuses
// it, because no lender depends on its promises.
func (m *slotManager) pledge(version int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slot.Version == 0 {
		return false
	}
	m.pledgedVersion = max(m.pledgedVersion, version)
	return true
}

// includedIn reports whether a table of a version includes this instance's
// slot and all slots for which it made a pledge.
func (m *slotManager) includedIn(tableVersion int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slot.Version != 0 && tableVersion >= max(m.slot.Version, m.pledgedVersion)
}

// mayExtendWith reports whether a lender may extend its lending by promises
// of the holders in a table. If there is more than one slot, the promise of
// another holder is needed: it would be refused once the holder of a slot
// that is not in the table may campaign.
func (m *slotManager) mayExtendWith(table limiter.SlotTable) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return table.Version >= m.pledgedVersion && (len(table.Holders) > 1 || m.slotCount == 1)
}

// collectPledges asks the holders of older slots for pledges, and records
// when enough of them were made.
func (m *slotManager) collectPledges(ctx context.Context, entries []storer.Entry) {
	m.mu.Lock()
	version, known := m.slot.Version, !m.pledgedAt.IsZero()
	m.mu.Unlock()
	if known {
		return
	}
	missing := m.requestPledges(ctx, entries, PledgeRequest{Slot: version})
	if missing > 1 {
		m.leaser.cfg.Logger.WithField("missing", missing).Debug("holders of older slots did not pledge")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slot.Version == version {
		m.pledgedAt = m.leaser.cfg.Clock.Now()
	}
}

// requestPledges asks all older holders concurrently and returns the number
// of those that did not pledge.
func (m *slotManager) requestPledges(ctx context.Context, entries []storer.Entry, r PledgeRequest) int {
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
			err := m.leaser.cfg.Caller.Call(ctx, holderOf(e), linker.KindPledge, r, &answer)
			if err != nil || !answer.Pledged {
				missing.Add(1)
			}
		})
	}
	group.Wait()
	return int(missing.Load())
}

// pledgesInForce reports whether no lender can continue with a table without
// this instance's slot. The caller holds mu.
func (m *slotManager) pledgesInForce(now time.Time) bool {
	return !m.pledgedAt.IsZero() && now.Sub(m.pledgedAt) >= promiseDuration+leaseMargin
}
