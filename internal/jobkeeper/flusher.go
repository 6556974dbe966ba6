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
	// flushDelay is how long results of a job are collected before they are
	// written together. Items of a job end within a few seconds of each other, and
	// jobs are due after many seconds.
	flushDelay = 2 * time.Second
	// dueFlushMargin is how long before the due time of the job the results are
	// written at the latest.
	dueFlushMargin = 1500 * time.Millisecond
	// flushRetryDelay is the delay after a failed write.
	flushRetryDelay = 300 * time.Millisecond
	// flushTimeout limits one write of results.
	flushTimeout = 3 * time.Second
	// finalFlushTimeout limits the last writes of an instance that shuts down.
	finalFlushTimeout = time.Second
)

// recordResult records the result of an item and schedules its write.
func (k *Keeper) recordResult(t *task, state State, text string) {
	j := t.job
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, open := j.unfinished[t.item.ID]; !open || j.ended {
		return
	}
	delete(j.unfinished, t.item.ID)
	if len(j.pending) == 0 {
		j.pendingSince = k.now()
	}
	j.pending = append(j.pending, Result{Item: t.item.ID, State: state, Text: text})
	k.scheduleFlush(j)
}

// scheduleFlush starts the write of pending results, unless one is in progress.
// The caller holds j.mu.
func (k *Keeper) scheduleFlush(j *job) {
	if j.flushing || len(j.pending) == 0 {
		return
	}
	j.flushing = true
	k.running.Go(func() { k.flushLoop(j) })
}

// flushLoop collects and writes results until none is pending.
func (k *Keeper) flushLoop(j *job) {
	for {
		k.waitForMoreResults(j)
		err := k.flush(k.runContext(), j)
		if err != nil {
			k.log(j.manifest.Job).WithError(err).Warn("failed to write results")
			if k.runContext().Err() == nil {
				k.sleep(flushRetryDelay)
			}
		}
		j.mu.Lock()
		if len(j.pending) == 0 || j.ended || k.runContext().Err() != nil {
			j.flushing = false
			j.mu.Unlock()
			return
		}
		j.mu.Unlock()
	}
}

// waitForMoreResults waits until the last item is finished, the oldest pending result
// is flushDelay old, or the job is due within dueFlushMargin.
func (k *Keeper) waitForMoreResults(j *job) {
	j.mu.Lock()
	last := len(j.unfinished) == 0
	wait := flushDelay - k.now().Sub(j.pendingSince)
	j.mu.Unlock()
	if due, ok := k.dueAt(j.manifest); ok {
		wait = min(wait, due.Add(-dueFlushMargin).Sub(k.now()))
	}
	if !last && wait > 0 {
		k.sleep(wait)
	}
}

func (k *Keeper) runContext() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runCtx == nil {
		return context.Background()
	}
	return k.runCtx
}

// sleep waits for d or until the keeper is stopped.
func (k *Keeper) sleep(d time.Duration) { waiter.Pause(k.runContext(), k.cfg.Clock, d, nil) }

// flush writes the pending results as one segment. After a lost response or a
// conflict, the record in the store tells whether the segment was written.
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
	if err := k.appendProgressWrite(&t, j.manifest.Job, saved, next.Done); err != nil {
		return err
	}
	version, err = k.cfg.Store.Commit(ctx, t)
	if errors.Is(err, storer.ErrConflict) {
		return k.resolveConflict(ctx, j, results, next)
	}
	if err != nil {
		return err
	}
	k.markListed(j, results, next, version)
	j.mu.Lock()
	j.savedEvents = events
	j.mu.Unlock()
	return nil
}

// firstResults returns as many of the pending results as fit into one value.
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

// appendProgressWrite adds the progress of the unfinished items to a transaction,
// or the removal of the saved progress if the job is done.
func (k *Keeper) appendProgressWrite(t *storer.Transaction, id string, saved []Progress, done bool) error {
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

// resolveConflict finds out why a write of results conflicted.
func (k *Keeper) resolveConflict(ctx context.Context, j *job, results []Result, next Record) error {
	current, version, err := k.readRecord(ctx, j.manifest.Job)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	isOwner := err == nil && current.Owner == k.cfg.Self.ID && current.Incarnation == k.cfg.Self.Incarnation
	switch {
	case isOwner && current.Segments == next.Segments && current.Listed == next.Listed:
		k.markListed(j, results, next, version) // An earlier write took effect although its response was lost.
	case isOwner:
		k.markEnded(j.manifest.Job) // This instance still owns the job, so the write conflicted with the end key.
	default:
		k.log(j.manifest.Job).WithField("owner", current.Owner).Warn("job lost to another instance")
		k.dropOwned(j)
	}
	return nil
}

// markListed records that a segment is in the store.
func (k *Keeper) markListed(j *job, results []Result, next Record, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record, j.version = next, version
	j.listed = append(j.listed, results...)
	j.pending = j.pending[len(results):]
	j.pendingSince = k.now()
	if next.Done {
		k.log(j.manifest.Job).WithFields(logrus.Fields{"total": next.Total, "segments": next.Segments, "age-ms": k.now().Sub(next.SubmittedAt).Milliseconds()}).Info("job done")
	}
	j.notifyReaders()
}

// flushAll writes pending results and progress when the instance shuts down.
func (k *Keeper) flushAll(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, finalFlushTimeout)
	defer cancel()
	for i := range k.shards {
		for _, j := range k.shards[i].all() {
			err = errors.Join(err, k.flush(ctx, j), k.save(ctx, j, 1))
		}
	}
	return merry.Prepend(err, "write results at shutdown")
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
