package limiter

import (
	"slices"
	"strings"
	"time"
)

// A pendingAsk is an ask on its way to the lender. There is at most one for each
// subject.
type pendingAsk struct {
	owner  owner
	shard  int
	ask    Ask
	sentAt time.Time // Before the ask was sent.
}

// An owner is an object of the ledger that has asks in flight. Its methods
// take the lock of its shard.
type owner interface {
	deliver(f *pendingAsk, g Grant, now time.Time)
	abandon(f *pendingAsk, handedOver bool, now time.Time)
}

// A Batch holds asks for one lender, which are sent in one message.
type Batch struct {
	Lender  string
	Request BorrowRequest
	pending []*pendingAsk
}

// Wants tells whether an ask of the batch wants to borrow; otherwise the
// batch only reports and returns.
func (b *Batch) Wants() bool {
	for _, ask := range b.Request.Asks {
		if ask.AtOnce > 0 || ask.Ahead > 0 {
			return true
		}
	}
	return false
}

// finish writes the request for the asks of the batch.
func (b *Batch) finish() {
	slices.SortFunc(b.pending, func(x, y *pendingAsk) int { return strings.Compare(x.ask.Subject, y.ask.Subject) })
	for _, f := range b.pending {
		b.Request.Asks = append(b.Request.Asks, f.ask)
	}
}
