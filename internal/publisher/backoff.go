package publisher

import (
	"context"
	"math/rand/v2"
	"time"
)

// A backoff is an exponential backoff with jitter, so that instances do not
// retry at the same time.
type backoff struct {
	publisher *Publisher
	next      time.Duration
}

func (p *Publisher) newBackoff() *backoff {
	return &backoff{publisher: p, next: p.cfg.MinBackoff}
}

// wait sleeps for the next delay and reports whether ctx is still active.
func (b *backoff) wait(ctx context.Context) bool {
	wait := b.next/2 + rand.N(b.next/2+1)
	b.next = min(2*b.next, b.publisher.cfg.MaxBackoff)
	return b.publisher.sleep(ctx, wait)
}

// reset returns to the shortest delay.
func (b *backoff) reset() {
	b.next = b.publisher.cfg.MinBackoff
}
