// Package forwarder serves one online request: it places the request on a
// backend server, decides what follows a failure, and hands over the answer. It
// knows no protocol; an Engines sends the request and says what came of it.
package forwarder

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// A Verdict says what a backend server did with a request.
type Verdict string

// The verdicts.
const (
	VerdictAnswered    Verdict = "answered"    // It ran the request and answered with success.
	VerdictFailed      Verdict = "failed"      // It ran the request, or may have, and answered with a failure.
	VerdictMisdirected Verdict = "misdirected" // Another server has the address; it did not run the request.
	VerdictNotRun      Verdict = "not-run"     // It states that it did not run the request.
	VerdictRejected    Verdict = "rejected"    // It can never do the request.
)

// A Request is a caller's request. Nothing in it changes while it runs.
type Request struct {
	ID        string // Of the caller's attempt; servers repeat it in their answers.
	Workspace string // Empty on open routes.
	Route     *steerer.Route
	// Configuration is the version of the policy that gave the route.
	Configuration int64
	Service       string
	Method        string
	Host          string
	Target        string // Path and query, as the caller sent them.
	Header        []sender.Field
	Body          []byte
	Arrived       time.Time
	Deadline      time.Time // The caller waits no longer, and neither does the operator.
	After         string    // ID of the last event that the caller had; empty for a request from the start.
}

// digest names the content of the request, whoever sends it again.
func (q *Request) digest() string {
	return retrier.Content{Scope: q.Workspace, Method: q.Method, Path: q.Target, Body: q.Body}.Digest()
}

// An Attempt is a request on its way to one backend server.
type Attempt struct {
	Request   *Request
	Backend   balancer.Backend
	Remaining time.Duration // Until the caller's deadline.
	FirstByte time.Duration // Longest wait for the answer to begin.
	After     string        // ID of the last event had.
	Batch     bool          // It is an item of a job.
}

// An Event is one event of a stream.
type Event struct {
	ID  string
	Raw []byte // With its final blank line.
}

// A Stream gives the events of one answer. Next returns io.EOF after the end
// of a whole stream.
type Stream interface {
	Next() (Event, error)
	Close()
}

// An Answer is what a backend server answered.
type Answer struct {
	Verdict Verdict
	Status  int
	Header  []sender.Field
	Body    []byte // Of an answer that is not a stream.
	Stream  Stream // Nil for an answer that is read whole.
}

// Engines sends attempts to backend servers. An error is a *sender.Failure.
type Engines interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
}

// Placer chooses backend servers.
type Placer interface {
	Acquire(q balancer.Query) (*balancer.Placement, error)
}

// Suspects remembers the contents of requests during which servers died.
// *retrier.Retrier satisfies it.
type Suspects interface {
	ClearSuspicion(digest string)
	RecordCrash(digest, server string) retrier.Suspicion
	Suspicion(digest string) retrier.Suspicion
}

// A Clock tells the time and starts timers.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// A Config holds what a forwarder needs.
type Config struct {
	Clock   Clock
	Engines Engines
	Placer  Placer
	Logger  logrus.FieldLogger

	Suspects Suspects
	Meter    metric.Meter
}

// A Forwarder serves online requests.
type Forwarder struct {
	cfg         Config
	instruments *instruments
}

// New returns a forwarder.
func New(cfg Config) (f *Forwarder, err error) {
	defer func() { err = merry.Prepend(err, "make a forwarder") }()
	i, err := newInstruments(cfg.Meter)
	return &Forwarder{cfg: cfg, instruments: i}, err
}

// A Delivery is an answer on its way to the caller, who closes it.
type Delivery struct {
	Status int
	Header []sender.Field
	Body   []byte // Of an answer that is whole.

	run    *run
	stream bool
}

// Forward runs a request until its answer is whole or, for a stream, begins.
func (f *Forwarder) Forward(ctx context.Context, q *Request) (*Delivery, *refuser.Refusal) {
	r := &run{f: f, q: q, after: q.After, digest: q.digest()}
	d, refusal := r.begin(ctx)
	if refusal != nil || !d.stream {
		r.report(d, refusal)
	}
	return d, refusal
}

// Streams reports whether the answer is a stream that is read through Next.
func (d *Delivery) Streams() bool { return d.stream }

// Next returns the next event of a stream. io.EOF means that the stream is
// whole; any other error that it is cut.
func (d *Delivery) Next() ([]byte, error) { return d.run.next() }

// Close ends the delivery of a stream.
func (d *Delivery) Close() { d.run.close() }
