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
	// stormTick is the interval between the calls of one storm caller.
	stormTick = 20 * time.Millisecond
	// stormCallers is the number of callers at each entry.
	stormCallers = 3
	// stormCallLimit bounds one call, so that a frozen entry does not hold
	// its callers for long.
	stormCallLimit = time.Second
	// longJournal keeps all requests of a test in a stand-in's journal.
	longJournal = "65536"
	// lenderFreeze is longer than the lender's lease of 10 s.
	lenderFreeze = 11 * time.Second
	// contractsOver is the time after which no borrowed token is valid.
	contractsOver = 6 * time.Second
	// standingTime is how long an isolated failure domain is watched after
	// its borrowed tokens have expired.
	standingTime = 4 * time.Second
)

// An admission is a call that reached a backend server. It was admitted at
// some moment from Sent to Arrived.
type admission struct {
	Entry   string
	Sent    time.Time
	Arrived time.Time
}

// A storm is the callers of one workspace who send far above its rate at all
// entries.
type storm struct {
	bench  *bench
	key    string
	client *http.Client
	cancel context.CancelFunc
	wg     conc.WaitGroup
	calls  atomic.Int64

	mu   sync.Mutex
	sent map[string]admission // By path; Arrived is not set.
}

func (b *bench) startStorm(workspace string) *storm {
	ctx, cancel := context.WithCancel(context.Background())
	s := &storm{
		bench:  b,
		key:    b.keys[workspace],
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: stormCallers}},
		cancel: cancel,
		sent:   map[string]admission{},
	}
	for _, e := range b.Entries {
		for range stormCallers {
			s.wg.Go(func() { s.callAtTicks(ctx, e.ID) })
		}
	}
	b.t.Cleanup(s.stop)
	return s
}

// callAtTicks calls an entry until ctx ends. Failed calls are part of the
// storm.
func (s *storm) callAtTicks(ctx context.Context, entry string) {
	ticker := time.NewTicker(stormTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.call(ctx, entry)
		}
	}
}

func (s *storm) call(ctx context.Context, entry string) {
	ctx, cancel := context.WithTimeout(ctx, stormCallLimit)
	defer cancel()
	path := fmt.Sprintf("/labels/%d", 1000+s.calls.Add(1))
	s.mu.Lock()
	s.sent[path] = admission{Entry: entry, Sent: time.Now()}
	s.mu.Unlock()
	_, _ = s.bench.callWith(ctx, s.client, entry, get(s.key, "/services/label"+path))
}

// stop ends the callers and waits for them.
func (s *storm) stop() {
	s.cancel()
	s.wg.Wait()
}

// admissions returns the calls that reached a backend server, each once, in
// the order of arrival.
func (s *storm) admissions() (all []admission) {
	first := map[string]admission{}
	for _, server := range s.bench.BackendServers {
		for _, r := range s.bench.received(server.Name).Requests {
			a, ok := s.sent[r.Path]
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

// assertWithinRate checks that no window holds more admissions than the burst
// and the rate allow. A call counts in a window only if it was sent and has
// arrived in it, so that its admission surely lies in the window.
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

// lender returns the entry that lends the tokens of the only rate shard, empty
// while there is none.
func (b *bench) lender() string {
	b.t.Helper()
	return b.holder("lender/0")
}

// holder returns the instance that a key of the platform names, empty when
// there is none.
func (b *bench) holder(key string) string {
	b.t.Helper()
	store := storer.NewClient(storer.ClientConfig{
		Address:  b.Platform.Addresses().HTTP,
		ClientID: "prover",
		Clock:    clockwork.NewRealClock(),
	})
	entry, err := store.Get(b.t.Context(), key)
	if !errors.Is(err, storer.ErrNotFound) {
		assert.NilError(b.t, err)
	}
	for _, e := range b.Entries {
		if strings.Contains(string(entry.Value), e.ID) {
			return e.ID
		}
	}
	return ""
}

// Guards against tokens that are lent twice, kept beyond their expiry or
// created anew when a link is cut, an entry is killed or frozen, the lender
// changes or the platform is cut off; and against a cut-off failure domain
// that serves nothing.
func TestRateOverAllInstances(t *testing.T) {
	w := declarer.Workspace{Name: "loud", Rate: 60, Burst: 40}
	b := startBench(t, benchConfig{
		domains:    4,
		workspaces: []declarer.Workspace{w},
		change:     keepAllRequests,
		amend: func(note *declarer.ReleaseNote) {
			shards := 1
			note.Changed.Limits.RateShards = &shards
		},
	})
	s := b.startStorm(w.Name)

	lender := b.lender()
	others := slices.DeleteFunc([]string{"a", "b", "c", "d"}, func(d string) bool { return lender == "entry-"+d+"1" })
	frozen := time.Now()
	assert.NilError(t, b.Freeze(lender))
	assert.NilError(t, b.Partition(others[0], others[1]))
	assert.NilError(t, b.Restart(t.Context(), "entry-"+others[2]+"1"))
	assert.NilError(t, b.Reconnect(others[0], others[1]))
	after(frozen.Add(lenderFreeze))
	tester.Eventually(t, patience, "another entry lends", func() error {
		if now := b.lender(); now == lender || now == "" {
			return merry.Errorf("lender %q", now)
		}
		return nil
	})
	assert.NilError(t, b.Continue(lender))

	assert.NilError(t, b.DisconnectPlatform())
	after(time.Now().Add(2 * time.Second))
	assert.NilError(t, b.ReconnectPlatform())

	// The lender stays with the others, so that they go on at the full rate.
	apart := others[0]
	if b.lender() == "entry-"+apart+"1" {
		apart = others[1]
	}
	isolated := time.Now()
	assert.NilError(t, b.Isolate(apart))
	after(isolated.Add(contractsOver + standingTime))
	end := time.Now()
	assert.NilError(t, b.Heal())
	after(time.Now().Add(time.Second))
	s.stop()

	all := s.admissions()
	t.Logf("%d calls, %d admissions in %s", s.calls.Load(), len(all), time.Since(frozen))
	t.Run("within the rate in each window", func(t *testing.T) { assertWithinRate(t, all, w) })
	t.Run("the storm was above the rate", func(t *testing.T) {
		assert.Assert(t, float64(s.calls.Load()) > 2*w.Rate*time.Since(frozen).Seconds())
		assert.Assert(t, float64(len(all)) > w.Rate*time.Since(frozen).Seconds()/3, "%d admissions", len(all))
	})
	t.Run("the isolated failure domain serves by its standing share", func(t *testing.T) {
		n := countFrom(all, "entry-"+apart+"1", isolated.Add(contractsOver), end)
		assert.Assert(t, n > 0, "%d admissions", n)
	})
}

// keepAllRequests lets the journals hold all requests of a long test.
func keepAllRequests(d *tester.DeploymentConfig) {
	for i := range d.BackendServers {
		d.BackendServers[i].Arguments = append(d.BackendServers[i].Arguments, "--journal-size", longJournal)
	}
}

// after waits for the end of a fault that lasts for a given time.
func after(end time.Time) {
	<-time.After(time.Until(end))
}

// Guards against refusals of requests inside the rate when all the demand is
// at one entry, so that the tokens lie elsewhere.
func TestRefusalsInsideTheRate(t *testing.T) {
	const (
		part   = 0.9 // Of the rate.
		warmUp = 3 * time.Second
		calls  = 3000
	)
	w := declarer.Workspace{Name: "steady", Rate: 300, Burst: 300}
	b := startBench(t, benchConfig{domains: 4, workspaces: []declarer.Workspace{w}})
	interval := time.Duration(float64(time.Second) / (part * w.Rate))
	c := &steadyCaller{bench: b, key: b.keys[w.Name], client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.send(int(warmUp/interval), interval)
	c.refused.Store(0)
	c.send(calls, interval)
	t.Logf("%d of %d calls refused", c.refused.Load(), calls)
	assert.Equal(t, c.failed.Load(), int64(0), "calls with another failure")
	assert.Assert(t, c.refused.Load()*1000 < calls, "%d of %d calls refused", c.refused.Load(), calls)
}

// A steadyCaller sends evenly spaced calls to one entry.
type steadyCaller struct {
	bench   *bench
	key     string
	client  *http.Client
	refused atomic.Int64
	failed  atomic.Int64
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
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	a, err := c.bench.callWith(ctx, c.client, "entry-a1", get(c.key, "/services/label/labels/1"))
	switch {
	case err != nil:
		c.failed.Add(1)
	case a.refusal().Error.Code == "rate-exceeded":
		c.refused.Add(1)
	case a.status != http.StatusOK:
		c.failed.Add(1)
	}
}
