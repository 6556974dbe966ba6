package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
)

// startScripted starts a server that answers the n-th connection with the n-th
// script, after it has read a request. A script that ends in "|" leaves the
// connection open; otherwise the server closes it.
func startScripted(t *testing.T, scripts ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, script := range scripts {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, strings.TrimSuffix(script, "|"))
			if strings.HasSuffix(script, "|") {
				t.Cleanup(func() { _ = c.Close() })
				continue
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}

func get(address string) Request {
	return Request{Address: address, Method: "GET", Path: "/", FirstByteTimeout: time.Second, ProgressTimeout: time.Second}
}

func completion(address, prompt string, tokens int, stream bool) Request {
	body := fmt.Sprintf(`{"model":"desk","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
	return Request{
		Address: address, Method: "POST", Path: "/v1/completions", Body: []byte(body),
		Header:           []Field{{Name: "Content-Type", Value: "application/json"}},
		FirstByteTimeout: 5 * time.Second, ProgressTimeout: 5 * time.Second, RequireDone: true,
	}
}

// readAll sends a request and reads its answer to the end.
func readAll(t *testing.T, s *Sender, r Request) (string, error) {
	t.Helper()
	a, err := s.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	text := string(a.Body)
	for a.Stream {
		event, err := a.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return text, err
		}
		text += string(event)
	}
	return text, nil
}

func assertFailure(t *testing.T, err error, want Cause, dispatched bool) {
	t.Helper()
	var f *Failure
	assert.Assert(t, errors.As(err, &f), "error %v", err)
	assert.Equal(t, f.Cause, want, "failure %v", f)
	assert.Equal(t, f.Dispatched, dispatched)
}

func startEngine(t *testing.T, cfg engineemulator.Config) *engineemulator.Engine {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	e := engineemulator.New(cfg)
	assert.NilError(t, e.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := e.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return e
}

func startService(t *testing.T) *serviceemulator.Service {
	t.Helper()
	s := serviceemulator.New(serviceemulator.Config{Address: "127.0.0.1:0"})
	assert.NilError(t, s.Open())
	t.Cleanup(s.Crash)
	return s
}

const (
	fixedLengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	streamHead      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// Guards against a truncated answer that is taken for a complete one.
func TestTruncatedAnswers(t *testing.T) {
	cases := []struct {
		name, script string
		want         Cause // Empty for a complete answer.
	}{
		{"complete", fixedLengthHead + "whole", ""},
		{"closed before the head", "", CauseConnectionLost},
		{"closed in the head", "HTTP/1.1 200 OK\r\nConte", CauseConnectionLost},
		{"closed in the body", fixedLengthHead + "who", CauseConnectionLost},
		{"chunked body without its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("whole"), CauseConnectionLost},
		{"no declared length", "HTTP/1.1 200 OK\r\n\r\nwhole", CauseTruncated},
		{"stalled", fixedLengthHead + "who|", CauseTimeout},
		{"not HTTP", "SSH-2.0 ready\r\n\r\n", CauseMalformed},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100), CauseTooLarge},
		{"a stream", streamHead + chunk("data: 1\n\ndata: [DONE]\n\n") + chunk(""), ""},
		{"a stream without its last chunk after [DONE]", streamHead + chunk("data: 1\n\ndata: [DONE]\n\n") + "|", ""},
		{"a stream without its end marker", streamHead + chunk("data: 1\n\n") + "0\r\n\r\n", CauseTruncated},
		{"a stream closed between events", streamHead + chunk("data: 1\n\n"), CauseConnectionLost},
		{"a stream truncated in an event", streamHead + chunk("data: 1\n\ndata: [DO") + "0\r\n\r\n", CauseTruncated},
		{"a stream that stalls", streamHead + chunk("data: 1\n\n") + "|", CauseTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := get(startScripted(t, c.script))
			r.ProgressTimeout = 200 * time.Millisecond
			r.RequireDone = true
			started := time.Now()
			text, err := readAll(t, New(Config{MaxAnswerBytes: 50}), r)
			assert.Assert(t, time.Since(started) < 2*time.Second, "the progress timeout was not enforced")
			if c.want != "" {
				assertFailure(t, err, c.want, true)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(text, "whole") || strings.HasSuffix(text, "data: [DONE]\n\n"), "text %q", text)
		})
	}
}

func TestConnections(t *testing.T) {
	// Guards against an unexpected answer on an idle connection that the next
	// caller receives.
	t.Run("an idle connection with unread data is not reused", func(t *testing.T) {
		address := startScripted(t, fixedLengthHead+"first"+fixedLengthHead+"stray|", fixedLengthHead+"right")
		s := New(Config{})
		for _, want := range []string{"first", "right"} {
			text, err := readAll(t, s, get(address))
			assert.NilError(t, err)
			assert.Equal(t, text, want)
		}
	})

	// Guards against requests that fail because the server closed an idle
	// connection.
	t.Run("a connection that the server closed is not reused", func(t *testing.T) {
		service := startService(t)
		s := New(Config{})
		r := get(service.Address())
		r.Path = "/labels/1"
		for range 3 {
			_, err := readAll(t, s, r)
			assert.NilError(t, err)
			service.Crash()
			assert.NilError(t, service.Open())
		}
	})

	// Guards against service requests that wait for connections of batch items.
	t.Run("traffic classes share no connections", func(t *testing.T) {
		service := startService(t)
		service.SetFault(serviceemulator.Fault{Stall: true, Match: "batch"})
		s := New(Config{MaxConns: 1})
		r := get(service.Address())
		r.Class, r.Path, r.FirstByteTimeout = TrafficBatch, "/labels/batch", time.Minute
		ctx, cancel := context.WithCancel(context.Background())
		stalled := make(chan error, 1)
		go func() {
			_, err := s.Send(ctx, r)
			stalled <- err
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(service.Journal().Containing("batch")) == 1 {
				return poll.Success()
			}
			return poll.Continue("the batch request has not arrived")
		})
		r.Path = "/labels/l-1"
		_, err := readAll(t, s, r)
		assertFailure(t, err, CauseNoFreeConnection, false)
		r.Class = TrafficService
		_, err = readAll(t, s, r)
		assert.NilError(t, err)
		cancel()
		assertFailure(t, <-stalled, CauseCancelled, true)
	})

	// Guards against a request that runs twice because the connection pool
	// retried it, and against a dial failure that is reported as dispatched.
	t.Run("a new connection is used once", func(t *testing.T) {
		service := startService(t)
		s := New(Config{})
		r := get(service.Address())
		r.Method, r.Path, r.Body, r.NewConnection = "POST", "/orders", []byte(`{"order-id":"o-1"}`), true
		service.SetFault(serviceemulator.Fault{CloseAfterRun: true})
		_, err := readAll(t, s, r)
		assertFailure(t, err, CauseConnectionLost, true)
		assert.Equal(t, service.Orders("o-1"), 1)
		service.Crash()
		_, err = readAll(t, s, r)
		assertFailure(t, err, CauseDial, false)
	})

	// Guards against a long stream that is ended by the first-byte timeout, and
	// against a cancelled stream that keeps the engine busy.
	t.Run("streams last as long as they make progress", func(t *testing.T) {
		engine := startEngine(t, engineemulator.Config{TokenTime: 5 * time.Millisecond})
		s := New(Config{})
		r := completion(engine.Address(), "marker:m-1", 60, true)
		r.FirstByteTimeout, r.ProgressTimeout = 200*time.Millisecond, 200*time.Millisecond
		text, err := readAll(t, s, r)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(text, "m-1-"), 60)

		ctx, cancel := context.WithCancel(context.Background())
		a, err := s.Send(ctx, completion(engine.Address(), "marker:m-2", 10000, true))
		assert.NilError(t, err)
		defer a.Close()
		cancel()
		for err == nil {
			_, err = a.Next()
		}
		assertFailure(t, err, CauseCancelled, true)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if engine.Running() == 0 {
				return poll.Success()
			}
			return poll.Continue("the engine still runs %d", engine.Running())
		})
	})
}

// Guards against an API key that reaches a backend server in any part of the
// request, verbatim or escaped.
func TestKeys(t *testing.T) {
	const key = "qh-0123/456+789="

	t.Run("known key fields are removed", func(t *testing.T) {
		query := "a=1&key=" + key + "&API_KEY=x&b=2&access%5Ftoken=" + key + "&token=z&api-key="
		assert.Equal(t, StripQuery(query), "a=1&b=2")
		kept := FilterHeader([]Field{{"Authorization", key}, {"Cookie", key}, {"X-Api-Key", key}, {"Accept", "text/plain"}})
		assert.DeepEqual(t, kept, []Field{{"Accept", "text/plain"}})
	})

	cases := []struct {
		name    string
		request Request
		want    error
	}{
		{"nothing", Request{Path: "/a", Query: "b=c", Body: []byte(`{"text":"line\nqh-0123"}`)}, nil},
		{"path", Request{Path: "/labels/qh-0123%2F456+789="}, ErrKeyInTarget},
		{"query", Request{Query: "note=" + key}, ErrKeyInTarget},
		{"escaped query", Request{Query: "note=%71h-0123%2f456%2B789%3D&bad=%zz"}, ErrKeyInTarget},
		{"header", Request{Header: []Field{{"X-Request-Id", "id " + key}}}, ErrKeyInHeader},
		{"body", Request{Body: []byte(`{"text":"my key is ` + key + `"}`)}, ErrKeyInBody},
		{"slash escaped in JSON", Request{Body: []byte(`{"text":"qh-0123\/456+789="}`)}, ErrKeyInBody},
		{"letters escaped in JSON", Request{Body: []byte(`{"text":"\u0071\u0068-0123/456+789="}`)}, ErrKeyInBody},
		{"form", Request{Body: []byte("k=qh-0123%2F456%2B789%3D")}, ErrKeyInBody},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckKeys(c.request, []string{"", key})
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, c.want)
		})
	}
}
