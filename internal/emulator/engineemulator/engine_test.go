package engineemulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func start(t *testing.T, cfg Config) *Engine {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	e := New(cfg)
	assert.NilError(t, e.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := e.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return e
}

func post(t *testing.T, e *Engine, path string, document any) (int, string) {
	t.Helper()
	body, err := json.Marshal(document)
	assert.NilError(t, err)
	response, err := http.Post("http://"+e.Address()+path, "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data)
}

func assertOrder(t *testing.T, e *Engine, o Order, want int) {
	t.Helper()
	status, _ := post(t, e, "/orders", o)
	assert.Equal(t, status, want)
}

func assertDead(t *testing.T, e *Engine, method, path, body string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Address()+path, strings.NewReader(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil, "the engine answered")
}

func TestEngine(t *testing.T) {
	// Guards against responses that cannot be assigned to their requests.
	t.Run("responses repeat the marker", func(t *testing.T) {
		e := start(t, Config{TokenTime: time.Millisecond})
		status, body := post(t, e, "/v1/chat/completions", map[string]any{
			"messages": []chatMessage{{Role: "user", Content: "marker:m-7"}}, "max_tokens": 3,
		})
		assert.Equal(t, status, 200)
		assert.Equal(t, strings.Count(body, "m-7-"), 3)
		assert.Equal(t, e.Journal().Containing("m-7")[0].Method, "POST")
	})

	// Guards against an emulator that serves concurrent batch and online requests
	// faster than a real engine.
	t.Run("concurrent requests slow each other down", func(t *testing.T) {
		b := newBatch(Config{Capacity: 2, TokenTime: 10 * time.Millisecond, NeighbourCost: 0.1, OverloadCost: 0.5}, nil)
		for _, want := range []time.Duration{10, 11, 16, 21} {
			b.add(1)
			assert.Equal(t, b.stepTime(), want*time.Millisecond)
		}
	})

	// Guards against a prefix cache that is unbounded or has no effect.
	t.Run("the prefix cache is bounded", func(t *testing.T) {
		c := newPrefixCache(4)
		prompt := strings.Repeat("a", 3*blockTokens*tokenBytes)
		assert.Equal(t, c.lookupAndInsert(prompt), 0)
		assert.Equal(t, c.lookupAndInsert(prompt+"more"), 3*blockTokens)
		assert.Equal(t, c.lookupAndInsert("b"+prompt), 0)
		assert.Equal(t, c.lookupAndInsert(prompt), 0, "the blocks before were not dropped")
	})

	// Guards against load reports that are more current than those of real engines.
	t.Run("load is reported with a lag", func(t *testing.T) {
		h := &loadHistory{lag: time.Minute}
		h.add(3)
		assert.Equal(t, h.reportedLoad(time.Now()), 0)
		assert.Equal(t, h.reportedLoad(time.Now().Add(time.Minute)), 3)
	})

	// Guards against an emulator that accepts orders of a former lease holder
	// although fencing is enabled.
	t.Run("fencing", func(t *testing.T) {
		for _, fencing := range []bool{true, false} {
			e := start(t, Config{Models: []string{"desk"}, Fencing: fencing})
			assertOrder(t, e, Order{Kind: OrderLoad, Model: "cellar", FencingNumber: 7}, 200)
			want := map[bool]int{true: 409, false: 200}[fencing]
			assertOrder(t, e, Order{Kind: OrderUnload, Model: "desk", FencingNumber: 6}, want)
			assert.Equal(t, e.orders.serves("desk"), fencing)
			assert.Assert(t, e.orders.serves("cellar"))
		}
	})

	// Guards against faults that are not injected, so that tests would prove
	// nothing.
	t.Run("faults", func(t *testing.T) {
		e := start(t, Config{TokenTime: time.Millisecond})
		status, _ := post(t, e, "/fault", Fault{Status: 503, Times: 1})
		assert.Equal(t, status, 204)
		for _, want := range []int{503, 200} {
			status, _ = post(t, e, "/v1/completions", map[string]any{"prompt": "x"})
			assert.Equal(t, status, want)
		}
		e.SetFault(Fault{CrashOn: "poison"})
		assertDead(t, e, "POST", "/v1/completions", `{"prompt":"poison"}`)
		assertDead(t, e, "GET", "/health", "")
		assert.NilError(t, e.Open())
		response, err := http.Get(fmt.Sprint("http://", e.Address(), "/health"))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	})
}
