package measurer

import (
	"hash/fnv"
	"time"
)

// A RequestKind is a kind of online request.
type RequestKind string

// The kinds of online requests.
const (
	KindCall RequestKind = "call" // To a plain service: a label lookup or an alarm.
	KindChat RequestKind = "chat" // To a model, streamed.
)

// A request is one online request of the load.
type request struct {
	Workspace  string
	Kind       RequestKind
	Number     int           // Counts from 1 within the workspace.
	At         time.Duration // Intended start, from the start of the load.
	WithinRate bool          // Within the workspace's rate and burst.
	Measured   bool          // Starts after the warm-up.
}

// A tokenBucket is an ideal token bucket for a whole workspace. It determines
// which requests are within the rate; other requests take no token.
type tokenBucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Duration
}

func newTokenBucket(w Workspace) *tokenBucket {
	return &tokenBucket{rate: w.Rate, burst: float64(w.Burst), tokens: float64(w.Burst)}
}

func (b *tokenBucket) admit(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// A source generates the arrivals of one kind of requests of a workspace.
type source struct {
	kind     RequestKind
	arrivals *arrivalProcess
	nextAt   time.Duration
	hasNext  bool
}

// A schedule generates the online requests of a workspace in order of time.
type schedule struct {
	workspace Workspace
	warmUp    time.Duration
	bucket    *tokenBucket
	sources   []*source
	number    int
}

// newSchedule returns the schedule of a workspace. The random streams depend only
// on the seed, the workspace's name and the kind of request, so a run without
// batch work or with other workspaces has the same requests.
func newSchedule(s Scenario, w Workspace) *schedule {
	c := &schedule{workspace: w, warmUp: time.Duration(s.WarmUp), bucket: newTokenBucket(w)}
	c.add(s, KindChat, w.ChatRate)
	c.add(s, KindCall, w.CallRate)
	return c
}

func (c *schedule) add(s Scenario, kind RequestKind, normalRate float64) {
	stream := fnv.New64a()
	_, _ = stream.Write([]byte(c.workspace.Name + "/" + string(kind))) // Never fails.
	p := newProfile(s, c.workspace, normalRate)
	src := &source{kind: kind, arrivals: newArrivalProcess(p, s.end(), s.Seed, stream.Sum64())}
	src.nextAt, src.hasNext = src.arrivals.next()
	c.sources = append(c.sources, src)
}

// next returns the next request, or false after the end.
func (c *schedule) next() (r request, ok bool) {
	var first *source
	for _, src := range c.sources {
		if src.hasNext && (first == nil || src.nextAt < first.nextAt) {
			first = src
		}
	}
	if first == nil {
		return request{}, false
	}
	c.number++
	r = request{
		Workspace:  c.workspace.Name,
		Kind:       first.kind,
		Number:     c.number,
		At:         first.nextAt,
		WithinRate: c.bucket.admit(first.nextAt),
		Measured:   first.nextAt >= c.warmUp,
	}
	first.nextAt, first.hasNext = first.arrivals.next()
	return r, true
}
