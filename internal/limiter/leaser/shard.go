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

// A phase is what a shardKeeper is doing.
type phase int

// The phases of a shardKeeper.
const (
	phaseIdle        phase = iota // Another instance lends the shard, or none does.
	phaseCampaigning              // A write of this instance's record is in flight or its effect is not known.
	phaseLending
)

// A shardKeeper holds the lease of one rate shard, or campaigns for it when
// it is free.
type shardKeeper struct {
	stepLock // Guards the fields that only steps use.
	leaser   *Leaser
	number   int

	mu    sync.Mutex
	phase phase

	// promisedUntil is the end of the promise not to campaign. No campaign
	// starts before it, and no promise is made during a campaign.
	promisedUntil time.Time
	promisedTo    string

	doubt      doubt
	lease      storer.Lease // With which the record was written; set while lending.
	epoch      int64
	validUntil time.Time
	renewAt    time.Time
	promised   bool // Lending: validUntil rests on promises, not on the lease.

	table   limiter.SlotTable
	tableAt time.Time // When the table was read, after the shard's lease was taken.
	hinted  int64     // Highest version of a slot in heartbeats.

	absentSince time.Time // Since when the platform has no record of a lender; zero when it has.
	readAt      time.Time // Next read of the record.
}

// A doubt is a write of the record whose effect is not known.
type doubt struct {
	lease storer.Lease
	end   time.Time // The write can't take effect after it. Zero when there is no doubt.

	// voided means that the lease is being given back. That may take effect
	// at any later time, so the record must not be used if it is found.
	voided bool
}

func newShardKeeper(l *Leaser, number int) *shardKeeper {
	return &shardKeeper{leaser: l, number: number}
}

// key is the shard's key in the platform.
func (k *shardKeeper) key() string {
	return lenderPrefix + strconv.Itoa(k.number)
}

// hint takes over the version of a slot that a heartbeat told.
func (k *shardKeeper) hint(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hinted = max(k.hinted, version)
}

// step does what is due.
func (k *shardKeeper) step(ctx context.Context) {
	k.mu.Lock()
	current := k.phase
	k.mu.Unlock()
	now := k.leaser.cfg.Clock.Now()
	var err error
	switch current {
	case phaseIdle:
		err = k.idle(ctx, now)
	case phaseCampaigning:
		err = k.resolve(ctx, now)
	case phaseLending:
		err = k.lend(ctx, now)
	}
	if err != nil {
		k.log().WithError(err).Debug("rate shard")
	}
}

// log returns the logger with the shard's fields.
func (k *shardKeeper) log() logrus.FieldLogger {
	return k.leaser.cfg.Logger.WithField("rate-shard", k.number)
}

// idle looks for the lender, and campaigns when there is none. The platform
// is read only while no lender announces itself.
func (k *shardKeeper) idle(ctx context.Context, now time.Time) (err error) {
	row := k.leaser.directory.Lookup(k.number)
	if row.Lender != "" && now.Sub(row.SeenAt) < announceTimeout {
		k.absentSince = time.Time{}
		k.readAt = time.Time{}
		return nil
	}
	rank := k.rank()
	if !k.absentSince.IsZero() && now.Sub(k.absentSince) >= min(maxRankDelay, time.Duration(rank)*rankDelay) {
		if k.startCampaign(now) {
			return k.campaign(ctx)
		}
	}
	if now.Before(k.readAt) {
		return nil
	}
	k.readAt = now.Add(min(maxReadPeriod, time.Duration(1+rank)*readPeriod))
	return k.read(ctx, now)
}

// rank is this instance's place in the order in which the live instances
// campaign for the shard. The order differs between shards, which spreads
// them over the instances.
func (k *shardKeeper) rank() int {
	mine := limiter.CampaignPriority(k.number, k.leaser.cfg.InstanceID)
	rank := 0
	for _, instance := range k.leaser.cfg.Roster.Live() {
		if !instance.Leaving && limiter.CampaignPriority(k.number, instance.ID) > mine {
			rank++
		}
	}
	return rank
}

// read reads the lender's record.
func (k *shardKeeper) read(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "read the record") }()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := k.leaser.cfg.Store.Get(ctx, k.key())
	if errors.Is(err, storer.ErrNotFound) {
		if k.absentSince.IsZero() {
			k.absentSince = now
		}
		return nil
	}
	if err != nil {
		return err
	}
	k.absentSince = time.Time{}
	if holder := holderOf(e); holder != k.leaser.cfg.InstanceID {
		k.leaser.directory.Record(k.number, holder, e.Version)
	}
	return nil
}

// startCampaign enters the campaign, unless a promise or the slot forbids it.
func (k *shardKeeper) startCampaign(now time.Time) bool {
	if _, ok := k.leaser.slot.mayLend(k.number, now); !ok || k.leaser.isLeaving() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.promisedUntil) {
		return false
	}
	k.phase = phaseCampaigning
	k.doubt = doubt{}
	return true
}

// campaign takes the shard's lease and writes the record.
func (k *shardKeeper) campaign(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "campaign") }()

	k.absentSince = time.Time{}
	e, lease, err := k.write(ctx, 0)
	switch {
	case err == nil:
		k.begin(ctx, e, lease)
	case !k.inDoubt():
		k.goIdle()
	}
	return err
}

// write takes a lease and writes the record with it, in place of the one with
// the epoch before, or where before is zero and there is none. After an error
// inDoubt tells whether the record may exist or may still come into existence.
func (k *shardKeeper) write(ctx context.Context, before int64) (e storer.Entry, lease storer.Lease, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := k.leaser.cfg.Store
	lease, err = store.GrantLease(ctx, lenderTerm)
	if err != nil {
		return storer.Entry{}, storer.Lease{}, err
	}
	// The service counts the term from a moment before its answer came.
	k.setDoubt(doubt{lease: lease, end: k.leaser.cfg.Clock.Now().Add(lenderTerm + leaseMargin)})
	e, err = store.Put(ctx, storer.PutRequest{
		Key: k.key(), Value: k.leaser.value(), LeaseID: lease.ID, ExpectedVersion: before,
	})
	if err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnavailable) {
		k.setDoubt(doubt{})
	}
	if err != nil && !k.inDoubt() {
		_ = store.RevokeLease(ctx, lease.ID)
	}
	return e, lease, err
}

func (k *shardKeeper) inDoubt() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.doubt.end.IsZero()
}

func (k *shardKeeper) setDoubt(d doubt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doubt = d
}

// goIdle ends a campaign or the lending.
func (k *shardKeeper) goIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.phase = phaseIdle
	k.doubt = doubt{}
}

// resolve finds out whether a write in doubt took effect. Until that is known
// no promise is made.
func (k *shardKeeper) resolve(ctx context.Context, now time.Time) (err error) {
	defer func() { err = merry.Prepend(err, "resolve a write in doubt") }()

	if !k.inDoubt() || !now.Before(k.doubt.end) {
		k.goIdle()
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := k.leaser.cfg.Store.Get(callCtx, k.key())
	if err == nil && e.LeaseID == k.doubt.lease.ID && !k.doubt.voided {
		k.begin(ctx, e, k.doubt.lease)
		return nil
	}
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if err = k.voidWrite(callCtx); err == nil {
		k.goIdle()
	}
	return err
}

// voidWrite makes sure that a write in doubt has no effect: it can have none
// once its lease has ended.
func (k *shardKeeper) voidWrite(ctx context.Context) error {
	k.mu.Lock()
	k.doubt.voided = true
	k.mu.Unlock()
	err := k.leaser.cfg.Store.RevokeLease(ctx, k.doubt.lease.ID)
	if errors.Is(err, storer.ErrLeaseExpired) || errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	return err
}

// begin starts to lend after the record was written.
func (k *shardKeeper) begin(ctx context.Context, e storer.Entry, lease storer.Lease) {
	now := k.leaser.cfg.Clock.Now()
	slotEnd, ok := k.leaser.slot.mayLend(k.number, now)
	k.lease = lease
	until := earlier(lease.ExpiresAt.Add(-leaseMargin), slotEnd)
	if !ok || !now.Before(until) {
		k.resign(ctx)
		return
	}
	k.mu.Lock()
	k.phase = phaseLending
	k.doubt = doubt{}
	k.epoch = e.Version
	k.validUntil = until
	k.renewAt = now.Add(renewPeriod)
	k.promised = false
	k.table = limiter.SlotTable{}
	k.tableAt = time.Time{}
	k.mu.Unlock()
	k.leaser.lender.Begin(k.number, e.Version, until)
	k.leaser.directory.Announce(k.number, k.leaser.cfg.InstanceID, e.Version)
	k.leaser.announce()
	k.log().WithField("epoch", e.Version).Info("lending a rate shard")
}

// resign stops lending and gives the lease back.
func (k *shardKeeper) resign(ctx context.Context) {
	k.leaser.lender.End(k.number)
	k.leaser.directory.Forget(k.number, k.leaser.cfg.InstanceID)
	k.goIdle()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.leaser.cfg.Store.RevokeLease(ctx, k.lease.ID); err != nil {
		k.log().WithError(err).Debug("lease not given back")
	}
}

// leave hands the shard over because the instance leaves. It reports whether a
// promise is in force, during which the slot must be kept.
func (k *shardKeeper) leave(ctx context.Context) (promised bool) {
	k.wait()
	defer k.exit()
	k.mu.Lock()
	lending := k.phase == phaseLending
	promised = k.leaser.cfg.Clock.Now().Before(k.promisedUntil)
	k.mu.Unlock()
	if lending {
		k.handOver(ctx)
	}
	return promised
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
