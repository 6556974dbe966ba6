// Package forwarder serves online requests: it selects a backend server for a
// request, retries or refuses it after a failure, and returns the answer. It is
// independent of the protocol; a BackendClient sends the request and classifies the
// answer.
package forwarder

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/queuer"
	"github.com/quetzalhitch/quetzalhitch/internal/resumer"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// An AnswerOutcome classifies a backend server's answer by what the server did
// with the request.
type AnswerOutcome string

// The outcomes of answers.
const (
	AnswerSucceeded   AnswerOutcome = "answered"    // The server ran the request successfully.
	AnswerFailed      AnswerOutcome = "failed"      // The server ran the request, or may have, and failed.
	AnswerMisdirected AnswerOutcome = "misdirected" // The address now belongs to another server, which did not run the request.
	AnswerNotRun      AnswerOutcome = "not-run"     // The server states that it did not run the request.
	AnswerRejected    AnswerOutcome = "rejected"    // The server rejected the request; a retry cannot succeed.
)

// A Request is a caller's request. It is immutable while it is being served.
type Request struct {
	ID        string // ID of the caller's attempt; servers echo it in their answers.
	Workspace string // Empty on open routes.
	Priority  int    // 0 is the most urgent; that of the workspace if it has one, otherwise that of the route.
	Route     *routefinder.Route
	// ConfigurationVersion is the version of the policy that the route comes from.
	ConfigurationVersion int64
	Service              string
	Method               string
	Host                 string
	Target               string // Path and query, as the caller sent them.
	Header               []sender.Field
	Body                 []byte
	// SharedParts are the IDs of the parts of the prompt that other requests may share.
	SharedParts []string
	ArrivedAt   time.Time
	Deadline    time.Time // The earlier of the caller's deadline and the route's timeout.
	LastEventID string    // ID of the last event that the caller received; empty if the stream starts from its beginning.
	Resumes     string    // ID of the caller's attempt that brought the first event; empty if the caller does not say.
}

// digest identifies the content of the request within its workspace. It does not
// depend on the ID of the attempt.
func (q *Request) digest() string {
	return retrier.Content{Scope: q.Workspace, Method: q.Method, Path: q.Target, Body: q.Body}.Digest()
}

// suspectParts returns the digests of what may crash servers: the shared parts of the
// prompt, and last the whole content.
func (q *Request) suspectParts() []retrier.PartDigest {
	parts := make([]retrier.PartDigest, 0, len(q.SharedParts)+1)
	for _, id := range q.SharedParts {
		parts = append(parts, retrier.DigestPart(q.Service, id))
	}
	return append(parts, retrier.DigestPart(q.Service+"\x00content", q.digest()))
}

// An Attempt is one try to run a request on a backend server.
type Attempt struct {
	Request          *Request
	Backend          balancer.Backend
	Remaining        time.Duration // Time until the request's deadline.
	FirstByteTimeout time.Duration // Maximum wait for the first byte of the answer.
	LastEventID      string        // ID of the last event received; the stream resumes after it.
	Batch            bool          // The request is an item of a batch job.
	ThroughPeer      bool          // A peer has to make the attempt, because this instance is cut off from the server.
	// Holders are the peers of which one has to make the attempt in its part of the limit of
	// the server; empty if any peer may make it, or none has to.
	Holders  []string
	PlacedAt time.Time // When the server was chosen; zero if a peer has chosen it.
}

// An Event is one event of a stream.
type Event struct {
	ID  string
	Raw []byte // Includes the terminating blank line.
}

// A Stream iterates over the events of one answer. Next returns io.EOF only at the
// end of a complete stream.
type Stream interface {
	Next() (Event, error)
	Close()
}

// An Answer is the response of a backend server.
type Answer struct {
	Outcome AnswerOutcome
	Status  int
	Header  []sender.Field
	Body    []byte // Empty for a stream.
	Stream  Stream // Nil if the answer is not a stream.
}

// A BackendClient sends attempts to backend servers. Errors are of type
// *sender.Failure.
type BackendClient interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
}

// Placer selects backend servers.
type Placer interface {
	Acquire(q balancer.Query) (*balancer.Placement, error)
}

// Queue orders requests that wait for a free slot of a server. *queuer.Queue implements
// it.
type Queue interface {
	// Acquire places a request, and waits for a free slot. urgent means that a part of
	// the response has been passed on.
	Acquire(ctx context.Context, t *queuer.Ticket, query balancer.Query, urgent bool) (*balancer.Placement, error)
	// RecordResponse records that the first byte of a response has arrived.
	RecordResponse(t *queuer.Ticket)
}

// CrashTracker records which requests backend servers dropped. *retrier.Retrier
// implements it.
type CrashTracker interface {
	ClearSuspicion(request string)
	RecordCrash(request, server string) retrier.Suspicion
	Suspicion(request string) retrier.Suspicion
}

// PartTracker records on which parts of prompts, and on which whole contents, backend
// servers crashed. *retrier.Parts implements it.
type PartTracker interface {
	retrier.PartStates
	RecordAnswer(parts []retrier.PartDigest)
	RecordLoss(parts []retrier.PartDigest, server, request string)
}

// Origins knows at which version of which service streams began. *resumer.Resumer
// implements it.
type Origins interface {
	RecordBeginning(s resumer.Stream, services []string)
	Find(ctx context.Context, id string, services []string) (origin resumer.Origin, known bool)
}

// A Clock tells the time and starts timers.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) clockwork.Timer
}

// Config holds the dependencies of a forwarder.
type Config struct {
	Clock         Clock
	BackendClient BackendClient
	Placer        Placer
	Queue         Queue // Nil if requests do not wait at this instance.
	Logger        logrus.FieldLogger

	CrashTracker CrashTracker
	PartTracker  PartTracker
	Trials       retrier.Trials
	Origins      Origins
	Meter        metric.Meter
}

// A Forwarder serves online requests.
type Forwarder struct {
	cfg         Config
	instruments *instruments
	runs        atomic.Uint64 // Number of requests so far.
}

// New returns a forwarder.
func New(cfg Config) (f *Forwarder, err error) {
	defer func() { err = merry.Prepend(err, "create forwarder") }()
	i, err := newInstruments(cfg.Meter)
	return &Forwarder{cfg: cfg, instruments: i}, err
}

// A Response is the answer to the caller. The caller must close a stream.
type Response struct {
	Status int
	Header []sender.Field
	Body   []byte // Empty for a stream.

	run      *run
	isStream bool
}

// Forward serves a request. It returns when the answer is complete or, for a stream,
// when the stream begins.
func (f *Forwarder) Forward(ctx context.Context, q *Request) (*Response, *refuser.Refusal) {
	r := &run{f: f, q: q, service: q.Service, lastEventID: q.LastEventID, id: strconv.FormatUint(f.runs.Add(1), 10), digest: q.digest(), parts: q.suspectParts()}
	r.partCheck = retrier.PartCheck{States: f.cfg.PartTracker, Trials: f.cfg.Trials, Parts: r.parts}
	r.ticket = newTicket(q)
	response, refusal := r.start(ctx)
	if refusal != nil || !response.isStream {
		r.report(response, refusal)
	}
	return response, refusal
}

// IsStream reports whether the answer is a stream, which is read with Next.
func (r *Response) IsStream() bool { return r.isStream }

// Next returns the next event of a stream. It returns io.EOF at the end of a
// complete stream and another error if the stream was interrupted.
func (r *Response) Next() ([]byte, error) { return r.run.next() }

// Close stops reading the stream and releases its backend server.
func (r *Response) Close() { r.run.close() }
