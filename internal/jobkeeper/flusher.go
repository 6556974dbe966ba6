package jobkeeper

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

const (
	// flushDelay gathers the results of a job into one write. Items of a job end
	// within a few seconds of each other, and jobs are due after many.
	flushDelay = 2 * time.Second
	// dueMargin ends the gathering before the job is due.
	dueMargin = 1500 * time.Millisecond
	// flushRetry is the pause after a failed write.
	flushRetry = 300 * time.Millisecond
	// flushTimeout bounds one write of results.
	flushTimeout = 3 * time.Second
	// leaveTimeout bounds the last write of an instance that leaves.
	leaveTimeout = time.Second
)

// finished notes the result of an item and writes it soon.
func (k *Keeper) finished(w *work, state State, text string) {
	j := w.job
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, open := j.open[w.item.ID]; !open || j.ended {
		return
	}
	delete(j.open, w.item.ID)
	if len(j.pending) == 0 {
		j.since = k.now()
	}
	j.pending = append(j.pending, Result{Item: w.item.ID, State: state, Text: text})
	k.scheduleFlush(j)
}

// scheduleFlush starts the write of pending results, unless one is under way.
// The lock is held.
func (k *Keeper) scheduleFlush(j *job) {
	if j.flushing || len(j.pending) == 0 {
		return
	}
	j.flushing = true
	k.running.Go(func() { k.flushSoon(j) })
}

// flushSoon waits for more results and writes them, until none is left.
func (k *Keeper) flushSoon(j *job) {
	for {
		k.gather(j)
		err := k.flush(k.baseContext(), j)
		if err != nil {
			k.log(j.manifest.Job).WithError(err).Warn("results not written")
			if k.baseContext().Err() == nil {
				k.sleep(flushRetry)
			}
		}
		j.mu.Lock()
		if len(j.pending) == 0 || j.ended || k.baseContext().Err() != nil {
			j.flushing = false
			j.mu.Unlock()
			return
		}
		j.mu.Unlock()
	}
}

// gather waits until the last item is finished, the oldest result has waited
// for flushDelay, or the job is nearly due.
func (k *Keeper) gather(j *job) {
	j.mu.Lock()
	last := len(j.open) == 0
	wait := flushDelay - k.now().Sub(j.since)
	j.mu.Unlock()
	if due, ok := k.dueAt(j.manifest); ok {
		wait = min(wait, due.Add(-dueMargin).Sub(k.now()))
	}
	if !last && wait > 0 {
		k.sleep(wait)
	}
}

func (k *Keeper) baseContext() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.base == nil {
		return context.Background()
	}
	return k.base
}

// sleep waits, or until the keeper ends.
func (k *Keeper) sleep(d time.Duration) { waiter.Pause(k.baseContext(), k.cfg.Clock, d, nil) }

// flush writes the pending results as one segment. After a lost answer or a
// conflict the record tells whether the segment is there.
func (k *Keeper) flush(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	j.mu.Lock()
	results := firstResults(j.pending)
	next := j.record
	version := j.version
	saved, events := j.progress()
	j.mu.Unlock()
	if len(results) == 0 {
		return nil
	}
	next.Segments++
	next.Listed += len(results)
	next.Done = next.Listed == next.Total
	t, err := k.segmentWrite(j.manifest.Job, results, next, version)
	if err != nil {
		return err
	}
	if err := k.addProgress(&t, j.manifest.Job, saved, next.Done); err != nil {
		return err
	}
	version, err = k.cfg.Store.Commit(ctx, t)
	if errors.Is(err, storer.ErrConflict) {
		return k.settle(ctx, j, results, next)
	}
	if err != nil {
		return err
	}
	k.listed(j, results, next, version)
	j.mu.Lock()
	j.saved = events
	j.mu.Unlock()
	return nil
}

// firstResults are as many results as one value holds.
func firstResults(pending []Result) []Result {
	size := 0
	for i, r := range pending {
		size += len(r.Text)
		if size > maxValueBytes && i > 0 {
			return pending[:i]
		}
	}
	return pending
}

// addProgress saves how far the open items are with a write that is made anyway.
func (k *Keeper) addProgress(t *storer.Transaction, id string, saved []Progress, done bool) error {
	if done {
		t.Remove = append(t.Remove, k.key(progressKey(id)))
		return nil
	}
	if len(saved) == 0 {
		return nil
	}
	value, err := cbor.Marshal(saved)
	if err != nil {
		return err
	}
	t.Writes = append(t.Writes, storer.Write{Key: k.key(progressKey(id)), Value: value})
	return nil
}

func (k *Keeper) segmentWrite(id string, results []Result, next Record, version int64) (t storer.Transaction, err error) {
	segment, err := cbor.Marshal(results)
	if err != nil {
		return t, err
	}
	record, err := cbor.Marshal(next)
	if err != nil {
		return t, err
	}
	return storer.Transaction{
		Expect: []storer.Precondition{
			{Key: k.key(recordKey(id)), Version: version},
			{Key: k.cfg.EndPrefix + id},
		},
		Writes: []storer.Write{
			{Key: k.key(segmentKey(id, next.Segments-1)), Value: segment},
			{Key: k.key(recordKey(id)), Value: record},
		},
	}, nil
}

// settle finds out why a write of results met another version.
func (k *Keeper) settle(ctx context.Context, j *job, results []Result, next Record) error {
	present, version, err := k.readRecord(ctx, j.manifest.Job)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	mine := err == nil && present.Owner == k.cfg.Self.ID && present.Incarnation == k.cfg.Self.Incarnation
	switch {
	case mine && present.Segments == next.Segments && present.Listed == next.Listed:
		k.listed(j, results, next, version) // An earlier write, whose answer was lost, took effect.
	case mine:
		k.noteEnd(j.manifest.Job) // The key that ends the job is what the write met.
	default:
		k.log(j.manifest.Job).WithField("owner", present.Owner).Warn("job lost to another instance")
		k.drop(j)
	}
	return nil
}

// listed notes that a segment is in the store.
func (k *Keeper) listed(j *job, results []Result, next Record, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record, j.version = next, version
	j.listed = append(j.listed, results...)
	j.pending = j.pending[len(results):]
	j.since = k.now()
	if next.Done {
		k.log(j.manifest.Job).WithFields(logrus.Fields{"total": next.Total, "segments": next.Segments, "age-ms": k.now().Sub(next.SubmittedAt).Milliseconds()}).Info("job done")
	}
	j.announce()
}

// flushAll writes what is pending, and the progress, when the instance leaves.
func (k *Keeper) flushAll(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for i := range k.shards {
		for _, j := range k.shards[i].all() {
			err = errors.Join(err, k.flush(ctx, j), k.save(ctx, j, 1))
		}
	}
	return merry.Prepend(err, "write the last results")
}

func (s *shard) all() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}
