package balancer

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// demandInterval is the time between two samples of the online demand, and
	// demandSamples their number: some 16 s, in which waves of up to 8 s show twice.
	demandInterval = 250 * time.Millisecond
	demandSamples  = 64
	// A wave rises by demandRise of the mean and by demandNoise standard deviations of
	// requests that arrive independently of each other.
	demandRise, demandNoise = 0.3, 3.0
	// minWavePeriod is the shortest time between two waves.
	minWavePeriod = 2 * time.Second
	// cutHorizon is how long before the next wave no batch work begins that the wave would
	// preempt. Work that begins earlier gets more done than its prompt costs.
	cutHorizon = 1500 * time.Millisecond
)

// A demand measures the slots that online requests of a service take, and the waves in
// which they come. It does not have a lock; the pool's guards it.
type demand struct {
	samples  [demandSamples]float64
	count    int // Samples so far.
	latestAt time.Time
	high     bool         // A wave is on.
	rises    [2]time.Time // When the last two waves began, the latest one first.
	seen     bool         // Waves are seen; for the log.
	peak     float64      // Slots that online requests took at the peak of the samples.
}

// isDue reports whether a sample is due.
func (d *demand) isDue(now time.Time) bool { return now.Sub(d.latestAt) >= demandInterval }

// observe records the slots that online requests take now. After a gap, in which no
// requests came, the measurement begins again.
func (d *demand) observe(now time.Time, online int) {
	if d.count > 0 && now.Sub(d.latestAt) > demandSamples/8*demandInterval {
		*d = demand{}
	}
	previous := float64(online)
	if d.count > 0 {
		previous = d.samples[(d.count-1)%demandSamples]
	}
	d.samples[d.count%demandSamples] = float64(online)
	d.count++
	d.latestAt = now
	known := d.samples[:min(d.count, demandSamples)]
	mean := 0.0
	d.peak = 0
	for _, n := range known {
		mean += n / float64(len(known))
		d.peak = max(d.peak, n)
	}
	level := (previous + float64(online)) / 2 // A single sample is mostly noise.
	switch rise := mean + max(demandRise*mean, demandNoise*math.Sqrt(mean)); {
	case !d.high && level > rise:
		d.high = true
		d.rises = [2]time.Time{now, d.rises[0]}
	case d.high && level < mean:
		d.high = false
	}
}

// next returns when the next wave is expected. It reports false if no waves are seen: two
// have begun, and the third is not overdue by half of the time between them.
func (d *demand) next(now time.Time) (at time.Time, ok bool) {
	if d.rises[1].IsZero() {
		return time.Time{}, false
	}
	period := d.rises[0].Sub(d.rises[1])
	if period < minWavePeriod || period > demandSamples/2*demandInterval || now.Sub(d.rises[0]) > period+period/2 {
		return time.Time{}, false
	}
	return d.rises[0].Add(period), true
}

// sampleDemand records the online demand if a sample is due. The caller holds p.mu.
func (p *pool) sampleDemand(now time.Time, cfg Config) {
	if !p.demand.isDue(now) {
		return
	}
	online := 0
	for _, s := range p.order {
		online += s.onlineLoad()
	}
	p.demand.observe(now, online)
	if _, seen := p.demand.next(now); seen != p.demand.seen && len(p.order) > 0 {
		p.demand.seen = seen
		cfg.Logger.WithFields(logrus.Fields{
			"service": p.order[0].Service, "seen": seen, "peak": p.demand.peak, "period-ms": p.demand.rises[0].Sub(p.demand.rises[1]).Milliseconds(),
		}).Info("waves of online requests")
	}
}

// hasRoomBeside reports whether batch work may begin on the server although a wave of
// online requests is expected: it ends before, or leaves free the slots that the wave
// takes there.
func (p *pool) hasRoomBeside(s *server, q Query, now time.Time) bool {
	next, ok := p.demand.next(now)
	if !ok || q.Expected <= 0 || !now.Add(q.Expected).After(next) || next.Sub(now) > cutHorizon {
		return true
	}
	slots := 0
	for _, other := range p.order {
		slots += other.Slots
	}
	taken := p.demand.peak * float64(s.Slots) / float64(max(slots, 1))
	batch := s.load() - s.onlineLoad()
	return float64(batch+1)+taken <= float64(s.Slots)
}
