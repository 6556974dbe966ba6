package balancer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/appraiser"
)

const (
	// paceTime and minPaceGaps are the least time and the least number of events of one
	// measurement of the time between events. A busy instance reads events late and
	// several together, up to 100 ms apart, so single gaps say little.
	paceTime    = 500 * time.Millisecond
	minPaceGaps = 8
	// idleSpeedCost is the cost of an idle server of half the median speed, in slots:
	// among idle servers, the fastest is chosen.
	idleSpeedCost = 1.0
	// preemptionLossCost is the additional cost of a server on which the batch work to
	// preempt has done preemptionLossEvents events; work that has done more adds up to
	// twice as much. Faster servers cost more by fasterPreemptionCost per unit of speed,
	// which decides only where the work has done the same.
	preemptionLossCost, preemptionLossEvents = 0.02, 64
	fasterPreemptionCost                     = 0.001
	// maxWorks bounds the kinds of work whose mean duration is known.
	maxWorks = 256
)

// A pace measures the time between the events of a stream. Except for events, only the
// goroutine that reads the stream uses it.
type pace struct {
	events atomic.Int64 // Events so far.
	since  time.Time    // Time of the event that began the measurement.
	latest time.Time    // Time of the latest event.
	gaps   int          // Events since then.
}

// ObserveEvent records that an event of the answer has arrived. It is called by the
// goroutine that releases the placement.
func (p *Placement) ObserveEvent() {
	now := p.cfg.Clock.Now()
	p.pace.latest = now
	if p.pace.events.Add(1) == 1 {
		p.pace.since = now
		return
	}
	if p.pace.gaps++; now.Sub(p.pace.since) >= paceTime {
		p.observeRest()
	}
}

// observeRest ends a measurement that is long enough.
func (p *Placement) observeRest() {
	if p.pace.gaps < minPaceGaps {
		return
	}
	p.observe(appraiser.Pace, p.pace.latest.Sub(p.pace.since)/time.Duration(p.pace.gaps))
	p.pace.since, p.pace.gaps = p.pace.latest, 0
}

// ObserveResponse records that the whole answer has arrived. An answer that may have
// waited for a slot says nothing about the speed of the server.
func (p *Placement) ObserveResponse() {
	if p.Load < p.Backend.Slots {
		p.observe(appraiser.Response, p.cfg.Clock.Now().Sub(p.startedAt))
	}
}

// observe passes a measured time to the appraiser. What a peer passes on takes longer
// because of the way through the peer.
func (p *Placement) observe(measure appraiser.Measure, took time.Duration) {
	if p.ThroughPeer {
		return
	}
	p.pool.mu.Lock()
	load := p.server.load()
	p.pool.mu.Unlock()
	p.server.appraisal.Observe(appraiser.Observation{
		Measure: measure, Work: p.work, Batch: p.class == Batch, Load: load, Slots: p.Backend.Slots, Took: took,
	})
}

// speed returns the speed of the server relative to the median of its service.
func (s *server) speed(now time.Time) float64 { return s.appraisal.Speed(now) }

// scaleFree scales the cost of a server that has a free slot by its speed. The cost is
// divided by the speed while there is little load, and by less the fewer slots are free:
// a request that finds a slot on a slow server begins at once, which is better than to
// wait at a fast one.
func (s *server) scaleFree(cost float64, now time.Time) float64 {
	speed := s.speed(now)
	if speed == 1 || cost >= 1 {
		return cost
	}
	return cost/(cost+(1-cost)*speed) + (1-cost)*idleSpeedCost*(1/speed-1)/float64(s.Slots)
}

// preemptionLoss returns the cost of preempting the batch work that would be selected on
// the server. The online request begins at once in any case; the batch work that runs on
// makes the more progress the faster its server is.
func (s *server) preemptionLoss(now time.Time) float64 {
	loss := fasterPreemptionCost * (s.speed(now) - 1)
	if len(s.batch) > 0 {
		done := float64(s.batch[s.leastDone()].pace.events.Load())
		loss += 2 * preemptionLossCost * done / (done + preemptionLossEvents)
	}
	return loss
}

// leastDone returns the index of the batch work of this instance that has done the least
// and, among equals, is the newest. There must be some.
func (s *server) leastDone() (index int) {
	least := int64(math.MaxInt64)
	for i, placement := range s.batch {
		if done := placement.pace.events.Load(); done <= least {
			index, least = i, done
		}
	}
	return index
}

// compareSpeeds makes the appraiser compare the servers of the pool.
func (p *pool) compareSpeeds() {
	appraisals := make([]*appraiser.Server, 0, len(p.order))
	for _, s := range p.order {
		appraisals = append(appraisals, s.appraisal)
	}
	p.speeds.SetServers(appraisals)
}

// meanDuration returns the mean duration of a kind of work, or that of all online
// requests if the kind is unknown. The caller holds p.mu.
func (p *pool) meanDuration(work string) time.Duration {
	if d, known := p.durations[work]; known {
		return d
	}
	return p.durations[""]
}

// recordDuration records the duration of an online request, as on a server of median
// speed. That of a request that found no free slot contains its wait, which the expected
// wait would count twice. The caller holds p.mu.
func (p *pool) recordDuration(placement *Placement, now time.Time) {
	if placement.waits {
		return
	}
	took := float64(now.Sub(placement.startedAt)) * placement.server.speed(now)
	if _, known := p.durations[placement.work]; !known && len(p.durations) >= maxWorks {
		p.durations = map[string]time.Duration{"": p.durations[""]}
	}
	for _, work := range [...]string{"", placement.work} {
		mean := p.meanDuration(work)
		p.durations[work] = mean + time.Duration(durationWeight*(took-float64(mean)))
		if placement.work == "" {
			break
		}
	}
}
