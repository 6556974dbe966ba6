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

// ErrNotHandedOver means that a request did not leave this instance.
var ErrNotHandedOver = merry.Sentinel("request not handed over to the lender")

// A LenderCaller sends batches to lenders. Its errors wrap ErrNotHandedOver
// when the lender has not got the request and will not get it.
type LenderCaller interface {
	Borrow(ctx context.Context, b *Batch) (BorrowAnswer, error)
}

// A BorrowerClock tells the time and makes timers.
type BorrowerClock interface {
	Clock
	NewTicker(d time.Duration) clockwork.Ticker
	NewTimer(d time.Duration) clockwork.Timer
}

// A Borrower decides on requests with the tokens of a Ledger and carries the
// ledger's asks to the lenders.
type Borrower struct {
	clock  BorrowerClock
	ledger *Ledger
	caller LenderCaller

	// ctx ends when the Borrower stops; all asks in flight depend on it.
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	stopped bool // No goroutine is added any more.
	group   conc.WaitGroup
}

// NewBorrower returns a Borrower. It asks lenders before Start, but prefetches
// only after it.
func NewBorrower(clock BorrowerClock, ledger *Ledger, caller LenderCaller) *Borrower {
	ctx, stop := context.WithCancel(context.Background())
	return &Borrower{clock: clock, ledger: ledger, caller: caller, ctx: ctx, stop: stop}
}

// Install takes over the workspaces and engines of a new revision.
func (b *Borrower) Install(d declarer.Declaration) {
	b.ledger.Install(d)
}

// Admit decides whether a request of a workspace may run. It waits for the
// lender if nothing is held here, for AskTimeout at most.
func (b *Borrower) Admit(ctx context.Context, workspace string) Decision {
	decision, w := b.ledger.Request(workspace)
	if w == nil {
		return decision
	}
	if w.Asks {
		b.startAsking(w)
	}
	timer := b.clock.NewTimer(AskTimeout)
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

// AcquirePermit takes a batch permit of an engine, if one is held here. A try
// in vain counts as demand, and the lender is asked at once.
func (b *Borrower) AcquirePermit(server string) (Permit, bool) {
	permit, ok := b.ledger.AcquirePermit(server)
	if ok {
		return permit, true
	}
	if batch := b.ledger.AskForPermits(server); batch != nil {
		b.spawn(func() { b.exchange(b.ctx, batch) })
	}
	return Permit{}, false
}

// PermitsArrived receives a signal when permits were lent.
func (b *Borrower) PermitsArrived() <-chan struct{} {
	return b.ledger.arrived
}

// HandBack returns everything borrowed. It is called when the instance
// leaves, after its requests have ended.
func (b *Borrower) HandBack(ctx context.Context) {
	var group conc.WaitGroup
	for _, batch := range b.ledger.HandBack() {
		group.Go(func() { b.exchange(ctx, batch) })
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

// prefetch sends the asks that are due in each period.
func (b *Borrower) prefetch() {
	ticker := b.clock.NewTicker(PrefetchPeriod)
	defer ticker.Stop()
	for {
		for _, batch := range b.ledger.Collect() {
			b.spawn(func() { b.exchange(b.ctx, batch) })
		}
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// startAsking asks for a waiting request in a goroutine of its own, so that
// the ask does not end with the request that happened to be the first.
func (b *Borrower) startAsking(w *Waiter) {
	b.spawn(func() { b.ask(w) })
}

// ask asks for the requests that wait with w until none is left.
func (b *Borrower) ask(w *Waiter) {
	for {
		batch, pause, ok := b.ledger.AskFor(w)
		if !ok {
			return
		}
		if batch != nil {
			b.exchange(b.ctx, batch)
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

// exchange sends a batch and takes over the answer.
func (b *Borrower) exchange(ctx context.Context, batch *Batch) {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	answer, err := b.caller.Borrow(ctx, batch)
	var waiting []*Waiter
	if err != nil {
		waiting = b.ledger.Abandon(batch, !errors.Is(err, ErrNotHandedOver))
	} else {
		waiting = b.ledger.Deliver(batch, answer)
	}
	for _, w := range waiting {
		b.startAsking(w)
	}
}

// spawn runs f in a goroutine that Start's end waits for. After the end f is
// not run; requests that wait are refused by their timers.
func (b *Borrower) spawn(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.group.Go(f)
	}
}
