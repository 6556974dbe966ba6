// Package recorder keeps the intents of requests that carry an idempotency
// key. An intent is durable in the platform before its request is dispatched,
// so that a resend through any entry finds it.
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
	// buckets is the number of platform records that share the intents. It
	// bounds the writes a second: a bucket has one write in flight per entry.
	buckets = 64
	// MaxAnswerBytes is the largest answer that is kept for resends.
	MaxAnswerBytes = 16 << 10
	// maxBucketBytes leaves room below storer.MaxValueBytes for the encoding.
	maxBucketBytes = 512 << 10
	// retention is the time for which a resend is recognised.
	retention = 24 * time.Hour
)

// Errors of intents.
var (
	// ErrFull means that a bucket holds as many intents as fit in one platform
	// value.
	ErrFull = merry.Sentinel("the bucket of the idempotency key is full")
	// ErrNotBegun means that this process did not begin the intent.
	ErrNotBegun = merry.Sentinel("the intent was not begun here")
)

// A State is the state of an intent.
type State string

// The states of an intent.
const (
	Running State = "running" // Dispatched, or about to be.
	Done    State = "done"    // Ran to its end.
)

// An Intent identifies a request that must not run twice.
type Intent struct {
	Workspace     string
	Key           string // The idempotency key as the caller sent it.
	ContentDigest string // Digest of what the request asks for.
}

// An Answer is the recorded answer of a request that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"` // The body was too large to keep.
}

// A Verdict says what to do with a request.
type Verdict string

// The verdicts of Begin.
const (
	Fresh    Verdict = "fresh"    // The intent is durable: dispatch once.
	Replay   Verdict = "replay"   // It ran: give the recorded answer.
	InDoubt  Verdict = "in-doubt" // It runs, or ran with an unknown end.
	Conflict Verdict = "conflict" // The key was used for other content.
)

// A Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	Answer  Answer // Set for Replay.
}

// A ticket is the right to dispatch a fresh intent once.
type ticket struct {
	id      string // Digest of workspace and key.
	attempt string // Unique to this dispatch.
}

// A Store is the part of the platform that the recorder needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// A Recorder makes intents durable. Intents are spread over buckets, each with
// its own lock; the writes of one bucket are grouped while one is in flight.
type Recorder struct {
	instance string
	sequence atomic.Int64
	buckets  [buckets]bucket
}

// New returns a Recorder for the process of an instance. The incarnation
// tells apart processes that ran under the same instance ID.
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
		r.buckets[n].kept = map[string]ticket{}
	}
	return r
}

// Start writes intents until ctx ends, and then reports its end.
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

// Begin makes the intent durable, or finds the one that is. With an error the
// request must not be dispatched.
func (r *Recorder) Begin(ctx context.Context, i Intent) (d Decision, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "begin intent for workspace %q", i.Workspace)
		}
	}()

	t := ticket{id: intentID(i), attempt: r.nextAttempt()}
	op := &operation{
		kind:    begin,
		ticket:  t,
		content: i.ContentDigest,
		done:    make(chan result, 1),
	}
	b := r.bucketOf(t.id)
	b.submit(op)

	select {
	case res := <-op.done:
		if res.err != nil && !errors.Is(res.err, ErrFull) {
			b.abandon(t)
		}
		if res.decision.Verdict == Fresh {
			b.keep(t)
		}
		return res.decision, res.err
	case <-ctx.Done():
		b.abandon(t)
		return Decision{}, ctx.Err()
	}
}

// Finish records the answer of an intent that Begin called fresh here. An
// intent without a recorded end stays in doubt, which is true.
func (r *Recorder) Finish(ctx context.Context, i Intent, answer Answer) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "record the end of an intent of workspace %q", i.Workspace)
		}
	}()

	if len(answer.Body) > MaxAnswerBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	return r.end(ctx, i, &operation{kind: finish, answer: answer, done: make(chan result, 1)})
}

// Cancel removes an intent whose request was surely not dispatched, so that a
// resend may run.
func (r *Recorder) Cancel(ctx context.Context, i Intent) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "cancel an intent of workspace %q", i.Workspace)
		}
	}()

	return r.end(ctx, i, &operation{kind: cancel, done: make(chan result, 1)})
}

func (r *Recorder) end(ctx context.Context, i Intent, op *operation) error {
	id := intentID(i)
	b := r.bucketOf(id)
	t, ok := b.take(id)
	if !ok {
		return ErrNotBegun
	}
	op.ticket = t
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
	return &r.buckets[h.Sum32()%buckets]
}

func (r *Recorder) nextAttempt() string {
	return r.instance + "/" + strconv.FormatInt(r.sequence.Add(1), 36)
}

// intentID hides the idempotency key, which callers may fill with data of
// their own.
func intentID(i Intent) string {
	sum := sha256.Sum256([]byte(i.Workspace + "\x00" + i.Key))
	return hex.EncodeToString(sum[:16])
}
