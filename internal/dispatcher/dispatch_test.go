package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

func TestAnswers(t *testing.T) {
	r := newRig(t, 2, 1)
	// Guards against lost or truncated answers when no fault occurs.
	t.Run("non-streaming, streaming and service answers", func(t *testing.T) {
		assert.Equal(t, completion("", 1, true).outbound().Class, sender.TrafficOnline)
		assert.Equal(t, call("GET", "/", "", true).outbound().Class, sender.TrafficService)
		assert.Equal(t, itemRequest(item("", 1)).Class, sender.TrafficBatch)
		assertAnswered(t, r, completion("marker:m-1", 5, false), "m-1-4 ")
		assertAnswered(t, r, completion("marker:m-2", 5, true), "[DONE]")
		assertAnswered(t, r, call("GET", "/labels/l-7", "", true), "pallet-l-7")
	})

	// Guards against requests that run without admission.
	t.Run("refused admission runs nothing", func(t *testing.T) {
		r.admitter.refused = true
		defer func() { r.admitter.refused = false }()
		assertRefused(t, r, completion("marker:m-3", 5, false), refuser.RateExceeded, refuser.NotRun)
		assertReceived(t, r, "m-3", 0)
	})

	// Guards against an API key that reaches a backend server.
	t.Run("API keys are not forwarded", func(t *testing.T) {
		q := completion("marker:m-4 my key is qh-secret", 5, false)
		q.Keys = []string{"qh-secret"}
		assertRefused(t, r, q, refuser.KeyInBody, refuser.NotRun)
		q = call("GET", "/labels/l-8", "", true)
		q.Keys = []string{"qh-secret"}
		q.Query = "key=qh-secret&lang=hr"
		q.Header = []sender.Field{{Name: "Authorization", Value: "Bearer qh-secret"}, {Name: "Cookie", Value: "k=qh-secret"}}
		assertAnswered(t, r, q, "pallet-l-8")
		q.Query = "note=qh-secret"
		assertRefused(t, r, q, refuser.BadRequest, refuser.NotRun)
		assertReceived(t, r, "qh-secret", 0)
		assertReceived(t, r, "lang=hr", 1)
	})

	// Guards against a stream that keeps an engine busy after its caller left.
	t.Run("a disconnected caller cancels its stream", func(t *testing.T) {
		w := &recordingWriter{failAt: 3}
		refusal := r.Dispatch(context.Background(), completion("marker:m-5", 100000, true), w)
		assert.Equal(t, refusal.Code, refuser.CallerGone)
		waitFor(t, "the engine to stop", func() bool { return r.running() == 0 })
	})

	// Guards against a no-server refusal with an outcome other than not-run.
	t.Run("no server", func(t *testing.T) {
		q := completion("marker:m-6", 5, false)
		q.Route.Model = "absent"
		assertRefused(t, r, q, refuser.NoBackendServer, refuser.NotRun)
	})
}

// Guards against a non-idempotent order that is placed twice, and against a
// not-run refusal for an order that was placed.
func TestNonIdempotent(t *testing.T) {
	order := func(id string) Request { return call("POST", "/orders", `{"order-id":"`+id+`"}`, false) }
	faults := map[string]serviceemulator.Fault{
		"closed after the run":     {CloseAfterRun: true},
		"closed before the run":    {Close: true},
		"truncated answer":         {Truncate: true},
		"stalled after the run":    {StallAfterRun: true},
		"reused connection closed": {CloseReused: true},
		"server answers 503":       {Status: 503},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 0, 2)
			for range 4 { // Opens idle connections, which the server may close at any time.
				assertAnswered(t, r, call("GET", "/labels/1", "", true), "pallet-1")
			}
			for _, s := range r.services {
				s.SetFault(fault)
			}
			w := &recordingWriter{}
			refusal := r.Dispatch(context.Background(), order("o-1"), w)
			placed := r.services[0].Orders("o-1") + r.services[1].Orders("o-1")
			assert.Assert(t, placed <= 1, "placed %d times", placed)
			if fault.CloseReused {
				assert.Assert(t, refusal == nil, "the order was sent on a reused connection")
			}
			if refusal != nil {
				assert.Equal(t, refusal.Outcome, refuser.Unknown)
			}
			assertReceived(t, r, "o-1", 1)
		})
	}

	t.Run("a stopped server is skipped, and a stopped pool returns not-run", func(t *testing.T) {
		r := newRig(t, 0, 2)
		r.services[0].Crash()
		for i := range 4 {
			assertAnswered(t, r, order(fmt.Sprint("o-", i)), "order-id")
		}
		r.services[1].Crash()
		w := &recordingWriter{}
		refusal := r.Dispatch(context.Background(), order("o-9"), w)
		assert.Equal(t, refusal.Outcome, refuser.NotRun)
		assertReceived(t, r, "o-9", 0)
	})
}

func TestFaultyServers(t *testing.T) {
	// Guards against a truncated stream that looks complete.
	t.Run("a truncated stream has no end", func(t *testing.T) {
		r := newRig(t, 2, 0)
		for _, e := range r.engines {
			e.SetFault(engineemulator.Fault{CloseAfterTokens: 3})
		}
		assertRefused(t, r, completion("marker:m-1", 9, true), refuser.UpstreamFailed, refuser.Unknown)
	})

	// Guards against a truncated answer that is not retried on another server.
	t.Run("a truncated non-streaming answer is retried", func(t *testing.T) {
		r := newRig(t, 2, 0)
		for _, e := range r.engines {
			e.SetFault(engineemulator.Fault{CloseAfterTokens: 3, Times: 1})
		}
		r.engines[0].SetFault(engineemulator.Fault{})
		for i := range 4 {
			assertAnswered(t, r, completion(fmt.Sprint("marker:m-", i), 9, false), fmt.Sprintf("m-%d-8 ", i))
		}
	})

	// Guards against a stalled connection or server that uses up the deadline of
	// an idempotent request.
	t.Run("a stalled server leaves time for another one", func(t *testing.T) {
		r := newRig(t, 0, 2)
		r.services[0].SetFault(serviceemulator.Fault{Stall: true})
		for i := range 3 {
			assertAnswered(t, r, call("GET", fmt.Sprint("/labels/l-", i), "", true), "pallet-l-")
		}
	})

	// Guards against a stalled stream that keeps its caller waiting.
	t.Run("a stalled stream times out", func(t *testing.T) {
		r := newRig(t, 1, 0)
		r.engines[0].SetFault(engineemulator.Fault{StallAfterTokens: 2})
		q := completion("marker:m-1", 9, true)
		q.Route.Deadline = declarer.Duration(200 * time.Millisecond)
		assertRefused(t, r, q, refuser.DeadlineExceeded, refuser.Unknown)
	})

	// Guards against a server that asks for a pause and gets more requests all the while.
	t.Run("a server that asks for a pause gets one", func(t *testing.T) {
		for _, status := range []int{429, 503} {
			r := newRig(t, 0, 2)
			r.services[0].SetFault(serviceemulator.Fault{Status: status, RetryAfter: "1"})
			for i := range 20 {
				assertAnswered(t, r, call("GET", fmt.Sprint("/labels/l-", i), "", true), "pallet-l-")
			}
			assert.Assert(t, r.services[0].StatusFaults() <= 1, "%d calls were refused", r.services[0].StatusFaults())
			r.services[0].SetFault(serviceemulator.Fault{})
			r.services[1].SetFault(serviceemulator.Fault{Status: status, RetryAfter: "1"})
			time.Sleep(1100 * time.Millisecond)
			assertAnswered(t, r, call("GET", "/labels/l-30", "", true), "pallet-l-30")
		}
	})

	// Guards against a 503 of one engine that reaches the caller although another
	// engine is free.
	t.Run("a busy engine is skipped", func(t *testing.T) {
		r := newRig(t, 2, 0)
		r.engines[0].SetFault(engineemulator.Fault{Status: 503})
		for i := range 6 {
			assertAnswered(t, r, completion(fmt.Sprint("marker:m-", i), 2, true), fmt.Sprintf("m-%d-1 ", i))
		}
	})
}

// Guards against a request that crashes one engine after the other, and against
// concurrent requests on the same engines that fail or are suspected with it.
func TestCrashingRequest(t *testing.T) {
	r := newRig(t, 5, 0)
	for _, e := range r.engines {
		e.SetFault(engineemulator.Fault{CrashOn: "poison"})
	}
	crash := completion("marker:bad poison", 5, false)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for j := range 6 {
				marker := fmt.Sprintf("good-%d-%d", i, j)
				assertAnswered(t, r, completion("marker:"+marker, 30, false), marker+"-29 ")
			}
		})
	}
	waitFor(t, "concurrent requests", func() bool { return r.running() >= 8 })
	w := &recordingWriter{}
	refusal := r.Dispatch(context.Background(), crash, w)
	assert.Equal(t, refusal.Code, refuser.RequestQuarantined, "refusal %v", refusal)
	assert.Equal(t, refusal.Outcome, refuser.Unknown)
	wg.Wait()
	for range 3 { // The caller sends it again.
		assertRefused(t, r, crash, refuser.RequestQuarantined, refuser.NotRun)
	}
	assertReceived(t, r, "poison", 2)
	for i := range 12 {
		for j := range 6 {
			concurrent := completion(fmt.Sprintf("marker:good-%d-%d", i, j), 30, false)
			digest := r.newRun(concurrent, nil).digest
			assert.Equal(t, r.cfg.Retrier.Suspicion(digest).Crashes, 0, "a completed concurrent request is still suspected")
		}
	}
	assertAnswered(t, r, completion("marker:after", 5, false), "after-4 ")
}

// Guards against requests that share one part of their prompts, no two alike, and crash
// engine after engine, and against sound requests with the other parts that are refused.
func TestCrashingPart(t *testing.T) {
	const maxCrashes = 5
	r := newRig(t, 12, 0)
	for _, e := range r.engines {
		e.SetFault(engineemulator.Fault{CrashOn: "poison"})
	}
	var refusal *refuser.Refusal
	for n := range 8 {
		q := completion(fmt.Sprintf("poison %d", n), 5, true)
		first, poison := retrier.DigestPart(registrar.PoolName(q.Route), "first"), retrier.DigestPart(registrar.PoolName(q.Route), "poison")
		q.Parts = []retrier.PartDigest{first, poison}
		refusal = r.Dispatch(context.Background(), q, &recordingWriter{})
		assert.Assert(t, refusal != nil)
		time.Sleep(300 * time.Millisecond)
		sound := completion(fmt.Sprintf("marker:sound-%d", n), 5, true)
		sound.Parts = []retrier.PartDigest{first}
		assertAnswered(t, r, sound, fmt.Sprintf("sound-%d-4 ", n))
	}
	assert.Equal(t, refusal.Code, refuser.RequestQuarantined)
	assert.Equal(t, refusal.Outcome, refuser.NotRun)
	crashes := 0
	for _, e := range r.engines {
		crashes += len(e.Journal().Containing("poison"))
	}
	assert.Assert(t, crashes <= maxCrashes, "%d engines crashed", crashes)
}

// Guards against idempotent requests that fail when one of two servers stops
// although the other can run them, and against no-server refusals while the
// other server is reserved for a suspect.
func TestServerCrashInSmallPool(t *testing.T) {
	r := newRig(t, 2, 0)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 4 {
				marker := fmt.Sprintf("m-%d-%d.", i, j)
				assertAnswered(t, r, completion("marker:"+marker, 40, false), marker+"-39 ")
			}
		})
	}
	waitFor(t, "requests on both", func() bool { return r.engines[0].Running() > 1 && r.engines[1].Running() > 1 })
	r.engines[0].Crash()
	wg.Wait()
}

func TestIntents(t *testing.T) {
	r := newRig(t, 1, 1)
	order := call("POST", "/orders", `{"order-id":"o-1"}`, false)
	order.IdempotencyKey = "k-1"

	// Guards against a resend that runs again or gets a wrong outcome.
	t.Run("an intent that is not fresh does not run", func(t *testing.T) {
		cases := []struct {
			state   IntentState
			code    refuser.Code
			outcome refuser.Outcome
		}{
			{IntentUnavailable, refuser.PlatformUnavailable, refuser.NotRun},
			{IntentInDoubt, refuser.InDoubt, refuser.Unknown},
			{IntentConflict, refuser.IdempotencyConflict, refuser.NotRun},
		}
		for _, c := range cases {
			r.intents.result = IntentResult{State: c.state}
			assertRefused(t, r, order, c.code, c.outcome)
		}
		r.intents.result = IntentResult{State: IntentDone, Answer: RecordedAnswer{TooLarge: true}}
		assertRefused(t, r, order, refuser.AlreadyRan, refuser.Ran)
		r.intents.result.Answer = RecordedAnswer{Status: 200, Body: []byte("recorded")}
		assertAnswered(t, r, order, "recorded")
		assertReceived(t, r, "o-1", 0)
	})

	// Guards against answers that are not recorded for a resend.
	t.Run("a fresh intent is finished", func(t *testing.T) {
		r.intents.result = IntentResult{State: IntentFresh}
		assertAnswered(t, r, order, "o-1")
		ends := r.intents.finished()
		assert.Equal(t, string(ends[0].Answer.Body), `{"order-id":"o-1","times":1}`)

		r.services[0].SetFault(serviceemulator.Fault{CloseAfterRun: true, Times: 1})
		assertRefused(t, r, order, refuser.UpstreamFailed, refuser.Unknown)
		assert.Equal(t, len(r.intents.finished()), 1, "an intent with an unknown end was finished")

		q := completion("marker:m-1", 5000, true)
		q.IdempotencyKey = "k-2"
		ctx, cancel := context.WithCancelCause(context.Background())
		w := &recordingWriter{onNext: func() { cancel(ErrCallerGone) }, failAt: 1}
		q.Body = completion("marker:m-1", 200, true).Body
		_ = r.Dispatch(ctx, q, w)
		ends = r.intents.finished()
		assert.Equal(t, len(ends), 2, "the request did not continue after its caller disconnected")
		assert.Assert(t, ends[1].Answer.Status == 200 && !ends[1].NotRun)

		r.services[0].Crash()
		assertRefused(t, r, order, refuser.NoBackendServer, refuser.NotRun)
		assert.Assert(t, r.intents.finished()[2].NotRun)
	})
}
