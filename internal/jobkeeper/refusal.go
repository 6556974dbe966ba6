package jobkeeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// refusedResultDelay is the time after which a result that the store has refused by itself
// is written again.
const refusedResultDelay = 8 * time.Second

// A segmentLimit limits the next segment after the store has refused one.
type segmentLimit struct {
	refused bool // The next segment carries no progress.
	results int  // The most results of the next segment.
}

// resolveRefusal handles a write of results that the store refused. It would be refused
// again, so that the next write has less: no progress, and then half of the results. A
// single result is set aside and does not hold up the others.
func (k *Keeper) resolveRefusal(ctx context.Context, j *job, a *segmentAttempt, refusal error) error {
	if j.isDoubtful() {
		// An earlier attempt may still take effect. Afterwards the record tells.
		if !j.doubtfulSince(k.now().Add(-inDoubtPeriod)) {
			return refusal
		}
		current, _, err := k.readRecord(ctx, j.manifest.Job)
		if err != nil {
			return err
		}
		if current.Segments >= a.next.Segments || current.Owner != k.cfg.Self.ID || current.Incarnation != k.cfg.Self.Incarnation {
			return k.resolveConflict(ctx, j, a)
		}
		j.setDoubtful(nil, k.now())
	}
	k.log(j.manifest.Job).WithError(refusal).WithFields(logrus.Fields{"results": len(a.results), "items-with-progress": len(a.checkpoint.saved)}).
		Warn("the store refuses results; writing fewer")
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case len(a.checkpoint.saved) > 0:
		j.afterRefusal = segmentLimit{refused: true, results: len(a.results)}
	case len(a.results) > 1:
		j.afterRefusal = segmentLimit{refused: true, results: len(a.results) / 2}
	default:
		k.setAside(j)
	}
	return nil
}

// doubtfulSince reports whether the write in doubt has been so since before t.
func (j *job) doubtfulSince(t time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.doubtfulAt.Before(t)
}

// setAside takes the first pending result out of the way of the others for
// refusedResultDelay. The caller holds j.mu.
func (k *Keeper) setAside(j *job) {
	result := j.pending[0]
	j.pending = j.pending[1:]
	j.afterRefusal = segmentLimit{}
	k.log(j.manifest.Job).WithFields(logrus.Fields{"item": result.Item, "text-bytes": len(result.Text)}).Error("the store refuses the result of an item; writing it again later")
	k.cfg.Clock.AfterFunc(refusedResultDelay, func() {
		if k.runContext().Err() != nil {
			return
		}
		if route, known := k.currentRoute(j.manifest); known && (route == nil || k.hasExpired(j, route)) {
			k.log(j.manifest.Job).WithField("item", result.Item).Warn("item dead-lettered: the store has refused its result until it expired")
			result = Result{Item: result.Item, State: StateDeadLettered}
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.ended {
			return
		}
		j.pending = append(j.pending, result)
		k.scheduleFlush(j)
	})
}
