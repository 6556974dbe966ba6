package queuer

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant with which dispatches and waiting time lose their
	// weight in the service rate. It spans a wave of demand, which lasts some seconds.
	rateMemory = 3 * time.Second
	// minRateSamples is the weight of dispatches from which on the rate is known. With
	// less, one slow request would have others refused.
	minRateSamples = 5
)

// A serviceRate estimates how many waiting requests are dispatched in a second, from the
// time in which requests waited.
type serviceRate struct {
	at         time.Time // Of the last update.
	waiting    bool      // Requests have been waiting since then.
	seconds    float64   // Weighted time in which requests waited.
	dispatches float64   // Weighted dispatches after a wait.
}

// update accounts for the time until now, in which the state did not change.
func (r *serviceRate) update(now time.Time, waiting bool, dispatches int) {
	if r.waiting {
		elapsed := max(now.Sub(r.at), 0).Seconds()
		decay := math.Exp(-elapsed / rateMemory.Seconds())
		r.seconds = (r.seconds + elapsed) * decay
		r.dispatches = (r.dispatches + float64(dispatches)) * decay
	}
	r.at, r.waiting = now, waiting
}

// waitFor returns the time until n requests have been dispatched; zero if it is not
// known.
func (r *serviceRate) waitFor(n int) time.Duration {
	if r.dispatches < minRateSamples || r.seconds <= 0 {
		return 0
	}
	return time.Duration(float64(n) * r.seconds / r.dispatches * float64(time.Second))
}
