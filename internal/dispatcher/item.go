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
	// batchReadTimeout bounds the wait for the first byte of a batch answer and
	// the pauses after it. Batch items are due hours later, and an engine may
	// be slow for minutes under online load.
	batchReadTimeout = 5 * time.Minute
	// maxPermitTries bounds the servers that are tried for one item.
	maxPermitTries = 8
)

// An Item is one item of a batch job.
type Item struct {
	ID        string // For log lines.
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

// A placement is the right to run one item on one engine.
type placement struct {
	server       *registrar.Server
	permit       Permit
	endIsolation func() // Ends the reservation for a suspect; nil for other items.
	request      sender.Request
	digest       string
}

// RunItem makes one try of a batch item. The error is ErrPreempted, ErrNoCapacity or
// ErrServerCrashed if the try does not count, and otherwise a *refuser.Refusal.
func (d *Dispatcher) RunItem(ctx context.Context, item Item) (result ItemResult, err error) {
	started := d.cfg.Clock.Now()
	defer func() { d.reportItem(item, result, err, started) }()
	if !item.Route.Batch || !item.Route.Idempotent {
		return result, refuser.New(refuser.RouteNotBatchable, refuser.NotRun, "the route takes no batch items")
	}
	p, err := d.placeItem(item)
	if err != nil {
		return result, err
	}
	return d.runPlaced(ctx, item, p)
}

// placeItem finds an engine with free capacity and a permit, and adds the item
// to its load.
func (d *Dispatcher) placeItem(item Item) (*placement, error) {
	pool, ok := d.cfg.Fleet.Pool(registrar.PoolName(item.Route))
	if !ok {
		return nil, ErrNoCapacity
	}
	p := &placement{request: itemRequest(item)}
	p.digest = contentOf(pool.Name, p.request).Digest()
	if d.cfg.Retrier.Suspicion(p.digest).Crashes > 0 {
		return p, d.placeIsolated(item, pool, p) // Also in quarantine: the item is still owed.
	}
	return p, d.placeShared(item, pool, p)
}

func itemRequest(item Item) sender.Request {
	return sender.Request{
		Class:            sender.TrafficBatch,
		Method:           http.MethodPost,
		Path:             item.Path,
		Header:           []sender.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:             item.Body,
		FirstByteTimeout: batchReadTimeout,
		ProgressTimeout:  batchReadTimeout,
		RequireDone:      item.Route.Model != "",
	}
}

func (d *Dispatcher) placeShared(item Item, pool *registrar.Pool, p *placement) error {
	q := router.Query{Class: registrar.Batch, Prefix: item.Prefix}
	for range maxPermitTries {
		decision, err := d.cfg.Router.Choose(pool, q)
		if err != nil {
			return ErrNoCapacity
		}
		if d.takeSlot(decision.Server, p) {
			d.logItemChoice(item, decision)
			return nil
		}
		q.Exclude = append(q.Exclude, decision.Server.Name())
	}
	return ErrNoCapacity
}

// takeSlot acquires a permit and adds the item to the server's load, if the
// server still has free capacity.
func (d *Dispatcher) takeSlot(server *registrar.Server, p *placement) bool {
	permit, ok := d.cfg.Permits.AcquirePermit(server.Name())
	if !ok {
		return false
	}
	if !server.TryBeginBatch() {
		permit.Release()
		return false
	}
	p.server, p.permit = server, permit
	return true
}

// placeIsolated places a suspect on a server that is idle now. It neither waits
// nor preempts, because online requests have priority.
func (d *Dispatcher) placeIsolated(item Item, pool *registrar.Pool, p *placement) error {
	limit := d.isolation.forPool(pool.Name)
	if !limit.tryAcquire(isolationSlots(pool)) {
		return ErrNoCapacity
	}
	decision, err := d.cfg.Router.Choose(pool, router.Query{Isolated: true})
	if err != nil || decision.Server.Load().Total() > 0 || !d.takeSlot(decision.Server, p) {
		limit.release()
		return ErrNoCapacity
	}
	if !p.server.Reserve() {
		d.releaseSlot(p)
		limit.release()
		return ErrNoCapacity
	}
	p.endIsolation = func() {
		p.server.Unreserve()
		limit.release()
	}
	d.logItemChoice(item, decision)
	return nil
}

// releaseSlot reverts takeSlot.
func (d *Dispatcher) releaseSlot(p *placement) {
	p.server.End(registrar.Batch)
	p.permit.Release()
}

func (d *Dispatcher) runPlaced(ctx context.Context, item Item, p *placement) (result ItemResult, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	tracked := d.tracker.add(p.server.Name(), cancel)
	var watch conc.WaitGroup
	defer func() {
		cancel(context.Canceled)
		watch.Wait()
		d.tracker.remove(p.server.Name(), tracked)
		d.releaseSlot(p)
		if p.endIsolation != nil {
			p.endIsolation()
		}
	}()
	watch.Go(func() { d.watchPermit(ctx, p.permit, cancel) })
	d.recheck(p, cancel)
	result, err = d.sendItem(ctx, p)
	if err != nil {
		return result, d.itemError(ctx, p, err)
	}
	result.Server = p.server.Name()
	result.Tokens = countTokens(item.Body, result.Body)
	return result, nil
}

// recheck handles an online request or a reservation that came to the server
// after the item was added to its load and before the item was tracked.
func (d *Dispatcher) recheck(p *placement, cancel context.CancelCauseFunc) {
	d.preemptForOnline(p.server)
	if p.endIsolation == nil && !p.server.Eligible() {
		cancel(ErrPreempted)
	}
}

// watchPermit cancels the item when its permit expires.
func (d *Dispatcher) watchPermit(ctx context.Context, p Permit, cancel context.CancelCauseFunc) {
	for {
		left := p.ExpiresAt().Sub(d.cfg.Clock.Now())
		if left <= 0 {
			cancel(ErrPreempted)
			return
		}
		select {
		case <-d.cfg.Clock.After(left):
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) sendItem(ctx context.Context, p *placement) (result ItemResult, err error) {
	p.request.Address = p.server.Snapshot().Address
	answer, err := d.cfg.Sender.Send(ctx, p.request)
	if err != nil {
		return result, err
	}
	defer answer.Close()
	d.observePause(p.server, answer)
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
	d.cfg.Retrier.ClearSuspicion(p.digest)
	if isTemporary(result.Status) {
		return result, errTemporaryStatus
	}
	return result, nil
}

// itemError records a failed try. It returns ErrPreempted if the try does not
// count, and otherwise a refusal.
func (d *Dispatcher) itemError(ctx context.Context, p *placement, err error) error {
	if errors.Is(context.Cause(ctx), ErrPreempted) {
		return ErrPreempted
	}
	if errors.Is(err, errTemporaryStatus) {
		return refuser.New(refuser.UpstreamFailed, refuser.Unknown, "the engine cannot serve the item now")
	}
	outcome := refuser.Unknown
	var failure *sender.Failure
	if errors.As(err, &failure) {
		d.instruments.countFailure("batch", failure.Cause)
		if d.handleServerFailure(ctx, p.server, failure, p.digest) {
			return ErrServerCrashed
		}
		if !failure.Dispatched {
			outcome = refuser.NotRun
		}
	}
	return refuser.New(refuser.UpstreamFailed, outcome, "the engine gave no whole answer")
}
