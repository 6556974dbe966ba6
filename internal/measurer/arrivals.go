package measurer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A segment is a time from which on requests arrive at a rate.
type segment struct {
	from time.Duration
	rate float64 // Requests a second; may be zero.
}

// A profile is the rate of arrivals over time, in order of time and starting
// at zero.
type profile []segment

// An arrivals is a Poisson process whose rate follows a profile. The same seed
// gives the same times.
type arrivals struct {
	profile profile
	end     time.Duration
	random  *rand.Rand
	now     time.Duration
	index   int // Segment of the profile at now.
}

// newArrivals returns arrivals from zero to end. The stream tells processes
// with one seed apart.
func newArrivals(p profile, end time.Duration, seed, stream uint64) *arrivals {
	return &arrivals{
		profile: p,
		end:     end,
		random:  rand.New(rand.NewPCG(seed, stream)), //nolint:gosec // Repeatable load.
	}
}

// next returns the next arrival, false after the end.
//
// In each segment the time to the next arrival is exponential. An arrival that
// would lie behind the segment is drawn again from the segment's end, which
// the process allows because it has no memory.
func (a *arrivals) next() (at time.Duration, ok bool) {
	for a.index < len(a.profile) && a.now < a.end {
		segmentEnd := a.end
		if a.index+1 < len(a.profile) {
			segmentEnd = min(segmentEnd, a.profile[a.index+1].from)
		}
		if rate := a.profile[a.index].rate; rate > 0 {
			gap := time.Duration(a.random.ExpFloat64() / rate * float64(time.Second))
			if a.now+gap < segmentEnd {
				a.now += gap
				return a.now, true
			}
		}
		a.now = segmentEnd
		a.index++
	}
	return 0, false
}

// newProfile returns the rate of one kind of requests of a workspace: its
// usual load with the bursts of the scenario.
func newProfile(s Scenario, w Workspace, usual float64) profile {
	boundaries := []time.Duration{0}
	var bursts []Burst
	for _, b := range s.Bursts {
		if len(b.Workspaces) > 0 && !slices.Contains(b.Workspaces, w.Name) {
			continue
		}
		bursts = append(bursts, b)
		from := time.Duration(s.WarmUp + b.At)
		boundaries = append(boundaries, from, from+time.Duration(b.Duration))
	}
	slices.Sort(boundaries)

	var p profile
	for _, from := range slices.Compact(boundaries) {
		rate := usual
		for _, b := range bursts {
			begin := time.Duration(s.WarmUp + b.At)
			if from >= begin && from < begin+time.Duration(b.Duration) {
				rate = b.rate(w, usual)
			}
		}
		p = append(p, segment{from: from, rate: rate})
	}
	return p
}

// rate is the load of one kind of requests during a burst. A multiple of the
// workspace's rate is split over the kinds as its usual load is.
func (b Burst) rate(w Workspace, usual float64) float64 {
	if b.TimesRate > 0 {
		return b.TimesRate * w.Rate * usual / (w.ChatRate + w.CallRate)
	}
	return b.Factor * usual
}
