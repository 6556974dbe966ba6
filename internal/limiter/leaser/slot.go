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

// A slotKeeper holds this instance's standing slot.
//
// A slot is used, and its holder campaigns to become a lender, only once it
// is confirmed: when every lender that may be in office, now or later, counts
// the slot as held. That is certain for a rate shard when one of its lenders
// has said so, because later lenders read the table of slots after they took
// office. It is also certain when no slot in the table is older, because a
// lender needs a slot and has read the table after it took office; and when
// the slot has been held for longer than a lender's table may be old. Its holder
// may also campaign after pledges, see collectPledges.
type slotKeeper struct {
	stepLock
	leaser *Leaser

	mu        sync.Mutex
	count     int          // Declared number of slots.
	slot      limiter.Slot // Its version is zero when none is held.
	lease     storer.Lease
	takenAt   time.Time // When this process took the slot or found it again.
	mayBegin  time.Time // No campaign before.
	renewAt   time.Time
	checkAt   time.Time // Next look at the table for older slots, or next try to take a slot.
	confirmed bool      // For all rate shards.
	pledged   int64     // No promise is made by a table of a lower version.
	pledgedAt time.Time // When all older holders but one had pledged; zero before.

	// abandoned are leases of writes in doubt, which are given back. That may
	// take effect at any later time, so a slot with such a lease is not used,
	// and no other slot is taken before they are gone.
	abandoned []int64

	stopped bool // The slot is not used any more.
}

func newSlotKeeper(l *Leaser) *slotKeeper {
	return &slotKeeper{leaser: l}
}

// setCount takes over the declared number of slots.
func (k *slotKeeper) setCount(count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count = count
}

// version is the version of the slot that is held, or zero.
func (k *slotKeeper) version() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.slot.Version
}

// confirm takes over that a lender counts the slots up to a version as held.
func (k *slotKeeper) confirm(shard int, version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.slot.Version == 0 || version < k.slot.Version || k.slot.Confirmed[shard] {
		return
	}
	k.slot.Confirmed = maps.Clone(k.slot.Confirmed)
	k.slot.Confirmed[shard] = true
	k.publish()
}

// confirmAll notes that all lenders count the slot as held. The caller holds
// mu.
func (k *slotKeeper) confirmAll() {
	shards := k.leaser.lender.Shards()
	if k.confirmed && len(k.slot.Confirmed) >= shards {
		return
	}
	k.confirmed = true
	k.slot.Confirmed = make(map[int]bool, shards)
	for n := range shards {
		k.slot.Confirmed[n] = true
	}
	k.publish()
}

// publish passes the slot on to the ledger. The caller holds mu.
func (k *slotKeeper) publish() {
	slot := k.slot
	if !k.stopped {
		k.leaser.ledger.SetSlot(&slot)
	}
}

// mayLend tells whether this instance may campaign for a rate shard, and
// until when its slot allows it to lend.
func (k *slotKeeper) mayLend(shard int, now time.Time) (until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok = k.slot.Version != 0 && (k.slot.Confirmed[shard] || k.maySucceed(now)) &&
		!now.Before(k.mayBegin) && now.Before(k.slot.ValidUntil)
	return k.slot.ValidUntil, ok
}

// step takes a slot, or renews and confirms the one that is held.
func (k *slotKeeper) step(ctx context.Context) {
	if err := k.next(ctx); err != nil {
		k.leaser.cfg.Logger.WithError(err).Debug("standing slot")
	}
}

// next does what is due.
func (k *slotKeeper) next(ctx context.Context) (err error) {
	now := k.leaser.cfg.Clock.Now()
	k.mu.Lock()
	held := k.slot.Version != 0
	lapsed := held && !now.Before(k.slot.ValidUntil)
	renew := held && !now.Before(k.renewAt)
	check := !now.Before(k.checkAt) && k.count > 0
	confirmed := k.confirmed
	if held && now.Sub(k.takenAt) > maxExtension || confirmed {
		k.confirmAll()
	}
	complete := len(k.slot.Confirmed) >= k.leaser.lender.Shards()
	k.mu.Unlock()
	switch {
	case lapsed:
		k.drop()
	case renew:
		return k.renew(ctx, now)
	case !held && check && !k.leaser.isLeaving():
		return k.take(ctx, now)
	case held && check && !complete:
		return k.look(ctx, now)
	}
	return nil
}

// drop stops using the slot.
func (k *slotKeeper) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slot = limiter.Slot{}
	k.confirmed = false
	k.pledgedAt = time.Time{}
	k.leaser.ledger.SetSlot(nil)
}

// renew renews the slot's contract.
func (k *slotKeeper) renew(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "renew") }()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mu.Lock()
	lease := k.lease
	k.renewAt = now.Add(slotRetryPeriod)
	k.mu.Unlock()
	lease, err = k.leaser.cfg.Store.RenewLease(ctx, lease)
	if errors.Is(err, storer.ErrLeaseExpired) {
		k.drop()
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setLease(lease, now)
	k.publish()
	return nil
}

// setLease takes over a granted or renewed lease. The caller holds mu.
func (k *slotKeeper) setLease(lease storer.Lease, now time.Time) {
	k.lease = lease
	k.slot.ValidUntil = lease.ExpiresAt.Add(-slotMargin)
	k.renewAt = now.Add(slotRenewPeriod)
}

// take finds this instance's slot again, or takes a free one.
func (k *slotKeeper) take(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "take") }()

	k.mu.Lock()
	k.checkAt = now.Add(slotRetryPeriod)
	count := k.count
	k.mu.Unlock()
	if err := k.giveBack(ctx); err != nil {
		return err
	}
	entries, err := k.list(ctx)
	if err != nil {
		return err
	}
	table := tableOf(entries)
	for _, e := range entries {
		if holderOf(e) == k.leaser.cfg.InstanceID {
			return k.adopt(ctx, e, table.Version, now)
		}
	}
	first := limiter.ShardOf(k.leaser.cfg.InstanceID, count)
	for i := range count {
		number := (first + i) % count
		if !table.Held(number) {
			return k.claim(ctx, number, now)
		}
	}
	return merry.New("no slot is free")
}

// list reads the entries of all slots.
func (k *slotKeeper) list(ctx context.Context) ([]storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.leaser.cfg.Store.List(ctx, slotPrefix)
}

// adopt takes over the slot that an earlier process of this instance held.
// That process may have promised not to campaign, it may have pledged to count
// any slot that is in the table now, and standing tokens that it gave back may
// still be on their way.
func (k *slotKeeper) adopt(ctx context.Context, e storer.Entry, table int64, now time.Time) error {
	number, ok := slotNumber(e.Key)
	if !ok {
		return merry.Errorf("key %q is not a slot", e.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := k.leaser.cfg.Store.RenewLease(ctx, storer.Lease{ID: e.LeaseID, TTL: slotTerm})
	if err != nil {
		return err
	}
	found := k.leaser.cfg.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hold(number, e.Version, lease, now)
	k.pledged = max(k.pledged, table)
	k.slot.UsableFrom = found.Add(limiter.GiveBackTimeout)
	k.mayBegin = found.Add(promiseTerm + leaseMargin)
	k.publish()
	return nil
}

// giveBack gives abandoned leases back.
func (k *slotKeeper) giveBack(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for len(k.abandoned) > 0 {
		err := k.leaser.cfg.Store.RevokeLease(ctx, k.abandoned[0])
		if err != nil && !errors.Is(err, storer.ErrLeaseExpired) && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		k.abandoned = k.abandoned[1:]
	}
	return nil
}

// claim takes a free slot. If the effect of the write is not known, the lease
// is abandoned.
func (k *slotKeeper) claim(ctx context.Context, number int, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := k.leaser.cfg.Store
	lease, err := store.GrantLease(ctx, slotTerm)
	if err != nil {
		return err
	}
	e, err := store.Put(ctx, storer.PutRequest{
		Key:     slotPrefix + strconv.Itoa(number),
		Value:   k.leaser.value(),
		LeaseID: lease.ID,
	})
	if err != nil {
		k.abandoned = append(k.abandoned, lease.ID)
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hold(number, e.Version, lease, now)
	k.slot.UsableFrom = now
	k.mayBegin = now
	k.publish()
	return nil
}

// hold notes a slot that was taken. The caller holds mu.
func (k *slotKeeper) hold(number int, version int64, lease storer.Lease, now time.Time) {
	k.slot = limiter.Slot{Number: number, Version: version, Confirmed: map[int]bool{}}
	k.setLease(lease, now)
	k.takenAt = now
	k.checkAt = time.Time{}
	k.confirmed = false
	k.pledgedAt = time.Time{}
}

// look confirms the slot if no older one is held, and asks for pledges
// otherwise.
func (k *slotKeeper) look(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "look for older slots") }()

	k.mu.Lock()
	k.checkAt = now.Add(slotRetryPeriod)
	version := k.slot.Version
	k.mu.Unlock()
	entries, err := k.list(ctx)
	if err != nil {
		return err
	}
	oldest, found := true, false
	for _, e := range entries {
		oldest = oldest && e.Version >= version
		found = found || e.Version == version
	}
	if !oldest && found {
		k.collectPledges(ctx, entries)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if oldest && found && k.slot.Version == version {
		k.confirmAll()
	}
	return nil
}

// stopUse ends the use of the slot without releasing it.
func (k *slotKeeper) stopUse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	k.leaser.ledger.SetSlot(nil)
}

// release gives the slot up.
func (k *slotKeeper) release(ctx context.Context) {
	k.wait()
	defer k.exit()
	k.mu.Lock()
	held := k.slot.Version != 0
	lease := k.lease
	k.mu.Unlock()
	if !held {
		return
	}
	k.drop()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.leaser.cfg.Store.RevokeLease(ctx, lease.ID); err != nil {
		k.leaser.cfg.Logger.WithError(err).Warn("standing slot not released")
	}
}

// slotNumber reads the number of a slot from its key.
func slotNumber(key string) (number int, ok bool) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, slotPrefix))
	return number, err == nil && number >= 0
}

// tableOf is the table of slots that entries describe.
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
