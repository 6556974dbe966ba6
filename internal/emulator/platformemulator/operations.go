package platformemulator

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// errNoNewerVersion ends a watch that timed out.
var errNoNewerVersion = merry.Sentinel("no newer version")

// leaseKeyPrefix is the prefix of the keys under which faults match lease calls.
const leaseKeyPrefix = "leases/"

// An operation is a call to the store, independent of HTTP.
type operation interface {
	call() faultCall
	// run executes the operation. A nil response has no body.
	run(ctx context.Context, m *storer.Memory) (response any, err error)
}

// A getOperation reads a key.
type getOperation struct {
	client string
	key    string
}

func (o *getOperation) call() faultCall { return faultCall{client: o.client, key: o.key} }

func (o *getOperation) run(ctx context.Context, m *storer.Memory) (any, error) {
	return m.Get(ctx, o.key)
}

// A listOperation reads the keys with a prefix.
type listOperation struct {
	client string
	prefix string
}

func (o *listOperation) call() faultCall { return faultCall{client: o.client, key: o.prefix} }

func (o *listOperation) run(ctx context.Context, m *storer.Memory) (any, error) {
	entries, err := m.List(ctx, o.prefix)
	return storer.ListBody{Entries: entries}, err
}

// A watchOperation waits for a newer version of a key.
type watchOperation struct {
	client       string
	key          string
	afterVersion int64
	timeout      time.Duration
}

func (o *watchOperation) call() faultCall { return faultCall{client: o.client, key: o.key} }

func (o *watchOperation) run(ctx context.Context, m *storer.Memory) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	entry, err := m.Watch(ctx, o.key, o.afterVersion)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, errNoNewerVersion
	}
	return entry, err
}

// A putOperation writes a key.
type putOperation struct {
	client  string
	request storer.PutRequest
}

func (o *putOperation) call() faultCall {
	return faultCall{client: o.client, key: o.request.Key, write: true}
}

func (o *putOperation) run(ctx context.Context, m *storer.Memory) (any, error) {
	return m.Put(ctx, o.request)
}

// A deleteOperation removes a key.
type deleteOperation struct {
	client          string
	key             string
	expectedVersion int64
}

func (o *deleteOperation) call() faultCall {
	return faultCall{client: o.client, key: o.key, write: true}
}

func (o *deleteOperation) run(ctx context.Context, m *storer.Memory) (any, error) {
	return nil, m.Delete(ctx, o.key, o.expectedVersion)
}

// A leaseAction is what a leaseOperation does.
type leaseAction int

const (
	grantLease leaseAction = iota
	renewLease
	revokeLease
)

// A leaseOperation grants, renews or revokes a lease.
type leaseOperation struct {
	client string
	action leaseAction
	id     int64 // Zero for a grant.
	ttl    time.Duration
}

func (o *leaseOperation) call() faultCall {
	key := leaseKeyPrefix
	if o.action != grantLease {
		key += strconv.FormatInt(o.id, 10)
	}
	return faultCall{client: o.client, key: key, write: true}
}

func (o *leaseOperation) run(ctx context.Context, m *storer.Memory) (response any, err error) {
	var lease storer.Lease
	switch o.action {
	case grantLease:
		lease, err = m.GrantLease(ctx, o.ttl)
	case renewLease:
		lease, err = m.RenewLease(ctx, storer.Lease{ID: o.id})
	default:
		return nil, m.RevokeLease(ctx, o.id)
	}
	return storer.NewLeaseBody(lease), err
}

// An instancesOperation reads the list of instances with the configured lag.
type instancesOperation struct {
	client string
	server *Server
}

func (o *instancesOperation) call() faultCall {
	return faultCall{client: o.client, key: "instances"}
}

func (o *instancesOperation) run(context.Context, *storer.Memory) (any, error) {
	lag := time.Duration(o.server.Faults().InstanceListLag)
	return storer.InstancesBody{Instances: o.server.history.listWithLag(lag)}, nil
}
