package platformemulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// maxWatchTimeout is the longest time that a watch blocks.
const maxWatchTimeout = time.Minute

// A parseFunc parses an HTTP request into an operation.
type parseFunc func(c fiber.Ctx) (operation, error)

// routeProtocol registers the handlers of the platform API. Calls are aborted
// when ctx ends.
func (s *Server) routeProtocol(ctx context.Context, app *fiber.App) {
	app.Get(storer.PathKeys, s.handler(ctx, parseList))
	app.Get(storer.PathKeys+"/*", s.handler(ctx, parseGet))
	app.Put(storer.PathKeys+"/*", s.handler(ctx, parsePut))
	app.Delete(storer.PathKeys+"/*", s.handler(ctx, parseDelete))
	app.Get(storer.PathWatch+"/*", s.handler(ctx, parseWatch))
	app.Post(storer.PathLeases, s.handler(ctx, parseGrant))
	app.Post(storer.PathLeases+"/:id/renew", s.handler(ctx, parseRenew))
	app.Delete(storer.PathLeases+"/:id", s.handler(ctx, parseRevoke))
	app.Get(storer.PathInstances, s.handler(ctx, s.parseInstances))
}

// handler parses a call and executes it under the faults in effect.
func (s *Server) handler(ctx context.Context, parse parseFunc) fiber.Handler {
	return func(c fiber.Ctx) error {
		op, err := parse(c)
		if err != nil {
			return respondError(c, merry.Prepend(storer.ErrRefused, err.Error()))
		}
		s.stats.count(op)
		if !s.admit(ctx, op) {
			return closeWithoutResponse(c)
		}
		effects := s.faults.effectsOn(op.call())
		if effects.loseResponse && effects.applyAfter > 0 {
			s.runDelayed(ctx, op, effects.applyAfter)
			return closeWithoutResponse(c)
		}
		if !s.wait(ctx, effects.delay) {
			return closeWithoutResponse(c)
		}
		response, err := op.run(ctx, s.memory)
		// An outage that began in the meantime loses the response.
		if effects.loseResponse || !s.admit(ctx, op) {
			return closeWithoutResponse(c)
		}
		if err != nil {
			return respondError(c, err)
		}
		return respondJSON(c, http.StatusOK, response)
	}
}

// admit reports whether no outage affects a call. It blocks while the call hangs
// and then returns false.
func (s *Server) admit(ctx context.Context, op operation) bool {
	for hung := false; ; hung = true {
		outage, changed := s.faults.outage(op.call())
		if outage != OutageHang {
			return outage == OutageNone && !hung && ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// wait waits for d and reports whether the server is still running.
func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-s.clock.After(d):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// runDelayed executes a write after a delay, when its connection has already
// been closed.
func (s *Server) runDelayed(ctx context.Context, op operation, after time.Duration) {
	s.lateWrites.Go(func() {
		if s.wait(ctx, after) {
			_, _ = op.run(ctx, s.memory)
		}
	})
}

// closeWithoutResponse hijacks the connection, which closes it without sending a
// response.
func closeWithoutResponse(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(net.Conn) {})
	return nil
}

func respondError(c fiber.Ctx, err error) error {
	if errors.Is(err, errNoNewerVersion) {
		return c.SendStatus(http.StatusNoContent)
	}
	status, body := storer.EncodeError(err)
	return respondJSON(c, status, body)
}

func respondJSON(c fiber.Ctx, status int, document any) error {
	c.Status(status)
	if document == nil {
		return nil
	}
	return c.JSON(document)
}

func parseList(c fiber.Ctx) (operation, error) {
	return &listOperation{client: clientID(c), prefix: c.Query(storer.ParamPrefix)}, nil
}

func parseGet(c fiber.Ctx) (operation, error) {
	key, err := keyFromPath(c, storer.PathKeys)
	return &getOperation{client: clientID(c), key: key}, err
}

func parsePut(c fiber.Ctx) (operation, error) {
	var body storer.PutBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return nil, merry.Wrap(err)
	}
	key, err := keyFromPath(c, storer.PathKeys)
	request := storer.PutRequest{
		Key:             key,
		Value:           body.Value,
		ExpectedVersion: body.ExpectedVersion,
		LeaseID:         body.LeaseID,
	}
	return &putOperation{client: clientID(c), request: request}, err
}

func parseDelete(c fiber.Ctx) (operation, error) {
	version, err := strconv.ParseInt(c.Query(storer.ParamExpectedVersion), 10, 64)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	key, err := keyFromPath(c, storer.PathKeys)
	return &deleteOperation{client: clientID(c), key: key, expectedVersion: version}, err
}

func parseWatch(c fiber.Ctx) (operation, error) {
	version, err := strconv.ParseInt(c.Query(storer.ParamAfterVersion, "0"), 10, 64)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	timeout, err := time.ParseDuration(c.Query(storer.ParamTimeout, maxWatchTimeout.String()))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	key, err := keyFromPath(c, storer.PathWatch)
	return &watchOperation{
		client:       clientID(c),
		key:          key,
		afterVersion: version,
		timeout:      min(timeout, maxWatchTimeout),
	}, err
}

func parseGrant(c fiber.Ctx) (operation, error) {
	var body storer.LeaseBody
	err := json.Unmarshal(c.Body(), &body)
	return &leaseOperation{client: clientID(c), action: grantLease, ttl: body.TTL()}, merry.Wrap(err)
}

func parseRenew(c fiber.Ctx) (operation, error) {
	id, err := strconv.ParseInt(c.Params("id"), 10, 64)
	return &leaseOperation{client: clientID(c), action: renewLease, id: id}, merry.Wrap(err)
}

func parseRevoke(c fiber.Ctx) (operation, error) {
	id, err := strconv.ParseInt(c.Params("id"), 10, 64)
	return &leaseOperation{client: clientID(c), action: revokeLease, id: id}, merry.Wrap(err)
}

func (s *Server) parseInstances(c fiber.Ctx) (operation, error) {
	return &instancesOperation{client: clientID(c), server: s}, nil
}

func clientID(c fiber.Ctx) string {
	return c.Get(storer.ClientHeader)
}

// keyFromPath returns the key from the path as it was sent, because the router
// would merge the segments of an escaped key.
func keyFromPath(c fiber.Ctx, base string) (key string, err error) {
	path, _, _ := strings.Cut(c.OriginalURL(), "?")
	key, err = url.PathUnescape(strings.TrimPrefix(path, base+"/"))
	return key, merry.Wrap(err)
}
