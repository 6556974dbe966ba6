// Package waiter waits on a clock that is passed in.
package waiter

import (
	"context"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// Pause returns after d, when the context ends, or when wake can be received from.
// A nil wake never can.
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
