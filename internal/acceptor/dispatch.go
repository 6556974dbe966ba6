package acceptor

import (
	"context"
	"errors"
	"io"

	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/watcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const headerRequestID = "X-Request-Id"

// dispatchRequest dispatches a request and writes the response. The dispatch
// runs in its own goroutine, because fiber writes a stream after the handler has
// returned.
func (a *Acceptor) dispatchRequest(c fiber.Ctx, q dispatcher.Request, creds Credentials) error {
	ctx, cancel := context.WithCancelCause(a.baseContext)
	ctx, session, refusal := a.openSession(ctx, q, creds)
	if refusal != nil {
		cancel(refusal)
		return refusal
	}
	watch := watcher.WatchClose(c.RequestCtx().Conn(), func() { cancel(dispatcher.ErrCallerGone) })
	pipe := newResponsePipe()
	a.inFlight.Go(func() {
		refusal := refuser.New(refuser.Internal, refuser.Unknown, "the instance failed to serve the request")
		defer func() {
			pipe.finish(refusal) // Also runs after a panic.
			session.Close()
			cancel(context.Canceled)
		}()
		refusal = a.cfg.Dispatcher.Dispatch(ctx, q, pipe)
	})
	c.Set(headerRequestID, q.ID)
	return writeResponse(c, pipe, watch, cancel)
}

// A session registers a running request until it is closed.
type session interface {
	Close()
}

type noopSession struct{}

func (noopSession) Close() {}

// openSession registers the request under its key, so that the request is
// cancelled when the key is withdrawn. Open routes need no registration.
func (a *Acceptor) openSession(ctx context.Context, q dispatcher.Request, creds Credentials) (context.Context, session, *refuser.Refusal) {
	if q.Route.Open {
		return ctx, noopSession{}, nil
	}
	ctx, s, ok := a.cfg.Authenticator.OpenSession(ctx, creds.Identity)
	if !ok {
		return ctx, nil, Credentials{Key: creds.Key, KeyStatus: authenticator.Withdrawn}.Refusal()
	}
	return ctx, s, nil
}

// writeResponse sets a complete response, or a stream for the server to read.
func writeResponse(c fiber.Ctx, pipe *responsePipe, watch *watcher.Watch, cancel context.CancelCauseFunc) error {
	start := <-pipe.start
	if !start.stream {
		watch.Stop()
	}
	if start.refusal != nil {
		return start.refusal
	}
	for _, f := range start.head.Header {
		c.Set(f.Name, f.Value)
	}
	c.Status(start.head.Status)
	if !start.stream {
		c.Response().SetBodyRaw(start.body)
		return nil
	}
	stream := &streamReader{pipe: pipe, onClose: func() {
		cancel(dispatcher.ErrCallerGone) // No effect once the dispatch has returned.
		watch.Stop()
	}}
	if !c.Request().Header.IsHTTP11() {
		return writeWhole(c, stream)
	}
	c.Response().SetBodyStream(stream, -1)
	return nil
}

// maxWholeBytes is the maximum size of a stream that is sent as a whole.
const maxWholeBytes = 8 << 20

// writeWhole writes a stream as a body with a length, because HTTP/1.0 has no chunks.
func writeWhole(c fiber.Ctx, stream io.ReadCloser) (err error) {
	defer func() { err = errors.Join(err, stream.Close()) }()
	body, err := io.ReadAll(io.LimitReader(stream, maxWholeBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxWholeBytes {
		return refuser.New(refuser.UpstreamFailed, refuser.Unknown, "the answer is too long for HTTP/1.0")
	}
	c.Response().SetBodyRaw(body)
	return nil
}
