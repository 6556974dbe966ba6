// Package waiter provides an interruptible sleep on a given clock.
package waiter

import (
	"context"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// Pause returns after d, when the context ends, or when wake is ready to receive.
// wake may be nil.
func Pause(ctx context.Context, clock storer.Clock, d time.Duration, wake <-chan struct{}) {
	done := make(chan struct{})
	timer := clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-wake:
	}
}
