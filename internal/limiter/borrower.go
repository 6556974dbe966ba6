package limiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// ErrNotSent means that a batch did not leave this instance.
var ErrNotSent = merry.Sentinel("request not sent to the lender")

// A LenderCaller sends batches to lenders. Its errors wrap ErrNotSent if the
// lender has not received the batch and will not receive it.
type LenderCaller interface {
	Borrow(ctx context.Context, b *Batch) (BorrowAnswer, error)
}

// A BorrowerClock provides the current time and timers.
type BorrowerClock interface {
	Clock
	NewTicker(d time.Duration) clockwork.Ticker
	NewTimer(d time.Duration) clockwork.Timer
}

// A Borrower admits requests with the tokens of a Ledger and sends the
// ledger's batches to the lenders.
type Borrower struct {
	clock  BorrowerClock
	ledger *Ledger
	caller LenderCaller

	// ctx is cancelled when the Borrower stops. All batches in flight use it.
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	stopped bool // No more goroutines are started.
	group   conc.WaitGroup
}

// NewBorrower returns a Borrower. It asks lenders before Start, but
// prefetches only after it.
func NewBorrower(clock BorrowerClock, ledger *Ledger, caller LenderCaller) *Borrower {
	ctx, stop := context.WithCancel(context.Background())
	return &Borrower{clock: clock, ledger: ledger, caller: caller, ctx: ctx, stop: stop}
}

// Install applies the workspaces and engines of a new revision.
func (b *Borrower) Install(d declarer.Declaration) {
	b.ledger.Install(d)
}

// Admit decides whether a request of a workspace may run. If no token is held
// it waits for the lender, for LenderTimeout at most.
func (b *Borrower) Admit(ctx context.Context, workspace string) Decision {
	decision, w := b.ledger.Request(workspace)
	if w == nil {
		return decision
	}
	if w.MustAsk {
		b.startAsking(w)
	}
	timer := b.clock.NewTimer(LenderTimeout)
	defer timer.Stop()
	select {
	case decision := <-w.Done():
		return decision
	case <-timer.Chan():
		return b.ledger.Withdraw(w, ReasonLenderUnreachable)
	case <-ctx.Done():
		return b.ledger.Withdraw(w, ReasonCancelled)
	}
}

// AcquirePermit takes a batch permit of an engine, if one is held. A failed
// attempt counts as demand, and the lender is asked at once.
func (b *Borrower) AcquirePermit(server string) (Permit, bool) {
	permit, ok := b.ledger.AcquirePermit(server)
	if ok {
		return permit, true
	}
	if batch := b.ledger.AskForPermits(server); batch != nil {
		b.spawn(func() { b.send(b.ctx, batch) })
	}
	return Permit{}, false
}

// PermitsLent returns a channel that receives a signal when permits were
// lent.
func (b *Borrower) PermitsLent() <-chan struct{} {
	return b.ledger.permitsLent
}

// ReturnAll returns everything borrowed. It is called when the instance
// leaves, after its requests have ended.
func (b *Borrower) ReturnAll(ctx context.Context) {
	var group conc.WaitGroup
	for _, batch := range b.ledger.ReturnAll() {
		group.Go(func() { b.send(ctx, batch) })
	}
	group.Wait()
}

// Start prefetches until ctx ends.
func (b *Borrower) Start(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	context.AfterFunc(ctx, b.stop)
	go func() {
		b.prefetch()
		b.mu.Lock()
		b.stopped = true
		b.mu.Unlock()
		b.group.Wait()
		end <- nil
	}()
	return end
}

// prefetch sends the batches that are due in each period.
func (b *Borrower) prefetch() {
	ticker := b.clock.NewTicker(PrefetchPeriod)
	defer ticker.Stop()
	for {
		for _, batch := range b.ledger.DueBatches() {
			b.spawn(func() { b.send(b.ctx, batch) })
		}
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// startAsking asks the lender in a separate goroutine, so that the batch is
// not cancelled with the request that triggered it.
func (b *Borrower) startAsking(w *Waiter) {
	b.spawn(func() { b.ask(w) })
}

// ask asks the lender for the requests that wait with w until none is left.
func (b *Borrower) ask(w *Waiter) {
	for {
		batch, pause, ok := b.ledger.NextBatch(w)
		if !ok {
			return
		}
		if batch != nil {
			b.send(b.ctx, batch)
			continue
		}
		timer := b.clock.NewTimer(pause)
		select {
		case <-timer.Chan():
		case <-b.ctx.Done():
			timer.Stop()
			return
		}
	}
}

// send sends a batch and applies the answer.
func (b *Borrower) send(ctx context.Context, batch *Batch) {
	ctx, cancel := context.WithTimeout(ctx, LenderTimeout)
	defer cancel()
	answer, err := b.caller.Borrow(ctx, batch)
	var waiting []*Waiter
	if err != nil {
		waiting = b.ledger.HandleFailure(batch, !errors.Is(err, ErrNotSent))
	} else {
		waiting = b.ledger.HandleAnswer(batch, answer)
	}
	for _, w := range waiting {
		b.startAsking(w)
	}
}

// spawn runs f in a goroutine that the end of Start waits for. After that f
// is not run; waiting requests time out.
func (b *Borrower) spawn(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.group.Go(f)
	}
}
