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

// Names of failures.
const (
	failureBadAnswer   = "bad-answer"
	failureConnection  = "connection"
	failureCrossed     = "crossed-answer"
	failureCut         = "cut"
	failureNoEntry     = "no-entry"
	failureStreamError = "stream-error"
	failureTimeout     = "timeout"
)

// idleConnections is enough for all requests in flight to one entry.
const idleConnections = 1024

// errNoEntry means that no entry accepts connections.
var errNoEntry = merry.Sentinel("no entry accepts connections")

// A client sends requests to entries as callers do.
type client struct {
	http     *http.Client
	balancer *balancer
	keys     map[string]string // By workspace.
	model    string            // Of chats.
	chat     Chat
	call     Call
	clock    Clock
	limit    time.Duration // From the sending of a request to its last byte.
}

func newClient(cfg Config) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnections,
	}
	return &client{
		http:     &http.Client{Transport: transport},
		balancer: newBalancer(cfg.Clock, cfg.Entries),
		keys:     cfg.Keys,
		model:    cfg.Description.Deployment.modelOf(cfg.Description.Deployment.Chat.Route),
		chat:     cfg.Description.Deployment.Chat,
		call:     cfg.Description.Deployment.Call,
		clock:    cfg.Clock,
		limit:    cfg.RequestLimit,
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// send sends one online request and waits for its end.
func (c *client) send(ctx context.Context, r request, intended time.Time) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	if r.Kind == KindCall {
		return c.sendCall(ctx, r, intended)
	}
	return c.sendChat(ctx, r, intended)
}

func (c *client) sendCall(ctx context.Context, r request, intended time.Time) outcome {
	path := servicePrefix + c.call.Route + "/" + strings.ReplaceAll(c.call.Path, numberPlaceholder, marker(r))
	resp, err := c.exchange(ctx, c.call.Method, path, r.Workspace, nil)
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return failure(ctx, err)
	}
	if !strings.Contains(string(content), strconv.Quote(marker(r))) {
		return outcome{verdict: failed, reason: failureCrossed}
	}
	return outcome{verdict: answered, whole: c.clock.Now().Sub(intended)}
}

func (c *client) sendChat(ctx context.Context, r request, intended time.Time) outcome {
	body := chatBody{
		Model:     c.model,
		Messages:  []chatMessage{{Role: "user", Content: newPrompt(r.Workspace, marker(r), c.chat.PrefixWords)}},
		MaxTokens: c.chat.MaxTokens,
		Stream:    true,
	}
	content, err := json.Marshal(body)
	if err != nil {
		return failure(ctx, err)
	}
	resp, err := c.exchange(ctx, http.MethodPost, chatPath, r.Workspace, content)
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	return c.readStream(ctx, resp.Body, marker(r), intended)
}

// readStream reads a streamed answer. It is whole only with its end marker.
func (c *client) readStream(ctx context.Context, body io.Reader, marker string, intended time.Time) (o outcome) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), dataPrefix)
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == endMarker {
			return outcome{verdict: answered, first: o.first, whole: c.clock.Now().Sub(intended)}
		}
		if o = c.readChunk(data, marker, intended, o); o.verdict == failed {
			return o
		}
	}
	if err := lines.Err(); err != nil {
		return failure(ctx, err)
	}
	return outcome{verdict: failed, reason: failureCut}
}

// readChunk reads one chunk. The outcome so far has the time of the first
// token.
func (c *client) readChunk(data, marker string, intended time.Time, so outcome) outcome {
	var chunk chatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return outcome{verdict: failed, reason: failureBadAnswer}
	}
	if chunk.Error != nil {
		return outcome{verdict: failed, reason: failureStreamError}
	}
	text := chunk.text()
	if text == "" {
		return so
	}
	if !strings.Contains(text, marker+"-") {
		return outcome{verdict: failed, reason: failureCrossed}
	}
	if so.first == 0 {
		so.first = c.clock.Now().Sub(intended)
	}
	return so
}

// exchange sends a request to an entry. When the connection could not be made
// it goes to the next entry, as a load balancer does.
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
		var dial *net.OpError
		if err == nil || !errors.As(err, &dial) || dial.Op != "dial" || ctx.Err() != nil {
			return resp, err
		}
		c.balancer.leaveOut(entry)
	}
}

// marker identifies a request.
func marker(r request) string {
	return fmt.Sprintf("%s.%s.%d", r.Workspace, r.Kind, r.Number)
}

// refusalOf reads an answer that is no success.
func refusalOf(resp *http.Response) outcome {
	var body refusalBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return outcome{verdict: failed, reason: fmt.Sprintf("status-%d", resp.StatusCode)}
	}
	return outcome{verdict: refused, reason: body.Error.Code}
}

// failure names an error.
func failure(ctx context.Context, err error) outcome {
	o := outcome{verdict: failed, reason: failureConnection}
	switch {
	case errors.Is(err, errNoEntry):
		o.reason = failureNoEntry
	case ctx.Err() != nil:
		o.reason = failureTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		o.reason = failureCut
	}
	return o
}
