package leaser

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// maxSuccessors is the number of instances that a leaving lender asks to take
// over a shard before it only revokes its lease.
const maxSuccessors = 2

// A HandOverAnswer says whether the successor has taken over the shard.
type HandOverAnswer struct {
	Taken bool  `cbor:"taken"`
	Epoch int64 `cbor:"epoch"` // Of the successor.
}

// handOver stops lending and lets another instance take over the shard with
// the state of its pools. The successor replaces the record while this
// instance still holds it, so that no third instance can lend in between.
func (m *shardManager) handOver(ctx context.Context) {
	h, ok := m.leaser.lender.HandOver(m.number)
	if !ok {
		m.stopLending(ctx)
		return
	}
	m.leaser.directory.Forget(m.number, m.leaser.cfg.InstanceID)
	for _, successor := range m.successors() {
		if done := m.offerTo(ctx, successor, h); done {
			break
		}
	}
	m.stopLending(ctx)
}

// offerTo asks an instance to take over the shard. It reports whether no
// other instance may be asked, because this one has taken over or may have
// done so.
func (m *shardManager) offerTo(ctx context.Context, successor string, h limiter.HandOver) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, limiter.HandOverTimeout)
	defer cancel()
	log := m.log().WithField("successor", successor)
	var answer HandOverAnswer
	err := m.leaser.cfg.Caller.Call(ctx, successor, linker.KindHandOver, h, &answer)
	switch {
	case errors.Is(err, linker.ErrUnreachable):
		log.WithError(err).Info("successor is unreachable; rate shard not handed over")
		return false
	case err != nil:
		log.WithError(err).Warn("rate shard may or may not have been handed over")
		return true
	case !answer.Taken:
		log.Info("successor refused to take over the rate shard")
		return false
	}
	m.leaser.directory.Announce(m.number, successor, answer.Epoch)
	log.WithField("epoch", answer.Epoch).Info("rate shard handed over")
	return true
}

// successors returns the live instances in the order in which they would
// campaign, maxSuccessors at most.
func (m *shardManager) successors() []string {
	var ids []string
	for _, instance := range m.leaser.cfg.Membership.Live() {
		if instance.ID != m.leaser.cfg.InstanceID && !instance.Leaving {
			ids = append(ids, instance.ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(limiter.CampaignPriority(m.number, b), limiter.CampaignPriority(m.number, a))
	})
	return ids[:min(len(ids), maxSuccessors)]
}

// takeOver starts lending a shard in place of a leaving lender.
func (l *Leaser) takeOver(ctx context.Context, h limiter.HandOver) HandOverAnswer {
	m := l.shard(h.Shard)
	if m == nil {
		return HandOverAnswer{}
	}
	m.startStep()
	defer m.endStep()
	if err := m.replaceLender(ctx, h); err != nil {
		m.log().WithError(err).Info("rate shard not taken over from the leaving lender")
		return HandOverAnswer{}
	}
	return HandOverAnswer{Taken: true, Epoch: m.epoch}
}

// replaceLender replaces the record of the leaving lender and imports its
// pools.
func (m *shardManager) replaceLender(ctx context.Context, h limiter.HandOver) (err error) {
	if m.isActive() || !m.startCampaign(m.leaser.cfg.Clock.Now()) {
		return merry.New("this instance may not campaign for the shard")
	}
	e, lease, err := m.write(ctx, h.Epoch)
	if err != nil {
		if !m.hasUncertainWrite() {
			m.goIdle()
		}
		return err
	}
	entries, err := m.leaser.slot.list(ctx)
	m.startLending(ctx, e, lease)
	if err != nil || !m.lends() {
		return err
	}
	m.setTable(tableOf(entries), m.leaser.cfg.Clock.Now())
	m.leaser.lender.ImportPools(h)
	return nil
}

// isActive reports whether this instance campaigns for the shard or lends it.
func (m *shardManager) isActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase != phaseIdle
}
