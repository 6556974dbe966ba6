package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// Errors of a call without a valid response. A refusal is a RefusedError.
var (
	// ErrAnswerLost means that a change may have taken effect.
	ErrAnswerLost = merry.Sentinel("answer of the entry lost; the change may have taken effect")
	// ErrUnreachable means that the call had no effect.
	ErrUnreachable = merry.Sentinel("entry unreachable")
)

// Bounds of calls.
const (
	// Longer than the 15 s after which an entry abandons a change.
	changeTimeout = 20 * time.Second
	statusTimeout = 5 * time.Second
)

// A Client calls the operator API of one entry.
type Client struct {
	base string
	key  string
	http fasthttp.Client
}

// A call is one request to the entry.
type call struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
	answer  any
}

// A dialError reports a connection that could not be established.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// NewClient returns a client for the entry at an address, which is a URL or a
// host and a port. It authenticates with an operator key.
func NewClient(address, key string) *Client {
	c := &Client{base: strings.TrimSuffix(address, "/"), key: key}
	if !strings.Contains(c.base, "://") {
		c.base = "http://" + c.base
	}
	c.http.MaxIdemponentCallAttempts = 1 // An automatic retry could apply a change twice.
	c.http.DialTimeout = dial
	return c
}

// Apply applies a release note, or reports in a dry run what it would change.
func (c *Client) Apply(ctx context.Context, file string, note []byte, dryRun bool) (answer ApplyAnswer, err error) {
	query := url.Values{ParamFile: {file}}
	if dryRun {
		query.Set(ParamDryRun, "true")
	}
	err = c.do(ctx, call{method: http.MethodPost, path: PathApply, query: query, body: note, timeout: changeTimeout, answer: &answer})
	return answer, err
}

// Status returns the configuration in effect and the revision that each
// instance confirmed.
func (c *Client) Status(ctx context.Context) (answer StatusAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: PathStatus, timeout: statusTimeout, answer: &answer})
	return answer, err
}

// Grant creates a new key for a workspace.
func (c *Client) Grant(ctx context.Context, r GrantRequest) (answer GrantAnswer, err error) {
	body, err := json.Marshal(r)
	if err != nil {
		return GrantAnswer{}, merry.Wrap(err)
	}
	err = c.do(ctx, call{method: http.MethodPost, path: PathKeys, body: body, timeout: changeTimeout, answer: &answer})
	return answer, err
}

// Withdraw revokes a key by its name.
func (c *Client) Withdraw(ctx context.Context, name string) (answer ApplyAnswer, err error) {
	path := PathKeys + "/" + url.PathEscape(name)
	err = c.do(ctx, call{method: http.MethodDelete, path: path, timeout: changeTimeout, answer: &answer})
	return answer, err
}

// do executes a call. Cancelling the context during the call does not abort it;
// it ends at its timeout at the latest.
func (c *Client) do(ctx context.Context, call call) (err error) {
	defer func() { err = merry.Prependf(err, "%s %s%s", call.method, c.base, call.path) }()
	timeout := call.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if ctx.Err() != nil || timeout <= 0 {
		return merry.Wrap(ErrUnreachable, merry.WithCause(context.DeadlineExceeded))
	}
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	r.Header.SetMethod(call.method)
	r.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	r.SetRequestURI(c.base + call.path + "?" + call.query.Encode())
	r.SetBodyRaw(call.body)

	if err := c.http.DoTimeout(r, w, timeout); err != nil {
		return call.unansweredError(err)
	}
	return call.decode(w)
}

func (call call) decode(w *fasthttp.Response) error {
	if w.StatusCode() == http.StatusOK {
		if err := json.Unmarshal(w.Body(), call.answer); err != nil {
			return call.unansweredError(err)
		}
		return nil
	}
	refused := &RefusedError{Status: w.StatusCode()}
	if err := json.Unmarshal(w.Body(), &refused.Answer); err != nil || refused.Answer.Error.Code == "" {
		// A load balancer may have responded instead of the entry.
		return call.unansweredError(merry.Errorf("unexpected status %d", w.StatusCode()))
	}
	return refused
}

// unansweredError returns ErrUnreachable if the call had no effect, and
// ErrAnswerLost otherwise.
func (call call) unansweredError(err error) error {
	var connectFailed *dialError
	if call.method == http.MethodGet || errors.As(err, &connectFailed) {
		return merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	return merry.Wrap(ErrAnswerLost, merry.WithCause(err))
}

// dial returns a dialError if the connection cannot be established.
func dial(addr string, timeout time.Duration) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err = dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}
