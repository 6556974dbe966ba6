package intaker

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/semaphore"
)

const (
	// processingDivisor is the part of a budget for bodies that are decoded, encoded or
	// stored at the same time, which takes several times their size: at least one body
	// of the largest size that operators allow on the smallest machines.
	processingDivisor = 6
	// processingTimeout bounds the wait of a body for others to be processed.
	processingTimeout = time.Second
)

// A processingLimit bounds the bodies that are processed at the same time, by their
// bytes. Large bodies and small ones have separate bounds, so that small ones do not wait
// for large ones.
type processingLimit struct {
	capacity     int64
	small, large *semaphore.Weighted
}

func newProcessingLimit(budget int64) processingLimit {
	n := max(budget/processingDivisor, 1)
	return processingLimit{capacity: n, small: semaphore.NewWeighted(n), large: semaphore.NewWeighted(n)}
}

// BeginProcessing waits until a body of n bytes can be processed. A body above the bound
// is processed while no other large one is. It returns ErrOverloaded if there is no room
// in time; the request must not run then.
func (b *Budget) BeginProcessing(ctx context.Context, n int) (end func(), err error) {
	sem := b.processing.large
	if n <= smallBytes {
		sem = b.processing.small
	}
	weight := min(int64(n), b.processing.capacity)
	ctx, cancel := context.WithTimeout(ctx, processingTimeout)
	defer cancel()
	if err := sem.Acquire(ctx, weight); err != nil {
		return nil, merry.Wrap(ErrOverloaded, merry.WithCause(err))
	}
	return func() { sem.Release(weight) }, nil
}
