package balancer

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// maxReturnDelay is the longest delay after which a caller returns that was refused for
// a limit: the limit may end earlier, and callers wait for a few seconds only.
const maxReturnDelay = 1500 * time.Millisecond

// A LimitedError means that every server that could take the work has a limit that
// leaves no room for it now.
type LimitedError struct {
	RetryAfter time.Duration // When this instance expects to have room for it.
}

// Error implements error.
func (e *LimitedError) Error() string {
	return "the limits of the backend servers leave no room"
}

// A Throttle keeps work within the limits that servers state. *throttler.Throttler
// implements it.
type Throttle interface {
	// Wait returns the time until the server takes more work. Work that can wait leaves
	// room for other work.
	Wait(server throttler.Server, canWait bool) time.Duration
	// Rate returns the work per second that is this instance's part of the server's
	// limit; zero if it has none.
	Rate(server throttler.Server) float64
	// Take counts work that is sent to the server.
	Take(server throttler.Server)
}

// limitWait returns the time until the server's limit leaves room for the work.
func (s *server) limitWait(q Query, throttle Throttle) time.Duration {
	if throttle == nil {
		return 0
	}
	return throttle.Wait(s.Start(), q.Class == Batch && !q.Urgent)
}

// returnDelay returns when a caller is to return that the limits of all servers leave no
// room for. Callers return one after the other at the rate of this instance's part of
// the limits, so that they do not compete for the same room.
func (p *pool) returnDelay(class Class, wait time.Duration, now time.Time, cfg Config) time.Duration {
	if class == Batch {
		return wait
	}
	rate := 0.0
	for _, s := range p.order {
		if s.evacuated {
			continue
		}
		if cfg.Throttle != nil {
			rate += cfg.Throttle.Rate(s.Start())
		}
		if cfg.Pacer != nil {
			rate += cfg.Pacer.Rate(s.Start())
		}
	}
	next := now.Add(min(wait, maxReturnDelay))
	if rate > 0 {
		next = latest(next, p.nextReturnAt.Add(time.Duration(float64(time.Second)/rate)))
	}
	p.nextReturnAt = earliest(next, now.Add(maxReturnDelay))
	return p.nextReturnAt.Sub(now)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
