package leaser

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// lend keeps the shard's lease and the table of slots up to date. A lender
// whose lease has lapsed by its own clock starts anew with empty pools.
func (k *shardKeeper) lend(ctx context.Context, now time.Time) (err error) {
	slotEnd, ok := k.leaser.slot.mayLend(k.number, now)
	if !ok || !now.Before(k.validUntil) {
		k.log().Warn("lease of a rate shard lapsed")
		k.resign(ctx)
		return nil
	}
	if !now.Before(k.renewAt) {
		if err = k.renew(ctx, now, slotEnd); err != nil {
			err = merry.Append(err, "lease not renewed")
		}
	}
	if k.lends() && k.tableDue(now) {
		if tableErr := k.readTable(ctx, now); tableErr != nil && err == nil {
			err = tableErr
		}
	}
	k.leaser.slot.confirm(k.number, k.leaser.lender.ConfirmedSlots(k.number))
	return err
}

func (k *shardKeeper) lends() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.phase == phaseLending
}

// renew renews the lease. When the platform does not answer in time the
// lender goes on by promises, and takes a lease anew later.
func (k *shardKeeper) renew(ctx context.Context, now, slotEnd time.Time) (err error) {
	if k.inDoubt() {
		err = k.retake(ctx, slotEnd)
	} else {
		err = k.renewLease(ctx, slotEnd)
	}
	if err != nil && k.lends() && k.validUntil.Sub(now) < extendAhead {
		return k.extendByPromises(ctx, slotEnd)
	}
	return err
}

// renewLease renews the lease with which the record was written.
func (k *shardKeeper) renewLease(ctx context.Context, slotEnd time.Time) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := k.leaser.cfg.Store.RenewLease(callCtx, k.lease)
	switch {
	case err == nil:
		until := earlier(lease.ExpiresAt.Add(-leaseMargin), slotEnd)
		k.extend(ctx, extension{lease: lease, epoch: k.epoch, until: until})
	case errors.Is(err, storer.ErrLeaseExpired) && k.promised:
		return k.retake(ctx, slotEnd)
	case errors.Is(err, storer.ErrLeaseExpired):
		k.resign(ctx)
	}
	return err
}

// An extension is a longer right to lend.
type extension struct {
	lease    storer.Lease
	epoch    int64
	until    time.Time
	promised bool // The right rests on promises.
}

// extend takes over a longer right to lend, unless the present one lapsed
// meanwhile.
func (k *shardKeeper) extend(ctx context.Context, x extension) {
	if !k.leaser.lender.Extend(k.number, x.epoch, x.until) {
		k.log().Warn("lease of a rate shard lapsed while it was renewed")
		k.resign(ctx)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = x.lease
	k.epoch = x.epoch
	k.validUntil = later(x.until, k.validUntil)
	k.promised = x.promised
	k.renewAt = k.leaser.cfg.Clock.Now()
	if !x.promised {
		k.renewAt = k.renewAt.Add(renewPeriod)
	}
	k.leaser.directory.Announce(k.number, k.leaser.cfg.InstanceID, x.epoch)
}

// retake writes the record anew after the platform has dropped it. Nobody
// else can have written it while the promises hold; if someone has, this
// lender stops at once.
func (k *shardKeeper) retake(ctx context.Context, slotEnd time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "take the lease anew") }()

	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease := k.doubt.lease
	e, err := k.leaser.cfg.Store.Get(callCtx, k.key())
	switch {
	case errors.Is(err, storer.ErrNotFound):
		e, lease, err = k.rewrite(ctx)
	case err == nil && (!k.inDoubt() || e.LeaseID != lease.ID):
		k.resign(ctx)
		return merry.Errorf("%s holds the record", holderOf(e))
	case err == nil && k.doubt.voided:
		return k.voidWrite(callCtx)
	}
	if errors.Is(err, storer.ErrConflict) {
		k.resign(ctx)
	}
	if err != nil {
		return err
	}
	// The lease is renewed at the next step: it may have been granted a while
	// ago.
	until := earlier(lease.ExpiresAt.Add(-leaseMargin), slotEnd)
	k.extend(ctx, extension{lease: lease, epoch: e.Version, until: until, promised: true})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tableAt = time.Time{}
	k.doubt = doubt{}
	return nil
}

// rewrite writes the record after an earlier write, if any, can have no
// effect any more.
func (k *shardKeeper) rewrite(ctx context.Context) (e storer.Entry, lease storer.Lease, err error) {
	if k.inDoubt() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := k.voidWrite(callCtx); err != nil {
			return storer.Entry{}, storer.Lease{}, err
		}
		k.setDoubt(doubt{})
	}
	return k.write(ctx, 0)
}

// tableDue tells whether the table of slots has to be read.
func (k *shardKeeper) tableDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	age := now.Sub(k.tableAt)
	return k.tableAt.IsZero() || age >= tablePeriod || (k.hinted > k.table.Version && age >= hintPeriod)
}

// readTable reads the table of slots and passes it on to the lender.
func (k *shardKeeper) readTable(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "read the table of slots") }()

	entries, err := k.leaser.slot.list(ctx)
	if err != nil {
		return err
	}
	k.takeTable(tableOf(entries), now)
	return nil
}

// takeTable takes over the table of slots that was read at a time.
func (k *shardKeeper) takeTable(table limiter.SlotTable, now time.Time) {
	k.leaser.lender.SetSlots(k.number, table)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = table
	k.tableAt = now
	k.hinted = table.Version
}

// A PromiseRequest asks a slot holder not to campaign for a rate shard.
type PromiseRequest struct {
	Shard int           `cbor:"shard"`
	Epoch int64         `cbor:"epoch"`
	Table int64         `cbor:"table"` // Version of the lender's table of slots.
	Term  time.Duration `cbor:"term"`  // From the receipt of the request.
}

// A PromiseAnswer says whether the promise is made.
type PromiseAnswer struct {
	Promised bool `cbor:"promised"`
}

// extendByPromises extends the right to lend if every slot holder promises
// not to campaign. Only slot holders campaign, and one that is not in the
// table that this lender read campaigns only when it is confirmed or after
// those in the table pledged to make no promise by it.
func (k *shardKeeper) extendByPromises(ctx context.Context, slotEnd time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "extend by promises") }()

	sentAt := k.leaser.cfg.Clock.Now()
	k.mu.Lock()
	table, age := k.table, sentAt.Sub(k.tableAt)
	request := PromiseRequest{Shard: k.number, Epoch: k.epoch, Table: table.Version, Term: promiseTerm}
	k.mu.Unlock()
	if !table.Read || age > maxExtension-time.Minute {
		return merry.New("no recent table of slots")
	}
	if !k.leaser.slot.mayExtend(table) {
		return merry.New("a slot that is not in the table may campaign")
	}
	if refused := k.collectPromises(ctx, table.Holders, request); refused > 0 {
		return merry.Errorf("%d of %d slot holders did not promise", refused, len(table.Holders))
	}
	until := earlier(sentAt.Add(promiseTerm-leaseMargin), slotEnd)
	k.extend(ctx, extension{lease: k.lease, epoch: k.epoch, until: until, promised: true})
	return nil
}

// collectPromises asks all holders side by side and counts those that did not
// promise.
func (k *shardKeeper) collectPromises(ctx context.Context, holders map[int]string, r PromiseRequest) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var refused atomic.Int64
	var group conc.WaitGroup
	for _, holder := range holders {
		if holder == k.leaser.cfg.InstanceID {
			continue
		}
		group.Go(func() {
			var answer PromiseAnswer
			err := k.leaser.cfg.Caller.Call(ctx, holder, linker.KindPromise, r, &answer)
			if err != nil || !answer.Promised {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	return int(refused.Load())
}

// promise answers a lender that asks this instance not to campaign. It is
// refused while a campaign of this instance is undecided, and to a lender
// that a newer one has followed, or whose table lacks a slot that this instance
// pledged to count.
func (k *shardKeeper) promise(lender string, r PromiseRequest) bool {
	now := k.leaser.cfg.Clock.Now()
	row := k.leaser.directory.Lookup(k.number)
	if !k.leaser.slot.countedBy(r.Table) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	bound := k.promisedTo != lender && now.Before(k.promisedUntil)
	if k.phase != phaseIdle || row.Epoch > r.Epoch || bound {
		return false
	}
	end := now.Add(min(r.Term, promiseTerm))
	if end.After(k.promisedUntil) {
		k.promisedUntil = end
	}
	k.promisedTo = lender
	return true
}
