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
	// shortDeadline lets calls on blackholed connections time out within a test.
	shortDeadline  = 2 * time.Second
	streamTokens   = 30
	callerCount    = 24 // Distributed over both entries.
	callsPerCaller = 12
)

// highRateWorkspaces keep rate limits out of tests that are not about them.
var highRateWorkspaces = []declarer.Workspace{{Name: "packing", Rate: 5000, Burst: 5000}}

func shortDeadlines(note *declarer.ReleaseNote) {
	for i := range note.Added.Routes {
		note.Added.Routes[i].Deadline = declarer.Duration(shortDeadline)
	}
}

// An exchange is a call and its result.
type exchange struct {
	entry  string
	marker string
	answer answer
	err    error
}

// traffic records the calls of many concurrent callers.
type traffic struct {
	deployment *testDeployment
	made       atomic.Int64

	mu        sync.Mutex
	exchanges []exchange
}

// run makes all calls of one caller, round-robin through the entries.
func (tr *traffic) run(caller int, newRequest func(marker string) request) {
	for i := range callsPerCaller {
		x := exchange{marker: fmt.Sprintf("own-%d-%d-end", caller, i)}
		x.entry = tr.deployment.Entries[(caller+i)%len(tr.deployment.Entries)].ID
		x.answer, x.err = tr.deployment.call(x.entry, newRequest(x.marker))
		tr.mu.Lock()
		tr.exchanges = append(tr.exchanges, x)
		tr.mu.Unlock()
		tr.made.Add(1)
	}
}

// await waits until the given fraction of all calls has been made.
func (tr *traffic) await(share float64) {
	tester.Eventually(tr.deployment.t, waitTimeout, "calls are made", func() error {
		if n := tr.made.Load(); float64(n) < share*callerCount*callsPerCaller {
			return fmt.Errorf("%d calls", n)
		}
		return nil
	})
}

// Guards against an answer that is truncated without an error or mixed up with
// another one, and against a wrong not-run outcome.
func TestAnswersUnderFaults(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{engines: 2, workspaces: highRateWorkspaces, amendNote: shortDeadlines})
	tr := &traffic{deployment: d}
	var wait conc.WaitGroup
	for n := range callerCount {
		wait.Go(func() {
			tr.run(n, func(marker string) request { return chat(d.keys["packing"], marker, streamTokens, n%4 != 0) })
		})
	}
	tr.await(0.1)
	d.setFault("engine-a1", engineemulator.Fault{CloseAfterTokens: 7, Times: 5})
	d.setFault("engine-b1", engineemulator.Fault{StallAfterTokens: 9, Times: 3})
	tr.await(0.3)
	d.blackholeConnections("engine-a2", "engine-b2")
	tr.await(0.5)
	killedReceived := d.killWhileServing("engine-b1")
	tr.await(0.7)
	d.blackholeConnections("engine-a1")
	killedReceived = append(killedReceived, d.killWhileServing("engine-a2")...)
	wait.Wait()

	var complete int
	failed := map[string]int{} // By code and outcome.
	received := append(killedReceived, d.receivedBy("engine-a1", "engine-a2", "engine-b1", "engine-b2")...)
	for _, x := range tr.exchanges {
		if assertOwnAnswer(t, x, received) {
			complete++
		} else {
			r := errorOf(x.answer).Error
			failed[r.Code+" "+r.Outcome]++
		}
	}
	t.Logf("%d complete answers, errors: %v", complete, failed)
	assert.Assert(t, complete > callerCount*callsPerCaller/2, "only %d complete answers", complete)
	assert.Assert(t, len(failed) > 0, "the faults affected no call")
}

var markerPattern = regexp.MustCompile(`own-\d+-\d+-end`)

// assertOwnAnswer checks that a caller received the complete answer to its own
// request or an explicit error. It reports whether the answer is complete.
func assertOwnAnswer(t testing.TB, x exchange, received []emulator.Request) bool {
	t.Helper()
	assert.NilError(t, x.err, "%s %s", x.entry, x.marker)
	for _, marker := range markerPattern.FindAllString(x.answer.body, -1) {
		assert.Equal(t, marker, x.marker, "the answer of another request")
	}
	if x.answer.status == http.StatusOK && !strings.Contains(x.answer.body, errorEvent) {
		for i := range streamTokens {
			token := fmt.Sprintf("%s-%d ", x.marker, i)
			assert.Equal(t, strings.Count(x.answer.body, token), 1, "token %q of %s", token, x.answer.body)
		}
		if strings.HasPrefix(x.answer.body, "data: ") {
			assertCompleteStream(t, x.answer, x.marker)
		}
		return true
	}
	assert.Assert(t, !strings.Contains(x.answer.body, "[DONE]"), "an error and an end marker: %s", x.answer.body)
	assertOutcome(t, errorOf(x.answer), x.marker, received)
	return false
}

// errorEvent starts the last event of an interrupted stream.
const errorEvent = "event: error\ndata: "

// errorOf returns the refusal in an answer or at the end of its stream.
func errorOf(a answer) refusal {
	if _, event, ok := strings.Cut(a.body, errorEvent); ok {
		return answer{body: event}.refusal()
	}
	return a.refusal()
}

// assertOutcome checks that an error has a valid outcome, and that a request
// with the outcome not-run did not reach a server.
func assertOutcome(t testing.TB, r refusal, marker string, received []emulator.Request) {
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

// setFault sets the fault of a backend server.
func (d *testDeployment) setFault(server string, fault any) {
	d.t.Helper()
	body, err := json.Marshal(fault)
	assert.NilError(d.t, err)
	address := "http://" + d.BackendServer(server).Addresses().HTTP + "/fault"
	response, err := noKeepAliveClient.Post(address, "application/json", strings.NewReader(string(body)))
	assert.NilError(d.t, err)
	assert.NilError(d.t, response.Body.Close())
	assert.Equal(d.t, response.StatusCode, http.StatusNoContent)
}

// blackholeConnections blackholes the open connections of entries to the
// servers.
func (d *testDeployment) blackholeConnections(servers ...string) {
	for _, server := range servers {
		for _, domain := range d.FailureDomains {
			d.BackendServer(server).Relay(domain.Name).BlackholeConnections()
		}
	}
}

// killWhileServing kills a backend server that runs requests and restarts it.
// It returns all requests that the killed process had received.
func (d *testDeployment) killWhileServing(server string) (received []emulator.Request) {
	d.t.Helper()
	for _, domain := range d.FailureDomains {
		d.BackendServer(server).Relay(domain.Name).Block(tester.ToTarget)
	}
	tester.Eventually(d.t, waitTimeout, server+" has received all requests in transit", func() error {
		before := len(received)
		received = d.received(server).Requests
		if before == 0 || len(received) != before {
			return fmt.Errorf("%d requests", len(received))
		}
		return nil
	})
	assert.NilError(d.t, d.Restart(d.t.Context(), server))
	for _, domain := range d.FailureDomains {
		d.BackendServer(server).Relay(domain.Name).Unblock()
	}
	return received
}

func (d *testDeployment) receivedBy(servers ...string) (all []emulator.Request) {
	for _, server := range servers {
		all = append(all, d.received(server).Requests...)
	}
	return all
}

// Guards against an order that is placed twice, by a retry of the system or a
// resend of its caller, and against a wrong not-run outcome.
func TestOrdersRunAtMostOnce(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{workspaces: highRateWorkspaces, amendNote: shortDeadlines})
	plain, keyed := &traffic{deployment: d}, &traffic{deployment: d}
	var wait conc.WaitGroup
	for n := range callerCount {
		if n%2 == 0 {
			wait.Go(func() { plain.run(n, func(marker string) request { return order(d.keys["packing"], marker) }) })
			continue
		}
		wait.Go(func() {
			keyed.run(n, func(marker string) request {
				r := order(d.keys["packing"], marker)
				r.header = map[string]string{"Idempotency-Key": marker}
				_, _ = d.call(d.Entries[n/2%2].ID, r) // The second call is the resend.
				return r
			})
		})
	}
	keyed.await(0.05)
	d.setFault("service-a", serviceemulator.Fault{CloseAfterRun: true, Times: 6})
	d.setFault("service-b", serviceemulator.Fault{StallAfterRun: true, Times: 3})
	keyed.await(0.15)
	lost := []platformemulator.ResponseLoss{{KeyPrefix: "intents/", Writes: 6}}
	assert.NilError(t, d.Platform.SetFaults(t.Context(), platformemulator.Faults{LoseResponses: lost}))
	d.blackholeConnections("service-a", "service-b")
	keyed.await(0.25)
	d.setFault("service-a", serviceemulator.Fault{Truncate: true, Times: 4})
	assert.NilError(t, d.BackendServer("service-b").Relay("a").CloseConnections())
	assert.NilError(t, d.BackendServer("service-b").Relay("b").CloseConnections())
	wait.Wait()

	placed := d.placedOrders("service-a", "service-b")
	received := d.receivedBy("service-a", "service-b")
	for _, x := range append(plain.exchanges, keyed.exchanges...) {
		assertPlaced(t, x, placed[x.marker], received)
	}
	t.Logf("%d orders placed by %d calls", len(placed), len(plain.exchanges)+len(keyed.exchanges))
	assert.Assert(t, len(placed) > callerCount*callsPerCaller/2)
}

func order(key, id string) request {
	return request{path: "/services/order/orders", key: key, body: fmt.Sprintf(`{"order-id":%q}`, id)}
}

// placedOrders returns how often each order was placed.
func (d *testDeployment) placedOrders(servers ...string) map[string]int {
	d.t.Helper()
	total := map[string]int{}
	for _, server := range servers {
		response, err := noKeepAliveClient.Get("http://" + d.BackendServer(server).Addresses().HTTP + "/orders")
		assert.NilError(d.t, err)
		var counts struct {
			Orders map[string]int `json:"orders"`
		}
		assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&counts))
		assert.NilError(d.t, response.Body.Close())
		for id, n := range counts.Orders {
			total[id] += n
		}
	}
	return total
}

// assertPlaced checks that an order ran at most once, and that the answer to
// its caller is consistent with that.
func assertPlaced(t testing.TB, x exchange, times int, received []emulator.Request) {
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
