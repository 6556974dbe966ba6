package tunneler

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// A request asks a peer to make an attempt.
type request struct {
	ID        string           `cbor:"id"`
	Workspace string           `cbor:"workspace"`
	Service   string           `cbor:"service"`
	Kind      routefinder.Kind `cbor:"kind"`
	Method    string           `cbor:"method"`
	Host      string           `cbor:"host"`
	Target    string           `cbor:"target"`
	Header    []field          `cbor:"header"`
	Body      []byte           `cbor:"body"`

	Server           string        `cbor:"server"`
	ServerAddress    string        `cbor:"server-address"`
	ServerDomain     string        `cbor:"server-domain,omitempty"` // Failure domain; absent in requests of earlier builds.
	ServerStartedAt  int64         `cbor:"server-started-at"`
	Remaining        time.Duration `cbor:"remaining"`
	FirstByteTimeout time.Duration `cbor:"first-byte-timeout"`
	LastEventID      string        `cbor:"last-event-id"`
	Batch            bool          `cbor:"batch"`
}

type field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// minStatus and maxStatus are the range of the status of an answer.
const minStatus, maxStatus = 100, 599

// A head is the first message of an answer. Exactly one of Failure and Outcome is set.
type head struct {
	Failure *failure `cbor:"failure,omitempty"`
	// RetryAfter is when the part of a holder has room again, if the attempt failed for that.
	RetryAfter time.Duration           `cbor:"retry-after,omitempty"`
	Outcome    forwarder.AnswerOutcome `cbor:"outcome,omitempty"`
	Status     int                     `cbor:"status,omitempty"`
	Header     []field                 `cbor:"header,omitempty"`
	Body       []byte                  `cbor:"body,omitempty"`
	Stream     bool                    `cbor:"stream,omitempty"` // Events follow.
}

// An event is one event of a stream, or its end.
type event struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Raw     []byte
	End     bool     // The stream is complete.
	Failure *failure // The stream broke off.
}

// A failure is a *sender.Failure.
type failure struct {
	_          struct{} `cbor:",toarray"`
	Cause      sender.Cause
	Dispatched bool
	Detail     string
}

func requestOf(a forwarder.Attempt) request {
	q := a.Request
	return request{
		ID: q.ID, Workspace: q.Workspace, Service: q.Service, Kind: q.Route.Kind, Method: q.Method, Host: q.Host, Target: q.Target,
		Header: fieldsOf(q.Header), Body: q.Body, Server: a.Backend.ID, ServerAddress: a.Backend.Address, ServerDomain: a.Backend.FailureDomain,
		ServerStartedAt: a.Backend.StartedAt, Remaining: a.Remaining,
		FirstByteTimeout: a.FirstByteTimeout, LastEventID: a.LastEventID, Batch: a.Batch,
	}
}

// attempt returns the attempt, which goes directly to the server.
func (r request) attempt() forwarder.Attempt {
	return forwarder.Attempt{
		Request: &forwarder.Request{
			ID: r.ID, Workspace: r.Workspace, Service: r.Service, Route: &routefinder.Route{Kind: r.Kind},
			Method: r.Method, Host: r.Host, Target: r.Target, Header: headerOf(r.Header), Body: r.Body,
		},
		Backend: balancer.Backend{
			ID: r.Server, Service: r.Service, Address: r.ServerAddress, FailureDomain: r.ServerDomain, StartedAt: r.ServerStartedAt,
		},
		Remaining: r.Remaining, FirstByteTimeout: r.FirstByteTimeout, LastEventID: r.LastEventID, Batch: r.Batch,
	}
}

func headOf(a *forwarder.Answer) head {
	return head{Outcome: a.Outcome, Status: a.Status, Header: fieldsOf(a.Header), Body: a.Body, Stream: a.Stream != nil}
}

// outcomes are the outcomes that the answer of a server can have.
var outcomes = []forwarder.AnswerOutcome{
	forwarder.AnswerSucceeded, forwarder.AnswerFailed, forwarder.AnswerMisdirected, forwarder.AnswerNotRun, forwarder.AnswerRejected,
}

// isValid reports whether the message names an answer that a server can have sent.
func (h head) isValid() bool {
	return slices.Contains(outcomes, h.Outcome) && h.Status >= minStatus && h.Status <= maxStatus
}

// hasValidFieldNames reports whether the names of all fields are tokens. Peers of earlier
// builds pass on malformed heads of servers.
func (h head) hasValidFieldNames() bool {
	return !slices.ContainsFunc(h.Header, func(f field) bool { return !httpguts.ValidHeaderFieldName(f.Name) })
}

// answer returns the answer without its stream.
func (h head) answer() *forwarder.Answer {
	return &forwarder.Answer{Outcome: h.Outcome, Status: h.Status, Header: headerOf(h.Header), Body: h.Body}
}

func fieldsOf(header []sender.Field) []field {
	fields := make([]field, 0, len(header))
	for _, f := range header {
		fields = append(fields, field{Name: f.Name, Value: f.Value})
	}
	return fields
}

func headerOf(fields []field) []sender.Field {
	header := make([]sender.Field, 0, len(fields))
	for _, f := range fields {
		header = append(header, sender.Field{Name: f.Name, Value: f.Value})
	}
	return header
}

func failureOf(err error) *failure {
	f := asFailure(err)
	return &failure{Cause: f.Cause, Dispatched: f.Dispatched, Detail: f.Err.Error()}
}

func (f *failure) err() error {
	return &sender.Failure{Cause: f.Cause, Dispatched: f.Dispatched, Err: merry.New(f.Detail)}
}
