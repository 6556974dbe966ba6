package linker

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"
)

const partsTimeout = 2 * time.Second

// panicRequest is the request whose handler panics.
const panicRequest = -2

// A countingHandler answers with the numbers from 0 up to the requested one. A negative
// request fails at once, and 100 breaks off after three messages.
type countingHandler struct {
	ended chan error // Receives the error of the context when a handler waits for it.
}

func (h *countingHandler) HandleStream(ctx context.Context, _ string, payload []byte, w *PartWriter) error {
	var n int
	if err := Unmarshal(payload, &n); err != nil {
		return err
	}
	switch {
	case n == panicRequest:
		panic("asked to panic")
	case n < 0:
		return merry.New("asked to fail")
	}
	for i := range n {
		if err := w.Write(i); err != nil {
			return err
		}
		if i == 2 && n == 100 {
			return merry.New("asked to break off")
		}
		if i == 2 && n == 99 {
			<-ctx.Done()
			h.ended <- ctx.Err()
			return ctx.Err()
		}
	}
	return nil
}

// assertCounts reads n numbers.
func assertCounts(t *testing.T, p *Parts, first, n int) {
	t.Helper()
	assert.Equal(t, first, 0)
	for want := 1; want < n; want++ {
		var got int
		assert.NilError(t, p.Next(&got))
		assert.Equal(t, got, want)
	}
}

// TestParts guards against answers in several messages that look complete although they
// were broken off, and against handlers that go on after their caller has left.
func TestParts(t *testing.T) {
	open := func(ctx context.Context, t *testing.T, a *testInstance, peer string, n int) (p *Parts, first int, err error) {
		t.Helper()
		p, err = a.Open(ctx, peer, KindAttempt, n, &first, partsTimeout)
		if err == nil {
			t.Cleanup(p.Close)
		}
		return p, first, err
	}
	t.Run("a complete answer", func(t *testing.T) {
		a, _ := newPair(t)
		p, first, err := open(t.Context(), t, a, "entry-b", 20)
		assert.NilError(t, err)
		assertCounts(t, p, first, 20)
		var extra int
		assert.Equal(t, p.Next(&extra), io.EOF)
	})
	t.Run("an answer that breaks off", func(t *testing.T) {
		a, _ := newPair(t)
		p, _, err := open(t.Context(), t, a, "entry-b", 100) // The reset may overtake its messages.
		for got := 0; err == nil; {
			err = p.Next(&got)
			assert.Assert(t, got < 3)
		}
		assert.Assert(t, !errors.Is(err, io.EOF))
	})
	t.Run("a handler that fails before its first message", func(t *testing.T) {
		a, _ := newPair(t)
		_, _, err := open(t.Context(), t, a, "entry-b", -1)
		assert.ErrorIs(t, err, ErrRemote)
	})
	t.Run("a handler that panics may have begun", func(t *testing.T) {
		a, _ := newPair(t)
		_, _, err := open(t.Context(), t, a, "entry-b", panicRequest)
		assert.ErrorIs(t, err, ErrUnknownEffect)
	})
	t.Run("a peer that does not answer a dial", func(t *testing.T) {
		a, _ := newPair(t)
		silent, err := net.ListenPacket("udp", loopback)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = silent.Close() })
		a.setPeer("entry-b", silent.LocalAddr().String())
		start := time.Now()
		_, _, err = open(t.Context(), t, a, "entry-b", 3)
		assert.ErrorIs(t, err, ErrUnreachable)
		assert.Assert(t, time.Since(start) < 2*connectTimeout, "after %v", time.Since(start))
	})
	t.Run("an unknown peer", func(t *testing.T) {
		a, _ := newPair(t)
		_, _, err := open(t.Context(), t, a, "entry-x", 3)
		assert.ErrorIs(t, err, ErrUnreachable)
	})
	t.Run("a peer that is gone", func(t *testing.T) {
		a, b := newPair(t)
		b.stop()
		_, _, err := open(t.Context(), t, a, "entry-b", 3)
		assert.ErrorIs(t, err, ErrUnreachable)
	})
	for name, leave := range map[string]func(cancel context.CancelFunc, p *Parts){
		"the context of the caller ends": func(cancel context.CancelFunc, _ *Parts) { cancel() },
		"the caller closes the answer":   func(_ context.CancelFunc, p *Parts) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newPair(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p, first, err := open(ctx, t, a, "entry-b", 99)
			assert.NilError(t, err)
			assertCounts(t, p, first, 3)
			leave(cancel, p)
			select {
			case err := <-b.counter.ended:
				assert.Assert(t, err != nil)
			case <-time.After(maxBlockedTime):
				t.Fatal("the handler goes on")
			}
		})
	}
	t.Run("a peer that ends", func(t *testing.T) {
		a, b := newPair(t)
		p, first, err := open(t.Context(), t, a, "entry-b", 99)
		assert.NilError(t, err)
		assertCounts(t, p, first, 3)
		go b.stop()
		var extra int
		err = p.Next(&extra)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	})
}
