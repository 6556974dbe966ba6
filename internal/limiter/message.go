package limiter

import "time"

// An Ask is a borrower's message about one subject. It states the borrower's
// side of the contract as a whole, so that a lost message needs no repair and
// a repeated one has no effect: everything lent under the contract that is
// neither Held nor Spent is returned, including what an answer lent that the
// borrower never saw. The borrower ignores answers to earlier asks once it has
// sent a later one.
type Ask struct {
	Subject  string `cbor:"subject"`
	Epoch    int64  `cbor:"epoch"`    // Of the contract; zero to open one.
	Contract uint64 `cbor:"contract"` // Chosen by the lender; zero to open one.
	Sequence uint64 `cbor:"sequence"` // Grows with each ask under the contract.
	Answered uint64 `cbor:"answered"` // Sequence of the last ask that was answered.
	Spent    int64  `cbor:"spent"`    // Tokens of the contract used so far.
	Held     int    `cbor:"held"`     // Tokens or permits that the borrower keeps.
	AtOnce   int    `cbor:"at-once"`  // Tokens for requests that wait.
	Ahead    int    `cbor:"ahead"`    // Tokens or permits wanted ahead of demand.
	Uses     []Use  `cbor:"uses"`     // When the tokens were spent, the latest last.

	// GiveBack are idle standing tokens for the pool. The lender takes them
	// only if it took no ask into account since the one that was answered
	// last. So they are taken within EndOfContracts of that answer or never,
	// and the borrower knows when they can't be taken any more.
	GiveBack float64 `cbor:"give-back"`
}

// A Use says that tokens were spent some time before the ask was sent, at the
// latest.
type Use struct {
	Age   time.Duration `cbor:"age"`
	Count int           `cbor:"count"`
}

// A Status says what the lender did with an ask.
type Status string

// The statuses of grants.
const (
	StatusGone           Status = "gone"            // The contract has ended.
	StatusGranted        Status = "granted"         // The ask was taken into account.
	StatusNotLender      Status = "not-lender"      // The instance does not lend the subject's shard.
	StatusStale          Status = "stale"           // A later ask came first.
	StatusUnknownSubject Status = "unknown-subject" // The lender's configuration has no such subject.
)

// A Grant is the lender's answer to an ask.
type Grant struct {
	Subject    string        `cbor:"subject"`
	Status     Status        `cbor:"status"`
	Epoch      int64         `cbor:"epoch"`
	Contract   uint64        `cbor:"contract"`
	AtOnce     int           `cbor:"at-once"`     // For requests that wait; not to be held.
	Ahead      int           `cbor:"ahead"`       // To be held.
	Renewed    bool          `cbor:"renewed"`     // The term of the contract starts again with the ask.
	Target     int           `cbor:"target"`      // Permits only: the borrower's fair part of the bound.
	ReportSoon bool          `cbor:"report-soon"` // Used tokens that are not reported keep the pool from filling.
	RetryAfter time.Duration `cbor:"retry-after"` // Until the pool has a token, if AtOnce fell short.
}

// A BorrowRequest carries the asks of one borrower to one lender. It is the
// payload of the messages `borrow` and `return`.
type BorrowRequest struct {
	Asks []Ask `cbor:"asks"`
}

// A BorrowAnswer carries a grant for each ask, in the same order.
type BorrowAnswer struct {
	Grants []Grant `cbor:"grants"`
}
