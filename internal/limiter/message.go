package limiter

import "time"

// A LenderRequest is a borrower's request to the lender about one subject. It
// states the borrower's complete state of the contract, so that a lost
// message needs no recovery and a repeated one has no effect: everything lent
// under the contract that is neither Held nor Spent is returned, including
// tokens lent in an answer that the borrower never received. The borrower
// ignores answers to earlier requests once it has sent a later one.
type LenderRequest struct {
	Subject  string `cbor:"subject"`
	Epoch    int64  `cbor:"epoch"`    // Of the contract; zero to open one.
	Contract uint64 `cbor:"contract"` // Chosen by the lender; zero to open one.
	Sequence uint64 `cbor:"sequence"` // Increases with each request under the contract.
	Answered uint64 `cbor:"answered"` // Sequence of the last request that was answered.
	Spent    int64  `cbor:"spent"`    // Tokens of the contract used so far.
	Held     int    `cbor:"held"`     // Tokens or permits that the borrower keeps.
	AtOnce   int    `cbor:"at-once"`  // Tokens for waiting requests.
	Ahead    int    `cbor:"ahead"`    // Tokens or permits wanted ahead of demand.
	Uses     []Use  `cbor:"uses"`     // When the tokens were spent, oldest first.

	// GiveBack are idle standing tokens for the pool. The lender accepts them
	// only if it has applied no request since the one that was answered last.
	// So they are accepted within MaxContractLifetime of that answer or
	// never, and the borrower knows when they can no longer be accepted.
	GiveBack float64 `cbor:"give-back"`
}

// A Use states that tokens were spent at least Age before the request was
// sent.
type Use struct {
	Age   time.Duration `cbor:"age"`
	Count int           `cbor:"count"`
}

// A Status is the result of a lender request.
type Status string

// The statuses of grants.
const (
	StatusGone           Status = "gone"            // The contract does not exist or has expired.
	StatusGranted        Status = "granted"         // The request was applied.
	StatusNotLender      Status = "not-lender"      // The instance does not lend the subject's shard.
	StatusStale          Status = "stale"           // A later request arrived first.
	StatusUnknownSubject Status = "unknown-subject" // The lender's configuration has no such subject.
)

// A Grant is the lender's answer to a LenderRequest.
type Grant struct {
	Subject    string        `cbor:"subject"`
	Status     Status        `cbor:"status"`
	Epoch      int64         `cbor:"epoch"`
	Contract   uint64        `cbor:"contract"`
	AtOnce     int           `cbor:"at-once"`     // For waiting requests; not to be held.
	Ahead      int           `cbor:"ahead"`       // To be held.
	Renewed    bool          `cbor:"renewed"`     // The term of the contract restarts at the request.
	Target     int           `cbor:"target"`      // Permits only: the borrower's fair share of the bound.
	ReportSoon bool          `cbor:"report-soon"` // Unreported used tokens keep the pool from filling.
	RetryAfter time.Duration `cbor:"retry-after"` // Until the pool has a token, if AtOnce fell short.
}

// A BorrowRequest carries the requests of one borrower to one lender. It is
// the payload of the messages `borrow` and `return`.
type BorrowRequest struct {
	Requests []LenderRequest `cbor:"asks"`
}

// A BorrowAnswer carries a grant for each request, in the same order.
type BorrowAnswer struct {
	Grants []Grant `cbor:"grants"`
}
