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
	// inDoubtTime is how long a write whose answer was lost may still take
	// effect.
	inDoubtTime = 8 * time.Second
)

func (k *Keeper) key(name string) string { return k.cfg.Prefix + name }

// create writes a job unless it exists, and notes the parts of its manifest in
// the record. A write whose answer is lost is sent again under the same condition,
// which tells whether it took effect.
func (k *Keeper) create(ctx context.Context, m Manifest, r *Record) (created bool, version int64, err error) {
	defer func() { err = merry.Prependf(err, "create job %s", m.Job) }()
	manifest, err := cbor.Marshal(m)
	if err != nil {
		return false, 0, err
	}
	t := storer.Transaction{Expect: []storer.Precondition{{Key: k.key(recordKey(m.Job))}}}
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
		k.doubt(m.Job)
		return refuser.New(refuser.InDoubt, refuser.Unknown, "it is unknown whether the job was accepted")
	}
	refusal := refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the platform's store cannot be reached")
	refusal.RetryAfter = submitRetryAfter
	return refusal
}

// doubt notes that a job may be this instance's, and finds out when a write whose
// answer was lost can have no effect any more.
func (k *Keeper) doubt(id string) {
	k.mu.Lock()
	k.doubted[id] = true
	k.mu.Unlock()
	k.cfg.Clock.AfterFunc(inDoubtTime, func() {
		k.mu.Lock()
		delete(k.doubted, id)
		k.mu.Unlock()
		k.askSweep()
	})
}

func (k *Keeper) isDoubted(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doubted[id]
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
	defer func() { err = merry.Prependf(err, "read segments from %d to %d", first, segments) }()
	values, err := k.readSegments(ctx, id, first, segments)
	if err != nil {
		return nil, err
	}
	for n := first; n < segments; n++ {
		value, ok := values[k.key(segmentKey(id, n))]
		if !ok {
			return nil, merry.Errorf("segment %d is missing", n)
		}
		var segment []Result
		if err := cbor.Unmarshal(value, &segment); err != nil {
			return nil, err
		}
		results = append(results, segment...)
	}
	return results, nil
}

// readSegments returns segments by their keys, with one call to the store.
func (k *Keeper) readSegments(ctx context.Context, id string, first, segments int) (values map[string][]byte, err error) {
	values = map[string][]byte{}
	switch segments - first {
	case 0:
		return values, nil
	case 1:
		entry, err := k.cfg.Store.Get(ctx, k.key(segmentKey(id, first)))
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
	expect := []storer.Precondition{{Key: k.key(recordKey(id)), Version: version}}
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
func (k *Keeper) ownerExpectation(ctx context.Context, r Record) (storer.Precondition, error) {
	key := k.cfg.MembersPrefix + r.Owner
	entry, err := k.cfg.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Precondition{Key: key}, nil
	}
	if err != nil {
		return storer.Precondition{}, err
	}
	var owner enroller.Member
	if err := cbor.Unmarshal(entry.Value, &owner); err != nil {
		return storer.Precondition{}, err
	}
	if !owner.Leaving {
		return storer.Precondition{}, merry.Prependf(storer.ErrConflict, "instance %s is present", r.Owner)
	}
	return storer.Precondition{Key: key, Version: entry.Version}, nil
}
