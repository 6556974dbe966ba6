package leaser

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A slotManager holds the lease of this instance's standing slot.
//
// A slot is used, and its holder campaigns to become a lender, only once it is
// confirmed: every current or later lender counts the slot as held. That is
// certain for a rate shard in three cases. First, one of its lenders has said
// so; later lenders read the table of slots after they became lenders. Second,
// no slot in the table is older; a lender needs a slot and has read the table
// after it became the lender. Third, the slot has been held for longer than
// maxTableAge. The holder may also campaign after pledges, see collectPledges.
type slotManager struct {
	stepLock
	leaser *Leaser

	mu             sync.Mutex
	slotCount      int          // Declared number of slots.
	slot           limiter.Slot // Its version is zero when none is held.
	lease          storer.Lease
	acquiredAt     time.Time // When this process acquired or reclaimed the slot.
	campaignFrom   time.Time // Earliest time of a campaign.
	renewAt        time.Time
	checkAt        time.Time // Next check for older slots, or next attempt to acquire a slot.
	confirmed      bool      // For all rate shards.
	pledgedVersion int64     // No promise is made for a table with a lower version.
	pledgedAt      time.Time // When all older holders but one had pledged; zero before.

	// abandoned are leases of writes whose outcome is unknown. They are
	// revoked, but a failed revocation may take effect at any later time. So
	// a slot with such a lease is not used, and no other slot is acquired
	// before they are gone.
	abandoned []int64

	stopped bool // The slot is not used any more.
}

func newSlotManager(l *Leaser) *slotManager {
	return &slotManager{leaser: l}
}

// setCount sets the declared number of slots.
func (m *slotManager) setCount(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slotCount = count
}

// version is the version of the slot that is held, or zero.
func (m *slotManager) version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slot.Version
}

// confirmShard records that a lender counts the slots up to a version as
// held.
func (m *slotManager) confirmShard(shard int, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slot.Version == 0 || version < m.slot.Version || m.slot.Confirmed[shard] {
		return
	}
	m.slot.Confirmed = maps.Clone(m.slot.Confirmed)
	m.slot.Confirmed[shard] = true
	m.updateLedger()
}

// confirmAll records that all lenders count the slot as held. The caller
// holds mu.
func (m *slotManager) confirmAll() {
	shards := m.leaser.lender.Shards()
	if m.confirmed && len(m.slot.Confirmed) >= shards {
		return
	}
	m.confirmed = true
	m.slot.Confirmed = make(map[int]bool, shards)
	for n := range shards {
		m.slot.Confirmed[n] = true
	}
	m.updateLedger()
}

// updateLedger passes the slot to the ledger. The caller holds mu.
func (m *slotManager) updateLedger() {
	slot := m.slot
	if !m.stopped {
		m.leaser.ledger.SetSlot(&slot)
	}
}

// mayLend reports whether this instance may campaign for a rate shard, and
// until when its slot allows it to lend.
func (m *slotManager) mayLend(shard int, now time.Time) (until time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok = m.slot.Version != 0 && (m.slot.Confirmed[shard] || m.pledgesInForce(now)) &&
		!now.Before(m.campaignFrom) && now.Before(m.slot.ValidUntil)
	return m.slot.ValidUntil, ok
}

// step acquires a slot, or renews or confirms the one that is held.
func (m *slotManager) step(ctx context.Context) {
	if err := m.performStep(ctx); err != nil {
		m.leaser.cfg.Logger.WithError(err).Debug("standing slot step failed")
	}
}

func (m *slotManager) performStep(ctx context.Context) (err error) {
	now := m.leaser.cfg.Clock.Now()
	m.mu.Lock()
	held := m.slot.Version != 0
	expired := held && !now.Before(m.slot.ValidUntil)
	renewDue := held && !now.Before(m.renewAt)
	checkDue := !now.Before(m.checkAt) && m.slotCount > 0
	confirmed := m.confirmed
	if held && now.Sub(m.acquiredAt) > maxTableAge || confirmed {
		m.confirmAll()
	}
	complete := len(m.slot.Confirmed) >= m.leaser.lender.Shards()
	m.mu.Unlock()
	switch {
	case expired:
		m.drop()
	case renewDue:
		return m.renew(ctx, now)
	case !held && checkDue && !m.leaser.isLeaving():
		return m.acquire(ctx, now)
	case held && checkDue && !complete:
		return m.checkOlderSlots(ctx, now)
	}
	return nil
}

// drop stops using the slot, because its lease has expired or is about to be
// revoked.
func (m *slotManager) drop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slot = limiter.Slot{}
	m.confirmed = false
	m.pledgedAt = time.Time{}
	m.leaser.ledger.SetSlot(nil)
}

// renew renews the slot's lease.
func (m *slotManager) renew(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "renew") }()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	lease := m.lease
	m.renewAt = now.Add(slotRetryInterval)
	m.mu.Unlock()
	lease, err = m.leaser.cfg.Store.RenewLease(ctx, lease)
	if errors.Is(err, storer.ErrLeaseExpired) {
		m.drop()
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setLease(lease, now)
	m.updateLedger()
	return nil
}

// setLease sets a granted or renewed lease. The caller holds mu.
func (m *slotManager) setLease(lease storer.Lease, now time.Time) {
	m.lease = lease
	m.slot.ValidUntil = lease.ExpiresAt.Add(-slotMargin)
	m.renewAt = now.Add(slotRenewInterval)
}

// acquire reclaims this instance's earlier slot, or claims a free one.
func (m *slotManager) acquire(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "acquire") }()

	m.mu.Lock()
	m.checkAt = now.Add(slotRetryInterval)
	count := m.slotCount
	m.mu.Unlock()
	if err := m.revokeAbandoned(ctx); err != nil {
		return err
	}
	entries, err := m.list(ctx)
	if err != nil {
		return err
	}
	table := tableOf(entries)
	for _, e := range entries {
		if holderOf(e) == m.leaser.cfg.InstanceID {
			return m.reclaim(ctx, e, table.Version, now)
		}
	}
	first := limiter.ShardOf(m.leaser.cfg.InstanceID, count)
	for i := range count {
		number := (first + i) % count
		if !table.Held(number) {
			return m.claim(ctx, number, now)
		}
	}
	return merry.New("no slot is free")
}

// list reads the entries of all slots.
func (m *slotManager) list(ctx context.Context) ([]storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.leaser.cfg.Store.List(ctx, slotPrefix)
}

// reclaim takes over the slot that an earlier process of this instance held.
// That process may have promised not to campaign, it may have pledged to
// include any slot that is in the table now, and the lender may still accept
// standing tokens that it gave back.
func (m *slotManager) reclaim(ctx context.Context, e storer.Entry, tableVersion int64, now time.Time) error {
	number, ok := slotNumber(e.Key)
	if !ok {
		return merry.Errorf("key %q has no slot number", e.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := m.leaser.cfg.Store.RenewLease(ctx, storer.Lease{ID: e.LeaseID, TTL: slotTTL})
	if err != nil {
		return err
	}
	reclaimedAt := m.leaser.cfg.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setSlot(number, e.Version, lease, now)
	m.pledgedVersion = max(m.pledgedVersion, tableVersion)
	m.slot.UsableFrom = reclaimedAt.Add(limiter.GiveBackTimeout)
	m.campaignFrom = reclaimedAt.Add(promiseDuration + leaseMargin)
	m.updateLedger()
	return nil
}

func (m *slotManager) revokeAbandoned(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for len(m.abandoned) > 0 {
		err := m.leaser.cfg.Store.RevokeLease(ctx, m.abandoned[0])
		if err != nil && !errors.Is(err, storer.ErrLeaseExpired) && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		m.abandoned = m.abandoned[1:]
	}
	return nil
}

// claim acquires a free slot. If the outcome of the write is unknown, the
// lease is abandoned.
func (m *slotManager) claim(ctx context.Context, number int, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := m.leaser.cfg.Store
	lease, err := store.GrantLease(ctx, slotTTL)
	if err != nil {
		return err
	}
	e, err := store.Put(ctx, storer.PutRequest{
		Key:     slotPrefix + strconv.Itoa(number),
		Value:   m.leaser.recordValue(),
		LeaseID: lease.ID,
	})
	if err != nil {
		m.abandoned = append(m.abandoned, lease.ID)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setSlot(number, e.Version, lease, now)
	m.slot.UsableFrom = now
	m.campaignFrom = now
	m.updateLedger()
	return nil
}

// setSlot sets the slot that was acquired. The caller holds mu.
func (m *slotManager) setSlot(number int, version int64, lease storer.Lease, now time.Time) {
	m.slot = limiter.Slot{Number: number, Version: version, Confirmed: map[int]bool{}}
	m.setLease(lease, now)
	m.acquiredAt = now
	m.checkAt = time.Time{}
	m.confirmed = false
	m.pledgedAt = time.Time{}
}

// checkOlderSlots confirms the slot if no older one is held, and asks for
// pledges otherwise.
func (m *slotManager) checkOlderSlots(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "check for older slots") }()

	m.mu.Lock()
	m.checkAt = now.Add(slotRetryInterval)
	version := m.slot.Version
	m.mu.Unlock()
	entries, err := m.list(ctx)
	if err != nil {
		return err
	}
	oldest, found := true, false
	for _, e := range entries {
		oldest = oldest && e.Version >= version
		found = found || e.Version == version
	}
	if !oldest && found {
		m.collectPledges(ctx, entries)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if oldest && found && m.slot.Version == version {
		m.confirmAll()
	}
	return nil
}

// stopUse stops the use of the slot without releasing it.
func (m *slotManager) stopUse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.leaser.ledger.SetSlot(nil)
}

// release revokes the lease of the slot.
func (m *slotManager) release(ctx context.Context) {
	m.startStep()
	defer m.endStep()
	m.mu.Lock()
	held := m.slot.Version != 0
	lease := m.lease
	m.mu.Unlock()
	if !held {
		return
	}
	m.drop()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.leaser.cfg.Store.RevokeLease(ctx, lease.ID); err != nil {
		m.leaser.cfg.Logger.WithError(err).Warn("standing slot was not released; it expires with its lease")
	}
}

// slotNumber returns the number of a slot from its key.
func slotNumber(key string) (number int, ok bool) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, slotPrefix))
	return number, err == nil && number >= 0
}

// tableOf returns the table of slots from the entries of the platform.
func tableOf(entries []storer.Entry) limiter.SlotTable {
	table := limiter.SlotTable{Read: true, Holders: make(map[int]string, len(entries))}
	for _, e := range entries {
		if number, ok := slotNumber(e.Key); ok {
			table.Holders[number] = holderOf(e)
			table.Version = max(table.Version, e.Version)
		}
	}
	return table
}
