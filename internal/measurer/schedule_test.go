package measurer

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

func allTimes(a *arrivalProcess) (times []time.Duration) {
	for at, ok := a.next(); ok; at, ok = a.next() {
		times = append(times, at)
	}
	return times
}

// Guards against load that is not repeatable, and against arrivals that are not a
// Poisson process, such as evenly spaced ones.
func TestArrivalProcess(t *testing.T) {
	const rate, seconds = 200, 100
	end := seconds * time.Second
	steady := profile{{from: 0, rate: rate}}
	times := allTimes(newArrivalProcess(steady, end, 7, 1))

	t.Run("repeatable", func(t *testing.T) {
		assert.DeepEqual(t, times, allTimes(newArrivalProcess(steady, end, 7, 1)))
		assert.Assert(t, times[0] != allTimes(newArrivalProcess(steady, end, 8, 1))[0])
		assert.Assert(t, times[0] != allTimes(newArrivalProcess(steady, end, 7, 2))[0])
	})
	t.Run("mean and variance of counts", func(t *testing.T) {
		counts := make([]float64, seconds)
		for _, at := range times {
			counts[int(at.Seconds())]++
		}
		mean := float64(len(times)) / seconds
		variance := 0.0
		for _, n := range counts {
			variance += (n - mean) * (n - mean) / (seconds - 1)
		}
		assert.Assert(t, math.Abs(mean-rate) < 5, "mean %f", mean)
		// The ratio is 1 for a Poisson process, with a standard deviation of 0.14 here.
		assert.Assert(t, math.Abs(variance/mean-1) < 0.5, "variance %f, mean %f", variance, mean)
	})
	t.Run("segments", func(t *testing.T) {
		p := profile{{from: 0, rate: 100}, {from: 10 * time.Second, rate: 0}, {from: 20 * time.Second, rate: 500}}
		var before, silent, after int
		for _, at := range allTimes(newArrivalProcess(p, 30*time.Second, 7, 1)) {
			switch {
			case at < 10*time.Second:
				before++
			case at < 20*time.Second:
				silent++
			default:
				after++
			}
		}
		assert.Equal(t, silent, 0)
		assert.Assert(t, math.Abs(float64(before)-1000) < 150, "%d", before)
		assert.Assert(t, math.Abs(float64(after)-5000) < 350, "%d", after)
	})
}

// Guards against a bucket that admits requests beyond the rate, or in which other
// requests take tokens.
func TestTokenBucket(t *testing.T) {
	b := newTokenBucket(Workspace{Rate: 2, Burst: 3})
	withinRate := 0
	const seconds = 10
	for i := range 100 * seconds {
		if b.admit(time.Duration(i) * 10 * time.Millisecond) {
			withinRate++
		}
	}
	assert.Equal(t, withinRate, 3+2*seconds-1) // The last token is due only at the end.
}

// Guards against bursts with the wrong workspaces or the wrong rate, and against a
// schedule that is out of order.
func TestSchedule(t *testing.T) {
	w := Workspace{Name: "a", Rate: 10, Burst: 10, ChatRate: 3, CallRate: 1}
	s := Scenario{Seed: 3, WarmUp: declarer.Duration(10 * time.Second), Duration: declarer.Duration(40 * time.Second)}
	s.Bursts = []Burst{
		{Workspaces: []string{"a"}, At: 0, Duration: declarer.Duration(20 * time.Second), TimesRate: 5},
		{Workspaces: []string{"b"}, At: 0, Duration: declarer.Duration(40 * time.Second), Factor: 100},
	}
	var last time.Duration
	kinds := make(map[RequestKind]int)
	withinRate := 0
	c := newSchedule(s, w)
	for r, ok := c.next(); ok; r, ok = c.next() {
		assert.Assert(t, r.At >= last)
		assert.Equal(t, r.Measured, r.At >= 10*time.Second)
		last = r.At
		if r.At >= 10*time.Second && r.At < 30*time.Second {
			kinds[r.Kind]++
			if r.WithinRate {
				withinRate++
			}
		}
	}
	total := kinds[KindCall] + kinds[KindChat]
	assert.Assert(t, math.Abs(float64(total)-1000) < 150, "%d", total) // 5 times the rate of 10 over 20 s.
	assert.Assert(t, math.Abs(float64(kinds[KindChat])/float64(total)-0.75) < 0.1)
	assert.Assert(t, withinRate >= 200 && withinRate <= 210, "%d", withinRate) // The rate times 20 s, plus the burst.
}

// Guards against embedded descriptions that do not load or are missing, and
// against deployments of the wrong size.
func TestDescriptions(t *testing.T) {
	names, err := Scenarios()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 18)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			d, err := Load(name)
			assert.NilError(t, err)
			domains, engines, services := 4, 12, 4
			if strings.HasPrefix(name, "authority/") {
				domains, engines, services = 3, 9, 3
			}
			assert.Equal(t, len(d.Deployment.FailureDomains), domains)
			assert.Equal(t, len(d.Deployment.BackendServers()), engines+services)
			assert.Equal(t, len(d.Deployment.Entries), 4)
			assert.Equal(t, len(d.Deployment.Workspaces), 8)
		})
	}
	_, err = Load("ljepilo-hub/unknown")
	assert.ErrorContains(t, err, "unknown")
}

// Guards against unknown keys in a description file, which would run a different
// scenario than the file defines.
func TestLoadFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "own.toml")
	text := "deployment = \"authority\"\n[scenario]\nseed = 7\nduration = \"3s\"\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	d, err := LoadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, d.Deployment.Name, "authority")
	assert.Equal(t, d.Scenario.Seed, uint64(7))

	assert.NilError(t, os.WriteFile(file, []byte(text+"seeds = 8\n"), 0o600))
	_, err = LoadFile(file)
	assert.ErrorContains(t, err, "unknown key scenario.seeds")
}

// Guards against an invalid description that is accepted, which would silently
// change the run.
func TestValidateReportsAllErrors(t *testing.T) {
	d, err := Load("ljepilo-hub/failure-domain-lost")
	assert.NilError(t, err)
	d.Scenario.Faults[0].FailureDomain = "split"
	d.Scenario.Bursts = []Burst{{Workspaces: []string{"nobody"}, Duration: 1, Factor: 1, TimesRate: 1}}
	d.Deployment.Workspaces[0].BatchShare += 0.5
	d.Deployment.Workspaces[1].ChatRate = 1000
	d.Deployment.Chat.Route = "missing"
	err = d.Validate()
	for _, want := range []string{"split", "nobody", "exactly one", "add up to 1.5", "above its rate", `no route "missing"`} {
		assert.Assert(t, cmp.Contains(err.Error(), want))
	}
}

// Guards against a release note that an entry rejects.
func TestReleaseNote(t *testing.T) {
	for _, name := range []string{"ljepilo-hub/steady", "authority/steady"} {
		d, err := Load(name)
		assert.NilError(t, err)
		servers := d.Deployment.BackendServers()
		for i := range servers {
			servers[i].Address = "127.0.0.1:" + string(rune('1'+i/10)) + string(rune('0'+i%10))
		}
		var keys []declarer.Key
		for _, w := range d.Deployment.Workspaces {
			keys = append(keys, declarer.Key{Name: w.Name, Workspace: w.Name, Digest: strings.Repeat("0", 63) + "1"})
		}
		keys = keys[:1]
		text, err := d.Deployment.ReleaseNote(servers, keys)
		assert.NilError(t, err)
		note, faults := declarer.ParseReleaseNote("note", []byte(text))
		assert.Equal(t, len(faults), 0, "%v", faults)
		merged, faults := declarer.Merge(declarer.Declaration{Limits: declarer.DefaultLimits()}, note)
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, len(merged.BackendServers), len(servers))
		assert.Equal(t, len(merged.Routes), 2)
	}
}
