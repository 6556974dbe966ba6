// Package recorder deduplicates requests that carry an idempotency key. It stores
// an intent in the platform before the request is dispatched, so that a resend
// through any entry finds it.
package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// keyPrefix is the platform prefix of the buckets.
	keyPrefix = "intents/"
	// numBuckets is the number of platform keys that the intents are spread over.
	// It bounds the write rate, since each entry has at most one write in flight
	// per bucket.
	numBuckets = 64
	// MaxAnswerBytes is the size of the largest answer body that is stored.
	MaxAnswerBytes = 16 << 10
	// maxBucketBytes leaves room below storer.MaxValueBytes for the encoding.
	maxBucketBytes = 512 << 10
	// retention is the time for which resends are recognised.
	retention = 24 * time.Hour
)

// Errors of a Recorder.
var (
	// ErrFull means that the intents of a bucket do not fit in one platform value,
	// even without answer bodies.
	ErrFull = merry.Sentinel("the bucket of the idempotency key is full")
	// ErrNotBegun means that this process did not begin the intent, or has already
	// finished or cancelled it.
	ErrNotBegun = merry.Sentinel("the intent was not begun by this process or has ended")
)

// A State is the state of an intent.
type State string

// The states of an intent.
const (
	Running State = "running" // Dispatched or about to be.
	Done    State = "done"    // Its answer is recorded.
)

// An Intent identifies a request that must not run twice.
type Intent struct {
	Workspace     string
	Key           string // The idempotency key as the caller sent it.
	ContentDigest string // Digest of the request content.
}

// An Answer is the recorded answer of a request that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"` // The body was too large to store.
}

// A DecisionKind says what to do with a request.
type DecisionKind string

// The kinds of decisions.
const (
	Fresh    DecisionKind = "fresh"    // The intent is stored; the request may be dispatched once.
	Replay   DecisionKind = "replay"   // The request ran; return the recorded answer.
	InDoubt  DecisionKind = "in-doubt" // The request is running or ended with an unknown outcome.
	Conflict DecisionKind = "conflict" // The key was used with other content.
)

// A Decision is the result of Begin.
type Decision struct {
	Kind   DecisionKind
	Answer Answer // Set for Replay.
}

// A claim is the right to dispatch a fresh intent once.
type claim struct {
	intentID string // Digest of workspace and key.
	attempt  string // Unique to this dispatch.
}

// A Store is the part of the platform's key-value service that the recorder
// needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
}

// A Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// A Recorder stores intents. They are spread over buckets, each with its own
// lock. While a write of a bucket is in flight, further operations are grouped
// into the next one.
type Recorder struct {
	instance string
	attempts atomic.Int64
	buckets  [numBuckets]bucket
}

// New returns a Recorder for the process of an instance. The incarnation
// distinguishes processes that ran under the same instance ID.
func New(instance string, incarnation int64, store Store, clock Clock) *Recorder {
	r := &Recorder{
		instance: instance + "/" + strconv.FormatInt(incarnation, 36),
	}
	for n := range r.buckets {
		r.buckets[n].key = fmt.Sprintf("%s%02d", keyPrefix, n)
		r.buckets[n].store = store
		r.buckets[n].clock = clock
		r.buckets[n].start = clock.Now()
		r.buckets[n].wake = make(chan struct{}, 1)
		r.buckets[n].unfinished = map[string]claim{}
	}
	return r
}

// Start writes intents until ctx ends. The channel then receives one result.
func (r *Recorder) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var wg conc.WaitGroup
		for n := range r.buckets {
			wg.Go(func() { r.buckets[n].run(ctx) })
		}
		wg.Wait()
		done <- nil
	}()
	return done
}

// Begin stores the intent unless one with the same key is stored. On an error the
// request must not be dispatched.
func (r *Recorder) Begin(ctx context.Context, i Intent) (d Decision, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "begin intent for workspace %q", i.Workspace)
		}
	}()

	c := claim{intentID: intentID(i), attempt: r.nextAttempt()}
	op := &operation{
		kind:          begin,
		claim:         c,
		contentDigest: i.ContentDigest,
		done:          make(chan result, 1),
	}
	b := r.bucketOf(c.intentID)
	b.submit(op)

	select {
	case res := <-op.done:
		if res.err != nil && !errors.Is(res.err, ErrFull) {
			b.cancelInBackground(c)
		}
		if res.decision.Kind == Fresh {
			b.addUnfinished(c)
		}
		return res.decision, res.err
	case <-ctx.Done():
		b.cancelInBackground(c)
		return Decision{}, ctx.Err()
	}
}

// Finish records the answer of an intent for which Begin returned Fresh in this
// process. If that fails, resends get InDoubt.
func (r *Recorder) Finish(ctx context.Context, i Intent, answer Answer) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "record the answer to an intent of workspace %q", i.Workspace)
		}
	}()

	if len(answer.Body) > MaxAnswerBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	return r.complete(ctx, i, &operation{kind: finish, answer: answer, done: make(chan result, 1)})
}

// Cancel removes an intent whose request was definitely not dispatched, so that
// a resend may run.
func (r *Recorder) Cancel(ctx context.Context, i Intent) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "cancel an intent of workspace %q", i.Workspace)
		}
	}()

	return r.complete(ctx, i, &operation{kind: cancel, done: make(chan result, 1)})
}

func (r *Recorder) complete(ctx context.Context, i Intent, op *operation) error {
	id := intentID(i)
	b := r.bucketOf(id)
	c, ok := b.takeUnfinished(id)
	if !ok {
		return ErrNotBegun
	}
	op.claim = c
	b.submit(op)
	select {
	case res := <-op.done:
		return res.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Recorder) bucketOf(id string) *bucket {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return &r.buckets[h.Sum32()%numBuckets]
}

func (r *Recorder) nextAttempt() string {
	return r.instance + "/" + strconv.FormatInt(r.attempts.Add(1), 36)
}

// intentID returns a digest, since the idempotency key may contain private data
// of the caller.
func intentID(i Intent) string {
	sum := sha256.Sum256([]byte(i.Workspace + "\x00" + i.Key))
	return hex.EncodeToString(sum[:16])
}
