package jobkeeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// createTries bounds the writes of one submission whose answers are lost.
	createTries = 3
	// createTimeout bounds one of them. It is above what a slow store takes, and
	// leaves time for a second one within the goal of most routes.
	createTimeout = 300 * time.Millisecond
	// submitRetryAfter sends a caller to another instance, which may reach the
	// store.
	submitRetryAfter = 50 * time.Millisecond
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
	// inDoubtTime is how long a write whose answer was lost may still take
	// effect.
	inDoubtTime = 8 * time.Second
)

func (k *Keeper) key(k2 string) string { return k.cfg.Prefix + k2 }

// create writes a job unless it exists, and notes the parts of its manifest in the
// record. A write whose answer is lost is sent
// again under the same condition, which tells whether it took effect.
func (k *Keeper) create(ctx context.Context, m Manifest, r *Record) (created bool, version int64, err error) {
	defer func() { err = merry.Prependf(err, "create job %s", m.Job) }()
	manifest, err := cbor.Marshal(m)
	if err != nil {
		return false, 0, err
	}
	t := storer.Transaction{Expect: []storer.Expectation{{Key: k.key(recordKey(m.Job))}}}
	for part := range slices.Chunk(manifest, maxValueBytes) {
		t.Writes = append(t.Writes, storer.Write{Key: k.key(manifestKey(m.Job, r.Parts)), Value: part})
		r.Parts++
	}
	record, err := cbor.Marshal(*r)
	if err != nil {
		return false, 0, err
	}
	t.Writes = append(t.Writes, storer.Write{Key: k.key(recordKey(m.Job)), Value: record})
	inDoubt := false
	for range createTries {
		version, err = k.createOnce(ctx, t)
		switch {
		case err == nil:
			return true, version, nil
		case errors.Is(err, storer.ErrConflict) && inDoubt:
			return k.createdBefore(ctx, r, m.Job)
		case errors.Is(err, storer.ErrConflict):
			return false, 0, nil
		case errors.Is(err, storer.ErrUnknownEffect):
			inDoubt = true
		case !inDoubt:
			return false, 0, err
		}
	}
	if inDoubt {
		err = storer.ErrUnknownEffect
	}
	return false, 0, err
}

func (k *Keeper) createOnce(ctx context.Context, t storer.Transaction) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	return k.cfg.Store.Commit(ctx, t)
}

// createdBefore tells whether the record that a repeated write met is that of the
// write before it, whose answer was lost.
func (k *Keeper) createdBefore(ctx context.Context, r *Record, id string) (created bool, version int64, err error) {
	present, version, err := k.readRecord(ctx, id)
	if err != nil {
		return false, 0, storer.ErrUnknownEffect
	}
	return present.Owner == r.Owner && present.Incarnation == r.Incarnation, version, nil
}

// submitRefusal promises that no item runs only where nothing was written.
func (k *Keeper) submitRefusal(m Manifest, err error) *refuser.Refusal {
	k.log(m.Job).WithError(err).Warn("job not accepted")
	if errors.Is(err, storer.ErrUnknownEffect) {
		k.cfg.Clock.AfterFunc(inDoubtTime, k.askSweep)
		return refuser.New(refuser.InDoubt, refuser.Unknown, "it is unknown whether the job was accepted")
	}
	refusal := refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the platform's store cannot be reached")
	refusal.RetryAfter = submitRetryAfter
	return refusal
}

func (k *Keeper) readRecord(ctx context.Context, id string) (r Record, version int64, err error) {
	entry, err := k.cfg.Store.Get(ctx, k.key(recordKey(id)))
	if err != nil {
		return Record{}, 0, err
	}
	return r, entry.Version, cbor.Unmarshal(entry.Value, &r)
}

// readResults reads the results of segments from first on.
func (k *Keeper) readResults(ctx context.Context, id string, first, segments int) (results []Result, err error) {
	for n := first; n < segments; n++ {
		entry, err := k.cfg.Store.Get(ctx, k.key(segmentKey(id, n)))
		if err != nil {
			return nil, merry.Prependf(err, "read segment %d", n)
		}
		var segment []Result
		if err := cbor.Unmarshal(entry.Value, &segment); err != nil {
			return nil, err
		}
		results = append(results, segment...)
	}
	return results, nil
}

func (k *Keeper) readManifest(ctx context.Context, id string, parts int) (m Manifest, err error) {
	var data []byte
	for part := range parts {
		entry, err := k.cfg.Store.Get(ctx, k.key(manifestKey(id, part)))
		if err != nil {
			return Manifest{}, err
		}
		data = append(data, entry.Value...)
	}
	return m, cbor.Unmarshal(data, &m)
}

// readEnd notes the end of a job if its caller ended it.
func (k *Keeper) readEnd(ctx context.Context, id string) error {
	_, err := k.cfg.Store.Get(ctx, k.cfg.EndPrefix+id)
	switch {
	case err == nil:
		k.noteEnd(id)
		return nil
	case errors.Is(err, storer.ErrNotFound):
		return nil
	}
	return err
}

// readProgress reads what the former owner saved; nothing where it saved none.
func (k *Keeper) readProgress(ctx context.Context, id string) (saved []Progress, err error) {
	entry, err := k.cfg.Store.Get(ctx, k.key(progressKey(id)))
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return saved, cbor.Unmarshal(entry.Value, &saved)
}

// takeOver makes this instance the owner of a job.
func (k *Keeper) takeOver(ctx context.Context, id string, r Record, version int64) (err error) {
	defer func() { err = merry.Prependf(err, "take over job %s", id) }()
	m, err := k.readManifest(ctx, id, r.Parts)
	if err != nil {
		return err
	}
	if err := k.readEnd(ctx, id); err != nil {
		return err
	}
	saved, err := k.readProgress(ctx, id)
	if err != nil {
		return err
	}
	listed, err := k.readResults(ctx, id, 0, r.Segments)
	if err != nil {
		return err
	}
	former := r.Owner
	expect := []storer.Expectation{{Key: k.key(recordKey(id)), Version: version}}
	if former != k.cfg.Self.ID {
		absent, err := k.ownerExpectation(ctx, r)
		if err != nil {
			return err
		}
		expect = append(expect, absent)
	}
	r.Owner, r.Incarnation = k.cfg.Self.ID, k.cfg.Self.Incarnation
	value, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	version, err = k.cfg.Store.Commit(ctx, storer.Transaction{
		Expect: expect,
		Writes: []storer.Write{{Key: k.key(recordKey(id)), Value: value}},
	})
	if err != nil {
		return err
	}
	k.log(id).WithFields(logrus.Fields{"former-owner": former, "listed": r.Listed, "total": r.Total, "version": version}).Info("job taken over")
	j := newJob(m, r, version, listed)
	j.restore(saved)
	k.adopt(j)
	return nil
}

// ownerExpectation is the state of the owner's key under which its job may be
// taken over: absent, or that of an owner that leaves. While the owner holds its
// lease, what it tells of its jobs is true.
func (k *Keeper) ownerExpectation(ctx context.Context, r Record) (storer.Expectation, error) {
	key := k.cfg.MembersPrefix + r.Owner
	entry, err := k.cfg.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Expectation{Key: key}, nil
	}
	if err != nil {
		return storer.Expectation{}, err
	}
	var owner enroller.Member
	if err := cbor.Unmarshal(entry.Value, &owner); err != nil {
		return storer.Expectation{}, err
	}
	if !owner.Leaving {
		return storer.Expectation{}, merry.Prependf(storer.ErrConflict, "instance %s is present", r.Owner)
	}
	return storer.Expectation{Key: key, Version: entry.Version}, nil
}

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
func (k *Keeper) sleep(d time.Duration) {
	done := make(chan struct{})
	timer := k.cfg.Clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-k.baseContext().Done():
	case <-done:
	}
}

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
		Expect: []storer.Expectation{
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
