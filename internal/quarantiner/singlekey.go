package quarantiner

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// A KeyStore is a key-value service that changes one key at a time.
type KeyStore interface {
	Delete(ctx context.Context, key string, expectedVersion int64) error
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error)
}

// A SingleKeyStore implements PartStore with a KeyStore.
type SingleKeyStore struct {
	KeyStore
}

// Commit implements PartStore for transactions that expect a version of one key and
// write or remove it.
func (s SingleKeyStore) Commit(ctx context.Context, t storer.Transaction) (version int64, err error) {
	switch {
	case len(t.Expect) != 1 || len(t.Writes)+len(t.Remove) != 1:
		return 0, merry.New("the transaction does not change one key")
	case len(t.Remove) == 1:
		return 0, s.Delete(ctx, t.Remove[0], t.Expect[0].Version)
	}
	w := t.Writes[0]
	e, err := s.Put(ctx, storer.PutRequest{Key: w.Key, Value: w.Value, ExpectedVersion: t.Expect[0].Version, LeaseID: w.LeaseID})
	return e.Version, err
}
