package storer

// An Expectation is a condition of a transaction.
type Expectation struct {
	Key     string
	Version int64 // Zero means that the key must be absent.
}

// A Write is one key that a transaction writes.
type Write struct {
	Key     string
	Value   []byte
	LeaseID int64 // When the lease ends the key is deleted; zero binds to no lease.
}

// A Transaction takes effect as a whole or not at all.
type Transaction struct {
	Expect []Expectation
	Writes []Write
	Remove []string
}

// A Change is a key that was written or removed.
type Change struct {
	Entry
	Removed bool
}

// A Listing is the keys below a prefix.
type Listing struct {
	Entries []Entry
	Version int64 // Of the whole store when the listing began.
}
