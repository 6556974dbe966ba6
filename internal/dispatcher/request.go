package dispatcher

import (
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A Request is a caller's request as a front end hands it over. Nothing in it
// may change while it runs.
type Request struct {
	ID             string
	Workspace      string // Empty on open routes.
	Route          declarer.Route
	Method         string
	Path           string // Escaped, as the backend server gets it.
	Query          string // As the caller sent it.
	Header         []sender.Field
	Body           []byte
	Keys           []string // Keys that came with the request; no backend server sees them.
	IdempotencyKey string
	Prefix         string // Start of the prompt.
	Stream         bool   // The caller asked for a stream.
}

// outbound is the request as it goes to backend servers.
func (q Request) outbound() sender.Request {
	return sender.Request{
		Lane:      laneOf(q.Route),
		Fresh:     !q.Route.Idempotent,
		Method:    q.Method,
		Path:      q.Path,
		Query:     sender.StripQuery(q.Query),
		Header:    sender.StripHeader(q.Header),
		Body:      q.Body,
		NeedsDone: q.Route.Model != "",
	}
}

func laneOf(r declarer.Route) sender.Lane {
	if r.Model != "" {
		return sender.LaneOnline
	}
	return sender.LaneService
}

// contentOf is what two requests have in common that count as the same.
func contentOf(pool string, r sender.Request) retrier.Content {
	c := retrier.Content{Target: pool, Method: r.Method, Path: r.Path, Query: r.Query, Body: r.Body}
	for _, f := range r.Header {
		if f.Name == "Content-Type" {
			c.Type = f.Value
		}
	}
	return c
}

// A Head is the start of an answer.
type Head struct {
	Status int
	Header []sender.Field
}

// A Writer takes the answer to one request. An error of any method means that
// the caller cannot be reached any more.
type Writer interface {
	// Whole takes an answer with its body.
	Whole(h Head, body []byte) error
	// Begin starts a stream, after which come Event and End.
	Begin(h Head) error
	// Event takes one server-sent event with its final blank line.
	Event(event []byte) error
	// End means that the stream is whole. A stream that is cut has no End;
	// the refusal that Dispatch returns says why.
	End() error
}
