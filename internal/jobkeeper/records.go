package jobkeeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// maxCreateAttempts limits the attempts to write one submission when responses
	// are lost or other submissions of the workspace change its balance.
	maxCreateAttempts = 4
	// createTimeout limits one attempt. It is longer than a slow store takes, and
	// leaves time for a second attempt within the goal of most routes.
	createTimeout = 300 * time.Millisecond
	// submitRetryAfter is short because the caller may retry at another instance
	// that can reach the store.
	submitRetryAfter = 50 * time.Millisecond
	// inDoubtPeriod is how long a write whose response was lost may still take
	// effect.
	inDoubtPeriod = 8 * time.Second
)

func (k *Keeper) key(name string) string { return k.cfg.Prefix + name }

// create writes a job unless it exists, and stores the number of manifest parts in
// the record. A write whose response is lost is repeated with the same
// precondition; a conflict then shows that the job exists.
func (k *Keeper) create(ctx context.Context, m Manifest, r *Record) (created bool, version int64, err error) {
	defer func() { err = merry.Prependf(err, "create job %s", m.Job) }()
	manifest, err := encoder.Marshal(m)
	if err != nil {
		return false, 0, err
	}
	t := storer.Transaction{Expect: []storer.Precondition{{Key: k.key(recordKey(m.Job))}}}
	for part := range slices.Chunk(manifest, maxValueBytes) {
		t.Writes = append(t.Writes, storer.Write{Key: k.key(manifestKey(m.Job, r.Parts)), Value: part})
		r.Parts++
	}
	record, err := encoder.Marshal(*r)
	if err != nil {
		return false, 0, err
	}
	t.Writes = append(t.Writes, storer.Write{Key: k.key(recordKey(m.Job)), Value: record})
	inDoubt := false
	for range maxCreateAttempts {
		version, err = k.createOnce(ctx, t, m)
		switch {
		case err == nil:
			return true, version, nil
		case errors.Is(err, errJobExists) && inDoubt:
			return k.createdByEarlierAttempt(ctx, r, m.Job)
		case errors.Is(err, errJobExists):
			return false, 0, nil
		case errors.Is(err, storer.ErrUnknownEffect):
			inDoubt = true
		case errors.Is(err, storer.ErrConflict): // The balance of the workspace changed meanwhile.
		case !inDoubt:
			return false, 0, err
		}
	}
	switch {
	case inDoubt:
		err = storer.ErrUnknownEffect
	case errors.Is(err, storer.ErrConflict):
		err = merry.Prepend(storer.ErrUnavailable, err.Error())
	}
	return false, 0, err
}

// createOnce makes one attempt to write a job. It returns errJobExists if the job is in
// the store.
func (k *Keeper) createOnce(ctx context.Context, t storer.Transaction, m Manifest) (version int64, err error) {
	t, err = k.addBalance(ctx, t, m)
	if err != nil {
		return 0, err
	}
	commitCtx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	version, err = k.cfg.Store.Commit(commitCtx, t)
	if !errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	_, _, readErr := k.readRecord(ctx, m.Job)
	switch {
	case readErr == nil:
		return 0, errJobExists
	case errors.Is(readErr, storer.ErrNotFound):
		return 0, err
	}
	return 0, merry.Prepend(storer.ErrUnknownEffect, readErr.Error()) // The job may have been accepted before.
}

// createdByEarlierAttempt reports whether the existing record was written by an
// earlier attempt whose response was lost.
func (k *Keeper) createdByEarlierAttempt(ctx context.Context, r *Record, id string) (created bool, version int64, err error) {
	existing, version, err := k.readRecord(ctx, id)
	if err != nil {
		return false, 0, storer.ErrUnknownEffect
	}
	return existing.Owner == r.Owner && existing.Incarnation == r.Incarnation, version, nil
}

// submitRefusal maps an error of create to a refusal. The outcome is NotRun only if
// nothing was written.
func (k *Keeper) submitRefusal(m Manifest, err error) *refuser.Refusal {
	k.log(m.Job).WithError(err).Warn("failed to store the submitted job")
	if errors.Is(err, storer.ErrUnknownEffect) {
		k.markInDoubt(m.Job)
		return refuser.New(refuser.InDoubt, refuser.Unknown, "it is unknown whether the job was accepted")
	}
	if errors.Is(err, storer.ErrRefused) {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the platform's store does not take the job")
	}
	var full *fullError
	if errors.As(err, &full) {
		refusal := refuser.New(refuser.WaitingLimit, refuser.NotRun, "the workspace has too many tokens waiting on the route")
		refusal.RetryAfter = full.retryAfter
		return refusal
	}
	refusal := refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the platform's store cannot be reached")
	refusal.RetryAfter = submitRetryAfter
	return refusal
}

// markInDoubt records that this instance may own a job, and requests a sweep once
// the write whose response was lost can no longer take effect.
func (k *Keeper) markInDoubt(id string) {
	k.mu.Lock()
	k.inDoubt[id] = true
	k.mu.Unlock()
	k.cfg.Clock.AfterFunc(inDoubtPeriod, func() {
		k.mu.Lock()
		delete(k.inDoubt, id)
		k.mu.Unlock()
		k.requestSweep()
	})
}

func (k *Keeper) isInDoubt(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inDoubt[id]
}

func (k *Keeper) readRecord(ctx context.Context, id string) (r Record, version int64, err error) {
	entry, err := k.cfg.Store.Get(ctx, k.key(recordKey(id)))
	if err != nil {
		return Record{}, 0, err
	}
	return r, entry.Version, encoder.Unmarshal(entry.Value, &r)
}

// readResults reads the results of the segments from first up to, but not
// including, segments.
func (k *Keeper) readResults(ctx context.Context, id string, first, segments int) (results []Result, err error) {
	defer func() { err = merry.Prependf(err, "read segments from %d to %d", first, segments) }()
	values, err := k.readSegments(ctx, id, first, segments)
	if err != nil {
		return nil, err
	}
	for n := first; n < segments; n++ {
		value, ok := values[k.key(segmentKey(id, n))]
		if !ok {
			return nil, merry.Prependf(errUnusable, "segment %d is missing", n)
		}
		var segment []Result
		if err := encoder.Unmarshal(value, &segment); err != nil {
			return nil, merry.Wrap(errUnusable, merry.WithCause(err))
		}
		results = append(results, segment...)
	}
	return results, nil
}

// readSegments returns segments by key, with at most one call to the store.
func (k *Keeper) readSegments(ctx context.Context, id string, first, segments int) (values map[string][]byte, err error) {
	values = map[string][]byte{}
	switch segments - first {
	case 0:
		return values, nil
	case 1:
		entry, err := k.cfg.Store.Get(ctx, k.key(segmentKey(id, first)))
		if errors.Is(err, storer.ErrNotFound) {
			return values, nil
		}
		values[entry.Key] = entry.Value
		return values, err
	}
	listing, err := k.cfg.Store.List(ctx, k.key(segmentPrefix(id)))
	for _, entry := range listing.Entries {
		values[entry.Key] = entry.Value
	}
	return values, err
}

func (k *Keeper) readManifest(ctx context.Context, id string, parts int) (m Manifest, err error) {
	var data []byte
	for part := range parts {
		entry, err := k.cfg.Store.Get(ctx, k.key(manifestKey(id, part)))
		if errors.Is(err, storer.ErrNotFound) {
			return Manifest{}, merry.Prependf(errUnusable, "part %d of the manifest is missing", part)
		}
		if err != nil {
			return Manifest{}, err
		}
		data = append(data, entry.Value...)
	}
	if err := encoder.Unmarshal(data, &m); err != nil {
		return Manifest{}, merry.Wrap(errUnusable, merry.WithCause(err))
	}
	return m, nil
}

// readEnd reads from the store whether a job was ended by the caller. It returns the
// version of the end, or zero if the job was not ended.
func (k *Keeper) readEnd(ctx context.Context, id string) (version int64, err error) {
	defer func() { err = merry.Prependf(err, "read end of job %s", id) }()
	entry, err := k.cfg.Store.Get(ctx, k.cfg.EndPrefix+id)
	switch {
	case err == nil:
		k.log(id).WithField("version", entry.Version).Info("read that the caller ended the job")
		k.markEnded(id)
		return entry.Version, nil
	case errors.Is(err, storer.ErrNotFound):
		return 0, nil
	}
	return 0, err
}

// readProgress reads the progress that the former owner saved, if any. Without it the
// items begin again, so one that cannot be decoded is ignored.
func (k *Keeper) readProgress(ctx context.Context, id string) (saved []Progress, err error) {
	entry, err := k.cfg.Store.Get(ctx, k.key(progressKey(id)))
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := encoder.Unmarshal(entry.Value, &saved); err != nil {
		k.log(id).WithError(err).Warn("ignoring saved progress that cannot be decoded")
		return nil, nil
	}
	return saved, nil
}

// takeOver makes this instance the owner of a job.
func (k *Keeper) takeOver(ctx context.Context, id string, r Record, version int64) (err error) {
	defer func() { err = merry.Prependf(err, "take over job %s", id) }()
	m, err := k.readManifest(ctx, id, r.Parts)
	if err != nil {
		return err
	}
	endVersion, err := k.readEnd(ctx, id)
	if err != nil {
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
	expect := []storer.Precondition{
		{Key: k.key(recordKey(id)), Version: version},
		// Whoever ends the job later reads the new owner from the record and notifies it.
		{Key: k.cfg.EndPrefix + id, Version: endVersion},
	}
	if former != k.cfg.Self.ID {
		ownerAbsent, err := k.absentOwnerPrecondition(ctx, r)
		if err != nil {
			return err
		}
		expect = append(expect, ownerAbsent)
	}
	r.Owner, r.Incarnation = k.cfg.Self.ID, k.cfg.Self.Incarnation
	value, err := encoder.Marshal(r)
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
	j.takenOver = true
	k.memory.add(m.Workspace, j.held)
	j.restoreProgress(saved)
	k.addOwned(j)
	return nil
}

// absentOwnerPrecondition returns the state that the owner's key must have for a
// takeover of its job: absent, or the entry of a leaving owner. As long as the
// owner holds its lease, its answers about its jobs must stay valid.
func (k *Keeper) absentOwnerPrecondition(ctx context.Context, r Record) (storer.Precondition, error) {
	key := k.cfg.MembersPrefix + r.Owner
	entry, err := k.cfg.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Precondition{Key: key}, nil
	}
	if err != nil {
		return storer.Precondition{}, err
	}
	var owner enroller.Member
	if err := encoder.Unmarshal(entry.Value, &owner); err != nil {
		return storer.Precondition{}, err
	}
	if !owner.Leaving {
		return storer.Precondition{}, merry.Prependf(storer.ErrConflict, "owner %s is still enrolled", r.Owner)
	}
	return storer.Precondition{Key: key, Version: entry.Version}, nil
}
