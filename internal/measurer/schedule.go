package measurer

import (
	"hash/fnv"
	"time"
)

// A Kind tells the two kinds of online requests apart.
type Kind string

// The kinds of online requests.
const (
	KindCall Kind = "call" // To a plain service: a label lookup or an alarm.
	KindChat Kind = "chat" // To a model, streamed.
)

// A request is one online request of the load.
type request struct {
	Workspace string
	Kind      Kind
	Number    int           // Counts the requests of the workspace from 1.
	At        time.Duration // Intended start, from the start of the load.
	Inside    bool          // It lies inside the workspace's rate and burst.
	Measured  bool          // It starts after the warm-up.
}

// A bucket is an ideal token bucket for a whole workspace. It says which
// requests are inside the rate; requests outside take no token.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Duration
}

func newBucket(w Workspace) *bucket {
	return &bucket{rate: w.Rate, burst: float64(w.Burst), tokens: float64(w.Burst)}
}

func (b *bucket) admit(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// A source is one kind of requests of a workspace with its next arrival.
type source struct {
	kind     Kind
	arrivals *arrivals
	at       time.Duration
	ok       bool
}

// A schedule is the online requests of a workspace in order of time.
type schedule struct {
	workspace Workspace
	warmUp    time.Duration
	bucket    *bucket
	sources   []*source
	number    int
}

// newSchedule returns the requests of a workspace. They depend on the seed and
// on the workspace's name alone, so that a run without batch work or with
// other workspaces has the same ones.
func newSchedule(s Scenario, w Workspace) *schedule {
	c := &schedule{workspace: w, warmUp: time.Duration(s.WarmUp), bucket: newBucket(w)}
	c.add(s, KindChat, w.ChatRate)
	c.add(s, KindCall, w.CallRate)
	return c
}

func (c *schedule) add(s Scenario, kind Kind, usual float64) {
	stream := fnv.New64a()
	_, _ = stream.Write([]byte(c.workspace.Name + "/" + string(kind))) // Never fails.
	p := newProfile(s, c.workspace, usual)
	src := &source{kind: kind, arrivals: newArrivals(p, s.end(), s.Seed, stream.Sum64())}
	src.at, src.ok = src.arrivals.next()
	c.sources = append(c.sources, src)
}

// next returns the next request, false after the end.
func (c *schedule) next() (r request, ok bool) {
	var first *source
	for _, src := range c.sources {
		if src.ok && (first == nil || src.at < first.at) {
			first = src
		}
	}
	if first == nil {
		return request{}, false
	}
	c.number++
	r = request{
		Workspace: c.workspace.Name,
		Kind:      first.kind,
		Number:    c.number,
		At:        first.at,
		Inside:    c.bucket.admit(first.at),
		Measured:  first.at >= c.warmUp,
	}
	first.at, first.ok = first.arrivals.next()
	return r, true
}
