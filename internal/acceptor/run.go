package acceptor

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/watcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const headerRequestID = "X-Request-Id"

// run dispatches a request and answers with what comes of it. The dispatch has
// its own goroutine, because a stream is written after the handler has
// returned.
func (a *Acceptor) run(c fiber.Ctx, q dispatcher.Request, creds Credentials) error {
	ctx, cancel := context.WithCancelCause(a.base)
	ctx, session, refusal := a.open(ctx, q, creds)
	if refusal != nil {
		cancel(refusal)
		return refusal
	}
	watch := watcher.WatchClose(c.RequestCtx().Conn(), func() { cancel(dispatcher.ErrCallerGone) })
	b := newBridge()
	a.running.Go(func() {
		refusal := refuser.New(refuser.Internal, refuser.Unknown, "the instance failed to serve the request")
		defer func() {
			b.finish(refusal) // Also after a panic.
			session.Close()
			cancel(context.Canceled)
		}()
		refusal = a.cfg.Dispatcher.Dispatch(ctx, q, b)
	})
	c.Set(headerRequestID, q.ID)
	return answer(c, b, watch, cancel)
}

// A session ends the registration of a running request.
type session interface {
	Close()
}

type openSession struct{}

func (openSession) Close() {}

// open registers the request with its key, so that it ends when the key is
// withdrawn.
func (a *Acceptor) open(ctx context.Context, q dispatcher.Request, creds Credentials) (context.Context, session, *refuser.Refusal) {
	if q.Route.Open {
		return ctx, openSession{}, nil
	}
	ctx, s, ok := a.cfg.Authenticator.Open(ctx, creds.Identity)
	if !ok {
		return ctx, nil, Credentials{Key: creds.Key, Verdict: authenticator.Withdrawn}.Refusal()
	}
	return ctx, s, nil
}

// answer writes the answer, or lets the server stream it.
func answer(c fiber.Ctx, b *bridge, watch *watcher.Watch, cancel context.CancelCauseFunc) error {
	first := <-b.first
	if !first.stream {
		watch.Stop()
	}
	if first.refusal != nil {
		return first.refusal
	}
	for _, f := range first.head.Header {
		c.Set(f.Name, f.Value)
	}
	c.Status(first.head.Status)
	if !first.stream {
		c.Response().SetBodyRaw(first.body)
		return nil
	}
	c.Response().SetBodyStream(&streamReader{bridge: b, onClose: func() {
		cancel(dispatcher.ErrCallerGone) // Without effect after the end of the dispatch.
		watch.Stop()
	}}, -1)
	return nil
}
