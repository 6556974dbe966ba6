package leaser

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A phase is the state of a shardManager.
type phase int

// The phases of a shardManager.
const (
	phaseIdle        phase = iota // Another instance lends the shard, or none does.
	phaseCampaigning              // A write of this instance's record is in flight or its outcome is unknown.
	phaseLending
)

// A shardManager holds the lease of one rate shard, or campaigns for it when
// it is free.
type shardManager struct {
	stepLock // Guards the fields that are used by steps only.
	leaser   *Leaser
	number   int

	mu    sync.Mutex
	phase phase

	// promisedUntil is the end of the promise not to campaign. No campaign
	// starts before it, and no promise is made during a campaign.
	promisedUntil time.Time
	promisedTo    string

	uncertain  uncertainWrite
	lease      storer.Lease // Lease of the record; set while lending.
	epoch      int64
	validUntil time.Time
	renewAt    time.Time
	byPromises bool // While lending: validUntil is based on promises, not on the lease.

	table             limiter.SlotTable
	tableAt           time.Time // When the table was read, after the shard's lease was acquired.
	latestSlotVersion int64     // Highest slot version seen in heartbeats.

	absentSince time.Time // Since when the platform has no record of a lender; zero when it has one.
	nextReadAt  time.Time // Next read of the record.
}

// An uncertainWrite is a write of the record whose outcome is unknown.
type uncertainWrite struct {
	lease     storer.Lease
	expiresAt time.Time // The write can't take effect after it. Zero when there is no uncertain write.

	// revoking is set once the lease is being revoked. The revocation may
	// take effect at any later time, so the record must not be used if it is
	// found.
	revoking bool
}

func newShardManager(l *Leaser, number int) *shardManager {
	return &shardManager{leaser: l, number: number}
}

// key is the shard's key in the platform.
func (m *shardManager) key() string {
	return lenderPrefix + strconv.Itoa(m.number)
}

// noteSlotVersion records the slot version of a heartbeat.
func (m *shardManager) noteSlotVersion(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestSlotVersion = max(m.latestSlotVersion, version)
}

// step runs the step of the current phase.
func (m *shardManager) step(ctx context.Context) {
	m.mu.Lock()
	current := m.phase
	m.mu.Unlock()
	now := m.leaser.cfg.Clock.Now()
	var err error
	switch current {
	case phaseIdle:
		err = m.watchLender(ctx, now)
	case phaseCampaigning:
		err = m.resolveWrite(ctx, now)
	case phaseLending:
		err = m.maintainLease(ctx, now)
	}
	if err != nil {
		m.log().WithError(err).Debug("rate shard step failed")
	}
}

// log returns the logger with the shard's fields.
func (m *shardManager) log() logrus.FieldLogger {
	return m.leaser.cfg.Logger.WithField("rate-shard", m.number)
}

// watchLender checks for a lender, and campaigns when there is none. The
// platform is read only while no lender announces itself in heartbeats.
func (m *shardManager) watchLender(ctx context.Context, now time.Time) (err error) {
	info := m.leaser.directory.Lookup(m.number)
	if info.Lender != "" && now.Sub(info.SeenAt) < heartbeatTimeout {
		m.absentSince = time.Time{}
		m.nextReadAt = time.Time{}
		return nil
	}
	rank := m.rank()
	if !m.absentSince.IsZero() && now.Sub(m.absentSince) >= min(maxCampaignDelay, time.Duration(rank)*campaignDelayPerRank) {
		if m.startCampaign(now) {
			return m.campaign(ctx)
		}
	}
	if now.Before(m.nextReadAt) {
		return nil
	}
	m.nextReadAt = now.Add(min(maxRecordReadInterval, time.Duration(1+rank)*recordReadInterval))
	return m.read(ctx, now)
}

// rank is this instance's position in the order in which the live instances
// campaign for the shard. The order differs between shards, which spreads
// them over the instances.
func (m *shardManager) rank() int {
	mine := limiter.CampaignPriority(m.number, m.leaser.cfg.InstanceID)
	rank := 0
	for _, instance := range m.leaser.cfg.Membership.Live() {
		if !instance.Leaving && limiter.CampaignPriority(m.number, instance.ID) > mine {
			rank++
		}
	}
	return rank
}

// read reads the lender's record from the platform.
func (m *shardManager) read(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "read the record") }()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := m.leaser.cfg.Store.Get(ctx, m.key())
	if errors.Is(err, storer.ErrNotFound) {
		if m.absentSince.IsZero() {
			m.absentSince = now
		}
		return nil
	}
	if err != nil {
		return err
	}
	m.absentSince = time.Time{}
	if holder := holderOf(e); holder != m.leaser.cfg.InstanceID {
		m.leaser.directory.Record(m.number, holder, e.Version)
	}
	return nil
}

// startCampaign enters the campaigning phase, unless a promise or the slot
// forbids it.
func (m *shardManager) startCampaign(now time.Time) bool {
	if _, ok := m.leaser.slot.mayLend(m.number, now); !ok || m.leaser.isLeaving() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.promisedUntil) {
		return false
	}
	m.phase = phaseCampaigning
	m.uncertain = uncertainWrite{}
	return true
}

// campaign acquires the shard's lease and writes the record.
func (m *shardManager) campaign(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "campaign") }()

	m.absentSince = time.Time{}
	e, lease, err := m.write(ctx, 0)
	switch {
	case err == nil:
		m.startLending(ctx, e, lease)
	case !m.hasUncertainWrite():
		m.goIdle()
	}
	return err
}

// write acquires a lease and writes the record with it. The current record
// must have expectedEpoch, or not exist if that is zero. After an error
// hasUncertainWrite tells whether the record may exist or may still be
// created.
func (m *shardManager) write(ctx context.Context, expectedEpoch int64) (e storer.Entry, lease storer.Lease, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := m.leaser.cfg.Store
	lease, err = store.GrantLease(ctx, lenderLeaseTTL)
	if err != nil {
		return storer.Entry{}, storer.Lease{}, err
	}
	// The platform counts the TTL from a time before it answered.
	m.setUncertainWrite(uncertainWrite{lease: lease, expiresAt: m.leaser.cfg.Clock.Now().Add(lenderLeaseTTL + leaseMargin)})
	e, err = store.Put(ctx, storer.PutRequest{
		Key: m.key(), Value: m.leaser.recordValue(), LeaseID: lease.ID, ExpectedVersion: expectedEpoch,
	})
	if err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnavailable) {
		m.setUncertainWrite(uncertainWrite{})
	}
	if err != nil && !m.hasUncertainWrite() {
		_ = store.RevokeLease(ctx, lease.ID)
	}
	return e, lease, err
}

func (m *shardManager) hasUncertainWrite() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.uncertain.expiresAt.IsZero()
}

func (m *shardManager) setUncertainWrite(w uncertainWrite) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.uncertain = w
}

// goIdle ends the campaign or the lending.
func (m *shardManager) goIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.phase = phaseIdle
	m.uncertain = uncertainWrite{}
}

// resolveWrite determines whether an uncertain write took effect. Until then
// no promise is made.
func (m *shardManager) resolveWrite(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "resolve an uncertain write") }()

	if !m.hasUncertainWrite() || !now.Before(m.uncertain.expiresAt) {
		m.goIdle()
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := m.leaser.cfg.Store.Get(callCtx, m.key())
	if err == nil && e.LeaseID == m.uncertain.lease.ID && !m.uncertain.revoking {
		m.startLending(ctx, e, m.uncertain.lease)
		return nil
	}
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if err = m.revokeUncertainWrite(callCtx); err == nil {
		m.goIdle()
	}
	return err
}

// revokeUncertainWrite revokes the lease of an uncertain write, after which
// the write can have no effect.
func (m *shardManager) revokeUncertainWrite(ctx context.Context) error {
	m.mu.Lock()
	m.uncertain.revoking = true
	m.mu.Unlock()
	err := m.leaser.cfg.Store.RevokeLease(ctx, m.uncertain.lease.ID)
	if errors.Is(err, storer.ErrLeaseExpired) || errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	return err
}

// startLending starts to lend after the record was written.
func (m *shardManager) startLending(ctx context.Context, e storer.Entry, lease storer.Lease) {
	now := m.leaser.cfg.Clock.Now()
	slotEnd, ok := m.leaser.slot.mayLend(m.number, now)
	m.lease = lease
	until := earlier(lease.ExpiresAt.Add(-leaseMargin), slotEnd)
	if !ok || !now.Before(until) {
		m.stopLending(ctx)
		return
	}
	m.mu.Lock()
	m.phase = phaseLending
	m.uncertain = uncertainWrite{}
	m.epoch = e.Version
	m.validUntil = until
	m.renewAt = now.Add(lenderRenewInterval)
	m.byPromises = false
	m.table = limiter.SlotTable{}
	m.tableAt = time.Time{}
	m.mu.Unlock()
	m.leaser.lender.Begin(m.number, e.Version, until)
	m.leaser.directory.Announce(m.number, m.leaser.cfg.InstanceID, e.Version)
	m.leaser.sendHeartbeat()
	m.log().WithField("epoch", e.Version).Info("started lending a rate shard")
}

// stopLending stops lending and revokes the lease.
func (m *shardManager) stopLending(ctx context.Context) {
	m.leaser.lender.End(m.number)
	m.leaser.directory.Forget(m.number, m.leaser.cfg.InstanceID)
	m.goIdle()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.leaser.cfg.Store.RevokeLease(ctx, m.lease.ID); err != nil {
		m.log().WithError(err).Debug("lease of a rate shard was not revoked; it will expire")
	}
}

// leave hands the shard over because the instance leaves. It reports whether
// a promise is in force, during which the slot must be kept.
func (m *shardManager) leave(ctx context.Context) (promised bool) {
	m.startStep()
	defer m.endStep()
	m.mu.Lock()
	lending := m.phase == phaseLending
	promised = m.leaser.cfg.Clock.Now().Before(m.promisedUntil)
	m.mu.Unlock()
	if lending {
		m.handOver(ctx)
	}
	return promised
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
