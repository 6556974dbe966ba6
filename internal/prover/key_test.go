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

// endlessTokens make a stream that outlasts a test.
const endlessTokens = 20000

func twoWorkspaces() []declarer.Workspace {
	return []declarer.Workspace{
		{Name: "cellar", Rate: 5000, Burst: 5000},
		{Name: "packing", Rate: 5000, Burst: 5000},
	}
}

// Guards against a request that runs without a key or for another workspace
// than that of its key.
func TestRequestsRunForTheirWorkspace(t *testing.T) {
	b := startBench(t, benchConfig{workspaces: twoWorkspaces()})
	own, other := b.keys["packing"], b.keys["cellar"]
	assertOK(t, b.mustCall("entry-a1", submit(own, "orders", batchItems("orders", 10, 2))))
	b.awaitJob("entry-b1", own, "orders", "completed")

	for _, entry := range b.Entries {
		t.Run("strangers through "+entry.ID, func(t *testing.T) {
			for _, key := range []string{"", "stranger-0123456789", b.OperatorKey, b.KeyDigest(own)} {
				code := "key-unknown"
				if key == "" {
					code = "key-missing"
				}
				for _, r := range guarded(key, "stranger") {
					assertRefused(t, b.mustCall(entry.ID, r), code, "not-run")
				}
			}
		})
		t.Run("another workspace's job through "+entry.ID, func(t *testing.T) {
			for _, r := range jobRequests(other, "orders") {
				assertRefused(t, b.mustCall(entry.ID, r), "job-not-found", "not-run")
			}
			b.awaitJob(entry.ID, own, "orders", "completed")
		})
		t.Run("an open route through "+entry.ID, func(t *testing.T) {
			assertOK(t, b.mustCall(entry.ID, get("", "/services/open-label/labels/1")))
		})
	}
	t.Run("another workspace's idempotency key", func(t *testing.T) {
		for n, key := range []string{own, other} {
			r := order(key, "shared-id")
			r.header = map[string]string{"Idempotency-Key": "shared"}
			assertOK(t, b.mustCall(b.Entries[n].ID, r))
		}
		assert.Equal(t, b.placed("service-a", "service-b")["shared-id"], 2, "an answer of another workspace was replayed")
	})
	t.Run("nothing of a stranger reached a server", func(t *testing.T) {
		for _, r := range b.receivedByAll() {
			assert.Assert(t, !r.Contains("stranger"), "%+v", r)
		}
	})
}

// guarded are requests that need a key.
func guarded(key, marker string) []request {
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

func (b *bench) receivedByAll() (all []emulator.Request) {
	b.t.Helper()
	for _, server := range b.BackendServers {
		all = append(all, b.received(server.Name).Requests...)
	}
	return all
}

// Guards against a key that reaches a backend server by any part of a request.
func TestBackendServersSeeNoKey(t *testing.T) {
	b := startBench(t, benchConfig{workspaces: twoWorkspaces()})
	key := b.keys["packing"]
	label := get(key, "/services/label/labels/7")
	inHeader := func(r request, name, value string) request {
		r.header = map[string]string{name: value}
		return r
	}
	inTarget := func(suffix string) request { return get(key, label.path+suffix) }
	escaped := fmt.Sprintf("%%%02x%s", key[0], key[1:])
	bare := inHeader(get("", label.path), "X-Api-Key", key)
	item := strings.Replace(batchItems("hidden", 1, 2), "marker:hidden", "marker:hidden "+key, 1)
	stripped := map[string]request{
		"authorization": label,
		"x-api-key":     bare,
		"other header":  inHeader(label, "X-Custom", key),
		"referer":       inHeader(label, "Referer", "http://shop/?key="+key),
		"cookie":        inHeader(label, "Cookie", "session="+key),
		"query key":     inTarget("?key=" + key),
		"query token":   inTarget("?a=1&access_token=" + key),
	}
	refused := map[string]request{
		"request id":      inHeader(label, "X-Request-Id", key),
		"content type":    inHeader(label, "Accept", "text/"+key),
		"idempotency key": inHeader(order(key, "o-1"), "Idempotency-Key", key),
		"other parameter": inTarget("?note=" + key),
		"escaped query":   inTarget("?note=" + escaped),
		"path":            inTarget("-" + key),
		"escaped path":    inTarget("-" + escaped),
		"body":            chat(key, "m "+key, 5, false),
		"escaped body":    {path: "/v1/chat/completions", key: key, body: strings.Replace(chat(key, key, 5, false).body, key, fmt.Sprintf(`\u%04x%s`, key[0], key[1:]), 1)},
		"form body":       {path: "/services/order/orders", key: key, body: "order-id=" + url.QueryEscape(key)},
		"batch item":      submit(key, "hidden", item),
	}
	for _, entry := range b.Entries {
		for place, r := range stripped {
			t.Run(place+" through "+entry.ID, func(t *testing.T) { assertOK(t, b.mustCall(entry.ID, r)) })
		}
		for place, r := range refused {
			t.Run(place+" through "+entry.ID, func(t *testing.T) {
				a := b.mustCall(entry.ID, r)
				assert.Equal(t, a.refusal().Error.Outcome, "not-run", "%d %s", a.status, a.body)
			})
		}
	}
	received := b.receivedByAll()
	assert.Assert(t, len(received) > len(stripped))
	for _, r := range received {
		assert.Assert(t, !r.Contains(key) && !r.Contains(escaped), "a server got the key: %+v", r)
	}
}

// Guards against a withdrawn key that goes on working, on a connection or in a
// stream that was open before.
func TestWithdrawnKeyStops(t *testing.T) {
	b := startBench(t, benchConfig{workspaces: twoWorkspaces()})
	key := b.keys["packing"]
	kept, streams, others := map[string]*http.Client{}, map[string]*openStream{}, map[string]*openStream{}
	for _, e := range b.Entries {
		kept[e.ID] = &http.Client{Transport: &http.Transport{}}
		a, err := b.callWith(t.Context(), kept[e.ID], e.ID, get(key, "/services/label/labels/1"))
		assert.NilError(t, err)
		assertOK(t, a)
		streams[e.ID] = b.openStream(e.ID, chat(key, "withdrawn-"+e.ID, endlessTokens, true))
		others[e.ID] = b.openStream(e.ID, chat(b.keys["cellar"], "other-"+e.ID, endlessTokens, true))
	}

	start := time.Now()
	b.apply("entry-a1", declarer.ReleaseNote{Title: "withdraw", Withdrawn: declarer.Withdrawn{Keys: []string{"packing"}}})
	for _, e := range b.Entries {
		t.Run("running stream at "+e.ID, func(t *testing.T) {
			body := streams[e.ID].awaitEnd(t)
			took := time.Since(start)
			assert.Assert(t, took <= inForceLimit, "ended after %s", took)
			assert.Assert(t, strings.Contains(body, "event: error\n") && strings.Contains(body, "key-withdrawn"), "%s", body)
			assert.Assert(t, !strings.Contains(body, "[DONE]"))
			t.Logf("ended after %s", took)
		})
		t.Run("kept connection at "+e.ID, func(t *testing.T) {
			tester.Eventually(t, patience, "the key is refused", func() error {
				a, err := b.callWith(t.Context(), kept[e.ID], e.ID, get(key, "/services/label/labels/1"))
				if err == nil && a.refusal().Error.Code != "key-withdrawn" {
					err = errors.New(a.body)
				}
				return err
			})
			took := time.Since(start)
			assert.Assert(t, took <= inForceLimit, "refused after %s", took)
		})
		t.Run("another key's stream at "+e.ID, func(t *testing.T) {
			assert.Assert(t, others[e.ID].running(), "%s", others[e.ID].text())
		})
	}
}

// An openStream is a stream that a goroutine reads.
type openStream struct {
	cancel context.CancelFunc
	ended  chan struct{} // Closed at the end; then body and err are set.
	body   string
	err    error
}

// openStream sends a request and returns after the first event of the answer.
func (b *bench) openStream(entry string, r request) *openStream {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	b.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Entry(entry).Addresses().HTTP+r.path, strings.NewReader(r.body))
	assert.NilError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+r.key)
	response, err := freshClient.Do(req)
	assert.NilError(b.t, err)
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	assert.NilError(b.t, err)
	s := &openStream{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		defer func() { _ = response.Body.Close() }()
		rest, err := io.ReadAll(reader)
		s.body, s.err = first+string(rest), err
	}()
	return s
}

func (s *openStream) running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

func (s *openStream) text() string {
	if s.running() {
		return ""
	}
	return s.body
}

// awaitEnd waits for the end of a stream that ends without an error of the
// connection.
func (s *openStream) awaitEnd(t testing.TB) string {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(patience):
		t.Fatal("the stream does not end")
	}
	assert.NilError(t, s.err)
	return s.body
}
