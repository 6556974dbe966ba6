package jobkeeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
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
	j.waiting -= t.item.Tokens * int64(t.positions)
	if len(j.pending) == 0 {
		j.pendingSince = k.now()
	}
	result := Result{Item: t.item.ID, State: state, Text: text}
	j.pending = append(j.pending, slices.Repeat([]Result{result}, t.positions)...)
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
		written := len(j.pending) == 0 || j.ended
		if written && j.doubtful == nil || j.dropped || k.runContext().Err() != nil {
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

// A segmentAttempt is one write of results. It is immutable: while its effect is
// unknown, only the same transaction is repeated, so that the store holds either
// exactly this segment or none.
type segmentAttempt struct {
	transaction storer.Transaction
	results     []Result
	next        Record     // The record that the transaction writes.
	checkpoint  checkpoint // The progress that the transaction writes.
}

// flush writes the pending results as one segment, or repeats the write whose effect
// is unknown.
func (k *Keeper) flush(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	a, err := k.nextSegment(j)
	if a == nil || err != nil {
		return err
	}
	version, err := k.cfg.Store.Commit(ctx, a.transaction)
	switch {
	case errors.Is(err, storer.ErrConflict):
		return k.resolveConflict(ctx, j, a)
	case errors.Is(err, storer.ErrRefused):
		return k.resolveRefusal(ctx, j, a, err)
	case errors.Is(err, storer.ErrUnknownEffect):
		j.setDoubtful(a, k.now())
		return err
	case err != nil:
		return err
	}
	k.markListed(j, a, version)
	return nil
}

// nextSegment returns the write whose effect is unknown, or else a write of the
// pending results. It returns nil if there is nothing to write.
func (k *Keeper) nextSegment(j *job) (*segmentAttempt, error) {
	j.mu.Lock()
	doubtful, version := j.doubtful, j.version
	a := &segmentAttempt{results: firstResults(j.pending), next: j.record}
	if limit := j.afterRefusal; limit.refused {
		a.results = a.results[:min(len(a.results), max(limit.results, 1))]
	} else {
		a.checkpoint = j.checkpoint()
	}
	ended := j.ended
	j.mu.Unlock()
	if doubtful != nil {
		return doubtful, nil
	}
	if len(a.results) == 0 || ended {
		return nil, nil
	}
	a.next.Segments++
	a.next.Listed += len(a.results)
	a.next.Done = a.next.Listed == a.next.Total
	a.next.WaitingTokens -= j.tokensOf(a.results)
	if a.next.Done {
		a.next.WaitingTokens = 0 // Items of a repeated ID may differ in their tokens.
		a.next.DoneAt = k.now()
	}
	var err error
	a.transaction, err = k.segmentWrite(j.manifest.Job, a.results, a.next, version)
	if err != nil {
		return nil, err
	}
	return a, k.appendProgressWrite(&a.transaction, j.manifest.Job, a.checkpoint.saved, a.next.Done)
}

// firstResults returns as many of the pending results as fit into one value.
func firstResults(pending []Result) []Result {
	size := 0
	for i, r := range pending {
		size += r.encodedBytes()
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
	value, err := encoder.Marshal(saved)
	if err != nil {
		return err
	}
	t.Writes = append(t.Writes, storer.Write{Key: k.key(progressKey(id)), Value: value})
	return nil
}

func (k *Keeper) segmentWrite(id string, results []Result, next Record, version int64) (t storer.Transaction, err error) {
	segment, err := encoder.Marshal(results)
	if err != nil {
		return t, err
	}
	record, err := encoder.Marshal(next)
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

// resolveConflict reads from the store why a write of results conflicted. Until that
// is known, the write stays in doubt.
func (k *Keeper) resolveConflict(ctx context.Context, j *job, a *segmentAttempt) error {
	id := j.manifest.Job
	current, version, err := k.readRecord(ctx, id)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		j.setDoubtful(a, k.now())
		return err
	}
	log := k.log(id).WithFields(logrus.Fields{"version": version, "owner": current.Owner, "segments": current.Segments, "listed": current.Listed})
	switch {
	case err != nil:
		log.Warn("job given up: its record is gone")
		k.dropOwned(j)
	case current.Owner != k.cfg.Self.ID || current.Incarnation != k.cfg.Self.Incarnation:
		log.Warn("job lost to another instance")
		k.dropOwned(j)
	case current.Segments >= a.next.Segments:
		log.Info("results had been written although the response was lost")
		k.markListed(j, a, version)
	default:
		return k.resolveEnd(ctx, j, a)
	}
	return nil
}

// resolveEnd reads whether the caller ended the job, after a conflict that the record
// does not explain. The write certainly has no effect once the end is in the store.
func (k *Keeper) resolveEnd(ctx context.Context, j *job, a *segmentAttempt) error {
	endVersion, err := k.readEnd(ctx, j.manifest.Job)
	if err != nil || endVersion == 0 {
		j.setDoubtful(a, k.now())
		return errors.Join(err, merry.Prependf(storer.ErrConflict, "write segment %d", a.next.Segments))
	}
	k.log(j.manifest.Job).WithField("results", len(a.results)).Info("results not listed: the caller ended the job")
	j.setDoubtful(nil, k.now())
	return nil
}

// markListed records that a segment is in the store.
func (k *Keeper) markListed(j *job, a *segmentAttempt, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.doubtful = nil
	j.record, j.version = a.next, version
	if !j.afterRefusal.refused {
		j.savedEvents, j.savedFailures = a.checkpoint.events, a.checkpoint.failures
	}
	j.afterRefusal = segmentLimit{}
	j.listed = append(j.listed, a.results...)
	j.pending = j.pending[len(a.results):]
	j.pendingSince = k.now()
	if a.next.Done {
		k.releaseItems(j)
		k.log(j.manifest.Job).WithFields(logrus.Fields{"total": a.next.Total, "segments": a.next.Segments, "age-ms": k.now().Sub(a.next.SubmittedAt).Milliseconds()}).Info("job done")
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
