// Package relayer calls the platform's store, and relays calls through a peer if the
// store refuses this instance's calls or is unreachable.
package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	// relayTimeout is the timeout of a call through one peer. It is longer than the
	// peer's own timeout for the store.
	relayTimeout = 1500 * time.Millisecond
	// maxPeersPerCall is the maximum number of peers that a call is tried through.
	maxPeersPerCall = 2
	// directRetryInterval is the time after a failed direct call in which calls only go
	// through peers, or fail at once if no peer reaches the store.
	directRetryInterval = 700 * time.Millisecond
)

// A Store is the client for direct calls of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
}

// Links are the links to the peers. *linker.Linker implements it.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// Peers returns the IDs of the peers that reach the store, the best one first.
type Peers interface {
	StorePeers() []string
}

// Config holds the dependencies of a relayer.
type Config struct {
	Direct Store
	Links  Links
	Clock  storer.Clock
	Logger logrus.FieldLogger
	Meter  metric.Meter
}

// A Relayer is a client of the store that calls it directly or through a peer.
type Relayer struct {
	cfg   Config
	calls metric.Int64Counter
	peers Peers // Nil until SetPeers.

	mu            sync.Mutex
	lastFailureAt time.Time // Time of the last failed direct call; zero after a successful one.
}

// New returns a relayer and registers its message handler. It must be called before
// the links start.
func New(cfg Config) (r *Relayer, err error) {
	defer func() { err = merry.Prepend(err, "create relayer") }()
	r = &Relayer{cfg: cfg}
	r.calls, err = cfg.Meter.Int64Counter("relayer.calls", metric.WithDescription("Calls to the platform's store by operation, way and fault"))
	cfg.Links.Handle(linker.KindStore, linker.HandlerFunc(r.handle))
	return r, err
}

// SetPeers sets the source of peers. It must be called before the first call.
func (r *Relayer) SetPeers(peers Peers) { r.peers = peers }

// An operation is the kind of a store call.
type operation string

const (
	operationCommit operation = "commit"
	operationGet    operation = "get"
	operationGrant  operation = "grant"
	operationList   operation = "list"
	operationRenew  operation = "renew"
)

// A request is a store call, which is made directly or sent to a peer.
type request struct {
	Operation   operation          `cbor:"operation"`
	Key         string             `cbor:"key,omitempty"` // Prefix for operationList.
	Transaction storer.Transaction `cbor:"transaction"`
	TTL         time.Duration      `cbor:"ttl,omitempty"`
	LeaseID     int64              `cbor:"lease-id,omitempty"`
}

// A response is the result of a store call.
type response struct {
	Entry   storer.Entry   `cbor:"entry"`
	Listing storer.Listing `cbor:"listing"`
	Version int64          `cbor:"version"`
	LeaseID int64          `cbor:"lease-id"`
	TTL     time.Duration  `cbor:"ttl"`
	Fault   fault          `cbor:"fault"`
}

// A fault identifies a store error in messages between instances.
type fault string

// faults maps the errors that callers distinguish. All other errors are sent as
// "unavailable".
var faults = map[fault]error{
	"conflict":       storer.ErrConflict,
	"lease-expired":  storer.ErrLeaseExpired,
	"not-found":      storer.ErrNotFound,
	"refused":        storer.ErrRefused,
	"unavailable":    storer.ErrUnavailable,
	"unknown-effect": storer.ErrUnknownEffect,
}

func faultOf(err error) fault {
	if err == nil {
		return ""
	}
	for name, known := range faults {
		if errors.Is(err, known) {
			return name
		}
	}
	return "unavailable"
}

// Get reads one key.
func (r *Relayer) Get(ctx context.Context, key string) (storer.Entry, error) {
	answer, err := r.call(ctx, request{Operation: operationGet, Key: key})
	return answer.Entry, err
}

// List reads the keys with a prefix.
func (r *Relayer) List(ctx context.Context, prefix string) (storer.Listing, error) {
	answer, err := r.call(ctx, request{Operation: operationList, Key: prefix})
	return answer.Listing, err
}

// Commit applies a transaction.
func (r *Relayer) Commit(ctx context.Context, t storer.Transaction) (int64, error) {
	answer, err := r.call(ctx, request{Operation: operationCommit, Transaction: t})
	return answer.Version, err
}

// GrantLease requests a lease. Its expiry is computed from the time before the call.
func (r *Relayer) GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	asked := r.cfg.Clock.Now()
	answer, err := r.call(ctx, request{Operation: operationGrant, TTL: ttl})
	return storer.Lease{ID: answer.LeaseID, TTL: answer.TTL, ExpiresAt: asked.Add(answer.TTL)}, err
}

// RenewLease renews a lease. Its expiry is computed from the time before the call.
func (r *Relayer) RenewLease(ctx context.Context, l storer.Lease) (storer.Lease, error) {
	asked := r.cfg.Clock.Now()
	answer, err := r.call(ctx, request{Operation: operationRenew, LeaseID: l.ID, TTL: l.TTL})
	return storer.Lease{ID: l.ID, TTL: answer.TTL, ExpiresAt: asked.Add(answer.TTL)}, err
}

// call calls the store directly, and through peers if the direct call certainly had no
// effect. While the store is unreachable, it only tries peers, so that a caller is
// refused quickly and can go to another instance.
func (r *Relayer) call(ctx context.Context, q request) (answer response, err error) {
	if r.skipsDirectCall() {
		return r.relay(ctx, q)
	}
	answer, err = r.callStore(ctx, q)
	r.recordReachability(err)
	if !errors.Is(err, storer.ErrUnavailable) || ctx.Err() != nil {
		return answer, err
	}
	relayed, relayErr := r.relay(ctx, q)
	if errors.Is(relayErr, storer.ErrUnavailable) {
		return answer, err
	}
	return relayed, relayErr
}

// skipsDirectCall reports whether a direct call failed within directRetryInterval.
// After this interval, one call tries again.
func (r *Relayer) skipsDirectCall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	if r.lastFailureAt.IsZero() {
		return false
	}
	if now.Sub(r.lastFailureAt) < directRetryInterval {
		return true
	}
	r.lastFailureAt = now
	return false
}

// recordReachability records whether a direct call reached the store.
func (r *Relayer) recordReachability(err error) {
	unreachable := errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUnknownEffect)
	r.mu.Lock()
	wasUnreachable := !r.lastFailureAt.IsZero()
	r.lastFailureAt = time.Time{}
	if unreachable {
		r.lastFailureAt = r.cfg.Clock.Now()
	}
	r.mu.Unlock()
	switch {
	case unreachable && !wasUnreachable:
		r.cfg.Logger.WithError(err).Warn("platform store is unreachable; relaying calls through peers")
	case !unreachable && wasUnreachable:
		r.cfg.Logger.Info("platform store is directly reachable again")
	}
}

// relay makes a call through a peer. A write whose answer was lost is not retried
// through another peer, because it may have taken effect.
func (r *Relayer) relay(ctx context.Context, q request) (answer response, err error) {
	if r.peers == nil {
		return response{}, storer.ErrUnavailable
	}
	for i, peer := range r.peers.StorePeers() {
		if i == maxPeersPerCall || ctx.Err() != nil {
			break
		}
		answer, err = r.callPeer(ctx, peer, q)
		if !errors.Is(err, storer.ErrUnavailable) {
			return answer, err
		}
	}
	return response{}, storer.ErrUnavailable
}

func (r *Relayer) callPeer(ctx context.Context, peer string, q request) (answer response, err error) {
	defer func() { err = merry.Prependf(err, "call store through peer %s", peer) }()
	defer func() { r.count(q.Operation, "peer", err) }()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	err = r.cfg.Links.Call(ctx, peer, linker.KindStore, q, &answer)
	switch {
	case errors.Is(err, linker.ErrUnknownEffect) && q.writes():
		return response{}, storer.ErrUnknownEffect
	case err != nil:
		return response{}, storer.ErrUnavailable
	case answer.Fault != "":
		return answer, faults[answer.Fault]
	}
	return answer, nil
}

func (q request) writes() bool { return q.Operation == operationCommit }

// callStore makes a direct call.
func (r *Relayer) callStore(ctx context.Context, q request) (answer response, err error) {
	defer func() { r.count(q.Operation, "direct", err) }()
	switch q.Operation {
	case operationGet:
		answer.Entry, err = r.cfg.Direct.Get(ctx, q.Key)
	case operationList:
		answer.Listing, err = r.cfg.Direct.List(ctx, q.Key)
	case operationCommit:
		answer.Version, err = r.cfg.Direct.Commit(ctx, q.Transaction)
	case operationGrant, operationRenew:
		var lease storer.Lease
		if q.Operation == operationGrant {
			lease, err = r.cfg.Direct.GrantLease(ctx, q.TTL)
		} else {
			lease, err = r.cfg.Direct.RenewLease(ctx, storer.Lease{ID: q.LeaseID, TTL: q.TTL})
		}
		answer.LeaseID, answer.TTL = lease.ID, lease.TTL
	default:
		err = merry.Prependf(storer.ErrRefused, "unknown operation %q", q.Operation)
	}
	return answer, err
}

func (r *Relayer) count(o operation, way string, err error) {
	r.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", string(o)), attribute.String("way", way), attribute.String("fault", string(faultOf(err)))))
}

// handle makes a direct call for a peer. The call is never relayed again.
func (r *Relayer) handle(ctx context.Context, sender string, payload []byte) ([]byte, error) {
	var q request
	if err := linker.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	answer, err := r.callStore(ctx, q)
	answer.Fault = faultOf(err)
	r.cfg.Logger.WithFields(logrus.Fields{"peer": sender, "operation": q.Operation, "fault": answer.Fault}).Info("called platform store for peer")
	return linker.Marshal(answer)
}
