package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/engineemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	// shortDeadline lets a call on a silent connection end within a test.
	shortDeadline = 2 * time.Second
	streamTokens  = 30
	callers       = 24 // On two entries together.
	callsEach     = 12
)

// ample keeps rates out of tests that are not about them.
var ample = []declarer.Workspace{{Name: "packing", Rate: 5000, Burst: 5000}}

func shortDeadlines(note *declarer.ReleaseNote) {
	for i := range note.Added.Routes {
		note.Added.Routes[i].Deadline = declarer.Duration(shortDeadline)
	}
}

// An exchange is a call and what came of it.
type exchange struct {
	entry  string
	marker string
	answer answer
	err    error
}

// A traffic is the calls of many callers at once.
type traffic struct {
	b    *bench
	made atomic.Int64

	mu        sync.Mutex
	exchanges []exchange
}

// run makes all calls of one caller, through the entries in turn.
func (l *traffic) run(caller int, newRequest func(marker string) request) {
	for i := range callsEach {
		x := exchange{marker: fmt.Sprintf("own-%d-%d-end", caller, i)}
		x.entry = l.b.Entries[(caller+i)%len(l.b.Entries)].ID
		x.answer, x.err = l.b.call(x.entry, newRequest(x.marker))
		l.mu.Lock()
		l.exchanges = append(l.exchanges, x)
		l.mu.Unlock()
		l.made.Add(1)
	}
}

// await waits until a share of all calls was made.
func (l *traffic) await(share float64) {
	tester.Eventually(l.b.t, patience, "calls go on", func() error {
		if n := l.made.Load(); float64(n) < share*callers*callsEach {
			return fmt.Errorf("%d calls", n)
		}
		return nil
	})
}

// Guards against an answer that is cut, mixed up with another one or passed
// off as whole, and against a false not-run.
func TestAnswersUnderFaults(t *testing.T) {
	b := startBench(t, benchConfig{engines: 2, workspaces: ample, amend: shortDeadlines})
	l := &traffic{b: b}
	var wait conc.WaitGroup
	for n := range callers {
		wait.Go(func() {
			l.run(n, func(marker string) request { return chat(b.keys["packing"], marker, streamTokens, n%4 != 0) })
		})
	}
	l.await(0.1)
	b.fault("engine-a1", engineemulator.Fault{CutAfterTokens: 7, Times: 5})
	b.fault("engine-b1", engineemulator.Fault{StallAfterTokens: 9, Times: 3})
	l.await(0.3)
	b.silence("engine-a2", "engine-b2")
	l.await(0.5)
	gone := b.killInAnswer("engine-b1")
	l.await(0.7)
	b.silence("engine-a1")
	gone = append(gone, b.killInAnswer("engine-a2")...)
	wait.Wait()

	var whole int
	failed := map[string]int{} // By code and outcome.
	received := append(gone, b.receivedBy("engine-a1", "engine-a2", "engine-b1", "engine-b2")...)
	for _, x := range l.exchanges {
		if assertOwnAnswer(t, x, received) {
			whole++
		} else {
			r := errorOf(x.answer).Error
			failed[r.Code+" "+r.Outcome]++
		}
	}
	t.Logf("%d whole answers, errors: %v", whole, failed)
	assert.Assert(t, whole > callers*callsEach/2, "only %d whole answers", whole)
	assert.Assert(t, len(failed) > 0, "the faults hit no call")
}

var markers = regexp.MustCompile(`own-\d+-\d+-end`)

// assertOwnAnswer checks that a caller got the whole answer to its own request
// or an error that it can see. It reports whether the answer is whole.
func assertOwnAnswer(t testing.TB, x exchange, received []emulator.Received) bool {
	t.Helper()
	assert.NilError(t, x.err, "%s %s", x.entry, x.marker)
	for _, marker := range markers.FindAllString(x.answer.body, -1) {
		assert.Equal(t, marker, x.marker, "the answer of another request")
	}
	if x.answer.status == http.StatusOK && !strings.Contains(x.answer.body, errorEvent) {
		for i := range streamTokens {
			token := fmt.Sprintf("%s-%d ", x.marker, i)
			assert.Equal(t, strings.Count(x.answer.body, token), 1, "token %q of %s", token, x.answer.body)
		}
		if strings.HasPrefix(x.answer.body, "data: ") {
			assertWholeStream(t, x.answer, x.marker)
		}
		return true
	}
	assert.Assert(t, !strings.Contains(x.answer.body, "[DONE]"), "an error and an end: %s", x.answer.body)
	assertOutcome(t, errorOf(x.answer), x.marker, received)
	return false
}

// errorEvent begins the last event of a stream that was cut.
const errorEvent = "event: error\ndata: "

// errorOf is the refusal that an answer is, or that ends its stream.
func errorOf(a answer) refusal {
	if _, event, ok := strings.Cut(a.body, errorEvent); ok {
		return answer{body: event}.refusal()
	}
	return a.refusal()
}

// assertOutcome checks that an error names an outcome and that not-run is true.
func assertOutcome(t testing.TB, r refusal, marker string, received []emulator.Received) {
	t.Helper()
	assert.Assert(t, r.Error.Code != "")
	assert.Assert(t, slices.Contains([]string{"not-run", "ran", "unknown"}, r.Error.Outcome), "outcome %q", r.Error.Outcome)
	if r.Error.Outcome != "not-run" {
		return
	}
	for _, request := range received {
		assert.Assert(t, !request.Contains(marker), "%s was refused as not-run (%s) and reached a server", marker, r.Error.Code)
	}
}

// fault sets what goes wrong at a backend server.
func (b *bench) fault(server string, fault any) {
	b.t.Helper()
	body, err := json.Marshal(fault)
	assert.NilError(b.t, err)
	address := "http://" + b.BackendServer(server).Addresses().HTTP + "/fault"
	response, err := freshClient.Post(address, "application/json", strings.NewReader(string(body)))
	assert.NilError(b.t, err)
	assert.NilError(b.t, response.Body.Close())
	assert.Equal(b.t, response.StatusCode, http.StatusNoContent)
}

// silence makes all open connections of entries to backend servers silent.
func (b *bench) silence(servers ...string) {
	for _, server := range servers {
		for _, domain := range b.FailureDomains {
			b.BackendServer(server).Relay(domain.Name).BlackholeConnections()
		}
	}
}

// killInAnswer kills a backend server that runs requests and starts it again.
// It returns all that the killed process had received.
func (b *bench) killInAnswer(server string) (received []emulator.Received) {
	b.t.Helper()
	for _, domain := range b.FailureDomains {
		b.BackendServer(server).Relay(domain.Name).Block(tester.ToTarget)
	}
	tester.Eventually(b.t, patience, server+" has received what was on its way", func() error {
		before := len(received)
		received = b.received(server).Requests
		if before == 0 || len(received) != before {
			return fmt.Errorf("%d requests", len(received))
		}
		return nil
	})
	assert.NilError(b.t, b.Restart(b.t.Context(), server))
	for _, domain := range b.FailureDomains {
		b.BackendServer(server).Relay(domain.Name).Unblock()
	}
	return received
}

func (b *bench) receivedBy(servers ...string) (all []emulator.Received) {
	for _, server := range servers {
		all = append(all, b.received(server).Requests...)
	}
	return all
}

// Guards against an order that is placed twice, by a retry of the system or by
// a resend of its caller, and against a false not-run.
func TestOrdersRunAtMostOnce(t *testing.T) {
	b := startBench(t, benchConfig{workspaces: ample, amend: shortDeadlines})
	plain, keyed := &traffic{b: b}, &traffic{b: b}
	var wait conc.WaitGroup
	for n := range callers {
		if n%2 == 0 {
			wait.Go(func() { plain.run(n, func(marker string) request { return order(b.keys["packing"], marker) }) })
			continue
		}
		wait.Go(func() {
			keyed.run(n, func(marker string) request {
				r := order(b.keys["packing"], marker)
				r.header = map[string]string{"Idempotency-Key": marker}
				_, _ = b.call(b.Entries[n/2%2].ID, r) // The second call is the resend.
				return r
			})
		})
	}
	keyed.await(0.05)
	b.fault("service-a", serviceemulator.Fault{CloseAfterRun: true, Times: 6})
	b.fault("service-b", serviceemulator.Fault{StallAfterRun: true, Times: 3})
	keyed.await(0.15)
	lost := []platformemulator.LostAnswer{{KeyPrefix: "intents/", Writes: 6}}
	assert.NilError(t, b.Platform.SetFaults(t.Context(), platformemulator.Faults{LoseAnswers: lost}))
	b.silence("service-a", "service-b")
	keyed.await(0.25)
	b.fault("service-a", serviceemulator.Fault{Cut: true, Times: 4})
	assert.NilError(t, b.BackendServer("service-b").Relay("a").CloseConnections())
	assert.NilError(t, b.BackendServer("service-b").Relay("b").CloseConnections())
	wait.Wait()

	placed := b.placed("service-a", "service-b")
	received := b.receivedBy("service-a", "service-b")
	for _, x := range append(plain.exchanges, keyed.exchanges...) {
		assertPlaced(t, x, placed[x.marker], received)
	}
	t.Logf("%d orders placed by %d calls", len(placed), len(plain.exchanges)+len(keyed.exchanges))
	assert.Assert(t, len(placed) > callers*callsEach/2)
}

func order(key, id string) request {
	return request{path: "/services/order/orders", key: key, body: fmt.Sprintf(`{"order-id":%q}`, id)}
}

// placed is how often each order was placed.
func (b *bench) placed(servers ...string) map[string]int {
	b.t.Helper()
	total := map[string]int{}
	for _, server := range servers {
		response, err := freshClient.Get("http://" + b.BackendServer(server).Addresses().HTTP + "/orders")
		assert.NilError(b.t, err)
		var counts struct {
			Orders map[string]int `json:"orders"`
		}
		assert.NilError(b.t, json.NewDecoder(response.Body).Decode(&counts))
		assert.NilError(b.t, response.Body.Close())
		for id, n := range counts.Orders {
			total[id] += n
		}
	}
	return total
}

// assertPlaced checks that an order ran at most once, and that its caller was
// told nothing else.
func assertPlaced(t testing.TB, x exchange, times int, received []emulator.Received) {
	t.Helper()
	assert.NilError(t, x.err)
	assert.Assert(t, times <= 1, "order %s was placed %d times", x.marker, times)
	if x.answer.status == http.StatusOK {
		assert.Equal(t, times, 1, "order %s", x.marker)
		assert.Assert(t, strings.Contains(x.answer.body, x.marker), "%s", x.answer.body)
		return
	}
	assertOutcome(t, x.answer.refusal(), x.marker, received)
}
