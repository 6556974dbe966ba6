package storer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// Defaults of ClientConfig.
const (
	// DefaultCallTimeout leaves slack for a slow platform; a healthy one answers
	// in milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout bounds how long a silent connection can hide a new
	// configuration, which has to be in force within 18 s. At 350 entries it
	// costs the platform 70 of its 2,000 reads a second.
	DefaultWatchTimeout = 5 * time.Second
)

// maxResponseBytes allows for a list of many entries.
const maxResponseBytes = 64 << 20

// maxHeadBytes bounds the head of the response to a watch.
const maxHeadBytes = 16 << 10

// ClientConfig configures a Client.
type ClientConfig struct {
	Address      string        // IP number and port of the platform.
	ClientID     string        // Instance ID, sent with each call.
	CallTimeout  time.Duration // Timeout of each call; zero means DefaultCallTimeout.
	WatchTimeout time.Duration // How long the service holds a watch request open; zero means DefaultWatchTimeout.
	Clock        Clock
}

// A Client calls the platform's HTTP API. Each call has a deadline. Cancelling
// the context ends a watch at once; another call ends at its deadline at the
// latest.
type Client struct {
	cfg  ClientConfig
	host *fasthttp.HostClient
}

// A call is one HTTP call of the service.
type call struct {
	method string
	path   string
	key    string // Key that is read or written, if any.
	query  url.Values
	body   any // Encoded as JSON unless nil.
	answer any // Decoded from JSON unless nil.
}

// A dialError means that no connection was established, so that no byte of the
// call was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// NewClient returns a client, which connects on the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.WatchTimeout == 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	host := &fasthttp.HostClient{
		Addr:                      cfg.Address,
		DialTimeout:               dialTCP,
		DisablePathNormalizing:    true,
		MaxIdemponentCallAttempts: 1, // A write must not be retried before the key has been read back.
		MaxResponseBodySize:       maxResponseBytes,
	}
	return &Client{cfg: cfg, host: host}
}

// Get returns the entry of key.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = c.roundTrip(ctx, call{method: http.MethodGet, path: keyPath(PathKeys, key), key: key, answer: &entry})
	return entry, merry.Prependf(err, "get %q", key)
}

// List returns the entries whose keys start with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	var answer ListBody
	query := url.Values{ParamPrefix: {prefix}}
	err = c.roundTrip(ctx, call{method: http.MethodGet, path: PathKeys, query: query, answer: &answer})
	return answer.Entries, merry.Prependf(err, "list %q", prefix)
}

// Put writes a key if its version is the expected one.
func (c *Client) Put(ctx context.Context, r PutRequest) (entry Entry, err error) {
	defer func() { err = merry.Prependf(err, "put %q", r.Key) }()
	if len(r.Value) > MaxValueBytes {
		return Entry{}, ErrValueTooLarge
	}
	body := PutBody{Value: r.Value, ExpectedVersion: r.ExpectedVersion, LeaseID: r.LeaseID}
	err = c.roundTrip(ctx, call{method: http.MethodPut, path: keyPath(PathKeys, r.Key), key: r.Key, body: body, answer: &entry})
	return entry, err
}

// Delete removes a key if its version is the expected one.
func (c *Client) Delete(ctx context.Context, key string, expectedVersion int64) (err error) {
	query := url.Values{ParamExpectedVersion: {strconv.FormatInt(expectedVersion, 10)}}
	err = c.roundTrip(ctx, call{method: http.MethodDelete, path: keyPath(PathKeys, key), key: key, query: query})
	return merry.Prependf(err, "delete %q", key)
}

// GrantLease grants a lease that expires after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	return c.lease(ctx, PathLeases, newLeaseBody(0, ttl))
}

// RenewLease extends a lease by its full TTL from now. After an error other than
// ErrLeaseExpired the lease stays valid until its previous expiry.
func (c *Client) RenewLease(ctx context.Context, lease Lease) (renewed Lease, err error) {
	return c.lease(ctx, leasePath(lease.ID)+"/renew", NewLeaseBody(lease))
}

// RevokeLease ends a lease and deletes its keys. It succeeds if the lease no
// longer exists.
func (c *Client) RevokeLease(ctx context.Context, id int64) (err error) {
	err = c.roundTrip(ctx, call{method: http.MethodDelete, path: leasePath(id)})
	return merry.Prependf(err, "revoke lease %d", id)
}

// ListInstances returns the platform's list of instances, which lags behind.
func (c *Client) ListInstances(ctx context.Context) (rows []ListedInstance, err error) {
	var answer InstancesBody
	err = c.roundTrip(ctx, call{method: http.MethodGet, path: PathInstances, answer: &answer})
	return answer.Instances, merry.Prepend(err, "list instances")
}

func (c *Client) lease(ctx context.Context, path string, body LeaseBody) (lease Lease, err error) {
	// The service counts the TTL from when it handles the call, which is later,
	// so the lease never expires there before it does here.
	start := c.cfg.Clock.Now()
	var answer LeaseBody
	err = c.roundTrip(ctx, call{method: http.MethodPost, path: path, body: body, answer: &answer})
	if err != nil {
		return Lease{}, merry.Prependf(err, "grant or renew lease of %s", body.TTL())
	}
	return Lease{ID: answer.ID, TTL: answer.TTL(), ExpiresAt: start.Add(answer.TTL())}, nil
}

// roundTrip performs a call and returns a typed error.
func (c *Client) roundTrip(ctx context.Context, call call) (err error) {
	timeout, err := c.timeout(ctx)
	if err != nil {
		return err
	}
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	if err := c.buildRequest(r, call); err != nil {
		return err
	}

	r.SetTimeout(timeout)
	if err := c.host.Do(r, w); err != nil {
		// Other idle connections may be dead for the same reason.
		c.host.CloseIdleConnections()
		return call.noAnswerError(err)
	}
	return call.decode(w)
}

// timeout returns the time left for a call, at most CallTimeout.
func (c *Client) timeout(ctx context.Context) (timeout time.Duration, err error) {
	timeout = c.cfg.CallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if ctx.Err() != nil {
		return 0, merry.Wrap(ErrUnavailable, merry.WithCause(ctx.Err()))
	}
	if timeout <= 0 {
		return 0, merry.Wrap(ErrUnavailable, merry.WithCause(context.DeadlineExceeded))
	}
	return timeout, nil
}

// buildRequest fills in the HTTP request of a call.
func (c *Client) buildRequest(r *fasthttp.Request, call call) error {
	r.Header.SetMethod(call.method)
	r.Header.Set(ClientHeader, c.cfg.ClientID)
	r.SetRequestURI("http://" + c.cfg.Address + call.path + "?" + call.query.Encode())
	r.URI().DisablePathNormalizing = true
	if call.body == nil {
		return nil
	}
	body, err := json.Marshal(call.body)
	if err != nil {
		return merry.Wrap(err)
	}
	r.Header.SetContentType("application/json")
	r.SetBodyRaw(body)
	return nil
}

// noAnswerError returns the typed error of a call that got no usable answer:
// ErrUnknownEffect if it may have written, or else ErrUnavailable.
func (c call) noAnswerError(err error) error {
	var notDialed *dialError
	switch {
	case errors.As(err, &notDialed), errors.Is(err, fasthttp.ErrNoFreeConns), !c.writes():
		return merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return merry.Wrap(ErrUnknownEffect, merry.WithCause(err))
}

// decode decodes the answer to a call.
func (c call) decode(w *fasthttp.Response) error {
	status := w.StatusCode()
	if status == http.StatusOK {
		if c.answer == nil {
			return nil
		}
		if err := json.Unmarshal(w.Body(), c.answer); err != nil {
			return c.noAnswerError(err)
		}
		return nil
	}
	var body ErrorBody
	if err := json.Unmarshal(w.Body(), &body); err == nil {
		if err := decodeError(status, body, c.key); err != nil {
			return err
		}
	}
	// An intermediary may have answered after the write took effect.
	return c.noAnswerError(merry.Errorf("unexpected status %d", status))
}

func (c call) writes() bool {
	return c.method != http.MethodGet
}

func keyPath(base, key string) string {
	return base + "/" + url.PathEscape(key)
}

func leasePath(id int64) string {
	return PathLeases + "/" + strconv.FormatInt(id, 10)
}
