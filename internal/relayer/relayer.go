// Package relayer reaches the platform's store through a peer where the store
// turns this instance away or cannot be reached from here.
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
	// relayTimeout bounds a call through one peer. It is longer than the peer's
	// own wait for the store.
	relayTimeout = 1500 * time.Millisecond
	// maxPeersPerCall bounds the peers that one call is tried through.
	maxPeersPerCall = 2
	// directRetryInterval is how long calls go through peers, or fail at once where no
	// peer reaches the store, after it could not be reached from here.
	directRetryInterval = 700 * time.Millisecond
)

// A Store is the platform's store as seen from this instance.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	RenewLease(ctx context.Context, lease storer.Lease) (storer.Lease, error)
}

// Links are the links to the peers.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// Peers names the peers that reach the store, the best first.
type Peers interface {
	StorePeers() []string
}

// A Config holds what a relayer needs.
type Config struct {
	Direct Store
	Links  Links
	Clock  storer.Clock
	Logger logrus.FieldLogger
	Meter  metric.Meter
}

// A Relayer is the store, reached directly or through a peer.
type Relayer struct {
	cfg   Config
	calls metric.Int64Counter
	peers Peers // Nil until SetPeers.

	mu            sync.Mutex
	lastFailureAt time.Time // When the store could not be reached from here last; zero when it can.
}

// New registers the handler of a relayer. It is called before the links start.
func New(cfg Config) (r *Relayer, err error) {
	defer func() { err = merry.Prepend(err, "make a relayer") }()
	r = &Relayer{cfg: cfg}
	r.calls, err = cfg.Meter.Int64Counter("relayer.calls", metric.WithDescription("Calls to the platform's store by operation, way and fault"))
	cfg.Links.Handle(linker.KindStore, linker.HandlerFunc(r.handle))
	return r, err
}

// SetPeers says where peers are looked up. It is called before the first call.
func (r *Relayer) SetPeers(peers Peers) { r.peers = peers }

// An operation is a call of the store.
type operation string

const (
	operationCommit operation = "commit"
	operationGet    operation = "get"
	operationGrant  operation = "grant"
	operationList   operation = "list"
	operationRenew  operation = "renew"
)

// A request is a call for the store.
type request struct {
	Operation   operation          `cbor:"operation"`
	Key         string             `cbor:"key,omitempty"` // Or a prefix.
	Transaction storer.Transaction `cbor:"transaction"`
	TTL         time.Duration      `cbor:"ttl,omitempty"`
	LeaseID     int64              `cbor:"lease-id,omitempty"`
}

// A response is what the store answered.
type response struct {
	Entry   storer.Entry   `cbor:"entry"`
	Listing storer.Listing `cbor:"listing"`
	Version int64          `cbor:"version"`
	LeaseID int64          `cbor:"lease-id"`
	TTL     time.Duration  `cbor:"ttl"`
	Fault   fault          `cbor:"fault"`
}

// A fault names an error of the store between instances.
type fault string

// faults are the errors that callers tell apart. The others count as those of a
// store that cannot be reached.
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

// List reads the keys below a prefix.
func (r *Relayer) List(ctx context.Context, prefix string) (storer.Listing, error) {
	answer, err := r.call(ctx, request{Operation: operationList, Key: prefix})
	return answer.Listing, err
}

// Commit applies a transaction.
func (r *Relayer) Commit(ctx context.Context, t storer.Transaction) (int64, error) {
	answer, err := r.call(ctx, request{Operation: operationCommit, Transaction: t})
	return answer.Version, err
}

// GrantLease asks for a lease. Its time is counted from before the call.
func (r *Relayer) GrantLease(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	asked := r.cfg.Clock.Now()
	answer, err := r.call(ctx, request{Operation: operationGrant, TTL: ttl})
	return storer.Lease{ID: answer.LeaseID, TTL: answer.TTL, ExpiresAt: asked.Add(answer.TTL)}, err
}

// RenewLease renews a lease. Its time is counted from before the call.
func (r *Relayer) RenewLease(ctx context.Context, l storer.Lease) (storer.Lease, error) {
	asked := r.cfg.Clock.Now()
	answer, err := r.call(ctx, request{Operation: operationRenew, LeaseID: l.ID, TTL: l.TTL})
	return storer.Lease{ID: l.ID, TTL: answer.TTL, ExpiresAt: asked.Add(answer.TTL)}, err
}

// do calls the store directly, and through peers where it certainly had no
// effect. While the store is out of reach from here, only peers are tried: a
// caller that is refused at once can go to another instance.
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

// skipsDirectCall reports whether the store was out of reach just now. After
// directRetryInterval one call finds out whether it still is.
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

// note remembers whether the store can be reached from here.
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
		r.cfg.Logger.WithError(err).Warn("platform store cannot be reached directly")
	case !unreachable && wasUnreachable:
		r.cfg.Logger.Info("platform store is reached directly again")
	}
}

// relay makes a call through a peer. A call whose answer was lost is not made
// through another one: it may have taken effect.
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
	defer func() { err = merry.Prependf(err, "through %s", peer) }()
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

// direct makes a call from here.
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

// handle makes a call for a peer. It is never passed on to a third instance.
func (r *Relayer) handle(ctx context.Context, sender string, payload []byte) ([]byte, error) {
	var q request
	if err := linker.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	answer, err := r.callStore(ctx, q)
	answer.Fault = faultOf(err)
	r.cfg.Logger.WithFields(logrus.Fields{"peer": sender, "operation": q.Operation, "fault": answer.Fault}).Info("store called for a peer")
	return linker.Marshal(answer)
}
