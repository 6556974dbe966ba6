package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// Guards against callers that get the answer of another one, in whole answers
// and in streams, while some callers leave in the middle.
func TestCrossedAnswers(t *testing.T) {
	r := newRig(t, 3)
	r.engines[1].SetFault(engineemulator.Fault{DelayMillis: 20, Match: "late"})
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			for j := range 8 {
				marker := fmt.Sprintf("m-%d-%d.", i, j)
				c := completionCall("marker:"+marker+[]string{" late", " soon"}[i%2], 10, j%2 == 0)
				if j%4 == 3 {
					r.leaveEarly(c)
					continue
				}
				status, body := r.do(t, c)
				assert.Equal(t, status, 200)
				assert.Equal(t, strings.Count(body, marker+"-"), 10, "body %q", body)
				assert.Equal(t, strings.Count(body, "m-"), 10, "body %q", body)
			}
		})
	}
	wg.Wait()
}

func (r *rig) leaveEarly(c call) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	response, err := r.send(ctx, c)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// Guards against a backend server, or a log, that sees a key.
func TestKeysStayHere(t *testing.T) {
	r := newRig(t, 1)
	escaped := url.QueryEscape(redKey)
	label := serviceCall("GET", "/services/labels/labels/l-1", "").with("X-Api-Key", redKey)
	target := func(suffix string) call {
		c := label
		c.path += suffix
		return c
	}
	t.Run("stripped", func(t *testing.T) {
		assertAnswer(t, r, target("?key="+escaped+"&token="+redKey+"&lang=hr"), "pallet-l-1")
		assertAnswer(t, r, label.with("Cookie", "session="+redKey).with("X-Custom", redKey), "pallet-l-1")
		assertAnswer(t, r, completionCall("marker:m-1", 2, true).with("X-Request-Id", "from-caller"), "[DONE]")
	})
	t.Run("refused", func(t *testing.T) {
		assertRefused(t, r, target("?note="+escaped), refuser.BadRequest)
		assertRefused(t, r, target("-"+url.PathEscape(redKey)), refuser.BadRequest)
		assertRefused(t, r, label.with("Accept", redKey), refuser.BadRequest)
		assertRefused(t, r, completionCall("marker:m-2 key "+redKey, 2, false), refuser.KeyInBody)
		open := call{method: "GET", path: "/services/alarms/alarms/a-1?note=" + escaped}
		assertRefused(t, r, open, refuser.BadRequest)
	})
	assertNobodySaw(t, r, redKey)
	assertNobodySaw(t, r, escaped)
	assertNobodySaw(t, r, r.auth.Digest(redKey))
	assertNobodySaw(t, r, blueKey)
}

func TestKeys(t *testing.T) {
	r := newRig(t, 1)
	label := serviceCall("GET", "/services/labels/labels/l-1", "")
	// Guards against requests that run without key, or for an unclear workspace.
	t.Run("a key is needed except on open routes", func(t *testing.T) {
		assertAnswer(t, r, label, "pallet-l-1")
		assertAnswer(t, r, call{method: "POST", path: "/services/alarms/alarms/a-1/ack"}, `"acknowledged":1`)
		assertRefused(t, r, call{method: "GET", path: label.path}, refuser.KeyMissing)
		assertRefused(t, r, call{method: "GET", path: "/services/absent/x"}, refuser.KeyMissing)
		assertRefused(t, r, label.with("X-Api-Key", "guess"), refuser.KeyUnknown)
		assertRefused(t, r, label.with("Authorization", "Bearer "+redKey), refuser.BadRequest)
		assertRefused(t, r, label.with("X-Api-Key", "").with("Authorization", "Basic "+redKey), refuser.KeyMissing)
	})

	// Guards against a stream and a connection that outlive the withdrawal of
	// their key.
	t.Run("a withdrawn key stops working", func(t *testing.T) {
		response, err := r.send(context.Background(), completionCall("marker:m-1", 100000, true))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		reader := bufio.NewReader(response.Body)
		_, err = reader.ReadString('\n')
		assert.NilError(t, err)
		r.declare(blueKey)
		withdrawn := time.Now()
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assertCut(t, string(rest), refuser.KeyWithdrawn)
		assert.Assert(t, time.Since(withdrawn) < 2*time.Second)
		assertRefused(t, r, completionCall("marker:m-2", 2, false), refuser.KeyWithdrawn)
		assertAnswer(t, r, label, "pallet-l-1")
		waitFor(t, "the engine to stop", func() bool { return r.running() == 0 })
	})
}

// Guards against requests that are refused without a clear reason, or that run
// although they are refused.
func TestBadRequests(t *testing.T) {
	r := newRig(t, 1)
	sound := completionCall("marker:m-1", 2, false)
	bodies := map[string]string{
		"empty":           "",
		"not JSON":        `{"model":"desk"`,
		"not UTF-8":       `{"model":"desk","prompt":"` + "\xff" + `"}`,
		"not an object":   `["desk"]`,
		"trailing":        `{"model":"desk"} {}`,
		"model twice":     `{"model":"desk","prompt":"x","model":"other"}`,
		"model no string": `{"model":7}`,
		"stream no bool":  `{"model":"desk","stream":"yes"}`,
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			c := sound
			c.body = body
			assertRefused(t, r, c, refuser.BadRequest)
		})
	}
	large := strings.Repeat("x", 100<<10)
	cases := []struct {
		name string
		call call
		code refuser.Code
	}{
		{"body too large", completionCall(large, 2, false), refuser.BodyTooLarge},
		{"header too large", sound.with("X-Filler", large), refuser.HeaderTooLarge},
		{"unknown model", call{"POST", sound.path, `{"model":"absent"}`, sound.header}, refuser.RouteNotFound},
		{"unknown route", sound.with("X-Route", "absent"), refuser.RouteNotFound},
		{"route of another model", call{"POST", sound.path, `{"model":"x"}`, sound.header}.with("X-Route", "desk"), refuser.BadRequest},
		{"unknown path", call{method: "GET", path: "/v2/x"}, refuser.RouteNotFound},
		{"wrong method", call{method: "GET", path: sound.path}, refuser.MethodNotAllowed},
		{"encoded body", sound.with("Content-Encoding", "gzip"), refuser.BadRequest},
		{"long idempotency key", sound.with("Idempotency-Key", large[:300]), refuser.BadRequest},
		{"no intents here", sound.with("Idempotency-Key", "k-1"), refuser.PlatformUnavailable},
		{"path that climbs", serviceCall("GET", "/services/labels/%2e%2e/orders", ""), refuser.BadRequest},
		{"path not UTF-8", serviceCall("GET", "/services/labels/%ff", ""), refuser.BadRequest},
		{"unknown method", call{method: "BREW", path: "/v1/completions"}, refuser.MethodNotAllowed},
		{"fault of a mounted handler", call{method: "GET", path: "/fault"}, refuser.Internal},
		{"panic of a mounted handler", call{method: "GET", path: "/panic"}, refuser.Internal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertRefused(t, r, c.call, c.code) })
	}
	assert.Equal(t, len(r.engines[0].Journal().Report().Requests), 0)
	// Guards against jobs that are cut down to the limit of online bodies.
	t.Run("batch bodies have their own limit", func(t *testing.T) {
		assertAnswer(t, r, call{"PUT", "/v1/batches/j-1", large, nil}, fmt.Sprint(len(large)))
		assertRefused(t, r, call{"PUT", "/v1/batches/j-1", strings.Repeat(large, 20), nil}, refuser.BodyTooLarge)
	})
}

func TestCallersAndServers(t *testing.T) {
	r := newRig(t, 1)
	// Guards against a cut stream that looks whole to the caller.
	t.Run("a cut stream ends with an error event", func(t *testing.T) {
		r.engines[0].SetFault(engineemulator.Fault{CloseAfterTokens: 3, Times: 1})
		_, body := r.do(t, completionCall("marker:m-1", 9, true))
		assertCut(t, body, refuser.UpstreamFailed)
		assert.Equal(t, strings.Count(body, "m-1-"), 3)
	})

	// Guards against engines that work for callers who have left, before and
	// after the first byte.
	t.Run("a caller that leaves cancels its request", func(t *testing.T) {
		for _, stream := range []bool{false, true} {
			ctx, cancel := context.WithCancel(context.Background())
			left := make(chan struct{})
			go func() {
				defer close(left)
				response, err := r.send(ctx, completionCall("marker:m-2", 100000, stream))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}()
			waitFor(t, "the engine to run", func() bool { return r.running() == 1 })
			cancel()
			<-left
			started := time.Now()
			waitFor(t, "the engine to stop", func() bool { return r.running() == 0 })
			assert.Assert(t, time.Since(started) < time.Second, "the deadline and not the caller ended the request")
		}
	})

	// Guards against an order that is placed twice because a connection closed
	// at a bad moment.
	t.Run("an order is placed once", func(t *testing.T) {
		for range 3 {
			assertAnswer(t, r, serviceCall("GET", "/services/labels/labels/l-1", ""), "pallet")
		}
		r.service.SetFault(serviceemulator.Fault{CloseReused: true})
		assertAnswer(t, r, serviceCall("POST", "/services/orders/orders", `{"order-id":"o-1"}`), `"times":1`)
		r.service.SetFault(serviceemulator.Fault{CloseAfterRun: true})
		status, body := r.do(t, serviceCall("POST", "/services/orders/orders", `{"order-id":"o-2"}`))
		assert.Equal(t, status, 502)
		assert.Assert(t, strings.Contains(body, `"outcome":"unknown"`), "body %q", body)
		assert.Equal(t, r.service.Orders("o-2"), 1)
	})
}

// Guards against label calls and alarms that wait behind batch work.
func TestHeadOfLine(t *testing.T) {
	r := newRig(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 200 {
		body := fmt.Appendf(nil, `{"model":"desk","prompt":"marker:b-%d","max_tokens":1000000}`, i)
		item := dispatcher.Item{Route: r.declared.Routes[0], Path: "/v1/completions", Body: body}
		wg.Go(func() { _, _ = r.dispatch.RunItem(ctx, item) })
	}
	waitFor(t, "batch items", func() bool { return r.running() == 200 })
	var slowest time.Duration
	for i := range 200 {
		started := time.Now()
		assertAnswer(t, r, serviceCall("GET", fmt.Sprint("/services/labels/labels/l-", i), ""), fmt.Sprint("pallet-l-", i))
		assertAnswer(t, r, call{method: "POST", path: fmt.Sprintf("/services/alarms/alarms/a-%d/ack", i)}, `"acknowledged":1`)
		slowest = max(slowest, time.Since(started))
	}
	assert.Equal(t, r.running(), 200, "label calls displaced batch items")
	assert.Assert(t, slowest < time.Duration(r.declared.Routes[1].Deadline)/2, "the slowest pair took %s", slowest)
	cancel()
	wg.Wait()
}

// Guards against a shutdown that cuts requests, and against probes that keep
// the balancer sending.
func TestShutdown(t *testing.T) {
	r := newRig(t, 1)
	assertAnswer(t, r, call{method: "GET", path: "/healthz"}, "ok")
	assertAnswer(t, r, call{method: "GET", path: "/readyz"}, "ready")
	response, err := r.send(context.Background(), completionCall("marker:m-1", 300, true))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	r.Drain()
	assertRefused(t, r, call{method: "GET", path: "/readyz"}, refuser.Draining)
	assertAnswer(t, r, completionCall("marker:m-2", 2, false), "m-2-1")
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		ended <- r.Shutdown(ctx)
	}()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), "the stream was cut")
	assert.NilError(t, <-ended)
	_, err = net.Dial("tcp", r.Address())
	assert.Assert(t, err != nil, "a connection was accepted after the shutdown")
}

// Guards against an instance that takes requests before it has a configuration.
func TestNotConfigured(t *testing.T) {
	r := newRig(t, 1)
	r.fleet.Install(declarer.Declaration{})
	assertRefused(t, r, call{method: "GET", path: "/readyz"}, refuser.NotConfigured)
	assertRefused(t, r, completionCall("marker:m-1", 2, false), refuser.NotConfigured)
	status, _ := r.do(t, call{method: http.MethodGet, path: "/metrics"})
	assert.Equal(t, status, 404)
}
