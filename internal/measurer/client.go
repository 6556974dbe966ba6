package measurer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Reasons of failed requests, as results report them.
const (
	failureMalformedResponse  = "bad-answer"
	failureConnection         = "connection"
	failureMismatchedResponse = "crossed-answer"
	failureTruncated          = "cut"
	failureNoEntry            = "no-entry"
	failureStreamError        = "stream-error"
	failureTimeout            = "timeout"
)

// maxIdleConnsPerEntry keeps connections open for all requests in flight to one
// entry.
const maxIdleConnsPerEntry = 1024

// errNoEntry means that no entry accepts connections.
var errNoEntry = merry.Sentinel("no entry accepts connections")

// A client sends requests to the entries as callers do.
type client struct {
	http     *http.Client
	balancer *balancer
	keys     map[string]string // By workspace.
	model    string            // Of chat requests.
	chat     Chat
	call     Call
	clock    Clock
	timeout  time.Duration // From sending a request to the last byte of its response.
}

func newClient(cfg Config) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
	}
	return &client{
		http:     &http.Client{Transport: transport},
		balancer: newBalancer(cfg.Clock, cfg.Entries),
		keys:     cfg.Keys,
		model:    cfg.Description.Deployment.modelOf(cfg.Description.Deployment.Chat.Route),
		chat:     cfg.Description.Deployment.Chat,
		call:     cfg.Description.Deployment.Call,
		clock:    cfg.Clock,
		timeout:  cfg.RequestTimeout,
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// send sends one online request and waits for its outcome. Latencies count from
// the intended start.
func (c *client) send(ctx context.Context, r request, intended time.Time) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if r.Kind == KindCall {
		return c.sendCall(ctx, r, intended)
	}
	return c.sendChat(ctx, r, intended)
}

func (c *client) sendCall(ctx context.Context, r request, intended time.Time) outcome {
	path := servicePrefix + c.call.Route + "/" + strings.ReplaceAll(c.call.Path, numberPlaceholder, requestMarker(r))
	resp, err := c.exchange(ctx, c.call.Method, path, r.Workspace, nil)
	if err != nil {
		return failureOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalOutcome(resp)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return failureOutcome(ctx, err)
	}
	if !strings.Contains(string(content), strconv.Quote(requestMarker(r))) {
		return outcome{kind: failed, reason: failureMismatchedResponse}
	}
	return outcome{kind: answered, total: c.clock.Now().Sub(intended)}
}

func (c *client) sendChat(ctx context.Context, r request, intended time.Time) outcome {
	body := chatBody{
		Model:     c.model,
		Messages:  []chatMessage{{Role: "user", Content: newPrompt(r.Workspace, requestMarker(r), c.chat.PrefixWords)}},
		MaxTokens: c.chat.MaxTokens,
		Stream:    true,
	}
	content, err := json.Marshal(body)
	if err != nil {
		return failureOutcome(ctx, err)
	}
	resp, err := c.exchange(ctx, http.MethodPost, chatPath, r.Workspace, content)
	if err != nil {
		return failureOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalOutcome(resp)
	}
	return c.readStream(ctx, resp.Body, requestMarker(r), intended)
}

// readStream reads a streamed response. Without streamEnd it is truncated.
func (c *client) readStream(ctx context.Context, body io.Reader, marker string, intended time.Time) (o outcome) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), dataPrefix)
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == streamEnd {
			return outcome{kind: answered, firstToken: o.firstToken, total: c.clock.Now().Sub(intended)}
		}
		if o = c.readChunk(data, marker, intended, o); o.kind == failed {
			return o
		}
	}
	if err := lines.Err(); err != nil {
		return failureOutcome(ctx, err)
	}
	return outcome{kind: failed, reason: failureTruncated}
}

// readChunk reads one chunk and returns the outcome so far, in which the first
// chunk with text sets the time of the first token.
func (c *client) readChunk(data, marker string, intended time.Time, soFar outcome) outcome {
	var chunk chatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return outcome{kind: failed, reason: failureMalformedResponse}
	}
	if chunk.Error != nil {
		return outcome{kind: failed, reason: failureStreamError}
	}
	text := chunk.text()
	if text == "" {
		return soFar
	}
	if !strings.Contains(text, marker+"-") {
		return outcome{kind: failed, reason: failureMismatchedResponse}
	}
	if soFar.firstToken == 0 {
		soFar.firstToken = c.clock.Now().Sub(intended)
	}
	return soFar
}

// exchange sends a request to an entry. After a failed connection it tries the
// next entry, as a load balancer does.
func (c *client) exchange(
	ctx context.Context, method, path, workspace string, body []byte,
) (resp *http.Response, err error) {
	for {
		entry, ok := c.balancer.pick()
		if !ok {
			return nil, errNoEntry
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+c.keys[workspace])
		req.Header.Set("Content-Type", "application/json")
		resp, err = c.http.Do(req)
		var opErr *net.OpError
		if err == nil || !errors.As(err, &opErr) || opErr.Op != "dial" || ctx.Err() != nil {
			return resp, err
		}
		c.balancer.eject(entry)
	}
}

// requestMarker returns the unique marker of a request.
func requestMarker(r request) string {
	return fmt.Sprintf("%s.%s.%d", r.Workspace, r.Kind, r.Number)
}

// refusalOutcome returns the outcome of an unsuccessful response.
func refusalOutcome(resp *http.Response) outcome {
	var body refusalBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return outcome{kind: failed, reason: fmt.Sprintf("status-%d", resp.StatusCode)}
	}
	return outcome{kind: refused, reason: body.Error.Code}
}

// failureOutcome returns the outcome of a request that ended with an error.
func failureOutcome(ctx context.Context, err error) outcome {
	o := outcome{kind: failed, reason: failureConnection}
	switch {
	case errors.Is(err, errNoEntry):
		o.reason = failureNoEntry
	case ctx.Err() != nil:
		o.reason = failureTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		o.reason = failureTruncated
	}
	return o
}
