package prover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// endlessTokens is the token count of a stream that outlasts a test.
const endlessTokens = 20000

func twoWorkspaces() []declarer.Workspace {
	return []declarer.Workspace{
		{Name: "cellar", Rate: 5000, Burst: 5000},
		{Name: "packing", Rate: 5000, Burst: 5000},
	}
}

// Guards against a request that runs without a valid key, or that accesses data
// of a workspace other than that of its key.
func TestWorkspaceIsolation(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{workspaces: twoWorkspaces()})
	ownKey, otherKey := d.keys["packing"], d.keys["cellar"]
	assertOK(t, d.mustCall("entry-a1", submit(ownKey, "orders", batchItems("orders", 10, 2))))
	d.awaitJob("entry-b1", ownKey, "orders", "completed")

	for _, entry := range d.Entries {
		t.Run("invalid keys through "+entry.ID, func(t *testing.T) {
			for _, key := range []string{"", "unauthorized-0123456789", d.OperatorKey, d.KeyDigest(ownKey)} {
				code := "key-unknown"
				if key == "" {
					code = "key-missing"
				}
				for _, r := range requestsWithKey(key, "unauthorized") {
					assertRefused(t, d.mustCall(entry.ID, r), code, "not-run")
				}
			}
		})
		t.Run("another workspace's job through "+entry.ID, func(t *testing.T) {
			for _, r := range jobRequests(otherKey, "orders") {
				assertRefused(t, d.mustCall(entry.ID, r), "job-not-found", "not-run")
			}
			d.awaitJob(entry.ID, ownKey, "orders", "completed")
		})
		t.Run("an open route through "+entry.ID, func(t *testing.T) {
			assertOK(t, d.mustCall(entry.ID, get("", "/services/open-label/labels/1")))
		})
	}
	t.Run("another workspace's idempotency key", func(t *testing.T) {
		for n, key := range []string{ownKey, otherKey} {
			r := order(key, "shared-id")
			r.header = map[string]string{"Idempotency-Key": "shared"}
			assertOK(t, d.mustCall(d.Entries[n].ID, r))
		}
		assert.Equal(t, d.placedOrders("service-a", "service-b")["shared-id"], 2, "an answer of another workspace was replayed")
	})
	t.Run("no request with an invalid key reached a server", func(t *testing.T) {
		for _, r := range d.receivedByAll() {
			assert.Assert(t, !r.Contains("unauthorized"), "%+v", r)
		}
	})
}

// requestsWithKey returns requests to routes that require a key.
func requestsWithKey(key, marker string) []request {
	return []request{
		chat(key, marker, 5, true),
		get(key, "/services/label/labels/"+marker),
		order(key, marker),
		submit(key, marker, batchItems(marker, 2, 2)),
	}
}

func jobRequests(key, job string) []request {
	return []request{
		get(key, "/v1/batches/"+job),
		get(key, "/v1/batches/"+job+"/results"),
		{path: "/v1/batches/" + job + "/cancel", key: key},
	}
}

func (d *testDeployment) receivedByAll() (all []emulator.Request) {
	d.t.Helper()
	for _, server := range d.BackendServers {
		all = append(all, d.received(server.Name).Requests...)
	}
	return all
}

// Guards against a key that reaches a backend server in any part of a request.
func TestBackendServersSeeNoKey(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{workspaces: twoWorkspaces()})
	key := d.keys["packing"]
	label := get(key, "/services/label/labels/7")
	withHeader := func(r request, name, value string) request {
		r.header = map[string]string{name: value}
		return r
	}
	withSuffix := func(suffix string) request { return get(key, label.path+suffix) }
	escaped := fmt.Sprintf("%%%02x%s", key[0], key[1:])
	apiKeyOnly := withHeader(get("", label.path), "X-Api-Key", key)
	item := strings.Replace(batchItems("hidden", 1, 2), "marker:hidden", "marker:hidden "+key, 1)
	stripped := map[string]request{
		"authorization": label,
		"x-api-key":     apiKeyOnly,
		"other header":  withHeader(label, "X-Custom", key),
		"referer":       withHeader(label, "Referer", "http://shop/?key="+key),
		"cookie":        withHeader(label, "Cookie", "session="+key),
		"query key":     withSuffix("?key=" + key),
		"query token":   withSuffix("?a=1&access_token=" + key),
	}
	refused := map[string]request{
		"request id":      withHeader(label, "X-Request-Id", key),
		"content type":    withHeader(label, "Accept", "text/"+key),
		"idempotency key": withHeader(order(key, "o-1"), "Idempotency-Key", key),
		"other parameter": withSuffix("?note=" + key),
		"escaped query":   withSuffix("?note=" + escaped),
		"path":            withSuffix("-" + key),
		"escaped path":    withSuffix("-" + escaped),
		"body":            chat(key, "m "+key, 5, false),
		"escaped body":    {path: "/v1/chat/completions", key: key, body: strings.Replace(chat(key, key, 5, false).body, key, fmt.Sprintf(`\u%04x%s`, key[0], key[1:]), 1)},
		"form body":       {path: "/services/order/orders", key: key, body: "order-id=" + url.QueryEscape(key)},
		"batch item":      submit(key, "hidden", item),
	}
	for _, entry := range d.Entries {
		for place, r := range stripped {
			t.Run(place+" through "+entry.ID, func(t *testing.T) { assertOK(t, d.mustCall(entry.ID, r)) })
		}
		for place, r := range refused {
			t.Run(place+" through "+entry.ID, func(t *testing.T) {
				a := d.mustCall(entry.ID, r)
				assert.Equal(t, a.refusal().Error.Outcome, "not-run", "%d %s", a.status, a.body)
			})
		}
	}
	received := d.receivedByAll()
	assert.Assert(t, len(received) > len(stripped))
	for _, r := range received {
		assert.Assert(t, !r.Contains(key) && !r.Contains(escaped), "a server received the key: %+v", r)
	}
}

// Guards against a withdrawn key that still works on a connection or in a
// stream that was opened before the withdrawal.
func TestWithdrawnKeyStops(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{workspaces: twoWorkspaces()})
	key := d.keys["packing"]
	clients, streams, others := map[string]*http.Client{}, map[string]*runningStream{}, map[string]*runningStream{}
	for _, e := range d.Entries {
		clients[e.ID] = &http.Client{Transport: &http.Transport{}}
		a, err := d.callWith(t.Context(), clients[e.ID], e.ID, get(key, "/services/label/labels/1"))
		assert.NilError(t, err)
		assertOK(t, a)
		streams[e.ID] = d.openStream(e.ID, chat(key, "withdrawn-"+e.ID, endlessTokens, true))
		others[e.ID] = d.openStream(e.ID, chat(d.keys["cellar"], "other-"+e.ID, endlessTokens, true))
	}

	start := time.Now()
	d.apply("entry-a1", declarer.ReleaseNote{Title: "withdraw", Withdrawn: declarer.Withdrawn{Keys: []string{"packing"}}})
	for _, e := range d.Entries {
		t.Run("running stream at "+e.ID, func(t *testing.T) {
			body := streams[e.ID].awaitEnd(t)
			took := time.Since(start)
			assert.Assert(t, took <= propagationLimit, "ended after %s", took)
			assert.Assert(t, strings.Contains(body, "event: error\n") && strings.Contains(body, "key-withdrawn"), "%s", body)
			assert.Assert(t, !strings.Contains(body, "[DONE]"))
			t.Logf("ended after %s", took)
		})
		t.Run("keep-alive connection at "+e.ID, func(t *testing.T) {
			tester.Eventually(t, waitTimeout, "the key is refused", func() error {
				a, err := d.callWith(t.Context(), clients[e.ID], e.ID, get(key, "/services/label/labels/1"))
				if err == nil && a.refusal().Error.Code != "key-withdrawn" {
					err = errors.New(a.body)
				}
				return err
			})
			took := time.Since(start)
			assert.Assert(t, took <= propagationLimit, "refused after %s", took)
		})
		t.Run("another key's stream at "+e.ID, func(t *testing.T) {
			assert.Assert(t, others[e.ID].running(), "%s", others[e.ID].text())
		})
	}
}

// A runningStream is a response stream that a goroutine reads.
type runningStream struct {
	cancel context.CancelFunc
	ended  chan struct{} // Closed at the end of the stream, when body and err are set.
	body   string
	err    error
}

// openStream sends a request and returns after the first line of the answer.
func (d *testDeployment) openStream(entry string, r request) *runningStream {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	d.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Entry(entry).Addresses().HTTP+r.path, strings.NewReader(r.body))
	assert.NilError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+r.key)
	response, err := noKeepAliveClient.Do(req)
	assert.NilError(d.t, err)
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	assert.NilError(d.t, err)
	s := &runningStream{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		defer func() { _ = response.Body.Close() }()
		rest, err := io.ReadAll(reader)
		s.body, s.err = first+string(rest), err
	}()
	return s
}

func (s *runningStream) running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

func (s *runningStream) text() string {
	if s.running() {
		return ""
	}
	return s.body
}

// awaitEnd waits for the end of the stream, which must not be a connection
// error, and returns the body.
func (s *runningStream) awaitEnd(t testing.TB) string {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(waitTimeout):
		t.Fatal("the stream does not end")
	}
	assert.NilError(t, s.err)
	return s.body
}
