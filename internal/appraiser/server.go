package appraiser

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// A Server is the estimate of one server, from one start of it to the next. A nil server
// has the median speed.
type Server struct {
	id      string
	service *Service

	speed      atomic.Uint64 // Bits of the estimate when it was last calculated; 0 before that.
	observedAt atomic.Int64  // Time of the latest observation in Unix nanoseconds.

	// The fields below are guarded by service.mu.

	windows [windowCount]window // A ring.
	latest  int                 // Index of the latest window.
	// level is the median of the windows: the logarithm of the factor by which the
	// server's times are longer than those of a server of level 0.
	level       float64
	windowsUsed int     // Windows in the median; 0 if there was no observation.
	residuals   float64 // Sum of the squared differences of the windows from the level.
	// inverseCount is the mean of the inverse number of observations of the windows.
	inverseCount float64
	// within is the sum of the squared differences of the observations from the means of
	// their windows, and withinFreedom its degrees of freedom.
	within, withinFreedom float64

	rating     rating // As last logged.
	reportedAt time.Time
	recordedAt time.Time // When the estimate was last recorded in the histogram.
}

// A window holds the observations of windowLength.
type window struct {
	startedAt time.Time // Zero if the window is unused.
	count     float64
	mean      float64 // Of the logarithms.
	squares   float64 // Sum of the squared differences from the mean.
}

// A rating is a range of estimates.
type rating string

const (
	ratingMedian rating = ""
	ratingSlow   rating = "slow"
	ratingFast   rating = "fast"
)

func ratingOf(speed float64) rating {
	switch {
	case speed < slowSpeed:
		return ratingSlow
	case speed > fastSpeed:
		return ratingFast
	}
	return ratingMedian
}

// Speed returns the estimated speed of the server relative to the median of its service.
func (s *Server) Speed(now time.Time) float64 {
	if s == nil {
		return 1
	}
	bits := s.speed.Load()
	if bits == 0 {
		return 1
	}
	speed := math.Float64frombits(bits)
	if speed == 1 {
		return 1
	}
	age := time.Duration(now.UnixNano() - s.observedAt.Load())
	if age <= holdTime {
		return speed
	}
	return 1 + (speed-1)*math.Exp2(-float64(age-holdTime)/float64(halfLife))
}

// record adds the logarithm of a measured time, relative to the effect of its cell, to
// the windows. The caller holds service.mu.
func (s *Server) record(value float64, now time.Time) {
	s.observedAt.Store(now.UnixNano())
	if w := s.windows[s.latest]; w.startedAt.IsZero() || now.Sub(w.startedAt) >= windowLength {
		s.latest = (s.latest + 1) % windowCount
		s.windows[s.latest] = window{startedAt: now}
	}
	w := &s.windows[s.latest]
	w.count++
	difference := value - w.mean
	w.mean += difference / w.count
	w.squares += difference * (value - w.mean)
	s.summarize(now)
}

// summarize calculates the level and what the noise is estimated from. The caller holds
// service.mu.
func (s *Server) summarize(now time.Time) {
	var buffer [windowCount]float64
	means := buffer[:0]
	s.inverseCount, s.within, s.withinFreedom, s.residuals = 0, 0, 0, 0
	for i := range s.windows {
		w := &s.windows[i]
		if w.startedAt.IsZero() || now.Sub(w.startedAt) >= windowLifetime {
			continue
		}
		means = append(means, w.mean)
		s.inverseCount += 1 / w.count
		s.within += min(w.squares, square(maxResidual)*(w.count-1))
		s.withinFreedom += w.count - 1
	}
	slices.Sort(means)
	s.windowsUsed = len(means)
	s.level = medianOfSorted(means)
	s.inverseCount /= float64(len(means))
	for _, mean := range means {
		s.residuals += min(square(mean-s.level), square(maxResidual))
	}
}

// isKnown reports whether the level counts. The caller holds service.mu.
func (s *Server) isKnown(now time.Time) bool {
	return s.windowsUsed > 0 && now.UnixNano()-s.observedAt.Load() < int64(windowLifetime)
}

// report logs an estimate that has crossed slowSpeed or fastSpeed, and records it in the
// histogram. The caller holds service.mu.
func (s *Server) report(now time.Time) {
	speed := s.Speed(now)
	a := s.service.appraiser
	if s.isKnown(now) && now.Sub(s.recordedAt) >= logInterval {
		s.recordedAt = now
		a.histogram.Record(context.Background(), speed)
	}
	current := ratingOf(speed)
	if current == s.rating || now.Sub(s.reportedAt) < logInterval {
		return
	}
	a.cfg.Logger.WithFields(logrus.Fields{
		"backend-server": s.id, "service": s.service.name, "speed": math.Round(speed*100) / 100,
		"slower": current == ratingSlow, "faster": current == ratingFast, "windows": s.windowsUsed,
	}).Info("estimated speed of a backend server changed")
	s.rating, s.reportedAt = current, now
}
