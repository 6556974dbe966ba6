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

	"github.com/quetzalhitch/quetzalhitch/internal/headreader"
)

// pastDeadline makes reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// Watch waits until key has a version above afterVersion. With an afterVersion
// of zero it waits for the key to be created, otherwise it returns ErrNotFound
// when the key does not exist. ErrUnavailable means that the watch failed and
// can be restarted by the caller.
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

// poll makes one watch request and reports whether there is a newer entry. It
// uses a new connection, because an idle one may be dead and because the end of
// the context must be able to interrupt it.
func (c *Client) poll(ctx context.Context, call call) (newer bool, err error) {
	conn, err := c.dialWatch(ctx)
	if err != nil {
		return false, call.noAnswerError(err)
	}
	defer conn.Close() //nolint:errcheck // Nothing is written after the request.
	if err := conn.SetDeadline(time.Now().Add(c.cfg.WatchTimeout + c.cfg.CallTimeout)); err != nil {
		return false, call.noAnswerError(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	defer stop()

	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	if err := c.buildRequest(r, call); err != nil {
		return false, err
	}
	if err := exchange(conn, r, w); err != nil {
		return false, call.noAnswerError(err)
	}
	if w.StatusCode() == http.StatusNoContent {
		return false, nil
	}
	return true, call.decode(w)
}

// dialWatch dials a connection for a watch within the timeout of a call.
func (c *Client) dialWatch(ctx context.Context) (conn net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", c.cfg.Address)
}

// exchange sends a request and reads its answer.
func exchange(conn net.Conn, r *fasthttp.Request, w *fasthttp.Response) error {
	bw := bufio.NewWriter(conn)
	if err := r.Write(bw); err != nil {
		return err
	}
	if err := bw.Flush(); err != nil {
		return err
	}
	answers := bufio.NewReaderSize(conn, maxHeadBytes)
	if err := headreader.Check(answers); err != nil {
		return err
	}
	return w.ReadLimitBody(answers, maxResponseBytes)
}

// dialTCP is the dial function for calls. It wraps failures as dialError.
func dialTCP(addr string, timeout time.Duration) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err = dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return headreader.NewConn(conn), nil
}
