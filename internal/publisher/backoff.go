package publisher

import (
	"context"
	"math/rand/v2"
	"time"
)

// A backoff spaces attempts out: each wait is twice the one before, up to a
// bound, and is shortened at random so that instances do not act together.
type backoff struct {
	publisher *Publisher
	next      time.Duration
}

func (p *Publisher) newBackoff() *backoff {
	return &backoff{publisher: p, next: p.cfg.MinBackoff}
}

// pause waits and reports whether ctx still runs.
func (b *backoff) pause(ctx context.Context) bool {
	wait := b.next/2 + rand.N(b.next/2+1)
	b.next = min(2*b.next, b.publisher.cfg.MaxBackoff)
	return b.publisher.pause(ctx, wait)
}

// reset starts with the shortest wait again.
func (b *backoff) reset() {
	b.next = b.publisher.cfg.MinBackoff
}
