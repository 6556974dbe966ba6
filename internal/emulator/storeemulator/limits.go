package storeemulator

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// Limits of the platform's store, as its protocol states them. They are not shared with
// the code under test, which might have them wrong.
const (
	maxKeyBytes           = 200
	maxValueBytes         = 1 << 20
	maxTransactionEntries = 32
	minLeaseTTL           = time.Second
	maxLeaseTTL           = 10 * time.Minute
)

// checkTransaction returns the error of a transaction that the platform's store refuses,
// whatever its state is.
func checkTransaction(t storer.Transaction) error {
	keys := append([]string(nil), t.Remove...)
	for _, e := range t.Expect {
		keys = append(keys, e.Key)
	}
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
		if len(w.Value) > maxValueBytes {
			return storer.ErrValueTooLarge
		}
	}
	if len(keys) > maxTransactionEntries {
		return storer.ErrRefused
	}
	for _, key := range keys {
		if key == "" || len(key) > maxKeyBytes {
			return storer.ErrRefused
		}
	}
	return nil
}

// checkLeaseTTL returns the error of a lease that the platform's store does not grant.
func checkLeaseTTL(ttl time.Duration) error {
	if ttl < minLeaseTTL || ttl > maxLeaseTTL {
		return storer.ErrRefused
	}
	return nil
}
