package measurer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A segment is a constant arrival rate that applies from a point in time on.
type segment struct {
	from time.Duration
	rate float64 // Requests a second; may be zero.
}

// A profile is the arrival rate over time: segments in order of time, of which
// the first starts at zero.
type profile []segment

// An arrivalProcess is a Poisson process whose rate follows a profile. The same
// seed and stream give the same times.
type arrivalProcess struct {
	profile profile
	end     time.Duration
	random  *rand.Rand
	now     time.Duration
	index   int // Segment of the profile at now.
}

// newArrivalProcess returns a process from zero to end. Processes with the same
// seed differ by their stream.
func newArrivalProcess(p profile, end time.Duration, seed, stream uint64) *arrivalProcess {
	return &arrivalProcess{
		profile: p,
		end:     end,
		random:  rand.New(rand.NewPCG(seed, stream)), //nolint:gosec // The load must be repeatable.
	}
}

// next returns the time of the next arrival, or false after the end.
//
// In each segment the time to the next arrival is exponentially distributed. An
// arrival past the end of the segment is drawn again from that end, which is
// correct because a Poisson process is memoryless.
func (a *arrivalProcess) next() (at time.Duration, ok bool) {
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

// newProfile returns the arrival rate of one kind of requests of a workspace:
// its normal rate, changed by the bursts of the scenario.
func newProfile(s Scenario, w Workspace, normalRate float64) profile {
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
		rate := normalRate
		for _, b := range bursts {
			begin := time.Duration(s.WarmUp + b.At)
			if from >= begin && from < begin+time.Duration(b.Duration) {
				rate = b.rate(w, normalRate)
			}
		}
		p = append(p, segment{from: from, rate: rate})
	}
	return p
}

// rate returns the arrival rate of one kind of requests during a burst. A
// multiple of the workspace's rate limit is split over the kinds in proportion
// to their normal rates.
func (b Burst) rate(w Workspace, normalRate float64) float64 {
	if b.TimesRate > 0 {
		return b.TimesRate * w.Rate * normalRate / (w.ChatRate + w.CallRate)
	}
	return b.Factor * normalRate
}
