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
type parser func(c fiber.Ctx) (operation, error)

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
func (s *Server) handler(ctx context.Context, parse parser) fiber.Handler {
	return func(c fiber.Ctx) error {
		op, err := parse(c)
		if err != nil {
			return answerError(c, merry.Prepend(storer.ErrRefused, err.Error()))
		}
		s.stats.count(op)
		if !s.admit(ctx, op) {
			return drop(c)
		}
		plan := s.faults.plan(op.call())
		if plan.lose && plan.applyAfter > 0 {
			s.runLate(ctx, op, plan.applyAfter)
			return drop(c)
		}
		if !s.pause(ctx, plan.delay) {
			return drop(c)
		}
		answer, err := op.run(ctx, s.memory)
		// An outage that began meanwhile takes the answer away.
		if plan.lose || !s.admit(ctx, op) {
			return drop(c)
		}
		if err != nil {
			return answerError(c, err)
		}
		return answerJSON(c, http.StatusOK, answer)
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
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-s.clock.After(d):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// runLate carries out a write whose caller has already lost the connection.
func (s *Server) runLate(ctx context.Context, op operation, after time.Duration) {
	s.late.Go(func() {
		if s.pause(ctx, after) {
			_, _ = op.run(ctx, s.memory)
		}
	})
}

// drop closes the connection without an answer.
func drop(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(net.Conn) {})
	return nil
}

func answerError(c fiber.Ctx, err error) error {
	if errors.Is(err, errNothingNewer) {
		return c.SendStatus(http.StatusNoContent)
	}
	status, body := storer.EncodeError(err)
	return answerJSON(c, status, body)
}

func answerJSON(c fiber.Ctx, status int, answer any) error {
	c.Status(status)
	if answer == nil {
		return nil
	}
	return c.JSON(answer)
}

func parseList(c fiber.Ctx) (operation, error) {
	return &listOperation{client: client(c), prefix: c.Query(storer.ParamPrefix)}, nil
}

func parseGet(c fiber.Ctx) (operation, error) {
	key, err := keyOf(c, storer.PathKeys)
	return &getOperation{client: client(c), key: key}, err
}

func parsePut(c fiber.Ctx) (operation, error) {
	var body storer.PutBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return nil, merry.Wrap(err)
	}
	key, err := keyOf(c, storer.PathKeys)
	request := storer.PutRequest{
		Key:             key,
		Value:           body.Value,
		ExpectedVersion: body.ExpectedVersion,
		LeaseID:         body.LeaseID,
	}
	return &putOperation{client: client(c), request: request}, err
}

func parseDelete(c fiber.Ctx) (operation, error) {
	version, err := strconv.ParseInt(c.Query(storer.ParamExpectedVersion), 10, 64)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	key, err := keyOf(c, storer.PathKeys)
	return &deleteOperation{client: client(c), key: key, expectedVersion: version}, err
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
	key, err := keyOf(c, storer.PathWatch)
	return &watchOperation{
		client:       client(c),
		key:          key,
		afterVersion: version,
		timeout:      min(timeout, maxWatchTimeout),
	}, err
}

func parseGrant(c fiber.Ctx) (operation, error) {
	var body storer.LeaseBody
	err := json.Unmarshal(c.Body(), &body)
	return &leaseOperation{client: client(c), verb: grantLease, ttl: body.TTL()}, merry.Wrap(err)
}

func parseRenew(c fiber.Ctx) (operation, error) {
	id, err := strconv.ParseInt(c.Params("id"), 10, 64)
	return &leaseOperation{client: client(c), verb: renewLease, id: id}, merry.Wrap(err)
}

func parseRevoke(c fiber.Ctx) (operation, error) {
	id, err := strconv.ParseInt(c.Params("id"), 10, 64)
	return &leaseOperation{client: client(c), verb: revokeLease, id: id}, merry.Wrap(err)
}

func (s *Server) parseInstances(c fiber.Ctx) (operation, error) {
	return &instancesOperation{client: client(c), server: s}, nil
}

func client(c fiber.Ctx) string {
	return c.Get(storer.ClientHeader)
}

// keyOf returns the key in the path as it was sent, since the router would
// join the parts of an escaped key otherwise.
func keyOf(c fiber.Ctx, base string) (key string, err error) {
	path, _, _ := strings.Cut(c.OriginalURL(), "?")
	key, err = url.PathUnescape(strings.TrimPrefix(path, base+"/"))
	return key, merry.Wrap(err)
}
