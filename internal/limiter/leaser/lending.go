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

// maintainLease keeps the shard's lease and the table of slots up to date. A
// lender whose lease has expired by its own clock stops lending; it starts
// again with empty pools.
func (m *shardManager) maintainLease(ctx context.Context, now time.Time) (err error) {
	slotEnd, ok := m.leaser.slot.mayLend(m.number, now)
	if !ok || !now.Before(m.validUntil) {
		m.log().Warn("lease of a rate shard expired")
		m.stopLending(ctx)
		return nil
	}
	if !now.Before(m.renewAt) {
		if err = m.renew(ctx, now, slotEnd); err != nil {
			err = merry.Append(err, "lease not renewed")
		}
	}
	if m.lends() && m.tableReadDue(now) {
		if tableErr := m.readTable(ctx, now); tableErr != nil && err == nil {
			err = tableErr
		}
	}
	m.leaser.slot.confirmShard(m.number, m.leaser.lender.ConfirmedSlots(m.number))
	return err
}

func (m *shardManager) lends() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase == phaseLending
}

// renew renews the lease. When the platform does not answer in time the
// lender continues by promises, and acquires a new lease later.
func (m *shardManager) renew(ctx context.Context, now, slotEnd time.Time) (err error) {
	if m.hasUncertainWrite() {
		err = m.reacquire(ctx, slotEnd)
	} else {
		err = m.renewLease(ctx, slotEnd)
	}
	if err != nil && m.lends() && m.validUntil.Sub(now) < promiseThreshold {
		return m.extendByPromises(ctx, slotEnd)
	}
	return err
}

// renewLease renews the lease of the record.
func (m *shardManager) renewLease(ctx context.Context, slotEnd time.Time) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := m.leaser.cfg.Store.RenewLease(callCtx, m.lease)
	switch {
	case err == nil:
		until := earlier(lease.ExpiresAt.Add(-leaseMargin), slotEnd)
		m.extend(ctx, extension{lease: lease, epoch: m.epoch, until: until})
	case errors.Is(err, storer.ErrLeaseExpired) && m.byPromises:
		return m.reacquire(ctx, slotEnd)
	case errors.Is(err, storer.ErrLeaseExpired):
		m.stopLending(ctx)
	}
	return err
}

// An extension is a later end of the permission to lend.
type extension struct {
	lease      storer.Lease
	epoch      int64
	until      time.Time
	byPromises bool // Based on promises, not on the lease.
}

// extend applies an extension, unless the current permission to lend has
// expired meanwhile.
func (m *shardManager) extend(ctx context.Context, ext extension) {
	if !m.leaser.lender.Extend(m.number, ext.epoch, ext.until) {
		m.log().Warn("lease of a rate shard expired while it was renewed")
		m.stopLending(ctx)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = ext.lease
	m.epoch = ext.epoch
	m.validUntil = later(ext.until, m.validUntil)
	m.byPromises = ext.byPromises
	m.renewAt = m.leaser.cfg.Clock.Now()
	if !ext.byPromises {
		m.renewAt = m.renewAt.Add(lenderRenewInterval)
	}
	m.leaser.directory.Announce(m.number, m.leaser.cfg.InstanceID, ext.epoch)
}

// reacquire writes the record again after the platform has removed it. No
// other instance can have written it while the promises hold; if one has,
// this lender stops at once.
func (m *shardManager) reacquire(ctx context.Context, slotEnd time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "acquire the lease again") }()

	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease := m.uncertain.lease
	e, err := m.leaser.cfg.Store.Get(callCtx, m.key())
	switch {
	case errors.Is(err, storer.ErrNotFound):
		e, lease, err = m.rewriteRecord(ctx)
	case err == nil && (!m.hasUncertainWrite() || e.LeaseID != lease.ID):
		m.stopLending(ctx)
		return merry.Errorf("the record is held by %q", holderOf(e))
	case err == nil && m.uncertain.revoking:
		return m.revokeUncertainWrite(callCtx)
	}
	if errors.Is(err, storer.ErrConflict) {
		m.stopLending(ctx)
	}
	if err != nil {
		return err
	}
	// The lease may have been granted a while ago, so it is renewed at the
	// next step.
	until := earlier(lease.ExpiresAt.Add(-leaseMargin), slotEnd)
	m.extend(ctx, extension{lease: lease, epoch: e.Version, until: until, byPromises: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tableAt = time.Time{}
	m.uncertain = uncertainWrite{}
	return nil
}

// rewriteRecord writes the record once an earlier uncertain write, if any,
// can have no effect any more.
func (m *shardManager) rewriteRecord(ctx context.Context) (e storer.Entry, lease storer.Lease, err error) {
	if m.hasUncertainWrite() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := m.revokeUncertainWrite(callCtx); err != nil {
			return storer.Entry{}, storer.Lease{}, err
		}
		m.setUncertainWrite(uncertainWrite{})
	}
	return m.write(ctx, 0)
}

// tableReadDue reports whether the table of slots has to be read.
func (m *shardManager) tableReadDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := now.Sub(m.tableAt)
	return m.tableAt.IsZero() || age >= tableReadInterval || (m.latestSlotVersion > m.table.Version && age >= minTableReadInterval)
}

// readTable reads the table of slots and passes it to the lender.
func (m *shardManager) readTable(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "read the table of slots") }()

	entries, err := m.leaser.slot.list(ctx)
	if err != nil {
		return err
	}
	m.setTable(tableOf(entries), now)
	return nil
}

// setTable sets the table of slots that was read at now.
func (m *shardManager) setTable(table limiter.SlotTable, now time.Time) {
	m.leaser.lender.SetSlots(m.number, table)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table = table
	m.tableAt = now
	m.latestSlotVersion = table.Version
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

// extendByPromises continues lending if every slot holder promises not to
// campaign. Only slot holders campaign. A holder that is not in the table of
// this lender campaigns only when its slot is confirmed, or after holders in
// the table pledged not to make promises for such a table.
func (m *shardManager) extendByPromises(ctx context.Context, slotEnd time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "extend by promises") }()

	sentAt := m.leaser.cfg.Clock.Now()
	m.mu.Lock()
	table, age := m.table, sentAt.Sub(m.tableAt)
	request := PromiseRequest{Shard: m.number, Epoch: m.epoch, Table: table.Version, Term: promiseDuration}
	m.mu.Unlock()
	if !table.Read || age > maxTableAge-time.Minute {
		return merry.New("the table of slots is too old or was not read")
	}
	if !m.leaser.slot.mayExtendWith(table) {
		return merry.New("the holder of a slot that is not in the table may campaign")
	}
	if refused := m.collectPromises(ctx, table.Holders, request); refused > 0 {
		return merry.Errorf("%d of %d slot holders did not promise", refused, len(table.Holders))
	}
	until := earlier(sentAt.Add(promiseDuration-leaseMargin), slotEnd)
	m.extend(ctx, extension{lease: m.lease, epoch: m.epoch, until: until, byPromises: true})
	return nil
}

// collectPromises asks all holders concurrently and returns the number of
// those that did not promise.
func (m *shardManager) collectPromises(ctx context.Context, holders map[int]string, r PromiseRequest) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var refused atomic.Int64
	var group conc.WaitGroup
	for _, holder := range holders {
		if holder == m.leaser.cfg.InstanceID {
			continue
		}
		group.Go(func() {
			var answer PromiseAnswer
			err := m.leaser.cfg.Caller.Call(ctx, holder, linker.KindPromise, r, &answer)
			if err != nil || !answer.Promised {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	return int(refused.Load())
}

// promise answers a lender that asks this instance not to campaign. The
// promise is refused while a campaign of this instance is undecided, to a
// lender that has been replaced by a newer one, and to a lender whose table
// lacks a slot for which this instance made a pledge.
func (m *shardManager) promise(lender string, r PromiseRequest) bool {
	now := m.leaser.cfg.Clock.Now()
	info := m.leaser.directory.Lookup(m.number)
	if !m.leaser.slot.includedIn(r.Table) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	promisedToOther := m.promisedTo != lender && now.Before(m.promisedUntil)
	if m.phase != phaseIdle || info.Epoch > r.Epoch || promisedToOther {
		return false
	}
	end := now.Add(min(r.Term, promiseDuration))
	if end.After(m.promisedUntil) {
		m.promisedUntil = end
	}
	m.promisedTo = lender
	return true
}
