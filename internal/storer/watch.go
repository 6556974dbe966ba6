package storer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// longAgo as a deadline makes reads and writes of a connection fail at once.
var longAgo = time.Unix(1, 0)

// Watch waits until key has a version above afterVersion. With a version of
// zero it waits for the key to appear; with another version it reports
// ErrNotFound when the key is gone. ErrUnavailable means that the watch broke;
// the caller starts it again.
func (c *Client) Watch(ctx context.Context, key string, afterVersion int64) (entry Entry, err error) {
	defer func() { err = merry.Prependf(err, "watch %q", key) }()
	query := url.Values{
		ParamAfterVersion: {strconv.FormatInt(afterVersion, 10)},
		ParamTimeout:      {c.cfg.WatchTimeout.String()},
	}
	poll := call{method: http.MethodGet, path: keyPath(PathWatch, key), key: key, query: query, answer: &entry}
	for {
		newer, err := c.poll(ctx, poll)
		switch {
		case ctx.Err() != nil:
			return Entry{}, merry.Wrap(ctx.Err())
		case err != nil:
			return Entry{}, err
		case newer:
			return entry, nil
		}
	}
}

// poll asks once and reports whether there is a newer entry. It uses a
// connection of its own, since an idle one may have gone silent and since the
// end of the context has to close it.
func (c *Client) poll(ctx context.Context, call call) (newer bool, err error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return false, call.lost(err)
	}
	defer conn.Close() //nolint:errcheck // Nothing is written any more.
	if err := conn.SetDeadline(time.Now().Add(c.cfg.WatchTimeout + c.cfg.CallTimeout)); err != nil {
		return false, call.lost(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(longAgo) })
	defer stop()

	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	if err := c.fill(r, call); err != nil {
		return false, err
	}
	if err := exchange(conn, r, w); err != nil {
		return false, call.lost(err)
	}
	if w.StatusCode() == http.StatusNoContent {
		return false, nil
	}
	return true, call.decode(w)
}

// connect dials within the timeout of a call.
func (c *Client) connect(ctx context.Context) (conn net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", c.cfg.Address)
}

// exchange sends a request and reads the answer.
func exchange(conn net.Conn, r *fasthttp.Request, w *fasthttp.Response) error {
	bw := bufio.NewWriter(conn)
	if err := r.Write(bw); err != nil {
		return err
	}
	if err := bw.Flush(); err != nil {
		return err
	}
	return w.ReadLimitBody(bufio.NewReader(conn), maxResponseBytes)
}

// dial is the dialler of calls; it marks the errors of connections never made.
func dial(addr string, timeout time.Duration) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err = dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}
