package dispatcher

import (
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// maxPause is the longest pause that a backend server gets. It may have recovered
// before.
const maxPause = 30 * time.Second

// observePause gives a server the pause that it asks for when it refuses a request.
func (d *Dispatcher) observePause(s *registrar.Server, a *sender.Answer) {
	pause := requestedPause(a)
	if pause <= 0 {
		return
	}
	s.Pause(pause)
	d.cfg.Logger.WithFields(logrus.Fields{
		reporter.FieldBackendServer: s.Name(), "status": a.Status, "pause-ms": pause.Milliseconds(),
	}).Info("backend server asks for a pause")
}

// requestedPause returns the pause that the answer asks for; zero if it asks for none.
func requestedPause(a *sender.Answer) time.Duration {
	if a.Status != fasthttp.StatusTooManyRequests && a.Status != fasthttp.StatusServiceUnavailable {
		return 0
	}
	for _, f := range a.Header {
		if f.Name != fasthttp.HeaderRetryAfter {
			continue
		}
		seconds, err := strconv.ParseFloat(f.Value, 64)
		if err != nil || seconds <= 0 || math.IsNaN(seconds) {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	return 0
}
