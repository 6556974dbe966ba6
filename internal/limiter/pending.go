package limiter

import (
	"slices"
	"strings"
	"time"
)

// A pendingRequest is a lender request in flight. There is at most one for
// each subject.
type pendingRequest struct {
	owner   requestOwner
	shard   int
	request LenderRequest
	sentAt  time.Time // Time before the request was sent.
}

// A requestOwner is an account of the ledger with a lender request in flight.
// Its methods take the lock of its ledgerShard.
type requestOwner interface {
	handleGrant(pending *pendingRequest, g Grant, now time.Time)
	handleFailure(pending *pendingRequest, maybeSent bool, now time.Time)
}

// A Batch holds requests to one lender, which are sent in one message.
type Batch struct {
	Lender  string
	Message BorrowRequest
	pending []*pendingRequest
}

// Borrows reports whether the batch asks for tokens or permits; otherwise it
// only reports and returns.
func (b *Batch) Borrows() bool {
	for _, request := range b.Message.Requests {
		if request.AtOnce > 0 || request.Ahead > 0 {
			return true
		}
	}
	return false
}

// buildMessage fills the message of the batch. The order is fixed, for
// repeatable simulations.
func (b *Batch) buildMessage() {
	slices.SortFunc(b.pending, func(x, y *pendingRequest) int { return strings.Compare(x.request.Subject, y.request.Subject) })
	for _, pending := range b.pending {
		b.Message.Requests = append(b.Message.Requests, pending.request)
	}
}
