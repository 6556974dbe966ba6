package prover

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	// loadInterval is the interval between the calls of one caller.
	loadInterval        = 20 * time.Millisecond
	loadCallersPerEntry = 3
	// loadCallTimeout bounds one call, so that a frozen entry does not hold
	// its callers for long.
	loadCallTimeout = time.Second
	// journalSize lets an emulator's journal hold all requests of a test.
	journalSize = "65536"
	// lenderFreezeTime is longer than the lender's lease of 10 s.
	lenderFreezeTime = 11 * time.Second
	// borrowedTokenExpiry is the time after which no borrowed token is valid.
	borrowedTokenExpiry = 6 * time.Second
	// standingShareTime is how long an isolated failure domain is observed after
	// its borrowed tokens have expired.
	standingShareTime = 4 * time.Second
)

// An admission is a call that reached a backend server. It was admitted
// between Sent and Arrived.
type admission struct {
	Entry   string
	Sent    time.Time
	Arrived time.Time
}

// A loadGenerator runs callers of one workspace that send far more than its
// rate through all entries.
type loadGenerator struct {
	deployment *testDeployment
	key        string
	client     *http.Client
	cancel     context.CancelFunc
	wg         conc.WaitGroup
	calls      atomic.Int64

	mu   sync.Mutex
	sent map[string]admission // By path; Arrived is not set.
}

func (d *testDeployment) startLoad(workspace string) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	g := &loadGenerator{
		deployment: d,
		key:        d.keys[workspace],
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadCallersPerEntry}},
		cancel:     cancel,
		sent:       map[string]admission{},
	}
	for _, e := range d.Entries {
		for range loadCallersPerEntry {
			g.wg.Go(func() { g.callPeriodically(ctx, e.ID) })
		}
	}
	d.t.Cleanup(g.stop)
	return g
}

// callPeriodically calls an entry until ctx ends. Failed calls are expected.
func (g *loadGenerator) callPeriodically(ctx context.Context, entry string) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.call(ctx, entry)
		}
	}
}

func (g *loadGenerator) call(ctx context.Context, entry string) {
	ctx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	path := fmt.Sprintf("/labels/%d", 1000+g.calls.Add(1))
	g.mu.Lock()
	g.sent[path] = admission{Entry: entry, Sent: time.Now()}
	g.mu.Unlock()
	_, _ = g.deployment.callWith(ctx, g.client, entry, get(g.key, "/services/label"+path))
}

// stop stops the callers and waits for them.
func (g *loadGenerator) stop() {
	g.cancel()
	g.wg.Wait()
}

// admissions returns the calls that reached a backend server, each once, in
// the order of arrival.
func (g *loadGenerator) admissions() (all []admission) {
	first := map[string]admission{}
	for _, server := range g.deployment.BackendServers {
		for _, r := range g.deployment.received(server.Name).Requests {
			a, ok := g.sent[r.Path]
			if known, seen := first[r.Path]; !ok || seen && known.Arrived.Before(r.At) {
				continue
			}
			a.Arrived = r.At
			first[r.Path] = a
		}
	}
	for _, a := range first {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b admission) int { return a.Arrived.Compare(b.Arrived) })
	return all
}

// assertWithinRate checks that no time window contains more admissions than the
// burst and the rate allow. A call counts only if it was both sent and received
// in the window, so that its admission certainly lies in it.
func assertWithinRate(t testing.TB, all []admission, w declarer.Workspace) {
	t.Helper()
	for _, first := range all {
		n := 0
		for _, a := range all {
			if a.Sent.Before(first.Sent) {
				continue
			}
			n++
			window := a.Arrived.Sub(first.Sent)
			limit := float64(w.Burst) + w.Rate*window.Seconds()
			assert.Assert(t, float64(n) <= limit, "%d admissions in %s, limit %.1f", n, window, limit)
		}
	}
}

// countFrom counts the admissions of calls sent to an entry in a period.
func countFrom(all []admission, entry string, from, to time.Time) (n int) {
	for _, a := range all {
		if a.Entry == entry && a.Sent.After(from) && a.Sent.Before(to) {
			n++
		}
	}
	return n
}

// lender returns the entry that lends the tokens of the only rate shard, or an
// empty string while there is none.
func (d *testDeployment) lender() string {
	d.t.Helper()
	return d.holder("lender/0")
}

// holder returns the entry named in the value of a platform key, or an empty
// string if there is none.
func (d *testDeployment) holder(key string) string {
	d.t.Helper()
	store := storer.NewClient(storer.ClientConfig{
		Address:  d.Platform.Addresses().HTTP,
		ClientID: "prover",
		Clock:    clockwork.NewRealClock(),
	})
	entry, err := store.Get(d.t.Context(), key)
	if !errors.Is(err, storer.ErrNotFound) {
		assert.NilError(d.t, err)
	}
	for _, e := range d.Entries {
		if strings.Contains(string(entry.Value), e.ID) {
			return e.ID
		}
	}
	return ""
}

// Guards against tokens that are lent twice, used after their expiry or created
// again when links are partitioned, an entry is killed or frozen, the lender
// changes or the platform is unreachable, and against an isolated failure
// domain that serves nothing.
func TestRateLimitAcrossInstances(t *testing.T) {
	w := declarer.Workspace{Name: "loud", Rate: 60, Burst: 40}
	d := startTestDeployment(t, testDeploymentConfig{
		domains:      4,
		workspaces:   []declarer.Workspace{w},
		changeConfig: keepAllRequests,
		amendNote: func(note *declarer.ReleaseNote) {
			shards := 1
			note.Changed.Limits.RateShards = &shards
		},
	})
	load := d.startLoad(w.Name)

	lender := d.lender()
	others := slices.DeleteFunc([]string{"a", "b", "c", "d"}, func(domain string) bool { return lender == "entry-"+domain+"1" })
	start := time.Now()
	assert.NilError(t, d.Freeze(lender))
	assert.NilError(t, d.Partition(others[0], others[1]))
	assert.NilError(t, d.Restart(t.Context(), "entry-"+others[2]+"1"))
	assert.NilError(t, d.Reconnect(others[0], others[1]))
	waitUntil(start.Add(lenderFreezeTime))
	tester.Eventually(t, waitTimeout, "another entry lends", func() error {
		if now := d.lender(); now == lender || now == "" {
			return merry.Errorf("lender %q", now)
		}
		return nil
	})
	assert.NilError(t, d.Continue(lender))

	assert.NilError(t, d.DisconnectPlatform())
	waitUntil(time.Now().Add(2 * time.Second))
	assert.NilError(t, d.ReconnectPlatform())

	// The lender is not isolated, so that the others continue at the full rate.
	isolatedDomain := others[0]
	if d.lender() == "entry-"+isolatedDomain+"1" {
		isolatedDomain = others[1]
	}
	isolatedAt := time.Now()
	assert.NilError(t, d.Isolate(isolatedDomain))
	waitUntil(isolatedAt.Add(borrowedTokenExpiry + standingShareTime))
	end := time.Now()
	assert.NilError(t, d.Heal())
	waitUntil(time.Now().Add(time.Second))
	load.stop()

	all := load.admissions()
	t.Logf("%d calls, %d admissions in %s", load.calls.Load(), len(all), time.Since(start))
	t.Run("within the rate in each window", func(t *testing.T) { assertWithinRate(t, all, w) })
	t.Run("the load was above the rate", func(t *testing.T) {
		assert.Assert(t, float64(load.calls.Load()) > 2*w.Rate*time.Since(start).Seconds())
		assert.Assert(t, float64(len(all)) > w.Rate*time.Since(start).Seconds()/3, "%d admissions", len(all))
	})
	t.Run("the isolated failure domain serves its standing share", func(t *testing.T) {
		n := countFrom(all, "entry-"+isolatedDomain+"1", isolatedAt.Add(borrowedTokenExpiry), end)
		assert.Assert(t, n > 0, "%d admissions", n)
	})
}

// keepAllRequests makes the journals of the backend servers large enough for a
// long test.
func keepAllRequests(cfg *tester.DeploymentConfig) {
	for i := range cfg.BackendServers {
		cfg.BackendServers[i].Arguments = append(cfg.BackendServers[i].Arguments, "--journal-size", journalSize)
	}
}

func waitUntil(end time.Time) {
	<-time.After(time.Until(end))
}

// Guards against refusals of requests within the rate when all requests go to
// one entry, while other entries hold part of the tokens.
func TestNoRefusalsWithinRate(t *testing.T) {
	const (
		loadFraction = 0.9 // Of the rate.
		warmUp       = 3 * time.Second
		calls        = 3000
	)
	w := declarer.Workspace{Name: "steady", Rate: 300, Burst: 300}
	d := startTestDeployment(t, testDeploymentConfig{domains: 4, workspaces: []declarer.Workspace{w}})
	interval := time.Duration(float64(time.Second) / (loadFraction * w.Rate))
	c := &steadyCaller{deployment: d, key: d.keys[w.Name], client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.send(int(warmUp/interval), interval)
	c.refused.Store(0)
	c.send(calls, interval)
	t.Logf("%d of %d calls refused", c.refused.Load(), calls)
	assert.Equal(t, c.failed.Load(), int64(0), "calls with another failure")
	assert.Assert(t, c.refused.Load()*1000 < calls, "%d of %d calls refused", c.refused.Load(), calls)
}

// A steadyCaller sends calls to one entry at a constant rate.
type steadyCaller struct {
	deployment *testDeployment
	key        string
	client     *http.Client
	refused    atomic.Int64
	failed     atomic.Int64
}

func (c *steadyCaller) send(n int, interval time.Duration) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for range n {
		<-ticker.C
		wg.Go(c.call)
	}
}

func (c *steadyCaller) call() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a, err := c.deployment.callWith(ctx, c.client, "entry-a1", get(c.key, "/services/label/labels/1"))
	switch {
	case err != nil:
		c.failed.Add(1)
	case a.refusal().Error.Code == "rate-exceeded":
		c.refused.Add(1)
	case a.status != http.StatusOK:
		c.failed.Add(1)
	}
}
