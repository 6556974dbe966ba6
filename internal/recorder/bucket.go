package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxWriteAttempts bounds the compare-and-swap attempts for one group of
// operations.
const maxWriteAttempts = 8

// An operationKind is a kind of change to an intent.
type operationKind int

const (
	begin operationKind = iota
	finish
	cancel
)

// An operation is a change to one intent that is pending until the next write of
// its bucket.
type operation struct {
	kind          operationKind
	claim         claim
	contentDigest string
	answer        Answer
	done          chan result // Holds one result; the sender never blocks.
}

// A result is the outcome of an operation once its write is durable.
type result struct {
	decision Decision
	err      error
}

// A record is the stored form of an intent.
type record struct {
	ContentDigest string    `json:"content"`
	Attempt       string    `json:"attempt"`
	State         State     `json:"state"`
	Begun         time.Time `json:"begun"` // Wall clock; only used for retention.
	Answer        *Answer   `json:"answer,omitempty"`
}

// A bucket is one platform key whose value holds many intents.
type bucket struct {
	key   string
	store Store
	clock Clock
	start time.Time     // Wall and monotonic time at process start.
	wake  chan struct{} // Signals that pending is not empty.

	mu         sync.Mutex
	pending    []*operation
	unfinished map[string]claim // Intents begun by this process and not yet finished or cancelled, by ID.
}

// addUnfinished stores the claim of a fresh intent until the intent is finished
// or cancelled.
func (b *bucket) addUnfinished(c claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unfinished[c.intentID] = c
}

// takeUnfinished removes the claim of an intent and returns it.
func (b *bucket) takeUnfinished(id string) (c claim, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok = b.unfinished[id]
	delete(b.unfinished, id)
	return c, ok
}

// submit queues op for the next write.
func (b *bucket) submit(op *operation) {
	b.mu.Lock()
	b.pending = append(b.pending, op)
	b.mu.Unlock()

	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancelInBackground removes an intent whose caller was refused before the
// outcome of its write was known: the write may still take effect although the
// request never runs.
func (b *bucket) cancelInBackground(c claim) {
	b.submit(&operation{kind: cancel, claim: c, done: make(chan result, 1)})
}

// run writes pending operations in groups until ctx ends.
func (b *bucket) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		b.mu.Lock()
		group := b.pending
		b.pending = nil
		b.mu.Unlock()
		b.writeGroup(ctx, group)
	}
}

// now returns the wall time of the start plus the monotonic time since then, so
// that a jump of the wall clock does not affect retention.
func (b *bucket) now() time.Time {
	return b.start.Add(b.clock.Now().Sub(b.start)).Round(0)
}

// writeGroup applies a group in one compare-and-swap and reports the results.
func (b *bucket) writeGroup(ctx context.Context, group []*operation) {
	var err error
	for range maxWriteAttempts {
		var results []result
		results, err = b.tryWrite(ctx, group)
		if err == nil {
			for n, op := range group {
				op.done <- results[n]
			}
			return
		}
		// After a lost answer the group is applied again to the stored records: an
		// operation that took effect is recognised by its attempt, and a delayed
		// write fails on its expected version.
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnknownEffect) {
			break
		}
	}
	for _, op := range group {
		op.done <- result{err: err}
	}
}

func (b *bucket) tryWrite(ctx context.Context, group []*operation) (results []result, err error) {
	records, version, err := b.read(ctx)
	if err != nil {
		return nil, err
	}

	b.prune(records)
	changed := false
	results = make([]result, len(group))
	for n, op := range group {
		var modified bool
		results[n], modified = op.apply(records, b.now())
		changed = changed || modified
	}
	if !changed {
		return results, nil
	}

	value, err := encode(records)
	if err != nil {
		return nil, err
	}
	_, err = b.store.Put(ctx, storer.PutRequest{Key: b.key, Value: value, ExpectedVersion: version})
	return results, err
}

func (b *bucket) read(ctx context.Context) (records map[string]*record, version int64, err error) {
	records = map[string]*record{}
	entry, err := b.store.Get(ctx, b.key)
	if errors.Is(err, storer.ErrNotFound) {
		return records, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	err = json.Unmarshal(entry.Value, &records)
	return records, entry.Version, err
}

func (b *bucket) prune(records map[string]*record) {
	oldest := b.now().Add(-retention)
	for id, rec := range records {
		if rec.Begun.Before(oldest) {
			delete(records, id)
		}
	}
}

// apply applies the operation to records and reports whether it changed them.
func (op *operation) apply(records map[string]*record, now time.Time) (res result, changed bool) {
	rec, ok := records[op.claim.intentID]
	sameAttempt := ok && rec.Attempt == op.claim.attempt

	switch {
	case op.kind == begin && !ok:
		records[op.claim.intentID] = &record{
			ContentDigest: op.contentDigest,
			Attempt:       op.claim.attempt,
			State:         Running,
			Begun:         now,
		}
		return result{decision: Decision{Kind: Fresh}}, true
	case op.kind == begin:
		return result{decision: rec.decide(op)}, false
	case !sameAttempt:
		return result{}, false
	case op.kind == cancel:
		delete(records, op.claim.intentID)
		return result{}, true
	case rec.State == Done:
		return result{}, false
	default:
		answer := op.answer
		rec.State = Done
		rec.Answer = &answer
		return result{}, true
	}
}

// decide returns the decision on a begin operation whose intent has a record.
func (rec *record) decide(op *operation) Decision {
	switch {
	case rec.ContentDigest != op.contentDigest:
		return Decision{Kind: Conflict}
	case rec.Attempt == op.claim.attempt:
		return Decision{Kind: Fresh}
	case rec.State == Done && rec.Answer != nil:
		return Decision{Kind: Replay, Answer: *rec.Answer}
	default:
		return Decision{Kind: InDoubt}
	}
}

// encode encodes the records. It drops the bodies of the oldest answers until the
// value fits.
func encode(records map[string]*record) (value []byte, err error) {
	for {
		value, err = json.Marshal(records)
		if err != nil || len(value) <= maxBucketBytes {
			return value, err
		}
		if !dropOldestBodies(records, len(value)-maxBucketBytes) {
			return nil, ErrFull
		}
	}
}

// dropOldestBodies drops answer bodies, oldest first, until they add up to at
// least excess bytes.
func dropOldestBodies(records map[string]*record, excess int) (dropped bool) {
	for excess > 0 {
		var oldest *record
		for _, rec := range records {
			if rec.Answer == nil || len(rec.Answer.Body) == 0 {
				continue
			}
			if oldest == nil || rec.Begun.Before(oldest.Begun) {
				oldest = rec
			}
		}
		if oldest == nil {
			return dropped
		}
		excess -= len(oldest.Answer.Body)
		oldest.Answer.Body = nil
		oldest.Answer.Omitted = true
		dropped = true
	}
	return dropped
}
