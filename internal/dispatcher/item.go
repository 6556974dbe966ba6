package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/router"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// batchSilence is the longest wait for a batch answer and between its
	// bytes. Batch items are due hours later, and an engine may be slow for
	// minutes under online load.
	batchSilence = 5 * time.Minute
	// maxPermitTries bounds the servers for which one item asks for a permit.
	maxPermitTries = 8
)

// An Item is one item of a batch job.
type Item struct {
	ID        string // For the log.
	Workspace string
	Route     declarer.Route
	Path      string // Such as "/v1/chat/completions".
	Body      []byte // JSON.
	Prefix    string // Start of the prompt.
}

// An ItemResult is the answer to an item.
type ItemResult struct {
	Status      int
	ContentType string
	Body        []byte
	Tokens      int // Work done, for fairness between workspaces.
	Server      string
}

// A seat is the right to run one item on one engine.
type seat struct {
	server  *registrar.Server
	permit  Permit
	alone   func() // Ends the reservation of a suspect's server; may be nil.
	request sender.Request
	digest  string
}

// RunItem makes one try of a batch item. The error is ErrYielded or ErrNoRoom
// if the try does not count, and otherwise a *refuser.Refusal.
func (d *Dispatcher) RunItem(ctx context.Context, item Item) (result ItemResult, err error) {
	started := d.cfg.Clock.Now()
	defer func() { d.reportItem(item, result, err, started) }()
	if !item.Route.Batch || !item.Route.Idempotent {
		return result, refuser.New(refuser.RouteNotBatchable, refuser.NotRun, "the route takes no batch items")
	}
	s, err := d.seat(item)
	if err != nil {
		return result, err
	}
	return d.runSeated(ctx, item, s)
}

// seat finds an engine with room and a permit, and counts the item on it.
func (d *Dispatcher) seat(item Item) (*seat, error) {
	pool, ok := d.cfg.Fleet.Pool(registrar.PoolName(item.Route))
	if !ok {
		return nil, ErrNoRoom
	}
	s := &seat{request: itemRequest(item)}
	s.digest = contentOf(pool.Name, s.request).Digest()
	suspicion := d.cfg.Retrier.Suspicion(s.digest)
	switch {
	case suspicion.Quarantined:
		return nil, refuser.New(refuser.RequestQuarantined, refuser.NotRun, "backend servers died while they ran this item")
	case suspicion.RunAlone():
		return s, d.seatAlone(item, pool, s)
	default:
		return s, d.seatAmong(item, pool, s)
	}
}

func itemRequest(item Item) sender.Request {
	return sender.Request{
		Lane:      sender.LaneBatch,
		Method:    http.MethodPost,
		Path:      item.Path,
		Header:    []sender.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:      item.Body,
		FirstByte: batchSilence,
		Progress:  batchSilence,
		NeedsDone: item.Route.Model != "",
	}
}

func (d *Dispatcher) seatAmong(item Item, pool *registrar.Pool, s *seat) error {
	q := router.Query{Class: registrar.Batch, Prefix: item.Prefix}
	for range maxPermitTries {
		decision, err := d.cfg.Router.Choose(pool, q)
		if err != nil {
			return ErrNoRoom
		}
		if d.sit(decision.Server, s) {
			d.logItemChoice(item, decision)
			return nil
		}
		q.Exclude = append(q.Exclude, decision.Server.Name())
	}
	return ErrNoRoom
}

// sit takes a permit and counts the item, if the server still has room.
func (d *Dispatcher) sit(server *registrar.Server, s *seat) bool {
	permit, ok := d.cfg.Permits.AcquirePermit(server.Name())
	if !ok {
		return false
	}
	if !server.TryBeginBatch() {
		permit.Release()
		return false
	}
	s.server, s.permit = server, permit
	return true
}

// seatAlone seats a suspect on a server that is idle now. It does not wait and
// empties no server, because online work goes before it.
func (d *Dispatcher) seatAlone(item Item, pool *registrar.Pool, s *seat) error {
	lane := d.lanes.of(pool.Name)
	if !lane.tryEnter(places(pool)) {
		return ErrNoRoom
	}
	decision, err := d.cfg.Router.Choose(pool, router.Query{Alone: true})
	if err != nil || decision.Server.Load().Total() > 0 || !d.sit(decision.Server, s) {
		lane.leave()
		return ErrNoRoom
	}
	if !s.server.Reserve() {
		d.stand(s)
		lane.leave()
		return ErrNoRoom
	}
	s.alone = func() {
		s.server.Unreserve()
		lane.leave()
	}
	d.logItemChoice(item, decision)
	return nil
}

// stand takes back what sit did.
func (d *Dispatcher) stand(s *seat) {
	s.server.End(registrar.Batch)
	s.permit.Release()
}

func (d *Dispatcher) runSeated(ctx context.Context, item Item, s *seat) (result ItemResult, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	entry := d.displacer.add(s.server.Name(), cancel)
	var watch conc.WaitGroup
	defer func() {
		cancel(context.Canceled)
		watch.Wait()
		d.displacer.remove(s.server.Name(), entry)
		d.stand(s)
		if s.alone != nil {
			s.alone()
		}
	}()
	watch.Go(func() { d.watchPermit(ctx, s.permit, cancel) })
	d.recheck(s, cancel)
	result, err = d.exchange(ctx, s)
	if err != nil {
		return result, d.itemFailed(ctx, s, err)
	}
	result.Server = s.server.Name()
	result.Tokens = countTokens(item.Body, result.Body)
	return result, nil
}

// recheck catches what happened to the server after the item was counted and
// before it was registered: an online request, or a reservation.
func (d *Dispatcher) recheck(s *seat, cancel context.CancelCauseFunc) {
	d.makeRoom(s.server)
	if s.alone == nil && !s.server.Eligible() {
		cancel(ErrYielded)
	}
}

// watchPermit ends the item when its permit lapses.
func (d *Dispatcher) watchPermit(ctx context.Context, p Permit, cancel context.CancelCauseFunc) {
	for {
		left := p.ExpiresAt().Sub(d.cfg.Clock.Now())
		if left <= 0 {
			cancel(ErrYielded)
			return
		}
		select {
		case <-d.cfg.Clock.After(left):
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) exchange(ctx context.Context, s *seat) (result ItemResult, err error) {
	s.request.Address = s.server.Snapshot().Address
	answer, err := d.cfg.Sender.Send(ctx, s.request)
	if err != nil {
		return result, err
	}
	defer answer.Close()
	result = ItemResult{Status: answer.Status, ContentType: answer.ContentType(), Body: answer.Body}
	for answer.Stream {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return result, err
		}
		result.Body = append(result.Body, event...)
	}
	d.cfg.Retrier.Acquit(s.digest)
	if isTemporary(result.Status) {
		return result, errBadStatus
	}
	return result, nil
}

// itemFailed says whether a failed try counts, and learns from it.
func (d *Dispatcher) itemFailed(ctx context.Context, s *seat, err error) error {
	if errors.Is(context.Cause(ctx), ErrYielded) {
		return ErrYielded
	}
	if errors.Is(err, errBadStatus) {
		return refuser.New(refuser.UpstreamFailed, refuser.Unknown, "the engine cannot serve the item now")
	}
	outcome := refuser.Unknown
	var failure *sender.Failure
	if errors.As(err, &failure) {
		d.instruments.countFailure("batch", failure.Cause)
		d.learn(ctx, s.server, failure, s.digest)
		if !failure.Dispatched {
			outcome = refuser.NotRun
		}
	}
	return refuser.New(refuser.UpstreamFailed, outcome, "the engine gave no whole answer")
}
