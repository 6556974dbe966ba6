package storer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// BoundedKey returns the key of a name below a prefix. A name that is too long for a key
// is replaced by its digest.
func BoundedKey(prefix, name string) string {
	if len(prefix)+len(name) <= MaxKeyBytes {
		return prefix + name
	}
	digest := sha256.Sum256([]byte(name))
	return prefix + "sha256-" + hex.EncodeToString(digest[:])
}

// A Precondition is a condition of a transaction.
type Precondition struct {
	Key     string
	Version int64 // Zero means that the key must not exist.
}

// A Write is the write of one key in a transaction.
type Write struct {
	Key     string
	Value   []byte
	LeaseID int64 // The key is deleted when the lease ends; zero means no lease.
}

// A Transaction is applied atomically if all its preconditions hold.
type Transaction struct {
	Expect []Precondition
	Writes []Write
	Remove []string
}

// A Change is a key that was written or removed.
type Change struct {
	Entry
	Removed bool
}

// A Listing is the result of listing the keys with a prefix.
type Listing struct {
	Entries []Entry
	Version int64 // Version of the store when the listing started.
}

// FirstKey returns the first key that the transaction changes, or "" if it changes none.
func (t Transaction) FirstKey() string {
	switch {
	case len(t.Writes) > 0:
		return t.Writes[0].Key
	case len(t.Remove) > 0:
		return t.Remove[0]
	}
	return ""
}

// Validate returns an error that matches ErrRefused if the store refuses the transaction,
// whatever its state is.
func (t Transaction) Validate() error {
	if n := len(t.Expect) + len(t.Writes) + len(t.Remove); n > MaxTransactionEntries {
		return merry.Prependf(ErrRefused, "%d entries, at most %d", n, MaxTransactionEntries)
	}
	keys := slices.Clone(t.Remove)
	for _, e := range t.Expect {
		keys = append(keys, e.Key)
	}
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
		if len(w.Value) > MaxValueBytes {
			return merry.Prependf(ErrValueTooLarge, "%d bytes for key %q", len(w.Value), w.Key)
		}
	}
	for _, key := range keys {
		if key == "" || len(key) > MaxKeyBytes {
			return merry.Prependf(ErrRefused, "key %q of %d bytes", key, len(key))
		}
	}
	return nil
}

// ValidateLeaseTTL returns an error that matches ErrRefused if the store grants no lease
// of a TTL.
func ValidateLeaseTTL(ttl time.Duration) error {
	if ttl < MinLeaseTTL || ttl > MaxLeaseTTL {
		return merry.Prependf(ErrRefused, "lease of %s", ttl)
	}
	return nil
}
