package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxWriteAttempts bounds the compare-and-swap attempts of one group before
// its operations fail.
const maxWriteAttempts = 8

// An operationKind is a change of one intent.
type operationKind int

const (
	begin operationKind = iota
	finish
	cancel
)

// An operation is a change that waits for the next write of its bucket.
type operation struct {
	kind    operationKind
	ticket  ticket
	content string
	answer  Answer
	done    chan result // Holds one result; the sender never blocks.
}

// A result is the outcome of an operation once its write is durable.
type result struct {
	decision Decision
	err      error
}

// A record is an intent as the platform keeps it.
type record struct {
	Content string    `json:"content"`
	Attempt string    `json:"attempt"`
	State   State     `json:"state"`
	Begun   time.Time `json:"begun"` // Wall clock; only used for retention.
	Answer  *Answer   `json:"answer,omitempty"`
}

// A bucket is one platform record that holds many intents.
type bucket struct {
	key   string
	store Store
	clock Clock
	start time.Time     // Wall and monotonic time at which the process started.
	wake  chan struct{} // Holds a token when pending is not empty.

	mu      sync.Mutex
	pending []*operation
	kept    map[string]ticket // Fresh intents of this process without an end, by ID.
}

// keep remembers a fresh intent until its end.
func (b *bucket) keep(t ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept[t.id] = t
}

// take forgets a fresh intent and returns its ticket.
func (b *bucket) take(id string) (t ticket, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok = b.kept[id]
	delete(b.kept, id)
	return t, ok
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

// abandon removes an intent whose caller was refused before its write was
// known: the write may still take effect, and the request never runs.
func (b *bucket) abandon(t ticket) {
	b.submit(&operation{kind: cancel, ticket: t, done: make(chan result, 1)})
}

// run writes the pending operations as one group, again and again, until ctx
// ends.
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

// now is the wall clock of the start moved on by the monotonic clock, so that
// a jump of the wall clock neither drops intents nor keeps them.
func (b *bucket) now() time.Time {
	return b.start.Add(b.clock.Now().Sub(b.start)).Round(0)
}

// writeGroup applies a group in one compare-and-swap and reports the results.
func (b *bucket) writeGroup(ctx context.Context, group []*operation) {
	var err error
	for range maxWriteAttempts {
		var results []result
		results, err = b.tryGroup(ctx, group)
		if err == nil {
			for n, op := range group {
				op.done <- results[n]
			}
			return
		}
		// After a lost answer the group is applied again to what the store
		// holds: an operation that took effect is recognised by its attempt,
		// and a late write fails on the version.
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnknownEffect) {
			break
		}
	}
	for _, op := range group {
		op.done <- result{err: err}
	}
}

func (b *bucket) tryGroup(ctx context.Context, group []*operation) (results []result, err error) {
	records, version, err := b.read(ctx)
	if err != nil {
		return nil, err
	}

	b.prune(records)
	changed := false
	results = make([]result, len(group))
	for n, op := range group {
		var c bool
		results[n], c = op.apply(records, b.now())
		changed = changed || c
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

// apply changes records and reports whether it did.
func (op *operation) apply(records map[string]*record, now time.Time) (res result, changed bool) {
	rec, ok := records[op.ticket.id]
	mine := ok && rec.Attempt == op.ticket.attempt

	switch {
	case op.kind == begin && !ok:
		records[op.ticket.id] = &record{
			Content: op.content,
			Attempt: op.ticket.attempt,
			State:   Running,
			Begun:   now,
		}
		return result{decision: Decision{Verdict: Fresh}}, true
	case op.kind == begin:
		return result{decision: rec.decide(op)}, false
	case !mine:
		return result{}, false
	case op.kind == cancel:
		delete(records, op.ticket.id)
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

// decide judges a begin operation against the record that is there.
func (rec *record) decide(op *operation) Decision {
	switch {
	case rec.Content != op.content:
		return Decision{Verdict: Conflict}
	case rec.Attempt == op.ticket.attempt:
		return Decision{Verdict: Fresh}
	case rec.State == Done && rec.Answer != nil:
		return Decision{Verdict: Replay, Answer: *rec.Answer}
	default:
		return Decision{Verdict: InDoubt}
	}
}

// encode drops the bodies of the oldest answers until the value fits.
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

// dropOldestBodies omits bodies, oldest first, worth at least excess bytes.
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
