package jobkeeper

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// saveInterval is the time between two checks of the progress of jobs.
	saveInterval = 2500 * time.Millisecond
	// minNewEvents is the number of new events of a job from which on its progress
	// is saved. Fewer are not worth a call to the store.
	minNewEvents = 250
)

// saveLoop saves the progress of items, so that a job that is taken over resumes
// from its last checkpoint.
func (k *Keeper) saveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		k.sleep(saveInterval)
		for i := range k.shards {
			for _, j := range k.shards[i].all() {
				if err := k.save(ctx, j, minNewEvents); err != nil && ctx.Err() == nil {
					k.log(j.manifest.Job).WithError(err).Warn("failed to save progress")
				}
			}
		}
	}
}

// save writes the progress of a job if it has at least minEvents new events or a new
// failed attempt.
func (k *Keeper) save(ctx context.Context, j *job, minEvents int) (err error) {
	defer func() { err = merry.Prepend(err, "save progress") }()
	j.mu.Lock()
	version := j.version
	skip := j.ended || j.record.Done || len(j.pending) > 0 // A write of results saves the progress too.
	c := j.checkpoint()
	skip = skip || c.events-j.savedEvents < minEvents && c.failures <= j.savedFailures
	j.mu.Unlock()
	if skip {
		return nil
	}
	id := j.manifest.Job
	t := storer.Transaction{Expect: []storer.Precondition{
		{Key: k.key(recordKey(id)), Version: version},
		{Key: k.cfg.EndPrefix + id},
	}}
	if err := k.appendProgressWrite(&t, id, c.saved, false); err != nil {
		return err
	}
	_, err = k.cfg.Store.Commit(ctx, t)
	if errors.Is(err, storer.ErrConflict) {
		_, endErr := k.readEnd(ctx, id)
		return errors.Join(err, endErr)
	}
	if err != nil && !errors.Is(err, storer.ErrRefused) {
		return err
	}
	// Progress that the store refuses is not written again before there is more of it.
	j.mu.Lock()
	j.savedEvents, j.savedFailures = c.events, c.failures
	j.mu.Unlock()
	return err
}
