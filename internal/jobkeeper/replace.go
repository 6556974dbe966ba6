package jobkeeper

import (
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/sequencer"
)

// addRunning records that an item was placed.
func (q *itemQueue) addRunning(placement *balancer.Placement, t *task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[placement] = t
}

func (q *itemQueue) removeRunning(placement *balancer.Placement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, placement)
}

// replace gives an item that can be in time the slot of one that cannot. The items of an
// earlier flood would otherwise hold all slots when the next one begins.
func (q *itemQueue) replace(item sequencer.Item, version *string) (placement *balancer.Placement, err error) {
	placements, items := q.runningItems()
	if len(items) == 0 || item.Due.IsZero() || !q.sequencer.InTime(item) {
		return nil, balancer.ErrFull
	}
	index, ok := q.sequencer.Yield(item, items)
	if !ok {
		return nil, balancer.ErrFull
	}
	placement, err = q.keeper.cfg.Placer.Replace(placements[index], balancer.Query{
		Service: q.service, Class: balancer.Batch, Urgent: q.urgent(item), Version: version, Work: taskOf(item).job.manifest.Route,
	})
	if err != nil {
		return nil, err
	}
	late := taskOf(items[index])
	q.keeper.log(late.job.manifest.Job).WithFields(logrus.Fields{
		"item": late.item.ID, "events": items[index].Events, "replaced-by": taskOf(item).item.ID, "backend-server": placement.Backend.ID,
	}).Info("item gives its slot to one that can be in time")
	return placement, nil
}

// runningItems returns the placements of the items that run, and the items.
func (q *itemQueue) runningItems() (placements []*balancer.Placement, items []sequencer.Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for placement, t := range q.running {
		placements = append(placements, placement)
		items = append(items, q.keeper.sequencerItem(t))
	}
	return placements, items
}
