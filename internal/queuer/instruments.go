package queuer

import (
	"context"
	"errors"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments are the metrics of a queue.
type instruments struct {
	wait     metric.Float64Histogram
	refusals metric.Int64Counter
}

// waitBuckets are in seconds. Goals of responses are between 0.3 s and 0.4 s, deadlines
// between 2 s and 5 s.
var waitBuckets = []float64{0.001, 0.005, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}

func newInstruments(m metric.Meter, q *Queue) (*instruments, error) {
	var i instruments
	var errs [3]error
	i.wait, errs[0] = m.Float64Histogram("queuer.wait", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(waitBuckets...),
		metric.WithDescription("Time that dispatched requests have waited in the queue, by priority"))
	i.refusals, errs[1] = m.Int64Counter("queuer.refusals", metric.WithDescription("Requests that the queue refused, by cause"))
	_, errs[2] = m.Int64ObservableGauge("queuer.length", metric.WithDescription("Waiting requests by priority"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for priority, n := range q.Lengths() {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("priority", strconv.Itoa(priority))))
			}
			return nil
		}))
	return &i, errors.Join(errs[:]...)
}

func (i *instruments) observe(d decision) {
	ctx := context.Background()
	var refused *RefusedError
	switch {
	case d.placement != nil:
		i.wait.Record(ctx, d.ticket.Waited.Seconds(), metric.WithAttributes(attribute.String("priority", strconv.Itoa(d.ticket.Priority))))
	case errors.As(d.err, &refused):
		i.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("cause", string(refused.Cause))))
	}
}
