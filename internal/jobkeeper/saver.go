package jobkeeper

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// savePeriod is the time between two looks at the progress of jobs.
	savePeriod = 2500 * time.Millisecond
	// saveEvents is the number of new events of a job that are worth a call to
	// the store.
	saveEvents = 250
)

// saveLoop saves the progress of items, so that a job that is taken over goes on
// where it was.
func (k *Keeper) saveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		k.sleep(savePeriod)
		for i := range k.shards {
			for _, j := range k.shards[i].all() {
				if err := k.save(ctx, j, saveEvents); err != nil && ctx.Err() == nil {
					k.log(j.manifest.Job).WithError(err).Warn("progress not saved")
				}
			}
		}
	}
}

// save writes the progress of a job if it has at least this many new events.
func (k *Keeper) save(ctx context.Context, j *job, least int) (err error) {
	defer func() { err = merry.Prepend(err, "save progress") }()
	j.mu.Lock()
	version := j.version
	skip := j.ended || j.record.Done || len(j.pending) > 0 // A write of results saves the progress too.
	saved, events := j.progress()
	skip = skip || events-j.saved < least
	j.mu.Unlock()
	if skip {
		return nil
	}
	id := j.manifest.Job
	t := storer.Transaction{Expect: []storer.Precondition{
		{Key: k.key(recordKey(id)), Version: version},
		{Key: k.cfg.EndPrefix + id},
	}}
	if err := k.addProgress(&t, id, saved, false); err != nil {
		return err
	}
	_, err = k.cfg.Store.Commit(ctx, t)
	if errors.Is(err, storer.ErrConflict) {
		return errors.Join(err, k.readEnd(ctx, id))
	}
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.saved = events
	j.mu.Unlock()
	return nil
}
