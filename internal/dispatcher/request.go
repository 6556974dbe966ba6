package dispatcher

import (
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A Request is a caller's request as passed by a front end. It must not be
// modified while it runs.
type Request struct {
	ID             string
	Workspace      string // Empty on open routes.
	Route          declarer.Route
	Method         string
	Path           string // Escaped, as sent to the backend server.
	Query          string // As sent by the caller.
	Header         []sender.Field
	Body           []byte
	Keys           []string // API keys in the request; never sent to backend servers.
	IdempotencyKey string
	Prefix         string               // Start of the prompt.
	Parts          []retrier.PartDigest // Parts of the prompt that other requests may share, in the pool of the route.
	Stream         bool                 // The caller asked for a stream.
}

// outbound returns the request as sent to backend servers.
func (q Request) outbound() sender.Request {
	return sender.Request{
		Class:         trafficClassOf(q.Route),
		NewConnection: !q.Route.Idempotent,
		Method:        q.Method,
		Path:          q.Path,
		Query:         sender.StripQuery(q.Query),
		Header:        sender.FilterHeader(q.Header),
		Body:          q.Body,
		RequireDone:   q.Route.Model != "",
	}
}

func trafficClassOf(r declarer.Route) sender.TrafficClass {
	if r.Model != "" {
		return sender.TrafficOnline
	}
	return sender.TrafficService
}

// contentOf returns the content by which requests are identified for quarantine
// and idempotency.
func contentOf(pool string, r sender.Request) retrier.Content {
	c := retrier.Content{Scope: pool, Method: r.Method, Path: r.Path, Query: r.Query, Body: r.Body}
	for _, f := range r.Header {
		if f.Name == "Content-Type" {
			c.ContentType = f.Value
		}
	}
	return c
}

// A Head is the status and header of an answer.
type Head struct {
	Status int
	Header []sender.Field
}

// A Writer writes the answer to one request. An error of any method means that
// the caller has disconnected.
type Writer interface {
	// Whole writes an answer with its complete body.
	Whole(h Head, body []byte) error
	// Begin starts a stream. It is followed by calls of Event and End.
	Begin(h Head) error
	// Event writes one server-sent event including its final blank line.
	Event(event []byte) error
	// End ends a complete stream. It is not called for a truncated stream; the
	// refusal returned by Dispatch says why.
	End() error
}
