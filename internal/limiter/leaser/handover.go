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

// maxSuccessors is the number of instances that a leaving lender asks to take a
// shard over before it only gives its lease back.
const maxSuccessors = 2

// A HandOverAnswer says whether the successor lends the shard.
type HandOverAnswer struct {
	Taken bool  `cbor:"taken"`
	Epoch int64 `cbor:"epoch"` // Of the successor.
}

// handOver stops lending and lets another instance take the shard over with
// what is left in its pools. The successor replaces the record while this
// instance still holds it, so that no third one can lend in between.
func (k *shardKeeper) handOver(ctx context.Context) {
	h, ok := k.leaser.lender.HandOver(k.number)
	if !ok {
		k.resign(ctx)
		return
	}
	k.leaser.directory.Forget(k.number, k.leaser.cfg.InstanceID)
	for _, successor := range k.successors() {
		if done := k.offer(ctx, successor, h); done {
			break
		}
	}
	k.resign(ctx)
}

// offer asks an instance to take the shard over. It reports whether nobody else
// is to be asked.
func (k *shardKeeper) offer(ctx context.Context, successor string, h limiter.HandOver) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, limiter.HandOverTimeout)
	defer cancel()
	log := k.log().WithField("successor", successor)
	var answer HandOverAnswer
	err := k.leaser.cfg.Caller.Call(ctx, successor, linker.KindHandOver, h, &answer)
	switch {
	case errors.Is(err, linker.ErrUnreachable):
		log.WithError(err).Info("rate shard not handed over")
		return false
	case err != nil:
		log.WithError(err).Warn("rate shard may have been handed over")
		return true
	case !answer.Taken:
		log.Info("rate shard not taken over")
		return false
	}
	k.leaser.directory.Announce(k.number, successor, answer.Epoch)
	log.WithField("epoch", answer.Epoch).Info("rate shard handed over")
	return true
}

// successors are the live instances, the first candidate first.
func (k *shardKeeper) successors() []string {
	var ids []string
	for _, instance := range k.leaser.cfg.Roster.Live() {
		if instance.ID != k.leaser.cfg.InstanceID && !instance.Leaving {
			ids = append(ids, instance.ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(limiter.CampaignPriority(k.number, b), limiter.CampaignPriority(k.number, a))
	})
	return ids[:min(len(ids), maxSuccessors)]
}

// takeOver lends a shard in place of a lender that leaves.
func (l *Leaser) takeOver(ctx context.Context, h limiter.HandOver) HandOverAnswer {
	k := l.shard(h.Shard)
	if k == nil {
		return HandOverAnswer{}
	}
	k.wait()
	defer k.exit()
	if err := k.succeed(ctx, h); err != nil {
		k.log().WithError(err).Info("rate shard not taken over")
		return HandOverAnswer{}
	}
	return HandOverAnswer{Taken: true, Epoch: k.epoch}
}

// succeed replaces the record of the leaving lender and takes over its pools.
func (k *shardKeeper) succeed(ctx context.Context, h limiter.HandOver) (err error) {
	if k.isBusy() || !k.startCampaign(k.leaser.cfg.Clock.Now()) {
		return merry.New("this instance may not campaign")
	}
	e, lease, err := k.write(ctx, h.Epoch)
	if err != nil {
		if !k.inDoubt() {
			k.goIdle()
		}
		return err
	}
	entries, err := k.leaser.slot.list(ctx)
	k.begin(ctx, e, lease)
	if err != nil || !k.lends() {
		return err
	}
	k.takeTable(tableOf(entries), k.leaser.cfg.Clock.Now())
	k.leaser.lender.ImportPools(h)
	return nil
}

// isBusy reports whether this instance campaigns for the shard or lends it.
func (k *shardKeeper) isBusy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.phase != phaseIdle
}
