// Package supervisor passes calls to the platform's store on, and ends the watches that
// may wait for an answer that was lost.
//
// The store returns nothing further on a connection on which an answer was lost, but
// the connection stays open. A call that gets no answer is the only sign of it: the
// answers of all watches that were pending meanwhile may have been lost too.
package supervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// errDoubtful is the cause with which a watch is cancelled.
var errDoubtful = merry.Sentinel("the answer of the watch may have been lost")

// A Store is a client of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []storer.Change, version int64, err error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
}

// Config holds the dependencies of a supervisor.
type Config struct {
	Store   Store
	Clock   storer.Clock
	Logger  logrus.FieldLogger
	Counter Counter // Nil if nobody counts the calls.
}

// An Operation is the kind of a call.
type Operation string

// The operations.
const (
	OperationCommit     Operation = "commit"
	OperationGet        Operation = "get"
	OperationGrantLease Operation = "grant-lease"
	OperationList       Operation = "list"
	OperationRenewLease Operation = "renew-lease"
	OperationWatch      Operation = "watch"
)

// A Counter counts the calls. Key is a key or prefix that the call is about; it is empty
// for leases.
type Counter interface {
	Count(operation Operation, key string)
}

// A Supervisor is a client of the store. A watch that is pending when any call ends
// without an answer fails with storer.ErrUnavailable.
type Supervisor struct {
	cfg Config

	mu      sync.Mutex
	watches map[*watch]struct{} // Those that are pending.
}

// A watch is a pending watch.
type watch struct {
	sentAt time.Time
	cancel context.CancelCauseFunc
}

// New returns a supervisor without watches.
func New(cfg Config) *Supervisor {
	return &Supervisor{cfg: cfg, watches: map[*watch]struct{}{}}
}

func (s *Supervisor) count(operation Operation, key string) {
	if s.cfg.Counter != nil {
		s.cfg.Counter.Count(operation, key)
	}
}

// Get reads one key.
func (s *Supervisor) Get(ctx context.Context, key string) (e storer.Entry, err error) {
	defer func() { s.observe(ctx, err) }()
	s.count(OperationGet, key)
	return s.cfg.Store.Get(ctx, key)
}

// List reads all keys with a prefix.
func (s *Supervisor) List(ctx context.Context, prefix string) (l storer.Listing, err error) {
	defer func() { s.observe(ctx, err) }()
	s.count(OperationList, prefix)
	return s.cfg.Store.List(ctx, prefix)
}

// Watch waits for changes of keys with a prefix. The error is storer.ErrUnavailable if
// its answer may have been lost.
func (s *Supervisor) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []storer.Change, version int64, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watch{sentAt: s.cfg.Clock.Now(), cancel: cancel}
	s.mu.Lock()
	s.watches[w] = struct{}{}
	s.mu.Unlock()
	s.count(OperationWatch, prefix)
	changes, version, err = s.cfg.Store.Watch(ctx, prefix, after, wait)
	s.mu.Lock()
	delete(s.watches, w)
	s.mu.Unlock()
	s.observe(ctx, err)
	if err != nil && errors.Is(context.Cause(ctx), errDoubtful) {
		return nil, 0, merry.Prepend(storer.ErrUnavailable, errDoubtful.Error())
	}
	return changes, version, err
}

// Commit applies a transaction.
func (s *Supervisor) Commit(ctx context.Context, t storer.Transaction) (version int64, err error) {
	defer func() { s.observe(ctx, err) }()
	s.count(OperationCommit, t.FirstKey())
	return s.cfg.Store.Commit(ctx, t)
}

// GrantLease requests a lease.
func (s *Supervisor) GrantLease(ctx context.Context, ttl time.Duration) (l storer.Lease, err error) {
	defer func() { s.observe(ctx, err) }()
	s.count(OperationGrantLease, "")
	return s.cfg.Store.GrantLease(ctx, ttl)
}

// RenewLease renews a lease.
func (s *Supervisor) RenewLease(ctx context.Context, lease storer.Lease) (l storer.Lease, err error) {
	defer func() { s.observe(ctx, err) }()
	s.count(OperationRenewLease, "")
	return s.cfg.Store.RenewLease(ctx, lease)
}

// observe ends the pending watches if a call got no answer. A call whose caller no
// longer waits says nothing.
func (s *Supervisor) observe(ctx context.Context, err error) {
	if ctx.Err() != nil || !errors.Is(err, storer.ErrNoAnswer) {
		return
	}
	s.mu.Lock()
	ended := len(s.watches)
	var oldest time.Duration
	now := s.cfg.Clock.Now()
	for w := range s.watches {
		oldest = max(oldest, now.Sub(w.sentAt))
		w.cancel(errDoubtful)
	}
	clear(s.watches)
	s.mu.Unlock()
	if ended > 0 {
		s.cfg.Logger.WithError(err).WithFields(logrus.Fields{"watches": ended, "watched-ms": oldest.Milliseconds()}).
			Warn("answers of the platform store may have been lost; ending its watches")
	}
}
