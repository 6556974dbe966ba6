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

// maxWatchTimeout bounds how long a watch is held.
const maxWatchTimeout = time.Minute

// A parser makes an operation of an HTTP request.
type parseFunc func(c fiber.Ctx) (operation, error)

// routeProtocol serves the platform's HTTP. The calls end with ctx.
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

// handler parses a call and carries it out under the faults in effect.
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
		answer, err := op.run(ctx, s.memory)
		// An outage that began meanwhile takes the answer away.
		if effects.loseResponse || !s.admit(ctx, op) {
			return closeWithoutResponse(c)
		}
		if err != nil {
			return respondError(c, err)
		}
		return respondJSON(c, http.StatusOK, answer)
	}
}

// admit reports whether a call gets through. A call that hangs returns when
// the faults that hold it are over.
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

// pause waits for d and reports whether the server still runs.
func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-s.clock.After(d):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// runDelayed carries out a write whose caller has already lost the connection.
func (s *Server) runDelayed(ctx context.Context, op operation, after time.Duration) {
	s.lateWrites.Go(func() {
		if s.wait(ctx, after) {
			_, _ = op.run(ctx, s.memory)
		}
	})
}

// drop closes the connection without an answer.
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

func respondJSON(c fiber.Ctx, status int, answer any) error {
	c.Status(status)
	if answer == nil {
		return nil
	}
	return c.JSON(answer)
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

// keyFromPath returns the key in the path as it was sent, since the router would
// join the parts of an escaped key otherwise.
func keyFromPath(c fiber.Ctx, base string) (key string, err error) {
	path, _, _ := strings.Cut(c.OriginalURL(), "?")
	key, err = url.PathUnescape(strings.TrimPrefix(path, base+"/"))
	return key, merry.Wrap(err)
}
