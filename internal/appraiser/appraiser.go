// Package appraiser estimates how fast the backend servers of a service are, relative
// to each other, from the times of their answers at this instance.
//
// The time of an observation is taken as the product of three factors: one for the kind
// of work and the load of the server, one for the server, and noise. Both are learned in
// logarithms. The factor of a server is a median over time windows, so that neither
// single outliers nor a slow period of a few hundred milliseconds changes it.
package appraiser

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
)

const (
	// MinSpeed is the lowest estimate.
	MinSpeed = 0.4
	// MaxSpeed is the highest estimate.
	MaxSpeed = 2.5
	// slowSpeed and fastSpeed are the estimates whose crossing is logged.
	slowSpeed, fastSpeed = 0.75, 1.33
	// ignoredRatio is the ratio to the median, in either direction, up to which a server
	// counts as one of median speed. The way to another failure domain makes an answer of
	// 15 ms a fifth longer, and a busy instance reads events up to 100 ms late.
	ignoredRatio = 1.2
	// windowLength is the time whose observations count as one, because a slow period
	// affects all answers of a server that run at that time.
	windowLength = 1500 * time.Millisecond
	// windowCount is the number of windows in the median of a server; with fewer its
	// estimate stays 1. A slow period of 600 ms affects measurements that end within
	// 1.1 s, thus at most two windows. Of the first five windows of a server that is
	// seldom used, three may fall into slow periods.
	windowCount = 9
	// windowLifetime is the time after which a window does not count any more.
	windowLifetime = time.Minute
	// publishInterval is the shortest time between two calculations of the estimates of a
	// service.
	publishInterval = 250 * time.Millisecond
	// holdTime is the time after the latest observation of a server in which its estimate
	// stays. After that, its difference from 1 halves in each halfLife.
	holdTime, halfLife = 10 * time.Second, 10 * time.Second
	// effectWeight is the weight of the latest observation in the factor of a kind of
	// work, an exponential moving average.
	effectWeight = 0.02
	// bandCount is the number of ranges of load that are told apart. A server that runs
	// eight requests takes 4 in 100 longer for a token than one that runs one.
	bandCount = 4
	// maxCells bounds the kinds of work. Beyond it all are learned anew.
	maxCells = 1024
	// minWindowsForNoise is the number of windows from which on a server contributes to
	// the estimate of the noise.
	minWindowsForNoise = 3
	// initialVariance is the assumed variance of one observation in logarithms before it
	// can be estimated, and minVariance the least variance of a window.
	initialVariance, minVariance = 0.04, 0.0004
	// initialFreedom is the weight of initialVariance in the variance of windows, in
	// windows.
	initialFreedom = 4
	// maxResidual limits the part of one window in the noise: the median ignores windows
	// that are far off, and their squares would hide the differences between servers.
	maxResidual = 0.4
	// medianVariance is the variance of the median of normally distributed values as a
	// multiple of that of their mean.
	medianVariance = math.Pi / 2
	// logInterval is the shortest time between two log lines on a server, and between two
	// records of its estimate in the histogram.
	logInterval = 10 * time.Second
)

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Config holds the dependencies of an appraiser.
type Config struct {
	Clock  Clock
	Logger logrus.FieldLogger
	Meter  metric.Meter
}

// An Appraiser holds the estimates of all services, one shard for each service. A nil
// appraiser takes all servers as alike.
type Appraiser struct {
	cfg       Config
	histogram metric.Float64Histogram

	mu       sync.Mutex
	services map[string]*Service
}

// New returns an appraiser without services.
func New(cfg Config) (a *Appraiser, err error) {
	defer func() { err = merry.Prepend(err, "create appraiser") }()
	a = &Appraiser{cfg: cfg, services: map[string]*Service{}}
	a.histogram, err = cfg.Meter.Float64Histogram("appraiser.speed",
		metric.WithExplicitBucketBoundaries(0.5, 0.6, 0.75, 0.9, 0.99, 1.01, 1.1, 1.33, 1.6, 2),
		metric.WithDescription("Estimated speed of backend servers relative to the median of their service"))
	return a, err
}

// Service returns the estimates of a service, nil for a nil appraiser.
func (a *Appraiser) Service(name string) *Service {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		s = &Service{name: name, appraiser: a, effects: map[cell]*effect{}}
		a.services[name] = s
	}
	return s
}

// A Measure says what was timed.
type Measure int

// The measures.
const (
	Pace     Measure = iota // The time from one event of a stream to the next.
	Response                // The time of a whole answer.
)

// An Observation is one measured time of a server.
type Observation struct {
	Measure Measure
	Work    string // Route of the request; times of different routes are not compared.
	Batch   bool
	Load    int // Requests that the server had at the time.
	Slots   int // Requests that it runs concurrently; at least 1.
	Took    time.Duration
}

// A cell is a kind of work at a range of load.
type cell struct {
	measure Measure
	work    string
	batch   bool
	band    int
}

func (o Observation) cell() cell {
	band := bandCount * min(max(o.Load-1, 0), o.Slots-1) / o.Slots
	return cell{measure: o.Measure, work: o.Work, batch: o.Batch, band: band}
}

// An effect is the logarithm of the time that a server of level 0 takes for a cell.
type effect struct {
	value float64
	count float64 // Observations so far.
}

// A Service holds the estimates of the servers of a service.
type Service struct {
	name      string
	appraiser *Appraiser

	mu        sync.Mutex // Guards the fields below and the state of the servers.
	servers   []*Server
	effects   map[cell]*effect
	publishAt time.Time // The earliest time of the next calculation of estimates.
	levels    []float64 // Used during a calculation.
}

// NewServer returns a server without observations.
func (s *Service) NewServer(id string) *Server {
	if s == nil {
		return nil
	}
	return &Server{id: id, service: s}
}

// SetServers replaces the servers that are compared with each other.
func (s *Service) SetServers(servers []*Server) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = slices.Clone(servers)
}

// Observe records a measured time of the server.
func (s *Server) Observe(o Observation) {
	if s == nil || o.Took <= 0 || o.Slots < 1 {
		return
	}
	service := s.service
	now := service.appraiser.cfg.Clock.Now()
	service.mu.Lock()
	defer service.mu.Unlock()
	s.record(math.Log(o.Took.Seconds())-service.learnEffect(o, s), now)
	if now.Before(service.publishAt) {
		return
	}
	service.publishAt = now.Add(publishInterval)
	service.publish(now)
}

// learnEffect returns the effect of the cell of an observation, and adapts it if the
// level of the server is known.
func (s *Service) learnEffect(o Observation, server *Server) float64 {
	c := o.cell()
	value := math.Log(o.Took.Seconds()) - server.level
	e := s.effects[c]
	switch {
	case e == nil:
		if len(s.effects) >= maxCells {
			clear(s.effects)
		}
		s.effects[c] = &effect{value: value, count: 1}
		return value
	case server.windowsUsed > 0:
		e.count++
		e.value += max(1/e.count, effectWeight) * clampLog(value-e.value)
	}
	return e.value
}

// publish calculates the estimates from the levels of the servers. The difference of a
// level from the median is reduced by the part of it that noise explains: to nothing
// where the levels differ by no more than noise.
func (s *Service) publish(now time.Time) {
	s.levels = s.levels[:0]
	for _, server := range s.servers {
		if server.isKnown(now) {
			s.levels = append(s.levels, server.level)
		}
	}
	if len(s.levels) == 0 {
		return
	}
	slices.Sort(s.levels)
	baseline := medianOfSorted(s.levels)
	n := s.noise(now)
	spread := s.spread(n, baseline, now)
	for _, server := range s.servers {
		speed := 1.0
		if server.isKnown(now) && server.windowsUsed >= windowCount {
			share := spread / (spread + n.ofLevel(server))
			speed = speedOf(share * clampLog(server.level-baseline))
		}
		server.speed.Store(math.Float64bits(speed))
		server.report(now)
	}
}

// A noise is what makes the windows of one server differ.
type noise struct {
	within  float64 // Variance of one observation among those of its window.
	between float64 // Variance of a window with very many observations.
}

// ofLevel returns the variance of the level of a server.
func (n noise) ofLevel(s *Server) float64 {
	window := max(n.between+n.within*s.inverseCount, minVariance)
	return medianVariance * window / float64(s.windowsUsed)
}

// noise estimates the noise from the servers with several windows.
func (s *Service) noise(now time.Time) (n noise) {
	var within, withinFreedom, inverseCounts float64
	residuals, freedom := initialFreedom*initialVariance, float64(initialFreedom)
	for _, server := range s.servers {
		if !server.isKnown(now) {
			continue
		}
		within += server.within
		withinFreedom += server.withinFreedom
		if server.windowsUsed >= minWindowsForNoise {
			f := float64(server.windowsUsed - 1)
			residuals += server.residuals
			freedom += f
			inverseCounts += f * server.inverseCount
		}
	}
	n.within = initialVariance
	if withinFreedom > 0 {
		n.within = within / withinFreedom
	}
	n.between = max((residuals-n.within*inverseCounts)/freedom, 0)
	return n
}

// spread estimates the variance of the true levels of the servers, by the method of
// moments of DerSimonian and Laird, which gives servers with less noise more weight.
func (s *Service) spread(n noise, baseline float64, now time.Time) float64 {
	var count, weights, weightSquares, deviations float64
	for _, server := range s.servers {
		if !server.isKnown(now) {
			continue
		}
		weight := 1 / n.ofLevel(server)
		count++
		weights += weight
		weightSquares += square(weight)
		deviations += weight * square(clampLog(server.level-baseline))
	}
	if count < 2 {
		return 0
	}
	return max(deviations-(count-1), 0) / (weights - weightSquares/weights)
}

// speedOf returns the speed of a server whose times are longer than the median by a
// factor with the given logarithm.
func speedOf(deviation float64) float64 {
	if math.Abs(deviation) < math.Log(ignoredRatio) {
		return 1
	}
	return min(max(math.Exp(-deviation), MinSpeed), MaxSpeed)
}

// clampLog limits a difference of logarithms to the range of the estimates.
func clampLog(d float64) float64 {
	return min(max(d, math.Log(MinSpeed)), math.Log(MaxSpeed))
}

func square(x float64) float64 { return x * x }

func medianOfSorted(values []float64) float64 {
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
